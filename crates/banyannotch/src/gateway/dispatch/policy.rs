//! The policy of dispatch.

use std::sync::Arc;

use super::DispatchSettings;
use super::budget::Budget;
use super::evidence::Peer;
use super::health::{HealthTable, Load};
use super::messages::{
    Action, Decision, Ending, Event, Proof, Refusal, RefusalReason, SendOrder, Submission, Verdict,
};
use super::paths::Surroundings;
use super::suspects::Suspects;
use super::tickets::{Reserved, Ticket};
use crate::clock::US_PER_MS;
use crate::duty::Duty;
use crate::gateway::{Configuration, Endpoint, ForwardingInfo, RetryMode, Route, Service, Team};
use crate::ids::ServiceId;
use crate::pipeline::{Address, LayerRange};
use crate::random::Random;
use crate::table::Table;

/// Expected answers of plain services are this much shorter than the objective that the operator set.
const PLAIN_COST_SHARE: f64 = 0.3;
/// Share of the time that is left in which a plain endpoint must answer when the request can be repeated elsewhere.
const FIRST_TRY_SHARE: f64 = 0.45;
/// The balancer is told this long before requests would be refused for an old proof; longer than the interval at which
/// the age is looked at.
const READY_MARGIN_MS: u64 = 500;

/// Decides for each request where it goes.
#[derive(Debug)]
pub struct Dispatch {
    pub(super) settings: DispatchSettings,
    pub(super) random: Random,
    pub(super) deployment: Option<Arc<Configuration>>,
    pub(super) engines: Arc<[Endpoint]>,
    pub(super) proof: Option<Proof>,
    pub(super) health: HealthTable,
    pub(super) tickets: Table<u64, Ticket>,
    pub(super) budgets: Table<ServiceId, Budget>,
    pub(super) suspects: Suspects,
    pub(super) peers: Table<String, Peer>,
    /// Gateways that are known, this one included.
    pub(super) gateways: usize,
    pub(super) endpoints_proof: Proof,
    pub(super) share_at_us: u64,
    pub(super) ready: bool,
    pub(super) draining: bool,
}

/// What was chosen for a send.
struct Choice {
    address: Address,
    endpoint: Arc<str>,
    hops: Arc<[(Address, LayerRange)]>,
    loads: Vec<(Address, Load)>,
    cost_ms: f64,
    token_ms: f64,
    idle_connections: usize,
}

impl Dispatch {
    /// Creates the policy with no configuration.
    pub fn new(settings: DispatchSettings, seed: u64) -> Self {
        Self {
            settings,
            random: Random::seeded(seed),
            deployment: None,
            engines: Arc::new([]),
            proof: None,
            health: Table::default(),
            tickets: Table::default(),
            budgets: Table::default(),
            suspects: Suspects::default(),
            peers: Table::default(),
            gateways: 1,
            endpoints_proof: Proof::default(),
            share_at_us: 0,
            ready: false,
            draining: false,
        }
    }

    fn submit(&mut self, now_us: u64, submission: Submission, actions: &mut Vec<Action>) {
        let Submission { ticket, request: ask } = submission;
        let admitted = self.admit(now_us, &ask);
        match admitted {
            Ok((route, team)) => {
                let service = self.pick_service(&route);
                let record = Ticket::new(ask, &route, service, team.map(|team| team.id), now_us);
                let window_ms = self.settings.retry_window_ms;
                self.budgets.entry(record.service.clone()).count_request(now_us, window_ms);
                self.tickets.insert(ticket, record);
                self.send(now_us, ticket, actions);
            }
            Err(reason) => {
                let refusal = self.refusal(now_us, reason);
                let decision = Decision::Refused {
                    id: ask.id,
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

    /// Finds the route and the team, or why the request is not allowed.
    fn admit(
        &self,
        now_us: u64,
        ask: &crate::gateway::RequestInfo,
    ) -> std::result::Result<(Route, Option<Team>), RefusalReason> {
        let Some(deployment) = self.deployment.as_deref() else { return Err(RefusalReason::NoConfiguration) };
        let fresh = self.is_fresh(now_us);
        // An outdated configuration may lack a route or a key that was added since.
        let unknown = |reason| if fresh { reason } else { RefusalReason::StaleConfiguration };
        let path = ask.path.split('?').next().unwrap_or_default();
        let route = deployment.route(&ask.host, path).ok_or_else(|| unknown(RefusalReason::NoRoute))?;
        let mut team = None;
        if deployment.keyed && !route.anonymous {
            if !fresh {
                return Err(RefusalReason::StaleConfiguration);
            }
            let key = ask.key.as_deref().ok_or(RefusalReason::UnknownKey)?;
            team = Some(deployment.team(key).ok_or(RefusalReason::UnknownKey)?.clone());
        }
        if self.suspects.is_quarantined(ask.digest, now_us) {
            return Err(RefusalReason::Quarantined);
        }
        Ok((route.clone(), team))
    }

    fn pick_service(&mut self, route: &Route) -> ServiceId {
        let total: u32 = route.targets.iter().map(|target| target.weight).sum();
        let mut drawn = self.random.below(total as usize) as u32;
        for target in &route.targets {
            if drawn < target.weight {
                return target.service.clone();
            }
            drawn -= target.weight;
        }
        route.targets.first().map_or_else(|| ServiceId::from(""), |target| target.service.clone())
    }

    /// Chooses an endpoint for a request and sends it, or refuses it.
    fn send(&mut self, now_us: u64, number: u64, actions: &mut Vec<Action>) {
        let Some(ticket) = self.tickets.get(&number) else { return };
        let left_ms = ticket.until_us.saturating_sub(now_us) / US_PER_MS;
        if left_ms == 0 {
            return self.refuse(now_us, number, RefusalReason::Expired, actions);
        }
        let again = ticket.sends > 0;
        if again && !self.has_budget(now_us, number) {
            let reason =
                if self.has_run(number) { RefusalReason::Broken } else { RefusalReason::BudgetSpent };
            return self.refuse(now_us, number, reason, actions);
        }
        let Some(choice) = self.choose(now_us, number) else {
            let reason = if self.has_run(number) { RefusalReason::Broken } else { RefusalReason::NoCapacity };
            return self.refuse(now_us, number, reason, actions);
        };
        let valid_until_us = self.valid_until_us(number);
        let (version, proof_age_ms) = (self.version(), self.proof_age_ms(now_us));
        let window_ms = self.settings.retry_window_ms;
        let Some(ticket) = self.tickets.get_mut(&number) else { return };
        if again {
            self.budgets.entry(ticket.service.clone()).count_repeat(now_us, window_ms);
        }
        ticket.sends += 1;
        for (address, load) in &choice.loads {
            self.health.entry(*address).own.add(load);
        }
        ticket.tried.extend(choice.loads.iter().map(|(address, _)| *address));
        ticket.reserved = Reserved { loads: choice.loads, endpoint: Arc::clone(&choice.endpoint) };
        actions.push(Action::Decide(Decision::Sent {
            id: Arc::clone(&ticket.ask.id),
            route: Arc::clone(&ticket.route),
            endpoint: Arc::clone(&choice.endpoint),
            hops: choice.hops.len(),
            send: ticket.sends,
            cost_ms: choice.cost_ms as u64,
            version,
            proof_age_ms,
        }));
        let settings = &self.settings;
        let stream = ticket.repeat.is_stream();
        let repeatable = ticket.repeat.is_repeatable() && ticket.runs + 1 < ticket.endpoint_limit;
        let first_limit_ms = match (stream, repeatable) {
            (true, true) => settings.first_event_least_ms.max((choice.cost_ms * 0.5) as u64),
            (false, true) => ((left_ms as f64) * FIRST_TRY_SHARE) as u64,
            (_, false) => left_ms,
        };
        let stall_limit_ms = if repeatable {
            settings.stall_least_ms.max((choice.token_ms * settings.stall_factor) as u64)
        } else {
            left_ms
        };
        let order = SendOrder {
            address: choice.address,
            forwarding_info: ForwardingInfo {
                endpoint: choice.endpoint,
                team: ticket.team.clone(),
                deadline_ms: left_ms,
                path: choice.hops,
                resume_after: ticket.ask.resume_after,
            },
            until_us: ticket.until_us,
            valid_until_us,
            connect_limit_ms: settings.connect_limit_ms,
            first_limit_ms,
            stall_limit_ms,
            stream,
            idle_connections: choice.idle_connections,
        };
        actions.push(Action::Reply { ticket: number, verdict: Verdict::Send(Box::new(order)) });
    }

    fn choose(&self, now_us: u64, number: u64) -> Option<Choice> {
        let ticket = self.tickets.get(&number)?;
        let service = self.deployment.as_deref()?.service(&ticket.service)?;
        let engines: Vec<&Endpoint> =
            self.engines.iter().filter(|engine| engine.service == ticket.service).collect();
        match &service.pipeline {
            Some(pipeline) => {
                let surroundings = Surroundings {
                    pipeline,
                    engines: &engines,
                    health: &self.health,
                    settings: &self.settings,
                    now_us,
                };
                let path = surroundings.cheapest(&ticket.ask, &ticket.tried)?;
                let (address, _) = *path.hops.first()?;
                let first = engines.iter().find(|engine| engine.address == address)?;
                Some(Choice {
                    address,
                    endpoint: Arc::clone(&first.id),
                    hops: path.hops,
                    loads: path.loads,
                    cost_ms: path.cost_ms,
                    token_ms: path.token_ms,
                    idle_connections: service.connection_limit,
                })
            }
            None => self.choose_replica(now_us, ticket, service, &engines),
        }
    }

    fn choose_replica(
        &self,
        now_us: u64,
        ticket: &Ticket,
        service: &Service,
        engines: &[&Endpoint],
    ) -> Option<Choice> {
        let settings = &self.settings;
        let work_ms = ticket.objective_ms as f64 * PLAIN_COST_SHARE;
        let cost = |engine: &&Endpoint| {
            let health = self.health.get(&engine.address).copied().unwrap_or_default();
            let waiting = f64::from(health.load().requests) / f64::from(engine.slots.max(1));
            let mut cost_ms = work_ms * (1.0 + waiting);
            cost_ms += health.fault_share(now_us, settings.fault_half_life_ms) * settings.fault_cost_ms;
            if engine.zone.as_str() != settings.zone {
                cost_ms += settings.foreign_zone_cost_ms * PLAIN_COST_SHARE;
            }
            if ticket.tried.contains(&engine.address) {
                cost_ms += settings.tried_cost_ms;
            }
            if health.is_excluded(now_us) {
                // The last resort while every replica is left out.
                cost_ms += settings.fault_cost_ms * 2.0;
            }
            cost_ms
        };
        let chosen = engines
            .iter()
            .filter(|engine| !engine.leaving)
            .map(|engine| (cost(engine), *engine))
            .min_by(|(left, _), (right, _)| left.total_cmp(right));
        let (cost_ms, engine) = chosen?;
        Some(Choice {
            address: engine.address,
            endpoint: Arc::clone(&engine.id),
            hops: Arc::new([]),
            loads: vec![(engine.address, Load { requests: 1, ..Load::default() })],
            cost_ms,
            token_ms: 0.0,
            // More idle connections than slots are never used at once.
            idle_connections: (engine.slots as usize).min(service.connection_limit),
        })
    }

    fn ended(&mut self, now_us: u64, number: u64, ending: Ending, actions: &mut Vec<Action>) {
        let Some(ticket) = self.tickets.get_mut(&number) else { return };
        let reserved = std::mem::take(&mut ticket.reserved);
        for (address, load) in &reserved.loads {
            if let Some(health) = self.health.get_mut(address) {
                health.own.remove(load);
            }
        }
        if !matches!(ending, Ending::Completed { .. }) {
            actions.push(Action::Decide(Decision::Ended {
                id: Arc::clone(&ticket.ask.id),
                endpoint: Arc::clone(&reserved.endpoint),
                ending,
                age_ms: now_us.saturating_sub(ticket.arrived_us) / US_PER_MS,
            }));
        }
        let (digest, repeat) = (ticket.ask.digest, ticket.repeat);
        match ending {
            Ending::Completed { .. } => {
                for (address, _) in &reserved.loads {
                    self.health.entry(*address).succeed(now_us, self.settings.fault_half_life_ms);
                }
                self.suspects.clear(digest);
                self.tickets.remove(&number);
            }
            Ending::Left | Ending::Expired => {
                self.tickets.remove(&number);
            }
            Ending::NotRun { fault_at, status } => {
                self.blame_rejection(now_us, &reserved, fault_at, status, actions);
                self.again_or(now_us, number, RefusalReason::Rejected, actions);
            }
            Ending::Unsent => {
                if let Some((first, _)) = reserved.loads.first() {
                    self.exclude(now_us, *first, "no_connection", actions);
                }
                self.again_or(now_us, number, RefusalReason::Rejected, actions);
            }
            Ending::Outdated => {
                let reason = if self.has_run(number) {
                    RefusalReason::Broken
                } else {
                    RefusalReason::StaleConfiguration
                };
                self.refuse(now_us, number, reason, actions);
            }
            Ending::Failed { .. } => {
                self.note_run(number);
                if repeat == RetryMode::Idempotent && self.may_send_again(now_us, number) {
                    self.send(now_us, number, actions);
                } else {
                    self.tickets.remove(&number);
                    actions.push(Action::Reply { ticket: number, verdict: Verdict::Deliver });
                }
            }
            Ending::Broken { by } => {
                self.note_run(number);
                self.blame_break(now_us, &reserved, digest, by, actions);
                self.again_or(now_us, number, RefusalReason::Broken, actions);
            }
        }
    }

    /// Sends the request again, or refuses it. What may have run is never refused as not run.
    fn again_or(&mut self, now_us: u64, number: u64, reason: RefusalReason, actions: &mut Vec<Action>) {
        if self.may_send_again(now_us, number) {
            return self.send(now_us, number, actions);
        }
        let reason = if self.has_run(number) { RefusalReason::Broken } else { reason };
        self.refuse(now_us, number, reason, actions);
    }

    fn may_send_again(&self, now_us: u64, number: u64) -> bool {
        self.tickets.get(&number).is_some_and(|ticket| {
            let left_ms = ticket.until_us.saturating_sub(now_us) / US_PER_MS;
            ticket.may_send_again(self.settings.send_limit) && left_ms >= self.settings.least_left_ms
        })
    }

    fn note_run(&mut self, number: u64) {
        if let Some(ticket) = self.tickets.get_mut(&number) {
            ticket.runs += 1;
        }
    }

    fn has_run(&self, number: u64) -> bool {
        self.tickets.get(&number).is_some_and(|ticket| ticket.runs > 0)
    }

    fn has_budget(&mut self, now_us: u64, number: u64) -> bool {
        let gateways = self.gateways.max(self.peers.len() + 1) as f64;
        let settings = &self.settings;
        let Some(ticket) = self.tickets.get(&number) else { return false };
        let allowance = settings.retry_allowance / gateways;
        let left = self.budgets.entry(ticket.service.clone()).left(
            now_us,
            settings.retry_window_ms,
            settings.retry_ratio * settings.retry_share,
            allowance * settings.retry_share,
        );
        left >= 1.0
    }

    fn refuse(&mut self, now_us: u64, number: u64, reason: RefusalReason, actions: &mut Vec<Action>) {
        let refusal = self.refusal(now_us, reason);
        if let Some(ticket) = self.tickets.remove(&number) {
            actions.push(Action::Decide(Decision::Refused {
                id: ticket.ask.id,
                refusal,
                sends: ticket.sends,
                version: self.version(),
                proof_age_ms: self.proof_age_ms(now_us),
            }));
        }
        actions.push(Action::Reply { ticket: number, verdict: Verdict::Refuse(refusal) });
    }

    fn refusal(&self, now_us: u64, reason: RefusalReason) -> Refusal {
        let retry_after_ms = match reason {
            RefusalReason::StaleConfiguration if self.others_may_know_more(now_us) => {
                Some(self.settings.elsewhere_retry_ms)
            }
            _ => (reason.status() == 503).then_some(self.settings.retry_after_ms),
        };
        Refusal { reason, retry_after_ms }
    }

    /// Returns whether the caller may find another gateway with a newer configuration: one has told of it, or this gateway
    /// hears of no other one at all.
    fn others_may_know_more(&self, now_us: u64) -> bool {
        let memory_us = self.settings.peer_memory_ms * US_PER_MS;
        let mut heard = self.peers.iter().filter(|(_, peer)| peer.heard_us + memory_us >= now_us).peekable();
        heard.peek().is_none() || heard.any(|(_, peer)| peer.version > self.version())
    }

    fn note_proof(&mut self, proof: Proof) {
        if self.proof.is_none_or(|known| (known.version, known.at_us) < (proof.version, proof.at_us)) {
            self.proof = Some(proof);
        }
    }

    pub(super) fn version(&self) -> u64 {
        self.deployment.as_deref().map_or(0, |deployment| deployment.version)
    }

    pub(super) fn proof_age_ms(&self, now_us: u64) -> u64 {
        match self.proof {
            Some(proof) if proof.version <= self.version() => now_us.saturating_sub(proof.at_us) / US_PER_MS,
            _ => u64::MAX / US_PER_MS,
        }
    }

    fn is_fresh(&self, now_us: u64) -> bool {
        !self.settings.strict_revocation || self.proof_age_ms(now_us) < self.settings.proof_limit_ms
    }

    fn valid_until_us(&self, number: u64) -> u64 {
        let anonymous = self.tickets.get(&number).is_none_or(|ticket| ticket.team.is_none());
        match self.proof {
            Some(proof) if self.settings.strict_revocation && !anonymous => {
                proof.at_us + self.settings.proof_limit_ms * US_PER_MS
            }
            _ => u64::MAX,
        }
    }

    fn update_ready(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let margin_ms = READY_MARGIN_MS.min(self.settings.proof_limit_ms / 2);
        let fresh = !self.settings.strict_revocation
            || self.proof_age_ms(now_us) + margin_ms < self.settings.proof_limit_ms;
        let knows_endpoints = self.endpoints_proof.at_us > 0;
        let ready = self.deployment.is_some() && knows_endpoints && fresh && !self.draining;
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
            Event::Started { ticket } => return self.started(ticket),
            Event::Ended { ticket, ending } => return self.ended(now_us, ticket, ending, actions),
            Event::Deployment(deployment) => {
                if deployment.version > self.version() {
                    self.deployment = Some(deployment);
                }
            }
            Event::Engines(engines) => self.take_engines(engines),
            Event::Proof(proof) => self.note_proof(proof),
            Event::EndpointsProof(proof) => self.endpoints_proof = proof,
            Event::Peer { state, known } => self.peer(now_us, *state, known),
            Event::Report { address, report } => self.report(now_us, address, report.as_ref(), actions),
            Event::Draining => self.draining = true,
        }
        self.update_ready(now_us, actions);
    }

    fn next_timer_us(&self) -> Option<u64> {
        Some(self.share_at_us)
    }

    fn on_timer(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        if now_us >= self.share_at_us {
            self.share_at_us = now_us + self.settings.share_interval_ms * US_PER_MS;
            self.sum_peers(now_us);
            self.share(now_us, actions);
            self.update_ready(now_us, actions);
        }
    }

    fn measure(&self, mut gauge: impl FnMut(&'static str, f64)) {
        gauge("banyannotch_gateway_requests_in_flight", self.tickets.len() as f64);
        gauge("banyannotch_gateway_endpoints", self.engines.len() as f64);
        gauge("banyannotch_gateway_configuration_version", self.version() as f64);
        gauge("banyannotch_gateway_peers", self.peers.len() as f64);
    }
}
