//! What dispatch learns about endpoints: from answers and their absence, from reports, and from other gateways.

use std::sync::Arc;

use super::health::Load;
use super::messages::{Action, BrokenBy, Decision, PeerState};
use super::policy::Dispatch;
use super::tickets::Reserved;
use crate::clock::US_PER_MS;
use crate::gateway::{Endpoint, EngineReport};
use crate::pipeline::Address;

/// Share of a failure that silence of one stream counts: it may be the path's or the engine's fault.
const SILENCE_WEIGHT: f64 = 0.5;

/// Another gateway as it last told.
#[derive(Clone, Debug, Default)]
pub(super) struct Peer {
    pub heard_us: u64,
    pub version: u64,
    pub loads: Vec<(Address, Load)>,
}

impl Dispatch {
    /// Takes the prompt of a request off what its engines have to read.
    pub(super) fn started(&mut self, number: u64) {
        let Some(ticket) = self.tickets.get_mut(&number) else { return };
        for (address, load) in &mut ticket.reserved.loads {
            let read = Load { reading: std::mem::take(&mut load.reading), ..Load::default() };
            if let Some(health) = self.health.get_mut(address) {
                health.own.remove(&read);
            }
        }
    }

    /// Leaves out the engine that a rejection names.
    pub(super) fn blame_rejection(
        &mut self,
        now_us: u64,
        reserved: &Reserved,
        fault_at: Option<Address>,
        status: u16,
        actions: &mut Vec<Action>,
    ) {
        /// Status of an endpoint that is not the expected one or does not hold the layers.
        const MISDIRECTED: u16 = 421;
        let Some((first, _)) = reserved.loads.first() else { return };
        let blamed = fault_at.unwrap_or(*first);
        if fault_at.is_some() || status == MISDIRECTED {
            self.exclude(now_us, blamed, "rejected", actions);
        } else {
            let half_life_ms = self.settings.fault_half_life_ms;
            self.health.entry(blamed).fail(now_us, half_life_ms, 1.0);
        }
    }

    /// Notes a broken answer: at the first engine if its connection broke, else at whichever engine is stalled.
    pub(super) fn blame_break(
        &mut self,
        now_us: u64,
        reserved: &Reserved,
        digest: u64,
        by: BrokenBy,
        actions: &mut Vec<Action>,
    ) {
        let Some((first, _)) = reserved.loads.first() else { return };
        let half_life_ms = self.settings.fault_half_life_ms;
        match by {
            BrokenBy::Connection => {
                self.suspects.note_break(digest, now_us);
                self.health.entry(*first).fail(now_us, half_life_ms, 1.0);
                if reserved.loads.len() > 1 {
                    actions.push(Action::Inspect(*first));
                }
            }
            BrokenBy::Garbled => self.health.entry(*first).fail(now_us, half_life_ms, 1.0),
            BrokenBy::Silence => {
                for (address, _) in &reserved.loads {
                    self.health.entry(*address).fail(now_us, half_life_ms, SILENCE_WEIGHT);
                }
                if reserved.loads.len() > 1 {
                    actions.push(Action::Inspect(*first));
                }
            }
        }
    }

    pub(super) fn exclude(
        &mut self,
        now_us: u64,
        address: Address,
        cause: &'static str,
        actions: &mut Vec<Action>,
    ) {
        let settings = &self.settings;
        let health = self.health.entry(address);
        health.fail(now_us, settings.fault_half_life_ms, 1.0);
        let for_ms = health.exclude(now_us, settings.exclusion_ms, settings.exclusion_most_ms);
        actions.push(Action::Decide(Decision::Excluded { address, for_ms, cause }));
    }

    pub(super) fn report(
        &mut self,
        now_us: u64,
        address: Address,
        report: Option<&EngineReport>,
        actions: &mut Vec<Action>,
    ) {
        match report {
            None => self.exclude(now_us, address, "no_report", actions),
            Some(report) => {
                self.health.entry(address).note_pace(now_us, report.pace);
                for stalled in &report.stalled {
                    self.exclude(now_us, *stalled, "stalled", actions);
                }
            }
        }
    }

    pub(super) fn peer(&mut self, now_us: u64, state: PeerState, known: usize) {
        let PeerState { instance, loads, down, suspects, version, .. } = state;
        if instance == self.settings.instance {
            return;
        }
        self.gateways = known;
        for (digest, count) in suspects {
            self.suspects.note_peer(digest, count, now_us);
        }
        for address in down {
            if self.engines.iter().any(|engine| engine.address == address) {
                let for_ms = self.settings.heard_exclusion_ms;
                self.health.entry(address).hear_down(now_us, for_ms);
            }
        }
        self.peers.insert(instance, Peer { heard_us: now_us, version, loads });
        self.sum_peers(now_us);
    }

    /// Adds up what the other gateways have in flight and forgets those that have fallen silent.
    pub(super) fn sum_peers(&mut self, now_us: u64) {
        let memory_us = self.settings.peer_memory_ms * US_PER_MS;
        for (_, health) in self.health.iter_mut() {
            health.peers = Load::default();
        }
        for (_, peer) in self.peers.iter_mut() {
            if peer.heard_us + memory_us < now_us {
                peer.loads.clear();
            }
        }
        // A gateway that has been silent for this long no longer shares the retry budget.
        let forget_us = self.settings.retry_window_ms * US_PER_MS;
        self.peers.retain(|_, peer| peer.heard_us + forget_us >= now_us);
        // Those that were heard stand for those that were not.
        let heard = self.peers.iter().filter(|(_, peer)| peer.heard_us + memory_us >= now_us).count();
        let scale = self.gateways.saturating_sub(1).max(heard) as f64 / heard.max(1) as f64;
        for (_, peer) in self.peers.iter() {
            for (address, load) in &peer.loads {
                self.health.entry(*address).peers.add(&load.scaled(scale));
            }
        }
    }

    pub(super) fn take_engines(&mut self, engines: Arc<[Endpoint]>) {
        for engine in &*engines {
            let restarted = self.engines.iter().any(|known| {
                known.address == engine.address && (known.born_ms, &known.id) != (engine.born_ms, &engine.id)
            });
            if restarted && let Some(health) = self.health.get_mut(&engine.address) {
                health.restore();
            }
        }
        self.engines = engines;
        let known = &self.engines;
        self.health.retain(|address, health| {
            !health.own.is_idle() || known.iter().any(|engine| engine.address == *address)
        });
    }

    pub(super) fn share(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let loads = self
            .health
            .iter()
            .filter(|(_, health)| !health.own.is_idle())
            .map(|(address, health)| (*address, health.own))
            .collect();
        let down = self
            .health
            .iter()
            .filter(|(_, health)| health.is_down(now_us))
            .map(|(address, _)| *address)
            .collect();
        actions.push(Action::Share(Box::new(PeerState {
            instance: self.settings.instance.clone(),
            loads,
            down,
            suspects: self.suspects.own().collect(),
            version: self.version(),
            proof_age_ms: self.proof_age_ms(now_us),
            endpoints_change: self.endpoints_proof.version,
            endpoints_age_ms: now_us.saturating_sub(self.endpoints_proof.at_us) / US_PER_MS,
        })));
    }
}
