//! The policy of dispatch: admission, choice of an endpoint, retries and refusals.

use std::net::IpAddr;
use std::sync::Arc;

use super::DispatchSettings;
use super::announcements::Announcements;
use super::budget::Budget;
use super::crashes::{Crashes, EndSign, features};
use super::evidence::Peer;
use super::health::HealthTable;
use super::messages::{
    Action, BrokenBy, Decision, Ending, EndpointsProof, Event, Feature, Proof, Refusal, RefusalReason,
    SendOrder, Submission, Verdict,
};
use super::reachability::Reachability;
use super::tickets::{Choice, Reservation, Ticket};
use crate::clock::US_PER_MS;
use crate::duty::Duty;
use crate::gateway::admission::Admission;
use crate::gateway::{Configuration, Endpoint, ForwardingInfo, RetryMode, Route, StorePosition, Team};
use crate::ids::{ServiceId, Zone};
use crate::pipeline::Address;
use crate::random::Random;
use crate::table::Table;

/// Share of the remaining time in which an endpoint must begin its answer to a request without a stream when
/// the request can still be retried elsewhere.
const FIRST_RESPONSE_SHARE: f64 = 0.45;
/// Readiness is withdrawn this long before the proof of the configuration becomes too old, so that the
/// balancer stops sending requests before they are refused. Longer than the interval between two checks of
/// the age.
const READINESS_MARGIN_MS: u64 = 500;

/// State of dispatch: configuration, endpoints, their health, and the requests in flight.
#[derive(Debug)]
pub struct Dispatch {
    pub(super) settings: DispatchSettings,
    pub(super) random: Random,
    pub(super) configuration: Option<Arc<Configuration>>,
    /// Endpoints, sorted by address.
    pub(super) endpoints: Arc<[Endpoint]>,
    pub(super) configuration_proof: Option<Proof>,
    pub(super) health: HealthTable,
    pub(super) announcements: Announcements,
    pub(super) tickets: Table<u64, Ticket>,
    /// Engines that were asked for a report because of late events and have not answered so far.
    pub(super) inspections: Table<Address, ()>,
    /// Endpoints that are being probed.
    pub(super) probes: Table<Address, ()>,
    pub(super) budgets: Table<ServiceId, Budget>,
    pub(super) admission: Admission,
    /// Number of searches for an endpoint or a path so far.
    pub(super) searches: u64,
    /// When further waiting requests are considered, because the last event left some over.
    pub(super) search_again_us: Option<u64>,
    pub(super) crashes: Crashes,
    pub(super) reachability: Reachability,
    /// Requests whose next send waits until it is known whether the links to the endpoints are lost.
    pub(super) undecided: Vec<u64>,
    /// Until when each helper that failed or refused a request is not used, in microseconds.
    pub(super) helper_pauses: Table<Address, u64>,
    /// Addresses of the gateways that may hand requests on to this one.
    pub(super) gateways: Arc<[IpAddr]>,
    pub(super) peers: Table<String, Peer>,
    /// Number of known gateways, this one included.
    pub(super) known_gateways: usize,
    /// Number of other known gateways in each zone.
    pub(super) zone_gateways: Table<Zone, usize>,
    pub(super) endpoints_proof: EndpointsProof,
    /// Era of the store in which the proofs were given; none before the first response of the store.
    pub(super) store_era: Option<u64>,
    pub(super) publish_at_us: u64,
    /// Whether another gateway that has a configuration has sent its state.
    pub(super) has_heard_of_peers: bool,
    /// When the first timer was handled.
    pub(super) started_us: Option<u64>,
    pub(super) ready: bool,
    pub(super) draining: bool,
    #[cfg(test)]
    pub(super) candidate: super::tests::candidates::Candidate,
}

impl Dispatch {
    /// Creates a policy that has no configuration yet.
    pub fn new(settings: DispatchSettings, seed: u64) -> Self {
        Self {
            admission: Admission::new(settings.admission.clone()),
            searches: 0,
            search_again_us: None,
            settings,
            random: Random::seeded(seed),
            configuration: None,
            endpoints: Arc::new([]),
            configuration_proof: None,
            health: Table::default(),
            announcements: Announcements::default(),
            tickets: Table::default(),
            inspections: Table::default(),
            probes: Table::default(),
            budgets: Table::default(),
            crashes: Crashes::default(),
            reachability: Reachability::default(),
            undecided: Vec::new(),
            helper_pauses: Table::default(),
            gateways: Arc::new([]),
            peers: Table::default(),
            known_gateways: 1,
            zone_gateways: Table::default(),
            endpoints_proof: EndpointsProof::default(),
            store_era: None,
            publish_at_us: 0,
            has_heard_of_peers: false,
            started_us: None,
            ready: false,
            draining: false,
            #[cfg(test)]
            candidate: super::tests::candidates::Candidate::default(),
        }
    }

    fn submit(&mut self, now_us: u64, submission: Submission, actions: &mut Vec<Action>) {
        let Submission { ticket, request, is_handed_on } = submission;
        let admitted = self.admit(now_us, &request).and_then(|admitted| {
            match self.refused_feature(now_us, &request, actions) {
                Some(feature) => Err(RefusalReason::of_quarantined(feature)),
                None => Ok(admitted),
            }
        });
        match admitted {
            Ok((configuration, route, team)) => {
                let service = self.pick_service(&route);
                let class = self.admission.class(&service, &route, team.as_ref());
                let team = team.map(|team| team.id);
                let mut record = Ticket {
                    class,
                    is_handed_on,
                    ..Ticket::new(request, &route, service, configuration, team, now_us)
                };
                if is_handed_on {
                    // The gateway of the caller counts the request, and the endpoints that may have run it.
                    record.endpoint_limit = 1;
                } else {
                    let window_ms = self.settings.retry_window_ms;
                    self.budgets.entry(record.service.clone()).count_request(now_us, window_ms);
                }
                self.tickets.insert(ticket, record);
                self.send_first(now_us, ticket, actions);
            }
            Err(reason) => {
                let refusal = self.refusal(now_us, reason);
                let decision = Decision::Refused {
                    id: request.id,
                    refusal,
                    sends: 0,
                    rank: None,
                    version: self.version(),
                    proof_age_ms: self.proof_age_ms(now_us),
                };
                actions.push(Action::Decide(decision));
                actions.push(Action::Reply { ticket, verdict: Verdict::Refuse(refusal) });
            }
        }
    }

    /// Returns the configuration in force, the route and the team of a request, or the reason to refuse it.
    pub(super) fn admit(
        &self,
        now_us: u64,
        request: &crate::gateway::RequestInfo,
    ) -> std::result::Result<(Arc<Configuration>, Route, Option<Team>), RefusalReason> {
        let configuration = self.configuration.as_ref().ok_or(RefusalReason::NoConfiguration)?;
        let fresh = self.is_fresh(now_us);
        // An outdated configuration may lack a route or a key that was added since, so neither is reported as
        // unknown.
        let reason_if_fresh = |reason| if fresh { reason } else { RefusalReason::StaleConfiguration };
        let path = request.path.split('?').next().unwrap_or_default();
        let route = configuration
            .route(&request.host, path)
            .ok_or_else(|| reason_if_fresh(RefusalReason::NoRoute))?;
        let mut team = None;
        if configuration.keyed && !route.anonymous {
            if !fresh {
                return Err(RefusalReason::StaleConfiguration);
            }
            let key = request.key.as_deref().ok_or(RefusalReason::UnknownKey)?;
            team = Some(configuration.team(key).ok_or(RefusalReason::UnknownKey)?.clone());
        }
        Ok((Arc::clone(configuration), route.clone(), team))
    }

    /// Returns the quarantined feature for which a request is refused.
    fn refused_feature(
        &mut self,
        now_us: u64,
        request: &crate::gateway::RequestInfo,
        actions: &mut Vec<Action>,
    ) -> Option<Feature> {
        let features = features(request);
        let feature = self.crashes.quarantined_feature(&features)?;
        let is_refused = self.crashes.refuses(&features, now_us);
        let (id, digest) = (Arc::clone(&request.id), feature.digest);
        actions.push(Action::Decide(Decision::FeatureRefused { id, digest, is_trial: !is_refused }));
        is_refused.then_some(feature)
    }

    fn pick_service(&mut self, route: &Route) -> ServiceId {
        let total: usize = route.targets.iter().map(|target| target.weight as usize).sum();
        let mut drawn = self.random.below(total);
        for target in &route.targets {
            let weight = target.weight as usize;
            if drawn < weight {
                return target.service.clone();
            }
            drawn -= weight;
        }
        route.targets.first().map_or_else(|| ServiceId::from(""), |target| target.service.clone())
    }

    /// Chooses an endpoint, unless that was done before the last send was abandoned, and orders the send. Refuses the
    /// request when the time, the retry budget or the capacity is exhausted, unless it may wait for capacity.
    pub(super) fn send(&mut self, now_us: u64, ticket_id: u64, actions: &mut Vec<Action>) {
        let Some(ticket) = self.tickets.get_mut(&ticket_id) else { return };
        if now_us >= ticket.deadline_us {
            return self.refuse(now_us, ticket_id, RefusalReason::Expired, actions);
        }
        let booked = match ticket.successor.take() {
            Some(choice) => self.confirm_booking(now_us, ticket_id, choice),
            None => self.book(now_us, ticket_id, None),
        };
        match booked {
            Ok(choice) => self.send_booked(now_us, ticket_id, choice, actions),
            Err(RefusalReason::NoCapacity) if self.wait(now_us, ticket_id, actions) => {}
            Err(reason) => {
                if reason == RefusalReason::NoCapacity {
                    actions.extend(self.describe_no_path(now_us, ticket_id).map(Action::Decide));
                }
                let reason = if self.may_have_run(ticket_id) { RefusalReason::Broken } else { reason };
                self.refuse(now_us, ticket_id, reason, actions);
            }
        }
    }

    /// Orders a send for which an endpoint was booked, unless the endpoint takes no requests.
    pub(super) fn send_booked(
        &mut self,
        now_us: u64,
        ticket_id: u64,
        choice: Choice,
        actions: &mut Vec<Action>,
    ) {
        if self.takes_requests(now_us, &choice, actions) {
            return self.order_send(now_us, ticket_id, choice, actions);
        }
        if let Some(service) = self.tickets.get(&ticket_id).map(|ticket| ticket.service.clone()) {
            self.cancel_booking(&service, &choice);
        }
        let reason =
            if self.may_have_run(ticket_id) { RefusalReason::Broken } else { RefusalReason::NoCapacity };
        self.refuse(now_us, ticket_id, reason, actions);
    }

    /// Removes a request that gets its final answer.
    fn close_ticket(&mut self, ticket_id: u64) -> Option<Ticket> {
        let mut ticket = self.tickets.remove(&ticket_id)?;
        if let Some(unused) = ticket.successor.take() {
            self.cancel_booking(&ticket.service, &unused);
        }
        if ticket.is_queued {
            self.admission.remove(&ticket.service, ticket_id);
        }
        Some(ticket)
    }

    fn order_send(&mut self, now_us: u64, ticket_id: u64, choice: Choice, actions: &mut Vec<Action>) {
        let valid_until_us = self.valid_until_us(ticket_id);
        let (version, proof_age_ms) = (self.version(), self.proof_age_ms(now_us));
        let later_born_ms = self.later_starts(&choice.loads);
        let Some(ticket) = self.tickets.get_mut(&ticket_id) else { return };
        let crashes = self.crashes.crash_count(ticket.request.digest);
        let remaining_ms = ticket.deadline_us.saturating_sub(now_us) / US_PER_MS;
        ticket.sends += 1;
        ticket.arrivals += 1;
        if ticket.sends == 1 {
            let tokens = ticket.request.total_tokens();
            self.admission.record_sent(now_us, &ticket.service, ticket.class, tokens, ticket_id);
            ticket.is_queued = false;
        }
        ticket.late_report = 0;
        ticket.tried.extend(choice.loads.iter().map(|(address, _)| *address));
        ticket.tried.extend(choice.is_handoff.then_some(choice.address));
        ticket.begun_us = None;
        ticket.reservation = Reservation {
            loads: choice.loads,
            endpoint: Arc::clone(&choice.endpoint),
            born_ms: choice.born_ms,
            later_born_ms,
            sent_us: now_us,
            helper: choice.is_handoff.then_some(choice.address),
        };
        let (id, route) = (Arc::clone(&ticket.request.id), Arc::clone(&ticket.route));
        let (endpoint, send) = (Arc::clone(&choice.endpoint), ticket.sends);
        actions.push(Action::Decide(if choice.is_handoff {
            Decision::HandedOn { id, route, helper: endpoint, send, version, proof_age_ms }
        } else {
            let (hops, cost_ms) = (choice.hops.len(), choice.cost_ms as u64);
            Decision::Sent { id, route, endpoint, hops, send, crashes, cost_ms, version, proof_age_ms }
        }));
        let settings = &self.settings;
        let stream = ticket.retry_mode.is_stream();
        let repeatable = ticket.may_abandon(settings.send_limit);
        let first_response_limit_ms = match (stream, repeatable) {
            (true, true) => settings.first_event_limit_ms,
            (false, true) => ((remaining_ms as f64) * FIRST_RESPONSE_SHARE) as u64,
            (_, false) => remaining_ms,
        };
        let (stall_limit_ms, silence_limit_ms) = if repeatable {
            let stall_ms = (choice.event_interval_ms * settings.stall_factor) as u64;
            (settings.stall_limit_min_ms.max(stall_ms), settings.silence_limit_ms(ticket))
        } else {
            (remaining_ms, remaining_ms)
        };
        // Plain services have no queue that the priority would order.
        let priority = ticket.wire_priority(now_us).filter(|_| !choice.hops.is_empty());
        let order = SendOrder {
            address: choice.address,
            born_ms: choice.born_ms,
            forwarding_info: ForwardingInfo {
                endpoint: choice.endpoint,
                team: ticket.team.clone(),
                deadline_ms: remaining_ms,
                path: choice.hops,
                resume_after: ticket.request.resume_after,
                priority,
            },
            deadline_us: ticket.deadline_us,
            valid_until_us,
            send_by_us: now_us + settings.send_delay_limit_ms * US_PER_MS,
            connect_limit_ms: settings.connect_limit_ms,
            first_response_limit_ms,
            stall_limit_ms,
            silence_limit_ms,
            stream,
            is_handoff: choice.is_handoff,
            idle_connections: choice.idle_connections,
        };
        actions.push(Action::Reply { ticket: ticket_id, verdict: Verdict::Send(Box::new(order)) });
    }

    fn on_ending(&mut self, now_us: u64, ticket_id: u64, ending: Ending, actions: &mut Vec<Action>) {
        let Some(ticket) = self.tickets.get_mut(&ticket_id) else { return };
        if ticket.is_queued && !matches!(ending, Ending::Left | Ending::Expired) {
            return;
        }
        let reservation = std::mem::take(&mut ticket.reservation);
        if !reservation.loads.is_empty() || reservation.helper.is_some() {
            self.admission.record_end(now_us, &ticket.service);
        }
        if let Ending::Unsent | Ending::Delayed | Ending::Outdated = ending {
            ticket.arrivals = ticket.arrivals.saturating_sub(1);
        }
        ticket.is_waiting = false;
        for (address, load) in &reservation.loads {
            if let Some(health) = self.health.get_mut(address) {
                health.own.remove(load);
            }
        }
        if !matches!(ending, Ending::Completed { .. }) {
            actions.push(Action::Decide(Decision::Ended {
                id: Arc::clone(&ticket.request.id),
                endpoint: Arc::clone(&reservation.endpoint),
                ending,
                age_ms: now_us.saturating_sub(ticket.arrived_us) / US_PER_MS,
                digest: ticket.request.digest,
            }));
        }
        let (digest, retry_mode) = (ticket.request.digest, ticket.retry_mode);
        self.record_progress(now_us, ticket_id, &reservation, ending);
        let is_answer =
            matches!(ending, Ending::Completed { .. } | Ending::Failed { .. } | Ending::NotRun { .. });
        match reservation.helper {
            Some(helper) => self.record_handoff_end(now_us, helper, ending),
            None if is_answer => self.reachability.record_answer(now_us),
            None => {}
        }
        match ending {
            Ending::Completed { .. } => {
                for (address, _) in &reservation.loads {
                    self.health.entry(*address).record_success(now_us, self.settings.failure_half_life_ms);
                    self.record_answer(now_us, *address, actions);
                }
                self.crashes.record_answer(digest, now_us);
                self.close_ticket(ticket_id);
            }
            Ending::Left | Ending::Expired => {
                self.close_ticket(ticket_id);
            }
            Ending::NotRun { fault_at, status } => {
                if reservation.helper.is_none() {
                    self.record_rejection(now_us, &reservation, fault_at, status, actions);
                }
                self.retry_or_refuse(now_us, ticket_id, RefusalReason::Rejected, actions);
            }
            Ending::Unsent => {
                if let Some((first, _)) = reservation.loads.first() {
                    self.reachability.record_failure(now_us, *first);
                    self.check_reachability(now_us, actions);
                    self.confirm_crash(*first, now_us, EndSign::NoConnection, actions);
                    self.suspect(now_us, *first, "no_connection", actions);
                }
                if reservation.helper.is_none() && self.reachability.is_in_doubt() {
                    return self.retry_when_decided(now_us, ticket_id, actions);
                }
                self.retry_or_refuse(now_us, ticket_id, RefusalReason::Rejected, actions);
            }
            Ending::Delayed => {
                // The endpoint has not seen the request, so another decision is no retry.
                if let Some(ticket) = self.tickets.get_mut(&ticket_id) {
                    ticket.sends = ticket.sends.saturating_sub(1);
                }
                self.retry_or_refuse(now_us, ticket_id, RefusalReason::Rejected, actions);
            }
            Ending::Outdated => {
                let reason = if self.may_have_run(ticket_id) {
                    RefusalReason::Broken
                } else {
                    RefusalReason::StaleConfiguration
                };
                self.refuse(now_us, ticket_id, reason, actions);
            }
            Ending::Failed { .. } => {
                self.record_possible_run(ticket_id);
                if retry_mode == RetryMode::Idempotent && self.may_retry(now_us, ticket_id) {
                    self.send(now_us, ticket_id, actions);
                } else {
                    self.close_ticket(ticket_id);
                    actions.push(Action::Reply { ticket: ticket_id, verdict: Verdict::Deliver });
                }
            }
            Ending::Broken { by } => {
                self.record_possible_run(ticket_id);
                if by == BrokenBy::Connection
                    && let Some((first, _)) = reservation.loads.first()
                {
                    self.reachability.record_failure(now_us, *first);
                    self.check_reachability(now_us, actions);
                }
                self.record_broken_answer(now_us, &reservation, by, actions);
                self.retry_or_refuse(now_us, ticket_id, RefusalReason::Broken, actions);
            }
        }
    }

    /// Retries the request if that is allowed and refuses it otherwise. A request that may have run is
    /// refused as [`RefusalReason::Broken`], because a status of 503 would promise that it did not run.
    pub(super) fn retry_or_refuse(
        &mut self,
        now_us: u64,
        ticket_id: u64,
        reason: RefusalReason,
        actions: &mut Vec<Action>,
    ) {
        if self.may_retry(now_us, ticket_id) {
            return self.send(now_us, ticket_id, actions);
        }
        let reason = if self.may_have_run(ticket_id) { RefusalReason::Broken } else { reason };
        self.refuse(now_us, ticket_id, reason, actions);
    }

    fn may_retry(&self, now_us: u64, ticket_id: u64) -> bool {
        self.tickets.get(&ticket_id).is_some_and(|ticket| {
            let remaining_ms = ticket.deadline_us.saturating_sub(now_us) / US_PER_MS;
            let has_time = ticket.successor.is_some() || remaining_ms >= self.settings.min_remaining_ms;
            ticket.may_retry(self.settings.send_limit) && has_time
        })
    }

    fn record_possible_run(&mut self, ticket_id: u64) {
        if let Some(ticket) = self.tickets.get_mut(&ticket_id) {
            ticket.possible_runs += 1;
        }
    }

    fn may_have_run(&self, ticket_id: u64) -> bool {
        self.tickets.get(&ticket_id).is_some_and(|ticket| ticket.possible_runs > 0)
    }

    pub(super) fn refuse(
        &mut self,
        now_us: u64,
        ticket_id: u64,
        reason: RefusalReason,
        actions: &mut Vec<Action>,
    ) {
        let mut refusal = self.refusal(now_us, reason);
        if let Some(ticket) = self.close_ticket(ticket_id) {
            if reason == RefusalReason::NoCapacity && ticket.sends == 0 {
                let tokens = ticket.request.total_tokens();
                self.admission.record_refused(now_us, &ticket.service, ticket.class, tokens);
            }
            let capacity_ms = self.retry_after_capacity_ms(now_us, reason, &ticket);
            let hold_off_ms = self.retry_after_hold_off_ms(now_us, reason, &ticket);
            if let Some(wait_ms) = capacity_ms.max(hold_off_ms) {
                refusal.retry_after_ms = Some(wait_ms);
            }
            actions.push(Action::Decide(Decision::Refused {
                id: ticket.request.id,
                refusal,
                sends: ticket.sends,
                rank: ticket.class.map(|class| class.rank),
                version: self.version(),
                proof_age_ms: self.proof_age_ms(now_us),
            }));
        }
        actions.push(Action::Reply { ticket: ticket_id, verdict: Verdict::Refuse(refusal) });
    }

    fn refusal(&self, now_us: u64, reason: RefusalReason) -> Refusal {
        let retry_after_ms = match reason {
            RefusalReason::StaleConfiguration if self.peer_may_be_ahead(now_us) => {
                Some(self.settings.retry_elsewhere_after_ms)
            }
            _ => (reason.status() == 503).then_some(self.settings.retry_after_ms),
        };
        Refusal { reason, retry_after_ms }
    }

    /// Returns whether another gateway may have a newer configuration: one has reported a later version, or
    /// there was no recent contact with any other gateway.
    fn peer_may_be_ahead(&self, now_us: u64) -> bool {
        let timeout_us = self.settings.peer_timeout_ms * US_PER_MS;
        let mut recent =
            self.peers.iter().filter(|(_, peer)| peer.last_contact_us + timeout_us >= now_us).peekable();
        recent.peek().is_none() || recent.any(|(_, peer)| peer.version > self.version())
    }

    /// Drops the proofs of earlier eras. The endpoints stay as they are until those of the new era are known.
    fn enter_era(&mut self, era: u64) {
        if self.store_era < Some(era) {
            self.store_era = Some(era);
            self.configuration_proof = None;
            self.endpoints_proof.position = StorePosition::new(era, 0);
        }
    }

    fn update_configuration_proof(&mut self, proof: Proof) {
        if self
            .configuration_proof
            .is_none_or(|known| (known.version, known.at_us) < (proof.version, proof.at_us))
        {
            self.configuration_proof = Some(proof);
        }
    }

    pub(super) fn version(&self) -> u64 {
        self.configuration.as_deref().map_or(0, |configuration| configuration.version)
    }

    pub(super) fn proof_age_ms(&self, now_us: u64) -> u64 {
        match self.configuration_proof {
            Some(proof) if proof.version <= self.version() => now_us.saturating_sub(proof.at_us) / US_PER_MS,
            _ => u64::MAX / US_PER_MS,
        }
    }

    fn is_fresh(&self, now_us: u64) -> bool {
        !self.settings.strict_revocation || self.proof_age_ms(now_us) < self.settings.max_proof_age_ms
    }

    pub(super) fn valid_until_us(&self, ticket_id: u64) -> u64 {
        let anonymous = self.tickets.get(&ticket_id).is_none_or(|ticket| ticket.team.is_none());
        if !self.settings.strict_revocation || anonymous {
            return u64::MAX;
        }
        // A request that was admitted before the store came back from a backup has no valid proof any more.
        let proof = self.configuration_proof;
        proof.map_or(0, |proof| proof.at_us + self.settings.max_proof_age_ms * US_PER_MS)
    }

    fn update_readiness(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let margin_ms = READINESS_MARGIN_MS.min(self.settings.max_proof_age_ms / 2);
        let fresh = !self.settings.strict_revocation
            || self.proof_age_ms(now_us) + margin_ms < self.settings.max_proof_age_ms;
        let has_endpoints = self.endpoints_proof.at_us > 0;
        let ready = self.configuration.is_some()
            && has_endpoints
            && fresh
            && self.knows_what_peers_know(now_us)
            && !self.draining;
        if ready != self.ready {
            self.ready = ready;
            actions.push(Action::Ready(ready));
        }
    }
}

impl Dispatch {
    /// Returns whether the findings of other gateways are known, or none of them answers. A gateway that takes requests
    /// before may send one that has crashed endpoints.
    fn knows_what_peers_know(&self, now_us: u64) -> bool {
        let discovery_us = self.settings.discovery_ms * US_PER_MS;
        let has_waited = self.started_us.is_some_and(|started_us| now_us >= started_us + discovery_us);
        !self.settings.expects_peers || self.has_heard_of_peers || has_waited
    }
}

impl Duty for Dispatch {
    type Event = Event;
    type Action = Action;

    fn on_event(&mut self, now_us: u64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Submit(submission) => return self.submit(now_us, *submission, actions),
            Event::StreamStarted { ticket } => return self.on_stream_start(now_us, ticket, actions),
            Event::Waiting { ticket, report, silent_ms } => {
                return self.on_late_answer(now_us, ticket, report, silent_ms, actions);
            }
            Event::Resumed { ticket } => return self.on_resumed_answer(ticket),
            Event::Leaving(start) => return self.on_leaving(start, actions),
            Event::HoldOff { start, fault_at, for_ms } => {
                return self.on_hold_off(now_us, start, fault_at, for_ms, actions);
            }
            Event::Ended { ticket, ending } => {
                let was_sent = self.tickets.get(&ticket).is_some_and(|ticket| !ticket.is_queued);
                self.on_ending(now_us, ticket, ending, actions);
                if was_sent {
                    self.on_capacity_freed(now_us, ending, actions);
                }
                return;
            }
            Event::Configuration(configuration) => {
                if configuration.version > self.version() {
                    if let Some(priority) = self.admission.configure(&configuration) {
                        let version = configuration.version;
                        actions.push(Action::Decide(Decision::PriorityClamped { version, priority }));
                    }
                    self.configuration = Some(configuration);
                    self.readmit_waiting(now_us, actions);
                }
            }
            Event::Endpoints(endpoints) => {
                self.update_endpoints(now_us, &endpoints, actions);
                self.release_waiting(now_us, actions);
            }
            Event::ConfigurationProof(proof) => self.update_configuration_proof(proof),
            Event::EndpointsProof(proof) => self.endpoints_proof = proof,
            Event::StoreEra(era) => self.enter_era(era),
            Event::Peer { state, known, zone_known } => {
                self.update_peer(now_us, *state, known, zone_known);
            }
            Event::Report { address, report } => self.on_report(now_us, address, report.as_ref(), actions),
            Event::Probed { address, result } => return self.on_probe(now_us, address, result, actions),
            Event::Reached => return self.on_reached(now_us, actions),
            Event::Draining => {
                self.draining = true;
                self.refuse_waiting(now_us, actions);
            }
        }
        self.update_readiness(now_us, actions);
    }

    fn next_timer_us(&self) -> Option<u64> {
        let waiting_us = self.next_waiting_us().unwrap_or(u64::MAX);
        Some(self.publish_at_us.min(waiting_us))
    }

    fn on_timer(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        self.started_us.get_or_insert(now_us);
        if now_us >= self.publish_at_us {
            self.publish_at_us = now_us + self.settings.publish_interval_ms * US_PER_MS;
            self.update_peer_loads(now_us);
            self.exclude_reported(now_us, actions);
            self.check_down(now_us, actions);
            self.judge_crashes(now_us, actions);
            self.check_reachability(now_us, actions);
            self.helper_pauses.retain(|_, until_us| now_us < *until_us);
            self.publish_gateways(actions);
            self.publish_state(now_us, actions);
            self.update_readiness(now_us, actions);
            self.release_waiting(now_us, actions);
            self.measure_admission(actions);
        }
        self.update_waiting(now_us, actions);
    }

    fn measure(&self, mut gauge: impl FnMut(&'static str, f64)) {
        gauge("banyannotch_gateway_requests_in_flight", self.tickets.len() as f64);
        gauge("banyannotch_gateway_endpoints", self.endpoints.len() as f64);
        gauge("banyannotch_gateway_endpoints_leaving", self.announcements.leaving() as f64);
        gauge("banyannotch_gateway_configuration_version", self.version() as f64);
        gauge("banyannotch_gateway_load_skew", self.load_skew());
        gauge("banyannotch_gateway_cut_off", f64::from(u8::from(self.reachability.is_cut_off())));
        gauge("banyannotch_gateway_peers", self.peers.len() as f64);
        gauge("banyannotch_gateway_path_searches", self.searches as f64);
        gauge("banyannotch_gateway_quarantined_features", self.crashes.quarantined_count() as f64);
    }
}
