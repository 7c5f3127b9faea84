//! The policy of dispatch.

use std::sync::Arc;

use super::DispatchSettings;
use super::budget::Budget;
use super::health::{HealthTable, Load};
use super::messages::{
    Action, BrokenBy, Decision, Ending, Event, PeerState, Proof, Refusal, RefusalReason, SendOrder,
    Submission, Verdict,
};
use super::paths::Surroundings;
use super::suspects::Suspects;
use super::tickets::{Reserved, Ticket};
use crate::clock::US_PER_MS;
use crate::duty::Duty;
use crate::gateway::{Deployment, Engine, EngineReport, Onward, Repeat, Route, Service, Team};
use crate::ids::ServiceId;
use crate::pipeline::{Address, LayerRange};
use crate::random::Random;
use crate::table::Table;

/// Expected answers of plain services are this much shorter than the objective that the operator set.
const PLAIN_COST_SHARE: f64 = 0.3;
/// Share of a failure that silence of one stream counts: it may be the path's or the engine's fault.
const SILENCE_WEIGHT: f64 = 0.5;
/// Share of the time that is left in which a plain endpoint must answer when the request can be repeated elsewhere.
const FIRST_TRY_SHARE: f64 = 0.45;
/// Idle connections to an endpoint of a plain service, as a share of its slots.
const IDLE_SHARE: u32 = 1;
/// The balancer is told this long before requests would be refused for an old proof; longer than the interval at which
/// the age is looked at.
const READY_MARGIN_MS: u64 = 500;

/// Another gateway as it last told.
#[derive(Clone, Debug, Default)]
struct Peer {
    heard_us: u64,
    version: u64,
    loads: Vec<(Address, Load)>,
}

/// Decides for each request where it goes.
#[derive(Debug)]
pub struct Dispatch {
    settings: DispatchSettings,
    random: Random,
    deployment: Option<Arc<Deployment>>,
    engines: Arc<[Engine]>,
    proof: Option<Proof>,
    health: HealthTable,
    tickets: Table<u64, Ticket>,
    budgets: Table<ServiceId, Budget>,
    suspects: Suspects,
    peers: Table<String, Peer>,
    /// Gateways that are known, this one included.
    gateways: usize,
    endpoints_proof: Proof,
    share_at_us: u64,
    ready: bool,
    draining: bool,
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
        let Submission { ticket, ask } = submission;
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
        ask: &crate::gateway::Ask,
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
            onward: Onward {
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
        let engines: Vec<&Engine> =
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
        engines: &[&Engine],
    ) -> Option<Choice> {
        let settings = &self.settings;
        let work_ms = ticket.objective_ms as f64 * PLAIN_COST_SHARE;
        let cost = |engine: &&Engine| {
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
        let idle = (engine.slots * IDLE_SHARE) as usize;
        Some(Choice {
            address: engine.address,
            endpoint: Arc::clone(&engine.id),
            hops: Arc::new([]),
            loads: vec![(engine.address, Load { requests: 1, ..Load::default() })],
            cost_ms,
            token_ms: 0.0,
            idle_connections: idle.min(service.connection_limit),
        })
    }

    /// Takes the prompt of a request off what its engines have to read.
    fn started(&mut self, number: u64) {
        let Some(ticket) = self.tickets.get_mut(&number) else { return };
        for (address, load) in &mut ticket.reserved.loads {
            let read = Load { reading: std::mem::take(&mut load.reading), ..Load::default() };
            if let Some(health) = self.health.get_mut(address) {
                health.own.remove(&read);
            }
        }
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
                if repeat == Repeat::Idempotent && self.may_send_again(now_us, number) {
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

    /// Leaves out the engine that a rejection names.
    fn blame_rejection(
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
    fn blame_break(
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

    fn exclude(&mut self, now_us: u64, address: Address, cause: &'static str, actions: &mut Vec<Action>) {
        let settings = &self.settings;
        let health = self.health.entry(address);
        health.fail(now_us, settings.fault_half_life_ms, 1.0);
        let for_ms = health.exclude(now_us, settings.exclusion_ms, settings.exclusion_most_ms);
        actions.push(Action::Decide(Decision::Excluded { address, for_ms, cause }));
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

    fn report(
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

    fn peer(&mut self, now_us: u64, state: PeerState, known: usize) {
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
    fn sum_peers(&mut self, now_us: u64) {
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

    fn take_engines(&mut self, engines: Arc<[Engine]>) {
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

    fn note_proof(&mut self, proof: Proof) {
        if self.proof.is_none_or(|known| (known.version, known.at_us) < (proof.version, proof.at_us)) {
            self.proof = Some(proof);
        }
    }

    fn version(&self) -> u64 {
        self.deployment.as_deref().map_or(0, |deployment| deployment.version)
    }

    fn proof_age_ms(&self, now_us: u64) -> u64 {
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

    fn share(&mut self, now_us: u64, actions: &mut Vec<Action>) {
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
