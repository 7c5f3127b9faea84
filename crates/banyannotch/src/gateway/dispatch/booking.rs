//! Choice of the endpoint or path of a send, and its booking: the load and the retry count as soon as it is chosen.

use std::sync::Arc;

use super::crashes::features;
use super::health::{Exclusion, Load};
use super::messages::{Action, Decision, Feature, RefusalReason};
use super::paths::PathSearch;
use super::policy::Dispatch;
use super::tickets::{Choice, Ticket};
use crate::clock::US_PER_MS;
use crate::gateway::{Endpoint, Service};
use crate::ids::ServiceId;
use crate::pipeline::Address;

/// Expected answer time of a plain service as a share of the route's latency objective. The cost of a replica
/// in another zone is scaled by it as well.
const PLAIN_SERVICE_COST_SHARE: f64 = 0.3;

impl Dispatch {
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
        let is_retry = self.tickets.get(&ticket_id).is_some_and(|ticket| ticket.arrivals > 0);
        if is_retry && let Some(feature) = self.quarantined_feature(ticket_id) {
            return Err(RefusalReason::of_quarantined(feature));
        }
        if is_retry && !self.has_budget(now_us, ticket_id) {
            return Err(RefusalReason::BudgetSpent);
        }
        self.searches += 1;
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

    /// Describes why the endpoints of the request's service cannot be used.
    pub(super) fn describe_no_path(&self, now_us: u64, ticket_id: u64) -> Option<Decision> {
        let ticket = self.tickets.get(&ticket_id)?;
        let (mut endpoints, mut failed, mut reported, mut full, mut declining) = (0, 0, 0, 0, 0);
        for endpoint in self.endpoints.iter().filter(|endpoint| endpoint.service == ticket.service) {
            endpoints += 1;
            if endpoint.leaving || self.announcements.declines(&endpoint.address, now_us) {
                declining += 1;
                continue;
            }
            match self.health.get(&endpoint.address).and_then(|health| health.exclusion(now_us)) {
                Some(Exclusion::Failed) => failed += 1,
                Some(Exclusion::Reported) => reported += 1,
                Some(Exclusion::Full) => full += 1,
                None => {}
            }
        }
        let id = Arc::clone(&ticket.request.id);
        Some(Decision::NoPath { id, endpoints, failed, reported, full, declining })
    }

    /// Returns a choice that was booked earlier, or another one if an endpoint of it has left or failed since.
    pub(super) fn confirm_booking(
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

    fn choose(&mut self, now_us: u64, ticket_id: u64, avoided: Option<Address>) -> Option<Choice> {
        if self.reachability.is_cut_off() {
            return self.choose_helper(now_us, ticket_id);
        }
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
                    cache_share: self.admission.memory_share(
                        now_us,
                        &ticket.service,
                        ticket.class,
                        ticket.request.total_tokens(),
                        self.settings.cache_share,
                    ),
                    now_us,
                };
                let sampled = if takes_cheapest {
                    None
                } else {
                    search.sampled(&ticket.request, &ticket.tried, &mut self.random)
                };
                #[cfg(test)]
                let sampled =
                    self.candidate.choose(&search, &ticket.request, &ticket.tried, &mut self.random, sampled);
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
                    is_handoff: false,
                })
            }
            None => self.choose_replica(now_us, ticket, service, &endpoints),
        }
    }

    /// Checks that no endpoint of a choice announced that it takes no requests.
    pub(super) fn takes_requests(&self, now_us: u64, choice: &Choice, actions: &mut Vec<Action>) -> bool {
        let declining = choice.loads.iter().find(|(address, _)| self.announcements.declines(address, now_us));
        if let Some((address, _)) = declining {
            actions.push(Action::Decide(Decision::DecliningChosen { address: *address }));
        }
        declining.is_none()
    }

    /// Returns whether there are so few gateways that this one hears of most choices of the others in time. In the first
    /// second after its start a gateway that has heard of no other may be one of many.
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
            is_handoff: false,
        })
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

    /// Returns a feature of an admitted request that has been quarantined since.
    fn quarantined_feature(&self, ticket_id: u64) -> Option<Feature> {
        let ticket = self.tickets.get(&ticket_id)?;
        self.crashes.quarantined_feature(&features(&ticket.request))
    }
}
