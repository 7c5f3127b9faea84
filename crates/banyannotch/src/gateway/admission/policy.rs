//! State of priority admission control for all services.

use super::AdmissionSettings;
use super::classes::{Class, Classes};
use super::outcomes::Outcomes;
use super::queue::{Queue, Waiting};
use super::rate::Rate;
use super::returns::{Prospect, Returns};
use crate::clock::US_PER_MS;
use crate::gateway::{Configuration, Route, Team};
use crate::ids::ServiceId;
use crate::table::Table;

/// Share of the usual limit of the memory that even the least urgent rank may use, so that many ranks do not leave it
/// without any.
const LEAST_MEMORY_SHARE: f64 = 0.4;
/// Microseconds in a second.
const US_PER_S: f64 = (1_000 * US_PER_MS) as f64;

/// Answer to a request that finds no capacity.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Offer {
    /// The request waits.
    Waits,
    /// The request waits in the place of another one, which is refused.
    Displaces(u64),
    /// The request is refused: it is not expected to be sent in time, or the queue is full of requests that precede it.
    Refused,
}

/// State of one service.
#[derive(Clone, Debug, Default)]
struct ServiceState {
    outcomes: Outcomes,
    queue: Queue,
    /// Own sends that ended.
    ended: Rate,
    /// Requests that were sent from the queue.
    served: Rate,
    returns: Returns,
}

impl ServiceState {
    /// Returns the number of requests that can be sent per second, or none if it is not known. Capacity that this gateway
    /// frees may be used by others, and theirs by this one, so the higher of both rates counts.
    fn release_rate_per_s(&self, now_us: u64) -> Option<f64> {
        let rates = [self.ended.per_s(now_us), self.served.per_s(now_us)];
        rates.into_iter().flatten().max_by(f64::total_cmp)
    }
}

/// Classes of the services, what this gateway has admitted and refused of each, and the requests that wait.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    settings: AdmissionSettings,
    classes: Classes,
    services: Table<ServiceId, ServiceState>,
}

impl Admission {
    /// Creates the state without a configuration.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Replaces the settings.
    #[cfg(test)]
    pub fn set_settings(&mut self, settings: AdmissionSettings) {
        self.settings = settings;
    }

    /// Takes over a configuration. Returns the highest priority in it if it is above the largest one. Requests that wait
    /// for a service that it no longer has remain until they are removed.
    pub fn configure(&mut self, configuration: &Configuration) -> Option<u8> {
        self.classes = Classes::of(configuration);
        self.services
            .retain(|service, state| configuration.service(service).is_some() || !state.queue.is_empty());
        self.classes.clamped_priority()
    }

    /// Returns the class of a request, or none if its service is not classed.
    pub fn class(&self, service: &ServiceId, route: &Route, team: Option<&Team>) -> Option<Class> {
        self.classes.class(service, route, team)
    }

    /// Returns whether requests to a service that find no capacity may wait.
    pub fn is_enabled(&self, service: &ServiceId) -> bool {
        self.classes.is_enabled(service)
    }

    /// Returns the share of an engine's memory up to which requests of a class are admitted, from the one for requests
    /// without a class. More urgent ranks keep a reserve, which a class that starves, or its requests of a size that does,
    /// may use as well.
    pub fn memory_share(
        &self,
        now_us: u64,
        service: &ServiceId,
        class: Option<Class>,
        tokens: f64,
        unclassed_share: f64,
    ) -> f64 {
        let Some(Class { rank }) = class else { return unclassed_share };
        let is_starving = self.is_starving(now_us, service, rank, None)
            || self.is_starving(now_us, service, rank, Some(tokens));
        let rank = if is_starving { 0 } else { rank };
        let reserve = f64::from(rank) * self.settings.class_reserve_share;
        (unclassed_share - reserve).max(unclassed_share * LEAST_MEMORY_SHARE)
    }

    /// Counts a request that is sent for the first time, and removes it from the queue if it waited.
    pub fn record_sent(
        &mut self,
        now_us: u64,
        service: &ServiceId,
        class: Option<Class>,
        tokens: f64,
        ticket: u64,
    ) {
        if let Some(state) = self.services.get_mut(service)
            && state.queue.serve(ticket).is_some()
        {
            state.served.record(now_us);
        }
        self.record_outcome(now_us, service, class, tokens, true);
    }

    /// Counts a request that was refused for lack of capacity and was never sent.
    pub fn record_refused(&mut self, now_us: u64, service: &ServiceId, class: Option<Class>, tokens: f64) {
        self.record_outcome(now_us, service, class, tokens, false);
    }

    fn record_outcome(
        &mut self,
        now_us: u64,
        service: &ServiceId,
        class: Option<Class>,
        tokens: f64,
        is_admitted: bool,
    ) {
        let Some(Class { rank }) = class else { return };
        let window_ms = self.settings.starvation_window_ms;
        self.services.entry(service.clone()).outcomes.record(now_us, window_ms, rank, tokens, is_admitted);
    }

    /// Returns after which time the caller of a request that is refused for lack of capacity is to return, in
    /// milliseconds, or none if its service has no classes. `usual_interval_ms` is the time between two requests that can
    /// be sent while it is not known, and `position` in `[0, 1)` a random number.
    pub fn return_after_ms(
        &mut self,
        now_us: u64,
        service: &ServiceId,
        class: Option<Class>,
        remaining_ms: u64,
        usual_interval_ms: u64,
        position: f64,
    ) -> Option<u64> {
        let Class { rank } = class?;
        let state = self.services.entry(service.clone());
        let ahead = (0..=rank).map(|other| state.queue.waiting_in(other)).sum();
        let interval_ms =
            state.release_rate_per_s(now_us).map_or(usual_interval_ms as f64, |per_s| 1_000.0 / per_s);
        let waiting = state.queue.len();
        let prospect = Prospect { rank, ahead, waiting, interval_ms, remaining_ms: remaining_ms as f64 };
        Some(state.returns.schedule(now_us, &prospect, position))
    }

    /// Counts the end of a send, which frees capacity.
    pub fn record_end(&mut self, now_us: u64, service: &ServiceId) {
        if self.is_enabled(service) {
            self.services.entry(service.clone()).ended.record(now_us);
        }
    }

    /// Returns whether a request with the given objective may wait.
    pub fn may_wait(&self, service: &ServiceId, objective_ms: u64) -> bool {
        objective_ms >= self.settings.waiting_objective_min_ms && self.is_enabled(service)
    }

    /// Returns the time until which a request may wait.
    pub fn limit_us(&self, arrived_us: u64, objective_us: u64) -> u64 {
        arrived_us + (objective_us as f64 * self.settings.waiting_share) as u64
    }

    /// Returns whether no request waits that precedes this one.
    pub fn is_next(&self, now_us: u64, service: &ServiceId, request: &Waiting) -> bool {
        self.count_ahead(now_us, service, request) == 0
    }

    /// Adds a request to the queue if it is expected to be sent before its limit.
    pub fn offer(&mut self, now_us: u64, service: &ServiceId, request: Waiting) -> Offer {
        if now_us >= request.limit_us || self.turn_us(now_us, service, &request) > request.limit_us {
            return Offer::Refused;
        }
        let is_full = self.waiting_count(service) >= self.settings.waiting_limit;
        let displaced = if is_full { self.find_displaced(now_us, service, &request) } else { None };
        if is_full && displaced.is_none() {
            return Offer::Refused;
        }
        self.services.entry(service.clone()).queue.push(request);
        displaced.map_or(Offer::Waits, Offer::Displaces)
    }

    /// Returns the last request in the order if the given one precedes it.
    fn find_displaced(&self, now_us: u64, service: &ServiceId, request: &Waiting) -> Option<u64> {
        let queue = &self.services.get(service)?.queue;
        let last_rank = self.ranks_in_order(now_us, service).pop()?;
        let last = queue.last(last_rank)?;
        let order = |rank| self.rank_order(now_us, service, rank);
        let is_before = if last_rank == request.rank {
            queue.precedes(request, last)
        } else {
            order(request.rank) < order(last_rank)
        };
        is_before.then_some(last.ticket)
    }

    /// Returns when a request is expected to be sent. While the rate at which capacity becomes free is not known, or no
    /// request precedes this one, that is now: a request must not be refused without evidence.
    fn turn_us(&self, now_us: u64, service: &ServiceId, request: &Waiting) -> u64 {
        let Some(state) = self.services.get(service) else { return now_us };
        let Some(rate_per_s) = state.release_rate_per_s(now_us) else { return now_us };
        let ahead = self.count_ahead(now_us, service, request);
        now_us + (ahead as f64 / rate_per_s * US_PER_S) as u64
    }

    /// Returns how many waiting requests are expected to be sent before the given one.
    fn count_ahead(&self, now_us: u64, service: &ServiceId, request: &Waiting) -> usize {
        let Some(state) = self.services.get(service).filter(|state| !state.queue.is_empty()) else {
            return 0;
        };
        let own_order = self.rank_order(now_us, service, request.rank);
        let before: usize = self
            .ranks_in_order(now_us, service)
            .into_iter()
            .filter(|rank| self.rank_order(now_us, service, *rank) < own_order)
            .map(|rank| state.queue.waiting_in(rank))
            .sum();
        before + state.queue.count_ahead(request)
    }

    /// Removes a request that leaves the queue without being sent.
    pub fn remove(&mut self, service: &ServiceId, ticket: u64) {
        if let Some(state) = self.services.get_mut(service) {
            state.queue.remove(ticket);
        }
    }

    /// Returns the number of requests that wait for a service.
    pub fn waiting_count(&self, service: &ServiceId) -> usize {
        self.services.get(service).map_or(0, |state| state.queue.len())
    }

    /// Returns the services whose requests may wait, with the number of waiting requests of each of their ranks.
    pub fn waiting_by_rank(&self) -> Vec<(ServiceId, Vec<usize>)> {
        let counts = |(service, ranks): (&ServiceId, usize)| {
            let queue = self.services.get(service).map(|state| &state.queue);
            let waiting = (0..).take(ranks).map(|rank| queue.map_or(0, |queue| queue.waiting_in(rank)));
            (service.clone(), waiting.collect())
        };
        self.classes.enabled().map(counts).collect()
    }

    /// Returns the services for which requests wait.
    pub fn services_with_waiting(&self) -> Vec<ServiceId> {
        let with_waiting = self.services.iter().filter(|(_, state)| !state.queue.is_empty());
        with_waiting.map(|(service, _)| service.clone()).collect()
    }

    /// Returns the ranks in which requests wait for a service, in the order in which they are served.
    pub fn ranks_in_order(&self, now_us: u64, service: &ServiceId) -> Vec<u8> {
        let Some(state) = self.services.get(service) else { return Vec::new() };
        let mut ranks: Vec<u8> = state.queue.ranks().collect();
        ranks.sort_by_cached_key(|rank| self.rank_order(now_us, service, *rank));
        ranks
    }

    /// Returns the next request of a rank.
    pub fn first(&self, service: &ServiceId, rank: u8) -> Option<&Waiting> {
        self.services.get(service)?.queue.first(rank)
    }

    /// Returns all requests that wait.
    pub fn waiting_tickets(&self) -> Vec<u64> {
        self.waiting().map(|waiting| waiting.ticket).collect()
    }

    /// Returns the requests that have waited as long as they may.
    pub fn due(&self, now_us: u64) -> Vec<u64> {
        self.waiting().filter(|waiting| waiting.limit_us <= now_us).map(|waiting| waiting.ticket).collect()
    }

    /// Returns when the next request has waited as long as it may.
    pub fn next_limit_us(&self) -> Option<u64> {
        self.waiting().map(|waiting| waiting.limit_us).min()
    }

    fn waiting(&self) -> impl Iterator<Item = &Waiting> {
        self.services.iter().flat_map(|(_, state)| state.queue.iter())
    }

    /// Returns the sort key of a rank: a class that starves comes first.
    fn rank_order(&self, now_us: u64, service: &ServiceId, rank: u8) -> (bool, u8) {
        (!self.is_starving(now_us, service, rank, None), rank)
    }

    fn is_starving(&self, now_us: u64, service: &ServiceId, rank: u8, tokens: Option<f64>) -> bool {
        let window_ms = self.settings.starvation_window_ms;
        self.services
            .get(service)
            .is_some_and(|state| state.outcomes.is_starving(now_us, window_ms, rank, tokens))
    }
}
