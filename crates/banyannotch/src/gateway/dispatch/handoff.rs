//! Hands requests on to other gateways while this one has lost its links to the endpoints.
//!
//! A request is handed on once: a gateway that has lost its links as well refuses it. The helper runs it on at most one
//! endpoint, so that this gateway alone counts how many endpoints may have run it. See `docs/design/handoff.md`.

use std::net::IpAddr;
use std::sync::Arc;

use super::messages::{Action, Decision, Helper, ProbeResult, RefusalReason};
use super::policy::Dispatch;
use super::tickets::{Choice, Ticket};
use crate::clock::US_PER_MS;
use crate::gateway::dispatch::Ending;
use crate::pipeline::Address;

/// Number of times by which a helper of another zone must be less loaded than one of the own zone to be preferred.
const ZONE_PREFERENCE: f64 = 2.0;
/// Time for which a helper is not used after it failed or refused a request, in milliseconds.
const HELPER_PAUSE_MS: u64 = 500;
/// Time since the last answer of an endpoint within which a gateway is known to reach endpoints, in milliseconds.
const PROOF_MS: u64 = 1_500;
/// Maximum number of idle connections to each helper.
const IDLE_CONNECTIONS: usize = 8;

/// A helper that a request may be handed on to.
#[derive(Clone, Debug)]
struct Candidate {
    name: Arc<str>,
    address: Address,
    size: f64,
    /// Requests in flight in relation to the size.
    load: f64,
}

impl Dispatch {
    /// Chooses a gateway that takes the request, preferably of the own zone, or none if there is no other one.
    pub(super) fn choose_helper(&mut self, now_us: u64, ticket_id: u64) -> Option<Choice> {
        let ticket = self.tickets.get(&ticket_id).filter(|ticket| !ticket.is_handed_on)?;
        let tried = ticket.tried.clone();
        let is_untried = |candidate: &Candidate| !tried.contains(&candidate.address);
        let [mut local, mut foreign] = self.helpers(now_us);
        if local.iter().chain(&foreign).any(is_untried) {
            local.retain(is_untried);
            foreign.retain(is_untried);
        }
        let (local, foreign) = (self.draw_helper(&local), self.draw_helper(&foreign));
        let helper = match (local, foreign) {
            (Some(local), Some(foreign)) if foreign.load * ZONE_PREFERENCE < local.load => foreign,
            (local, foreign) => local.or(foreign)?,
        };
        Some(Choice {
            address: helper.address,
            born_ms: 0,
            endpoint: helper.name,
            hops: Arc::new([]),
            loads: Vec::new(),
            cost_ms: 0.0,
            event_interval_ms: 0.0,
            idle_connections: IDLE_CONNECTIONS,
            booked_us: now_us,
            is_retry: false,
            is_handoff: true,
        })
    }

    /// Returns the gateways of the own zone, and those of other zones, that take requests. Others may have lost their links as
    /// well and not know it yet, so those that endpoints have answered lately come first.
    fn helpers(&self, now_us: u64) -> [Vec<Candidate>; 2] {
        let proven = self.helpers_of(now_us, true);
        if proven.iter().all(Vec::is_empty) { self.helpers_of(now_us, false) } else { proven }
    }

    fn helpers_of(&self, now_us: u64, is_proven: bool) -> [Vec<Candidate>; 2] {
        let timeout_us = self.settings.peer_timeout_ms * US_PER_MS;
        let (mut local, mut foreign) = (Vec::new(), Vec::new());
        for (name, peer) in self.peers.iter().filter(|(_, peer)| peer.last_contact_us + timeout_us >= now_us)
        {
            let Some(helper) = peer.helper.filter(|helper| helper.is_available) else { continue };
            let Helper { address, size_mb, requests, .. } = helper;
            if is_proven && !helper.is_proven {
                continue;
            }
            if self.helper_pauses.get(&address).is_some_and(|until_us| now_us < *until_us) {
                continue;
            }
            let size = f64::from(size_mb.max(1));
            let handed_on = self.handed_on_to(address);
            let load = (f64::from(requests) + handed_on as f64) / size;
            let zone = if peer.zone.as_str() == self.settings.zone { &mut local } else { &mut foreign };
            zone.push(Candidate { name: name.as_str().into(), address, size, load });
        }
        [local, foreign]
    }

    /// Returns the number of requests that this gateway has handed on to a helper and that have not ended.
    fn handed_on_to(&self, address: Address) -> usize {
        let is_there = |ticket: &Ticket| ticket.reservation.helper == Some(address);
        self.tickets.iter().filter(|(_, ticket)| is_there(ticket)).count()
    }

    /// Draws two helpers by their sizes and returns the less loaded one. Gateways that lose their links together do so
    /// without knowledge of each other's choices.
    fn draw_helper(&mut self, helpers: &[Candidate]) -> Option<Candidate> {
        let total: f64 = helpers.iter().map(|helper| helper.size).sum();
        let mut draw_one = || {
            let mut drawn = self.random.unit() * total;
            let found = helpers.iter().find(|helper| {
                drawn -= helper.size;
                drawn < 0.0
            });
            found.or(helpers.last())
        };
        let (first, second) = (draw_one()?, draw_one()?);
        Some(if second.load < first.load { second.clone() } else { first.clone() })
    }

    /// Does not use a helper for a time after it failed or refused a request.
    pub(super) fn record_handoff_end(&mut self, now_us: u64, helper: Address, ending: Ending) {
        if let Ending::Unsent | Ending::Broken { .. } | Ending::NotRun { .. } = ending {
            self.helper_pauses.insert(helper, now_us + HELPER_PAUSE_MS * US_PER_MS);
        }
    }

    /// Records the result of a probe, which may show that the links to the endpoints are lost or back.
    pub(super) fn record_reachability(
        &mut self,
        now_us: u64,
        address: Address,
        result: ProbeResult,
        actions: &mut Vec<Action>,
    ) {
        let was_cut_off = self.reachability.is_cut_off();
        self.reachability.record_probe(now_us, address, result == ProbeResult::Reached);
        self.on_reachability(now_us, was_cut_off, actions);
    }

    /// Records that an endpoint answered on a new connection.
    pub(super) fn on_reached(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let was_cut_off = self.reachability.is_cut_off();
        self.reachability.record_contact();
        self.on_reachability(now_us, was_cut_off, actions);
    }

    /// Probes endpoints if that is due, to find out whether the links to the endpoints are lost or back.
    pub(super) fn check_reachability(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let was_cut_off = self.reachability.is_cut_off();
        let due = self.reachability.due_probes(now_us, &self.endpoints, &mut self.random);
        for address in due {
            let is_engine = self.endpoint_at(address).is_some_and(|endpoint| endpoint.accelerator.is_some());
            actions.push(if is_engine { Action::ProbeEngine(address) } else { Action::Probe(address) });
        }
        self.on_reachability(now_us, was_cut_off, actions);
    }

    fn on_reachability(&mut self, now_us: u64, was_cut_off: bool, actions: &mut Vec<Action>) {
        for (address, sign) in self.reachability.take_deferred() {
            self.confirm_crash(address, now_us, sign, actions);
        }
        let is_cut_off = self.reachability.is_cut_off();
        if is_cut_off != was_cut_off {
            self.on_links_changed(now_us, is_cut_off, actions);
        }
        if is_cut_off || !self.reachability.is_in_doubt() {
            for ticket_id in std::mem::take(&mut self.undecided) {
                self.retry_or_refuse(now_us, ticket_id, RefusalReason::Rejected, actions);
            }
        }
    }

    /// Sends a request again as soon as it is known whether the links are lost. The send that could not be made does not
    /// count, because it may have failed for the gateway's own fault.
    pub(super) fn retry_when_decided(&mut self, now_us: u64, ticket_id: u64, actions: &mut Vec<Action>) {
        if let Some(ticket) = self.tickets.get_mut(&ticket_id) {
            ticket.uncounted_sends += 1;
        }
        if self.reachability.is_cut_off() {
            return self.retry_or_refuse(now_us, ticket_id, RefusalReason::Rejected, actions);
        }
        self.undecided.push(ticket_id);
    }

    fn on_links_changed(&mut self, now_us: u64, is_cut_off: bool, actions: &mut Vec<Action>) {
        // The failures were those of this gateway.
        for (_, health) in self.health.iter_mut() {
            health.forget_failures();
        }
        let failed = self.reachability.failed_count();
        let helpers = self.helpers(now_us).iter().map(Vec::len).sum();
        actions.push(Action::Decide(Decision::ReachabilityChanged { is_cut_off, failed, helpers }));
    }

    /// Returns what this gateway tells others about itself as a helper.
    pub(super) fn own_helper_state(&self, now_us: u64) -> Option<Helper> {
        let address = self.settings.handoff_address?;
        let is_available = self.ready && !self.draining && !self.reachability.is_in_doubt();
        let requests = u32::try_from(self.tickets.len()).unwrap_or(u32::MAX);
        let is_proven = self.reachability.has_answer_within(now_us, PROOF_MS);
        Some(Helper { address, is_available, is_proven, size_mb: self.settings.size_mb, requests })
    }

    /// Tells forwarding which gateways may hand requests on to this one.
    pub(super) fn publish_gateways(&mut self, actions: &mut Vec<Action>) {
        let addresses = self.peers.iter().filter_map(|(_, peer)| Some(peer.helper?.address.ip()));
        let mut gateways: Vec<IpAddr> = addresses.collect();
        gateways.sort_unstable();
        gateways.dedup();
        if *self.gateways != *gateways {
            self.gateways = gateways.into();
            actions.push(Action::Gateways(Arc::clone(&self.gateways)));
        }
    }
}
