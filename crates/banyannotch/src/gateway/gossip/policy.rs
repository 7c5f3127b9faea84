//! The policy of gossip: which gateways get a request, and what a reply contains.

use super::changes::ChangeLog;
use super::{Action, Changes, Event, GossipSettings, Message};
use crate::clock::US_PER_MS;
use crate::duty::Duty;
use crate::gateway::dispatch::PeerState;
use crate::pipeline::Address;
use crate::random::{Random, mix};
use crate::table::Table;

/// Time since the last contact or first mention after which a gateway takes no part in the common order, in
/// microseconds.
const ALIVE_US: u64 = 4_000_000;
/// Maximum number of other gateways in the table.
const PEER_LIMIT: usize = 2_048;

/// Tracks the other gateways and exchanges state with them.
#[derive(Debug)]
pub struct Gossip {
    settings: GossipSettings,
    own: Address,
    seeds: Vec<Address>,
    random: Random,
    /// Time of the last datagram from each gateway, or of its first mention by another one, in microseconds.
    last_contact: Table<Address, u64>,
    /// Latest state of dispatch, with the time at which it was published.
    state: Option<(u64, Box<PeerState>)>,
    changes: ChangeLog,
}

impl Gossip {
    /// Creates the policy of the gateway at the given address.
    pub fn new(settings: GossipSettings, own: Address, seeds: Vec<Address>, seed: u64) -> Self {
        Self {
            settings,
            own,
            seeds,
            random: Random::seeded(seed),
            last_contact: Table::default(),
            state: None,
            changes: ChangeLog::default(),
        }
    }

    fn round(&mut self, now_us: u64, state: &PeerState, out: &mut Vec<Action>) {
        self.state = Some((now_us, Box::new(state.clone())));
        let expiry_us = self.settings.expiry_ms * US_PER_MS;
        self.last_contact.retain(|_, contact_us| *contact_us + expiry_us >= now_us);
        let mut known: Vec<Address> = self.last_contact.iter().map(|(address, _)| *address).collect();
        known.extend(self.seeds.iter().filter(|seed| **seed != self.own));
        known.sort_unstable();
        known.dedup();
        let addresses = self.sample(&known, self.settings.address_limit);
        let mut targets = self.alive(now_us);
        targets.sort_by_key(order_key);
        targets.truncate(self.settings.reader_count);
        known.retain(|address| !targets.contains(address));
        targets.extend(self.sample(&known, self.settings.fanout.saturating_sub(targets.len())));
        for to in targets {
            let state = state.clone();
            let message = Message::Ask { asked_us: now_us, state, known: addresses.clone() };
            out.push(Action::Send { to, message: Box::new(message) });
        }
    }

    /// Returns up to `count` of the addresses, drawn at random.
    fn sample(&mut self, known: &[Address], count: usize) -> Vec<Address> {
        let mut sampled = known.to_vec();
        while sampled.len() > count {
            sampled.swap_remove(self.random.below(sampled.len()));
        }
        sampled
    }

    /// Records a contact with `from` and adds the gateways that it mentions.
    fn record_contact(&mut self, now_us: u64, from: Address, known: &[Address]) {
        self.last_contact.insert(from, now_us);
        for address in known.iter().filter(|address| **address != self.own) {
            if self.last_contact.len() < PEER_LIMIT && !self.last_contact.contains(address) {
                self.last_contact.insert(*address, now_us);
            }
        }
    }

    fn report_peer(
        &self,
        now_us: u64,
        state: PeerState,
        asked_us: Option<u64>,
        changes: Option<Changes>,
        out: &mut Vec<Action>,
    ) {
        let alive = self.alive(now_us);
        let rank = alive.iter().filter(|address| order_key(address) < order_key(&self.own)).count();
        out.push(Action::PeerUpdate {
            state: Box::new(state),
            asked_us,
            changes: changes.map(Box::new),
            known: alive.len() + 1,
            rank,
        });
    }

    /// Returns the other gateways whose last contact or first mention is recent.
    fn alive(&self, now_us: u64) -> Vec<Address> {
        let alive_since_us = now_us.saturating_sub(ALIVE_US);
        let recent = self.last_contact.iter().filter(|(_, contact_us)| **contact_us >= alive_since_us);
        recent.map(|(address, _)| *address).collect()
    }

    fn received(&mut self, now_us: u64, from: Address, message: Message, out: &mut Vec<Action>) {
        match message {
            Message::Ask { asked_us, state, known } => {
                self.record_contact(now_us, from, &known);
                let changes = self.changes.after(state.endpoints_change);
                self.report_peer(now_us, state, None, None, out);
                let Some((published_us, state)) = &self.state else { return };
                let mut state = PeerState::clone(state);
                let age_ms = now_us.saturating_sub(*published_us).div_ceil(US_PER_MS);
                state.proof_age_ms = state.proof_age_ms.saturating_add(age_ms);
                state.endpoints_age_ms = state.endpoints_age_ms.saturating_add(age_ms);
                let addresses: Vec<Address> = self.last_contact.iter().map(|(address, _)| *address).collect();
                let known = self.sample(&addresses, self.settings.address_limit);
                out.push(Action::Send {
                    to: from,
                    message: Box::new(Message::Tell { asked_us, state, changes, known }),
                });
            }
            Message::Tell { asked_us, state, changes, known } => {
                self.record_contact(now_us, from, &known);
                // A reply is no proof if its request time is not plausible: it may come from an earlier process at this
                // address or from another clock.
                let oldest_us = now_us.saturating_sub(self.settings.expiry_ms * US_PER_MS);
                if (oldest_us..=now_us).contains(&asked_us) {
                    self.report_peer(now_us, state, Some(asked_us), changes, out);
                }
            }
        }
    }
}

/// Returns the sort key of a gateway in the order that is common to all gateways. It depends on the IP address only, not
/// on the port or the zone.
fn order_key(address: &Address) -> u64 {
    match address.ip() {
        std::net::IpAddr::V4(ip) => mix(u64::from(u32::from(ip))),
        std::net::IpAddr::V6(ip) => mix(u128::from(ip) as u64),
    }
}

impl Duty for Gossip {
    type Event = Event;
    type Action = Action;

    fn on_event(&mut self, now_us: u64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::State(state) => self.round(now_us, &state, actions),
            Event::Changed(changes) => self.changes.push(changes),
            Event::Received { from, message } => self.received(now_us, from, *message, actions),
        }
    }

    fn next_timer_us(&self) -> Option<u64> {
        None
    }

    fn on_timer(&mut self, _now_us: u64, _actions: &mut Vec<Action>) {}
}
