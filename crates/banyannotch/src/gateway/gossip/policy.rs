//! The policy of gossip: whom to ask, and what to answer.

use super::changes::ChangeLog;
use super::{Action, Changes, Event, GossipSettings, Message};
use crate::clock::US_PER_MS;
use crate::duty::Duty;
use crate::gateway::dispatch::PeerState;
use crate::pipeline::Address;
use crate::random::{Random, mix};
use crate::table::Table;

/// A gateway that was not heard or named for this long takes no part in the order, in microseconds.
const ALIVE_US: u64 = 4_000_000;
/// Most gateways that are remembered.
const KNOWN_LIMIT: usize = 2_048;

/// Knows the other gateways.
#[derive(Debug)]
pub struct Gossip {
    settings: GossipSettings,
    own: Address,
    seeds: Vec<Address>,
    random: Random,
    /// When each gateway was last heard or first named.
    heard: Table<Address, u64>,
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
            heard: Table::default(),
            state: None,
            changes: ChangeLog::default(),
        }
    }

    fn round(&mut self, now_us: u64, state: &PeerState, out: &mut Vec<Action>) {
        self.state = Some((now_us, Box::new(state.clone())));
        let memory_us = self.settings.memory_ms * US_PER_MS;
        self.heard.retain(|_, heard_us| *heard_us + memory_us >= now_us);
        let mut known: Vec<Address> = self.heard.iter().map(|(address, _)| *address).collect();
        known.extend(self.seeds.iter().filter(|seed| **seed != self.own));
        known.sort_unstable();
        known.dedup();
        let named = self.pick(&known, self.settings.named_limit);
        let mut asked = self.alive(now_us);
        asked.sort_by_key(order);
        asked.truncate(self.settings.readers);
        known.retain(|address| !asked.contains(address));
        asked.extend(self.pick(&known, self.settings.fanout.saturating_sub(asked.len())));
        for to in asked {
            let state = state.clone();
            let message = Message::Ask { asked_us: now_us, state, known: named.clone() };
            out.push(Action::Send { to, message: Box::new(message) });
        }
    }

    fn pick(&mut self, known: &[Address], count: usize) -> Vec<Address> {
        let mut left = known.to_vec();
        while left.len() > count {
            left.swap_remove(self.random.below(left.len()));
        }
        left
    }

    fn learn(&mut self, now_us: u64, from: Address, known: &[Address]) {
        self.heard.insert(from, now_us);
        for address in known.iter().filter(|address| **address != self.own) {
            if self.heard.len() < KNOWN_LIMIT && !self.heard.contains(address) {
                self.heard.insert(*address, now_us);
            }
        }
    }

    fn tell(
        &self,
        now_us: u64,
        state: PeerState,
        asked_us: Option<u64>,
        changes: Option<Changes>,
        out: &mut Vec<Action>,
    ) {
        let alive = self.alive(now_us);
        let before = alive.iter().filter(|address| order(address) < order(&self.own)).count();
        out.push(Action::Heard {
            state: Box::new(state),
            asked_us,
            changes: changes.map(Box::new),
            known: alive.len() + 1,
            rank: before,
        });
    }

    /// Returns the other gateways that were heard or named of late.
    fn alive(&self, now_us: u64) -> Vec<Address> {
        let alive_us = now_us.saturating_sub(ALIVE_US);
        let recent = self.heard.iter().filter(|(_, heard_us)| **heard_us >= alive_us);
        recent.map(|(address, _)| *address).collect()
    }

    fn received(&mut self, now_us: u64, from: Address, message: Message, out: &mut Vec<Action>) {
        match message {
            Message::Ask { asked_us, state, known } => {
                self.learn(now_us, from, &known);
                let changes = self.changes.after(state.endpoints_change);
                self.tell(now_us, state, None, None, out);
                let Some((told_us, state)) = &self.state else { return };
                let mut state = PeerState::clone(state);
                let age_ms = now_us.saturating_sub(*told_us).div_ceil(US_PER_MS);
                state.proof_age_ms = state.proof_age_ms.saturating_add(age_ms);
                state.endpoints_age_ms = state.endpoints_age_ms.saturating_add(age_ms);
                let named: Vec<Address> = self.heard.iter().map(|(address, _)| *address).collect();
                let known = self.pick(&named, self.settings.named_limit);
                out.push(Action::Send {
                    to: from,
                    message: Box::new(Message::Tell { asked_us, state, changes, known }),
                });
            }
            Message::Tell { asked_us, state, changes, known } => {
                self.learn(now_us, from, &known);
                // A time from before this start of the process, or from another clock, proves nothing.
                let oldest_us = now_us.saturating_sub(self.settings.memory_ms * US_PER_MS);
                if (oldest_us..=now_us).contains(&asked_us) {
                    self.tell(now_us, state, Some(asked_us), changes, out);
                }
            }
        }
    }
}

/// Place of a gateway in an order that does not depend on zones.
fn order(address: &Address) -> u64 {
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
