//! The policy of dispatch: admission, choice of an endpoint, retries and refusals.

use std::sync::Arc;

use super::DispatchSettings;
use super::announcements::Announcements;
use super::budget::Budget;
use super::crashes::{Crashes, features};
use super::evidence::Peer;
use super::health::{HealthTable, Load};
use super::messages::{
    Action, Decision, Ending, Event, Proof, Refusal, RefusalReason, SendOrder, Submission, Verdict,
};
use super::paths::PathSearch;
use super::suspects::Suspects;
use super::tickets::{Choice, Reservation, Ticket};
use crate::clock::US_PER_MS;
use crate::duty::Duty;
use crate::gateway::{Configuration, Endpoint, ForwardingInfo, RetryMode, Route, Service, Team};
use crate::ids::{ServiceId, Zone};
use crate::pipeline::Address;
use crate::random::Random;
use crate::table::Table;

/// Expected answer time of a plain service as a share of the route's latency objective. The cost of a replica
/// in another zone is scaled by it as well.
const PLAIN_SERVICE_COST_SHARE: f64 = 0.3;
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
    pub(super) budgets: Table<ServiceId, Budget>,
    pub(super) suspects: Suspects,
    pub(super) crashes: Crashes,
    pub(super) peers: Table<String, Peer>,
    /// Number of known gateways, this one included.
    pub(super) known_gateways: usize,
    /// Number of other known gateways in each zone.
    pub(super) zone_gateways: Table<Zone, usize>,
    pub(super) endpoints_proof: Proof,
    pub(super) publish_at_us: u64,
    /// When the first timer was handled.
    started_us: Option<u64>,
    pub(super) ready: bool,
    pub(super) draining: bool,
}

impl Dispatch {
    /// Creates a policy that has no configuration yet.
    pub fn new(settings: DispatchSettings, seed: u64) -> Self {
        Self {
            settings,
            random: Random::seeded(seed),
            configuration: None,
            endpoints: Arc::new([]),
            configuration_proof: None,
            health: Table::default(),
            announcements: Announcements::default(),
            tickets: Table::default(),
            inspections: Table::default(),
            budgets: Table::default(),
            suspects: Suspects::default(),
            crashes: Crashes::default(),
            peers: Table::default(),
            known_gateways: 1,
            zone_gateways: Table::default(),
            endpoints_proof: Proof::default(),
            publish_at_us: 0,
            started_us: None,
            ready: false,
            draining: false,
        }
    }

    fn submit(&mut self, now_us: u64, submission: Submission, actions: &mut Vec<Action>) {
        let Submission { ticket, request } = submission;
        let admitted = self.admit(now_us, &request).and_then(|admitted| {
            if self.has_refused_feature(now_us, &request, actions) {
                return Err(RefusalReason::QuarantinedPart);
            }
            Ok(admitted)
        });
        match admitted {
            Ok((configuration, route, team)) => {
                let service = self.pick_service(&route);
                let team = team.map(|team| team.id);
                let record = Ticket::new(request, &route, service, configuration, team, now_us);
                let window_ms = self.settings.retry_window_ms;
                self.budgets.entry(record.service.clone()).count_request(now_us, window_ms);
                self.tickets.insert(ticket, record);
                self.send(now_us, ticket, actions);
            }
            Err(reason) => {
                let refusal = self.refusal(now_us, reason);
                let decision = Decision::Refused {
                    id: request.id,
                    refusal,
                    sends: 0,
                    version: self.version(),
                    proof_age_ms: self.proof_age_ms(now_us),
                };
                actions.push(Action::Decide(decision));
                actions.push(Action::Reply { ticket, verdict: Verdict::Refuse(refusal) });
            }
        }
    }

    /// Returns the configuration in force, the route and the team of a request, or the reason to refuse it.
    fn admit(
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
        if self.suspects.is_quarantined(request.digest, now_us) {
            return Err(RefusalReason::Quarantined);
        }
        Ok((Arc::clone(configuration), route.clone(), team))
    }

    /// Returns whether a request is refused because of a quarantined feature.
    fn has_refused_feature(
        &mut self,
        now_us: u64,
        request: &crate::gateway::RequestInfo,
        actions: &mut Vec<Action>,
    ) -> bool {
        let features = features(request);
        let Some(digest) = self.crashes.quarantined_feature(&features) else { return false };
        let is_refused = self.crashes.refuses(&features, now_us);
        let id = Arc::clone(&request.id);
        actions.push(Action::Decide(Decision::FeatureRefused { id, digest, is_trial: !is_refused }));
        is_refused
    }

    /// Returns whether a feature of an admitted request has been quarantined since.
    fn has_quarantined_feature(&self, ticket_id: u64) -> bool {
        self.tickets
            .get(&ticket_id)
            .is_some_and(|ticket| self.crashes.quarantined_feature(&features(&ticket.request)).is_some())
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
    /// request when the time, the retry budget or the capacity is exhausted.
    fn send(&mut self, now_us: u64, ticket_id: u64, actions: &mut Vec<Action>) {
        let Some(ticket) = self.tickets.get_mut(&ticket_id) else { return };
        if now_us >= ticket.deadline_us {
            return self.refuse(now_us, ticket_id, RefusalReason::Expired, actions);
        }
        let booked = match ticket.successor.take() {
            Some(choice) => self.confirm_booking(now_us, ticket_id, choice),
            None => self.book(now_us, ticket_id, None),
        };
        match booked {
            Ok(choice) if !self.takes_requests(now_us, &choice, actions) => {
                if let Some(service) = self.tickets.get(&ticket_id).map(|ticket| ticket.service.clone()) {
                    self.cancel_booking(&service, &choice);
                }
                let reason = if self.may_have_run(ticket_id) {
                    RefusalReason::Broken
                } else {
                    RefusalReason::NoCapacity
                };
                self.refuse(now_us, ticket_id, reason, actions);
            }
            Ok(choice) => self.order_send(now_us, ticket_id, choice, actions),
            Err(reason) => {
                let reason = if self.may_have_run(ticket_id) { RefusalReason::Broken } else { reason };
                self.refuse(now_us, ticket_id, reason, actions);
            }
        }
    }

    /// Chooses the endpoint of the next send, other than the one to avoid, and counts its load and, for a retry, the retry.
    ///
    /// # Errors
    /// Returns the reason to refuse the request if it cannot be sent.
    pub(super) fn book(
        &mut self,
        now_us: u64,
        ticket_id: u64,
        avoided: Option<Address>,
    ) -> Result<Choice, RefusalReason> {
        let is_retry = self.tickets.get(&ticket_id).is_some_and(|ticket| ticket.sends > 0);
        if is_retry && self.has_quarantined_feature(ticket_id) {
            return Err(RefusalReason::QuarantinedPart);
        }
        if is_retry && !self.has_budget(now_us, ticket_id) {
            return Err(RefusalReason::BudgetSpent);
        }
        let mut choice = self.choose(now_us, ticket_id, avoided).ok_or(RefusalReason::NoCapacity)?;
        choice.is_retry = is_retry;
        if is_retry && let Some(ticket) = self.tickets.get(&ticket_id) {
            let window_ms = self.settings.retry_window_ms;
            self.budgets.entry(ticket.service.clone()).count_retry(now_us, window_ms);
        }
        for (address, load) in &choice.loads {
            self.health.entry(*address).own.add(load);
        }
        Ok(choice)
    }

    /// Returns a choice that was booked earlier, or another one if an endpoint of it has left or failed since.
    fn confirm_booking(
        &mut self,
        now_us: u64,
        ticket_id: u64,
        choice: Choice,
    ) -> Result<Choice, RefusalReason> {
        let is_usable = |address: &Address| {
            let excluded = self.health.get(address).is_some_and(|health| health.is_excluded(now_us));
            !excluded
                && !self.announcements.declines(address, now_us)
                && self.endpoint_at(*address).is_some_and(|endpoint| !endpoint.leaving)
        };
        let is_same_endpoint = self
            .endpoint_at(choice.address)
            .is_some_and(|known| known.id == choice.endpoint && known.born_ms == choice.born_ms);
        if is_same_endpoint && choice.loads.iter().all(|(address, _)| is_usable(address)) {
            return Ok(choice);
        }
        if let Some(service) = self.tickets.get(&ticket_id).map(|ticket| ticket.service.clone()) {
            self.cancel_booking(&service, &choice);
        }
        self.book(now_us, ticket_id, None)
    }

    /// Takes back the load and the retry of a choice that is not used.
    pub(super) fn cancel_booking(&mut self, service: &ServiceId, choice: &Choice) {
        for (address, load) in &choice.loads {
            if let Some(health) = self.health.get_mut(address) {
                health.own.remove(load);
            }
        }
        if choice.is_retry {
            let window_ms = self.settings.retry_window_ms;
            self.budgets.entry(service.clone()).cancel_retry(choice.booked_us, window_ms);
        }
    }

    /// Removes a request that gets its final answer.
    fn close_ticket(&mut self, ticket_id: u64) -> Option<Ticket> {
        let mut ticket = self.tickets.remove(&ticket_id)?;
        if let Some(unused) = ticket.successor.take() {
            self.cancel_booking(&ticket.service, &unused);
        }
        Some(ticket)
    }

    fn order_send(&mut self, now_us: u64, ticket_id: u64, choice: Choice, actions: &mut Vec<Action>) {
        let valid_until_us = self.valid_until_us(ticket_id);
        let (version, proof_age_ms) = (self.version(), self.proof_age_ms(now_us));
        let Some(ticket) = self.tickets.get_mut(&ticket_id) else { return };
        let remaining_ms = ticket.deadline_us.saturating_sub(now_us) / US_PER_MS;
        ticket.sends += 1;
        ticket.late_report = 0;
        ticket.tried.extend(choice.loads.iter().map(|(address, _)| *address));
        ticket.begun_us = None;
        ticket.reservation = Reservation {
            loads: choice.loads,
            endpoint: Arc::clone(&choice.endpoint),
            born_ms: choice.born_ms,
            sent_us: now_us,
        };
        actions.push(Action::Decide(Decision::Sent {
            id: Arc::clone(&ticket.request.id),
            route: Arc::clone(&ticket.route),
            endpoint: Arc::clone(&choice.endpoint),
            hops: choice.hops.len(),
            send: ticket.sends,
            cost_ms: choice.cost_ms as u64,
            version,
            proof_age_ms,
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
        let order = SendOrder {
            address: choice.address,
            born_ms: choice.born_ms,
            forwarding_info: ForwardingInfo {
                endpoint: choice.endpoint,
                team: ticket.team.clone(),
                deadline_ms: remaining_ms,
                path: choice.hops,
                resume_after: ticket.request.resume_after,
            },
            deadline_us: ticket.deadline_us,
            valid_until_us,
            send_by_us: now_us + settings.send_delay_limit_ms * US_PER_MS,
            connect_limit_ms: settings.connect_limit_ms,
            first_response_limit_ms,
            stall_limit_ms,
            silence_limit_ms,
            stream,
            idle_connections: choice.idle_connections,
        };
        actions.push(Action::Reply { ticket: ticket_id, verdict: Verdict::Send(Box::new(order)) });
    }

    fn choose(&mut self, now_us: u64, ticket_id: u64, avoided: Option<Address>) -> Option<Choice> {
        let takes_cheapest = self.takes_cheapest_path(now_us);
        let ticket = self.tickets.get(&ticket_id)?;
        let service = self
            .configuration
            .as_deref()
            .and_then(|configuration| configuration.service(&ticket.service))
            .or_else(|| ticket.configuration.service(&ticket.service))?;
        let takes_requests = |endpoint: &&Endpoint| {
            endpoint.service == ticket.service
                && Some(endpoint.address) != avoided
                && !self.announcements.declines(&endpoint.address, now_us)
        };
        let endpoints: Vec<&Endpoint> = self.endpoints.iter().filter(takes_requests).collect();
        match &service.pipeline {
            Some(pipeline) => {
                let search = PathSearch {
                    pipeline,
                    engines: &endpoints,
                    health: &self.health,
                    settings: &self.settings,
                    now_us,
                };
                let sampled = if takes_cheapest {
                    None
                } else {
                    search.sampled(&ticket.request, &ticket.tried, &mut self.random)
                };
                // Paths over parts of chains that lost an engine are used only while no whole chain has room.
                let path = sampled.or_else(|| search.cheapest(&ticket.request, &ticket.tried))?;
                let (address, _) = *path.hops.first()?;
                let first = endpoints.iter().find(|endpoint| endpoint.address == address)?;
                Some(Choice {
                    address,
                    born_ms: first.born_ms,
                    endpoint: Arc::clone(&first.id),
                    hops: path.hops,
                    loads: path.loads,
                    cost_ms: path.cost_ms,
                    event_interval_ms: path.token_interval_ms * f64::from(pipeline.stride.max(1)),
                    idle_connections: service.connection_limit,
                    booked_us: now_us,
                    is_retry: false,
                })
            }
            None => self.choose_replica(now_us, ticket, service, &endpoints),
        }
    }

    /// Checks that no endpoint of a choice announced that it takes no requests.
    fn takes_requests(&self, now_us: u64, choice: &Choice, actions: &mut Vec<Action>) -> bool {
        let declining = choice.loads.iter().find(|(address, _)| self.announcements.declines(address, now_us));
        if let Some((address, _)) = declining {
            actions.push(Action::Decide(Decision::DecliningChosen { address: *address }));
        }
        declining.is_none()
    }

    /// Returns whether there are so few gateways that this one hears of most choices of the others in time. In the first second after its start a gateway that has heard of no other may be one of many.
    fn takes_cheapest_path(&self, now_us: u64) -> bool {
        let discovery_us = self.settings.discovery_ms * US_PER_MS;
        let is_discovering = self.started_us.is_some_and(|started_us| now_us < started_us + discovery_us);
        let may_be_alone = self.known_gateways > 1 || !is_discovering;
        may_be_alone && self.known_gateways <= self.settings.cheapest_path_gateways
    }

    fn choose_replica(
        &self,
        now_us: u64,
        ticket: &Ticket,
        service: &Service,
        replicas: &[&Endpoint],
    ) -> Option<Choice> {
        let settings = &self.settings;
        let answer_ms = ticket.objective_ms as f64 * PLAIN_SERVICE_COST_SHARE;
        let cost = |replica: &&Endpoint| {
            let health = self.health.get(&replica.address).copied().unwrap_or_default();
            let utilization = f64::from(health.load().requests) / f64::from(replica.slots.max(1));
            let mut cost_ms = answer_ms * (1.0 + utilization);
            cost_ms += health.failure_share(now_us, settings.failure_half_life_ms) * settings.failure_cost_ms;
            if replica.zone.as_str() != settings.zone {
                cost_ms += settings.foreign_zone_cost_ms * PLAIN_SERVICE_COST_SHARE;
            }
            if ticket.tried.contains(&replica.address) {
                cost_ms += settings.tried_cost_ms;
            }
            if health.is_excluded(now_us) {
                // Excluded replicas stay candidates, as a last resort while every replica is excluded.
                cost_ms += settings.failure_cost_ms * 2.0;
            }
            cost_ms
        };
        let chosen = replicas
            .iter()
            .filter(|replica| !replica.leaving)
            .map(|replica| (cost(replica), *replica))
            .min_by(|(left, _), (right, _)| left.total_cmp(right));
        let (cost_ms, replica) = chosen?;
        Some(Choice {
            address: replica.address,
            born_ms: replica.born_ms,
            endpoint: Arc::clone(&replica.id),
            hops: Arc::new([]),
            loads: vec![(replica.address, Load { requests: 1, ..Load::default() })],
            cost_ms,
            event_interval_ms: 0.0,
            // The endpoint runs at most `slots` requests at once, so further idle connections are of no use.
            idle_connections: (replica.slots as usize).min(service.connection_limit),
            booked_us: now_us,
            is_retry: false,
        })
    }

    fn on_ending(&mut self, now_us: u64, ticket_id: u64, ending: Ending, actions: &mut Vec<Action>) {
        let Some(ticket) = self.tickets.get_mut(&ticket_id) else { return };
        let reservation = std::mem::take(&mut ticket.reservation);
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
            }));
        }
        let (digest, retry_mode) = (ticket.request.digest, ticket.retry_mode);
        self.record_progress(now_us, ticket_id, &reservation, ending);
        match ending {
            Ending::Completed { .. } => {
                for (address, _) in &reservation.loads {
                    self.health.entry(*address).record_success(now_us, self.settings.failure_half_life_ms);
                }
                self.suspects.clear(digest);
                self.close_ticket(ticket_id);
            }
            Ending::Left | Ending::Expired => {
                self.close_ticket(ticket_id);
            }
            Ending::NotRun { fault_at, status } => {
                self.record_rejection(now_us, &reservation, fault_at, status, actions);
                self.retry_or_refuse(now_us, ticket_id, RefusalReason::Rejected, actions);
            }
            Ending::Unsent => {
                if let Some((first, _)) = reservation.loads.first() {
                    self.confirm_crash(*first, now_us);
                    self.exclude(now_us, *first, "no_connection", actions);
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
                self.record_broken_answer(now_us, &reservation, digest, by, actions);
                self.retry_or_refuse(now_us, ticket_id, RefusalReason::Broken, actions);
            }
        }
    }

    /// Retries the request if that is allowed and refuses it otherwise. A request that may have run is
    /// refused as [`RefusalReason::Broken`], because a status of 503 would promise that it did not run.
    fn retry_or_refuse(
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

    fn has_budget(&mut self, now_us: u64, ticket_id: u64) -> bool {
        let gateways = self.known_gateways.max(self.peers.len() + 1) as f64;
        let settings = &self.settings;
        let Some(ticket) = self.tickets.get(&ticket_id) else { return false };
        let allowance = settings.retry_allowance / gateways;
        let remaining = self.budgets.entry(ticket.service.clone()).remaining(
            now_us,
            settings.retry_window_ms,
            settings.retry_ratio * settings.retry_budget_share,
            allowance * settings.retry_budget_share,
        );
        remaining >= 1.0
    }

    fn refuse(&mut self, now_us: u64, ticket_id: u64, reason: RefusalReason, actions: &mut Vec<Action>) {
        let mut refusal = self.refusal(now_us, reason);
        if let Some(ticket) = self.close_ticket(ticket_id) {
            if let Some(wait_ms) = self.retry_after_hold_off_ms(now_us, reason, &ticket) {
                refusal.retry_after_ms = Some(wait_ms);
            }
            actions.push(Action::Decide(Decision::Refused {
                id: ticket.request.id,
                refusal,
                sends: ticket.sends,
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
        match self.configuration_proof {
            Some(proof) if self.settings.strict_revocation && !anonymous => {
                proof.at_us + self.settings.max_proof_age_ms * US_PER_MS
            }
            _ => u64::MAX,
        }
    }

    fn update_readiness(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let margin_ms = READINESS_MARGIN_MS.min(self.settings.max_proof_age_ms / 2);
        let fresh = !self.settings.strict_revocation
            || self.proof_age_ms(now_us) + margin_ms < self.settings.max_proof_age_ms;
        let has_endpoints = self.endpoints_proof.at_us > 0;
        let ready = self.configuration.is_some() && has_endpoints && fresh && !self.draining;
        if ready != self.ready {
            self.ready = ready;
            actions.push(Action::Ready(ready));
        }
    }
}

impl Duty for Dispatch {
    type Event = Event;
    type Action = Action;

    fn on_event(&mut self, now_us: u64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Submit(submission) => return self.submit(now_us, *submission, actions),
            Event::StreamStarted { ticket } => return self.on_stream_start(now_us, ticket),
            Event::Waiting { ticket, report, silent_ms } => {
                return self.on_late_answer(now_us, ticket, report, silent_ms, actions);
            }
            Event::Resumed { ticket } => return self.on_resumed_answer(ticket),
            Event::Leaving(start) => return self.on_leaving(start, actions),
            Event::HoldOff { start, fault_at, for_ms } => {
                return self.on_hold_off(now_us, start, fault_at, for_ms, actions);
            }
            Event::Ended { ticket, ending } => return self.on_ending(now_us, ticket, ending, actions),
            Event::Configuration(configuration) => {
                if configuration.version > self.version() {
                    self.configuration = Some(configuration);
                }
            }
            Event::Endpoints(endpoints) => self.update_endpoints(now_us, &endpoints),
            Event::ConfigurationProof(proof) => self.update_configuration_proof(proof),
            Event::EndpointsProof(proof) => self.endpoints_proof = proof,
            Event::Peer { state, known, zone_known } => {
                self.update_peer(now_us, *state, known, zone_known);
            }
            Event::Report { address, report } => self.on_report(now_us, address, report.as_ref(), actions),
            Event::Draining => self.draining = true,
        }
        self.update_readiness(now_us, actions);
    }

    fn next_timer_us(&self) -> Option<u64> {
        Some(self.publish_at_us)
    }

    fn on_timer(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        self.started_us.get_or_insert(now_us);
        if now_us >= self.publish_at_us {
            self.publish_at_us = now_us + self.settings.publish_interval_ms * US_PER_MS;
            self.update_peer_loads(now_us);
            self.judge_crashes(now_us, actions);
            self.publish_state(now_us, actions);
            self.update_readiness(now_us, actions);
        }
    }

    fn measure(&self, mut gauge: impl FnMut(&'static str, f64)) {
        gauge("banyannotch_gateway_requests_in_flight", self.tickets.len() as f64);
        gauge("banyannotch_gateway_endpoints", self.endpoints.len() as f64);
        gauge("banyannotch_gateway_endpoints_leaving", self.announcements.leaving() as f64);
        gauge("banyannotch_gateway_configuration_version", self.version() as f64);
        gauge("banyannotch_gateway_peers", self.peers.len() as f64);
        gauge("banyannotch_gateway_quarantined_features", self.crashes.quarantined_count() as f64);
    }
}
