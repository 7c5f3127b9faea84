//! The policy of gossip: which gateways get a request, and what a reply contains.

use super::changes::ChangeLog;
use super::members::{Members, sample};
use super::relays::relays_of;
use super::{Action, Changes, Event, GossipSettings, Message};
use crate::clock::US_PER_MS;
use crate::duty::Duty;
use crate::gateway::StorePosition;
use crate::gateway::dispatch::PeerState;
use crate::ids::Zone;
use crate::pipeline::Address;
use crate::random::Random;
use crate::table::Table;

/// Time after the first round in which a gateway takes the last rank, in microseconds. Until it has heard of most
/// others, it would rank among the first ones and read the store as they do.
const DISCOVERY_US: u64 = 1_000_000;

/// Tracks the other gateways and exchanges state with them.
#[derive(Debug)]
pub struct Gossip {
    settings: GossipSettings,
    own: Address,
    seeds: Vec<Address>,
    random: Random,
    members: Members,
    first_round_us: Option<u64>,
    /// Number of alive gateways before this one in the common order, as of the last round.
    rank: usize,
    /// Number of other alive gateways in each zone, as of the last round.
    zone_counts: Table<Zone, usize>,
    published: Option<Published>,
    changes: ChangeLog,
    /// Era of the store that dispatch published first.
    first_era: Option<u64>,
}

/// Latest state of dispatch, with the times of its proofs.
#[derive(Debug)]
struct Published {
    state: Box<PeerState>,
    at_us: u64,
    /// When the version of the configuration was last confirmed to be current, in microseconds.
    version_proof_us: u64,
    /// When it was last confirmed that the endpoints had not changed, in microseconds.
    endpoints_proof_us: u64,
}

impl Published {
    fn new(now_us: u64, state: Box<PeerState>) -> Self {
        let at_us = |age_ms: u64| now_us.saturating_sub(age_ms.saturating_mul(US_PER_MS));
        let (version_proof_us, endpoints_proof_us) =
            (at_us(state.proof_age_ms), at_us(state.endpoints_age_ms));
        Self { state, at_us: now_us, version_proof_us, endpoints_proof_us }
    }

    /// Takes the later proofs of another state that has the same version or the same position. Without this, each relay
    /// would pass on a proof only after dispatch has published its state again. A proof holds only in the era of the store
    /// in which it was given.
    fn take_proofs(&mut self, other: &Self) {
        if other.era() != self.era() {
            return;
        }
        if other.state.version == self.state.version {
            self.version_proof_us = self.version_proof_us.max(other.version_proof_us);
        }
        if other.state.endpoints_change == self.state.endpoints_change {
            self.endpoints_proof_us = self.endpoints_proof_us.max(other.endpoints_proof_us);
        }
    }

    /// Returns the era of the store in which the proofs were given. The proofs of a gateway that does not know eras are
    /// passed on only where eras do not matter.
    fn era(&self) -> u64 {
        self.state.sections.store_era.unwrap_or_default()
    }

    /// Returns the state for a gateway in the given zone, with the current ages of the proofs and findings.
    fn state_for(&self, now_us: u64, zone: &Zone) -> PeerState {
        let mut state = if self.state.zone == *zone {
            PeerState::clone(&self.state)
        } else {
            self.state.for_other_zone()
        };
        let age_ms = |at_us: u64| now_us.saturating_sub(at_us).div_ceil(US_PER_MS);
        state.crash_findings.add_age_ms(age_ms(self.at_us));
        PeerState {
            proof_age_ms: age_ms(self.version_proof_us),
            endpoints_age_ms: age_ms(self.endpoints_proof_us),
            ..state
        }
    }
}

impl Gossip {
    /// Creates the policy of the gateway at the given address.
    pub fn new(settings: GossipSettings, own: Address, seeds: Vec<Address>, seed: u64) -> Self {
        Self {
            settings,
            own,
            seeds,
            random: Random::seeded(seed),
            members: Members::new(own),
            first_round_us: None,
            rank: usize::MAX,
            zone_counts: Table::default(),
            published: None,
            changes: ChangeLog::default(),
            first_era: None,
        }
    }

    /// Returns whether the gateway is in the table of members.
    #[cfg(test)]
    pub(super) fn knows(&self, address: Address) -> bool {
        self.own == address || self.members.addresses().contains(&address)
    }

    fn round(&mut self, now_us: u64, state: Box<PeerState>, out: &mut Vec<Action>) {
        self.members.expire(now_us, self.settings.expiry_ms * US_PER_MS);
        let order = self.members.common_order(now_us);
        let rank = order.iter().position(|address| *address == self.own).unwrap_or_default();
        let first_round_us = *self.first_round_us.get_or_insert(now_us);
        self.rank = if now_us < first_round_us + DISCOVERY_US { usize::MAX } else { rank };
        self.zone_counts = self.members.zone_counts(now_us);
        out.push(Action::Rank(self.rank));
        let zone_peers = self.members.alive_in_zone(now_us, &state.zone);
        self.first_era = self.first_era.or(state.sections.store_era);
        let mut published = Published::new(now_us, state);
        if let Some(previous) = &self.published {
            published.take_proofs(previous);
        }
        for to in self.targets(relays_of(&order, rank), zone_peers.clone()) {
            let in_zone = zone_peers.contains(&to);
            let zone = if in_zone { published.state.zone.clone() } else { Zone::default() };
            let state = published.state_for(now_us, &zone);
            let known = self.members.mentions(now_us, self.settings.mention_limit, &mut self.random);
            let message = Message::Ask { asked_us: now_us, state, known };
            out.push(Action::Send { to, message: Box::new(message) });
        }
        self.published = Some(published);
    }

    /// Returns the position up to which another gateway knows the endpoints. One that does not know eras is taken to be in
    /// the first one until the store has come back from a backup.
    fn position_of(&self, state: &PeerState) -> StorePosition {
        let own_era = self.published.as_ref().and_then(|published| published.state.sections.store_era);
        match (state.sections.store_era, own_era) {
            (None, Some(era)) if own_era == self.first_era => state.endpoints_change.in_era(era),
            _ => state.endpoints_change,
        }
    }

    /// Returns the gateways to ask in a round: the relays, then some of the zone, whose load matters most, and then any.
    fn targets(&mut self, relays: Vec<Address>, zone_peers: Vec<Address>) -> Vec<Address> {
        let fanout = self.settings.fanout;
        let mut targets = relays;
        let candidates = zone_peers.into_iter().filter(|address| !targets.contains(address)).collect();
        let zone_count = self.settings.zone_fanout.min(fanout.saturating_sub(targets.len()));
        targets.extend(sample(candidates, zone_count, &mut self.random));
        let mut others = self.members.addresses();
        others.extend(self.seeds.iter().filter(|seed| **seed != self.own));
        others.sort_unstable();
        others.dedup();
        others.retain(|address| !targets.contains(address));
        targets.extend(sample(others, fanout.saturating_sub(targets.len()), &mut self.random));
        targets
    }

    fn report_peer(
        &self,
        from: Address,
        state: PeerState,
        asked_us: Option<u64>,
        changes: Option<Changes>,
        out: &mut Vec<Action>,
    ) {
        let known = self.zone_counts.iter().map(|(_, count)| count).sum::<usize>() + 1;
        let zone_known = self.zone_counts.get(&state.zone).copied().unwrap_or_default();
        out.push(Action::PeerUpdate {
            from,
            state: Box::new(state),
            asked_us,
            changes: changes.map(Box::new),
            known,
            zone_known,
            rank: self.rank,
        });
    }

    fn received(&mut self, now_us: u64, from: Address, message: Message, out: &mut Vec<Action>) {
        match message {
            Message::Ask { asked_us, state, known } => {
                self.members.record_contact(now_us, from, &state.zone);
                self.members.record_mentions(now_us, &known);
                let changes = self.changes.after(self.position_of(&state));
                let reply = self.published.as_ref().map(|published| published.state_for(now_us, &state.zone));
                self.report_peer(from, state, None, None, out);
                let Some(state) = reply else { return };
                let known = self.members.mentions(now_us, self.settings.mention_limit, &mut self.random);
                out.push(Action::Send {
                    to: from,
                    message: Box::new(Message::Tell { asked_us, state, changes, known }),
                });
            }
            Message::Tell { asked_us, state, changes, known } => {
                self.members.record_contact(now_us, from, &state.zone);
                self.members.record_mentions(now_us, &known);
                // A reply is no proof if its request time is not plausible: it may come from an earlier process at this
                // address or from another clock.
                let oldest_us = now_us.saturating_sub(self.settings.expiry_ms * US_PER_MS);
                if (oldest_us..=now_us).contains(&asked_us) {
                    if let Some(published) = &mut self.published {
                        published.take_proofs(&Published::new(asked_us, Box::new(state.clone())));
                    }
                    self.report_peer(from, state, Some(asked_us), changes, out);
                }
            }
        }
    }
}

impl Duty for Gossip {
    type Event = Event;
    type Action = Action;

    fn on_event(&mut self, now_us: u64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::State(state) => self.round(now_us, state, actions),
            Event::Changed(changes) => self.changes.push(changes),
            Event::Received { from, message } => self.received(now_us, from, *message, actions),
        }
    }

    fn next_timer_us(&self) -> Option<u64> {
        None
    }

    fn on_timer(&mut self, _now_us: u64, _actions: &mut Vec<Action>) {}
}
