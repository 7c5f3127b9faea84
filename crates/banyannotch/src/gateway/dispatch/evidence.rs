//! Updates the health of endpoints from answers, time-outs, engine reports and the state of other gateways.

use std::sync::Arc;

use super::health::Load;
use super::messages::{Action, BrokenBy, Decision, PeerState};
use super::policy::Dispatch;
use super::tickets::Reservation;
use crate::clock::US_PER_MS;
use crate::gateway::{Endpoint, EngineReport};
use crate::pipeline::Address;

/// Weight of a time-out as a failure of each engine on the path, because it does not show which engine or
/// link caused it.
const TIMEOUT_FAILURE_WEIGHT: f64 = 0.5;

/// Last state received from another gateway.
#[derive(Clone, Debug, Default)]
pub(super) struct Peer {
    pub last_contact_us: u64,
    pub version: u64,
    pub loads: Vec<(Address, Load)>,
}

impl Dispatch {
    /// Subtracts the prompt of a request from the load of its engines, which have processed it.
    pub(super) fn on_stream_start(&mut self, ticket_id: u64) {
        let Some(ticket) = self.tickets.get_mut(&ticket_id) else { return };
        for (address, load) in &mut ticket.reservation.loads {
            let processed = Load { reading: std::mem::take(&mut load.reading), ..Load::default() };
            if let Some(health) = self.health.get_mut(address) {
                health.own.remove(&processed);
            }
        }
    }

    /// Excludes the engine that a rejection names, or the endpoint itself if it answered 421. Any other
    /// rejection counts as a failure of the endpoint.
    pub(super) fn record_rejection(
        &mut self,
        now_us: u64,
        reservation: &Reservation,
        fault_at: Option<Address>,
        status: u16,
        actions: &mut Vec<Action>,
    ) {
        /// HTTP status of an endpoint that is not the addressed one or does not hold the layers.
        const MISDIRECTED_STATUS: u16 = 421;
        let Some((first, _)) = reservation.loads.first() else { return };
        let faulty = fault_at.unwrap_or(*first);
        if fault_at.is_some() || status == MISDIRECTED_STATUS {
            self.exclude(now_us, faulty, "rejected", actions);
        } else {
            let half_life_ms = self.settings.failure_half_life_ms;
            self.health.entry(faulty).record_failure(now_us, half_life_ms, 1.0);
        }
    }

    /// Records a failure of the first engine after a broken connection or an invalid answer, and of all
    /// engines of the path after a time-out. On a path of several engines the first one is then asked for a
    /// report, except after an invalid answer; the report names the engines that are stalled.
    pub(super) fn record_broken_answer(
        &mut self,
        now_us: u64,
        reservation: &Reservation,
        digest: u64,
        by: BrokenBy,
        actions: &mut Vec<Action>,
    ) {
        let Some((first, _)) = reservation.loads.first() else { return };
        let half_life_ms = self.settings.failure_half_life_ms;
        match by {
            BrokenBy::Connection => {
                self.suspects.record_break(digest, now_us);
                self.health.entry(*first).record_failure(now_us, half_life_ms, 1.0);
                if reservation.loads.len() > 1 {
                    actions.push(Action::Inspect(*first));
                }
            }
            BrokenBy::Garbled => self.health.entry(*first).record_failure(now_us, half_life_ms, 1.0),
            BrokenBy::Silence => {
                for (address, _) in &reservation.loads {
                    self.health.entry(*address).record_failure(now_us, half_life_ms, TIMEOUT_FAILURE_WEIGHT);
                }
                if reservation.loads.len() > 1 {
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
        health.record_failure(now_us, settings.failure_half_life_ms, 1.0);
        let for_ms = health.exclude(now_us, settings.exclusion_initial_ms, settings.exclusion_max_ms);
        actions.push(Action::Decide(Decision::Excluded { address, for_ms, cause }));
    }

    pub(super) fn on_report(
        &mut self,
        now_us: u64,
        address: Address,
        report: Option<&EngineReport>,
        actions: &mut Vec<Action>,
    ) {
        match report {
            None => self.exclude(now_us, address, "no_report", actions),
            Some(report) => {
                self.health.entry(address).record_slowdown(now_us, report.pace);
                for stalled in &report.stalled {
                    self.exclude(now_us, *stalled, "stalled", actions);
                }
            }
        }
    }

    pub(super) fn update_peer(&mut self, now_us: u64, state: PeerState, known: usize) {
        let PeerState { instance, loads, down, suspects, version, .. } = state;
        if instance == self.settings.instance {
            return;
        }
        self.known_gateways = known;
        for (digest, count) in suspects {
            self.suspects.record_peer_breaks(digest, count, now_us);
        }
        for address in down {
            if self.endpoints.iter().any(|endpoint| endpoint.address == address) {
                let for_ms = self.settings.peer_exclusion_ms;
                self.health.entry(address).exclude_for_peer(now_us, for_ms);
            }
        }
        self.peers.insert(instance, Peer { last_contact_us: now_us, version, loads });
        self.update_peer_loads(now_us);
    }

    /// Recomputes the load of the other gateways at each endpoint, without gateways that had no recent
    /// contact.
    pub(super) fn update_peer_loads(&mut self, now_us: u64) {
        let timeout_us = self.settings.peer_timeout_ms * US_PER_MS;
        for (_, health) in self.health.iter_mut() {
            health.peers = Load::default();
        }
        for (_, peer) in self.peers.iter_mut() {
            if peer.last_contact_us + timeout_us < now_us {
                peer.loads.clear();
            }
        }
        // A gateway counts for the division of the retry budget until a whole window has passed without
        // contact.
        let retention_us = self.settings.retry_window_ms * US_PER_MS;
        self.peers.retain(|_, peer| peer.last_contact_us + retention_us >= now_us);
        // Extrapolates from the gateways with recent contact to all known gateways.
        let recent =
            self.peers.iter().filter(|(_, peer)| peer.last_contact_us + timeout_us >= now_us).count();
        let scale = self.known_gateways.saturating_sub(1).max(recent) as f64 / recent.max(1) as f64;
        for (_, peer) in self.peers.iter() {
            for (address, load) in &peer.loads {
                self.health.entry(*address).peers.add(&load.scaled(scale));
            }
        }
    }

    pub(super) fn update_endpoints(&mut self, endpoints: Arc<[Endpoint]>) {
        for endpoint in &*endpoints {
            let restarted = self.endpoints.iter().any(|known| {
                known.address == endpoint.address
                    && (known.born_ms, &known.id) != (endpoint.born_ms, &endpoint.id)
            });
            if restarted && let Some(health) = self.health.get_mut(&endpoint.address) {
                health.reset();
            }
        }
        self.endpoints = endpoints;
        let known = &self.endpoints;
        self.health.retain(|address, health| {
            !health.own.is_idle() || known.iter().any(|endpoint| endpoint.address == *address)
        });
    }

    pub(super) fn publish_state(&mut self, now_us: u64, actions: &mut Vec<Action>) {
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
        actions.push(Action::PublishState(Box::new(PeerState {
            instance: self.settings.instance.clone(),
            loads,
            down,
            suspects: self.suspects.observed().collect(),
            version: self.version(),
            proof_age_ms: self.proof_age_ms(now_us),
            endpoints_change: self.endpoints_proof.version,
            endpoints_age_ms: now_us.saturating_sub(self.endpoints_proof.at_us) / US_PER_MS,
        })));
    }
}
