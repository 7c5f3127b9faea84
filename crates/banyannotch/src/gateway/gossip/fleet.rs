//! A simulated fleet of gateways for the tests of gossip.

use super::sections::encode_datagram;
use super::{Action, Event, Gossip, GossipSettings, READER_COUNT};
use crate::duty::Duty;
use crate::gateway::dispatch::fixtures::World;
use crate::gateway::dispatch::{self, DispatchSettings, PeerState};
use crate::ids::Zone;
use crate::pipeline::Address;

/// A deployment whose gateways exchange datagrams without delay or loss.
pub(super) struct Fleet {
    pub gateways: Vec<Gossip>,
    /// Dispatch of each gateway; empty if the fleet publishes fixed states.
    pub worlds: Vec<World>,
    states: Vec<PeerState>,
    ranks: Vec<usize>,
    /// Largest number of gateways that any gateway knew.
    pub most_known: usize,
    /// Age of the best proof of each gateway, in milliseconds.
    pub proof_ages_ms: Vec<u64>,
    /// Datagrams that each gateway sent or received in the last round.
    pub handled: Vec<usize>,
    /// Bytes that each gateway sent in the last round.
    pub sent_bytes: Vec<usize>,
}

/// Interval of the rounds, in microseconds.
pub(super) const ROUND_US: u64 = 250_000;
/// Number of zones of a fleet.
const ZONES: usize = 5;
/// Retries allowed over all gateways in each window, so many that each gateway has some.
const RETRY_ALLOWANCE: f64 = 10_000.0;
/// Largest age that a proof can have in a simulated round, for a gateway without any proof, in milliseconds.
const NO_PROOF_MS: u64 = 1_000_000;

pub(super) fn fleet_address(index: usize) -> Address {
    Address::from(([10, (index % ZONES) as u8, (index / 200) as u8, (index % 200) as u8], 80))
}

fn fleet_index(address: Address) -> usize {
    let std::net::IpAddr::V4(ip) = address.ip() else { panic!("{address} is not in the fleet") };
    let [_, _, block, host] = ip.octets();
    usize::from(block) * 200 + usize::from(host)
}

fn gossip(index: usize) -> Gossip {
    let seeds = (0..3).map(fleet_address).collect();
    Gossip::new(GossipSettings::default(), fleet_address(index), seeds, index as u64)
}

fn instance(index: usize) -> String {
    format!("g{index}")
}

fn zone(index: usize) -> String {
    format!("zone-{}", index % ZONES)
}

fn new_world(index: usize, engine_count: u8) -> World {
    let mut world = World::with_small_model(engine_count);
    world.configure(|settings| {
        *settings = DispatchSettings {
            instance: instance(index),
            zone: zone(index),
            retry_allowance: RETRY_ALLOWANCE,
            ..settings.clone()
        };
    });
    world
}

/// Returns when a gateway starts a round.
pub(super) fn round_us(round: u64, index: usize) -> u64 {
    1_000_000 + round * ROUND_US + (index as u64 * 7_919) % ROUND_US
}

impl Fleet {
    /// Creates a fleet whose gateways run dispatch before the given number of engines, each with a whole model.
    pub fn with_dispatch(count: usize, engine_count: u8) -> Self {
        let worlds = (0..count).map(|index| new_world(index, engine_count)).collect();
        Self { worlds, ..Self::new(count) }
    }

    /// Starts a gateway anew, which forgets everything.
    pub fn restart(&mut self, index: usize, engine_count: u8) {
        self.gateways[index] = gossip(index);
        self.worlds[index] = new_world(index, engine_count);
    }

    pub fn new(count: usize) -> Self {
        let state = |index: usize| PeerState {
            instance: instance(index),
            zone: Zone::from(&*zone(index)),
            proof_age_ms: NO_PROOF_MS,
            ..PeerState::default()
        };
        Self {
            gateways: (0..count).map(gossip).collect(),
            worlds: Vec::new(),
            states: (0..count).map(state).collect(),
            ranks: vec![0; count],
            most_known: 0,
            proof_ages_ms: vec![NO_PROOF_MS; count],
            handled: vec![0; count],
            sent_bytes: vec![0; count],
        }
    }

    /// Runs one round; the gateways start theirs at different times within it. Readers get a new proof at its start.
    /// Gateways in `dead` neither send nor reply.
    pub fn round(&mut self, round: u64, dead: &[usize]) {
        let count = self.gateways.len();
        (self.handled, self.sent_bytes) = (vec![0; count], vec![0; count]);
        let mut order: Vec<usize> = (0..count).filter(|index| !dead.contains(index)).collect();
        order.sort_by_key(|index| round_us(round, *index));
        for index in order {
            let now_us = round_us(round, index);
            if let Some(world) = self.worlds.get_mut(index) {
                self.states[index] = world.publish_state_at(now_us);
            }
            let age_ms = if self.ranks[index] < READER_COUNT && round > 10 { 0 } else { ROUND_US / 1_000 };
            let aged_ms = self.proof_ages_ms[index].saturating_add(age_ms).min(NO_PROOF_MS);
            let is_reader = self.ranks[index] < READER_COUNT && round > 10;
            self.proof_ages_ms[index] = if is_reader { 0 } else { aged_ms };
            self.states[index].proof_age_ms = self.proof_ages_ms[index];
            let mut actions = Vec::new();
            let state = Box::new(self.states[index].clone());
            self.gateways[index].on_event(now_us, Event::State(state), &mut actions);
            self.deliver(index, now_us, actions, dead);
        }
    }

    fn deliver(&mut self, from: usize, now_us: u64, actions: Vec<Action>, dead: &[usize]) {
        for action in actions {
            match action {
                Action::Rank(rank) => self.ranks[from] = rank,
                Action::PeerUpdate { state, asked_us, known, zone_known, .. } => {
                    self.most_known = self.most_known.max(known);
                    if asked_us.is_some() {
                        self.proof_ages_ms[from] = self.proof_ages_ms[from].min(state.proof_age_ms);
                    }
                    if let Some(world) = self.worlds.get_mut(from) {
                        world.now_us = now_us;
                        world.event(dispatch::Event::Peer { state, known, zone_known });
                    }
                }
                Action::Send { to, message } => {
                    self.handled[from] += 1;
                    self.sent_bytes[from] += encode_datagram(&message).expect("it serializes").len();
                    let receiver = fleet_index(to);
                    if dead.contains(&receiver) {
                        continue;
                    }
                    self.handled[receiver] += 1;
                    let mut replies = Vec::new();
                    let event = Event::Received { from: fleet_address(from), message };
                    self.gateways[receiver].on_event(now_us, event, &mut replies);
                    self.deliver(receiver, now_us, replies, dead);
                }
            }
        }
    }

    pub fn readers(&self, dead: &[usize]) -> Vec<usize> {
        let reads = |index: &usize| self.ranks[*index] < READER_COUNT && !dead.contains(index);
        (0..self.gateways.len()).filter(reads).collect()
    }
}
