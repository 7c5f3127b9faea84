//! Admission policy: decides whether and when a request is passed to routing.

use std::sync::Arc;

use super::fair::{QueuePosition, Waiting};
use super::forecast::Demand;
use super::state::{DestinationState, InFlight, State};
use super::{Action, AdmissionSettings, Capacity, Decision, Destination, Event, Finished, Verdict};
use crate::configuration::Configuration;
use crate::duty::Duty;
use crate::ids::{RequestId, TeamId};
use crate::request::{NotRun, Submission};

/// State machine of admission.
#[derive(Debug, Default)]
pub struct Admission {
    settings: AdmissionSettings,
    configuration: Option<Arc<Configuration>>,
    /// Sum of the weights of all configured teams.
    total_weight: u64,
    state: State,
}

impl Admission {
    /// Creates the policy.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Returns the numbers of requests that are in flight and that wait.
    pub fn counts(&self) -> (usize, usize) {
        (self.state.in_flight.len(), self.state.waiting.len())
    }

    fn on_submit(&mut self, now_us: u64, submission: Box<Submission>, actions: &mut Vec<Action>) {
        self.set_configuration(&submission.configuration);
        let destination = Destination::of(&submission);
        let weight = self.weight(&submission.team);
        let demand = Demand::of(&submission);
        let has_room = self.has_room(&destination);
        let destination_state = self.state.destinations.entry(destination.clone());
        let output_ratio = destination_state.queue.output_ratio(&submission.team);
        let service_us = destination_state.forecast.service_us(now_us, &demand, &output_ratio);
        let latest_start_us = submission.deadline_us.saturating_sub(service_us.max(1));
        let must_wait = !has_room || destination_state.queue.len() > 0;
        let wait_us =
            if must_wait { destination_state.wait_us(now_us, &submission, &demand, weight) } else { 0 };
        if now_us + wait_us > latest_start_us {
            return self.refuse(now_us, &submission, NotRun::Deadline, actions);
        }
        if must_wait && self.is_queue_full(&destination, &submission.team, weight) {
            return self.refuse(now_us, &submission, NotRun::QueueFull, actions);
        }
        let (request, team) = (submission.request, submission.team.clone());
        let destination_state = self.state.destinations.entry(destination.clone());
        let cost_us = destination_state.forecast.estimated_cost_us(now_us, &demand, &output_ratio);
        let position =
            destination_state.queue.push(weight, Waiting { submission, demand, cost_us, latest_start_us });
        self.state.waiting.insert(request, (destination.clone(), position));
        self.admit_waiting(now_us, &destination, actions);
        if self.state.waiting.contains(&request) {
            let decision = self.decision(&destination, request, team, Verdict::Queued, 0);
            actions.push(Action::Decide(decision));
        }
    }

    /// Returns whether a team may not queue another request for a destination. Besides the limit per team,
    /// once the queue is half full, a team may have no more requests in it than its weighted share of the
    /// other half (at least one), so that no team finds the queue filled by others.
    fn is_queue_full(&self, destination: &Destination, team: &TeamId, weight: u64) -> bool {
        let Some(destination_state) = self.state.destinations.get(destination) else { return false };
        let team_limit =
            self.configuration.as_ref().map_or(0, |configuration| configuration.active().queue_limit);
        let queued = destination_state.queue.queued(team) as u64;
        let half = u64::from(self.settings.queue_total_limit / 2);
        let share = half * weight / self.total_weight.max(1);
        queued >= u64::from(team_limit)
            || (destination_state.queue.len() as u64 >= half && queued >= share.max(1))
    }

    /// Admits waiting requests of the same kind as the given destination while the limits allow it. The model
    /// or service with the fewest requests in flight is next, so that no destination starves the others when
    /// the limit of the kind is reached.
    fn admit_waiting(&mut self, now_us: u64, kind: &Destination, actions: &mut Vec<Action>) {
        while *self.state.in_flight_of_kind(kind) < self.in_flight_limit() {
            let candidates = self.state.destinations.iter().filter(|(destination, destination_state)| {
                destination.is_same_kind(kind)
                    && destination_state.queue.len() > 0
                    && destination_state.in_flight < destination_state.slots()
            });
            let next = candidates.min_by_key(|(_, destination_state)| destination_state.in_flight);
            let Some(destination) = next.map(|(destination, _)| destination.clone()) else { return };
            self.admit_or_refuse_next(now_us, &destination, actions);
        }
    }

    fn admit_or_refuse_next(&mut self, now_us: u64, destination: &Destination, actions: &mut Vec<Action>) {
        let Some(destination_state) = self.state.destinations.get_mut(destination) else { return };
        let Some(waiting) = destination_state.queue.pop() else { return };
        self.state.waiting.remove(&waiting.submission.request);
        // The predicted service time may have changed since the request was queued.
        let output_ratio = destination_state.queue.output_ratio(&waiting.submission.team);
        let service_us = destination_state.forecast.service_us(now_us, &waiting.demand, &output_ratio);
        if now_us + service_us.max(1) > waiting.submission.deadline_us {
            let cost_us = i64::try_from(waiting.cost_us).unwrap_or(i64::MAX);
            destination_state.queue.charge(&waiting.submission.team, -cost_us);
            self.refuse(now_us, &waiting.submission, NotRun::Deadline, actions);
        } else {
            self.admit(now_us, destination, waiting, actions);
        }
    }

    fn admit(&mut self, now_us: u64, destination: &Destination, waiting: Waiting, actions: &mut Vec<Action>) {
        let Waiting { submission, demand, cost_us, .. } = waiting;
        let team = submission.team.clone();
        let in_flight = InFlight {
            destination: destination.clone(),
            team: team.clone(),
            demand,
            cost_us,
            placed_us: now_us,
        };
        self.state.in_flight.insert(submission.request, in_flight);
        self.state.destinations.entry(destination.clone()).in_flight += 1;
        *self.state.in_flight_of_kind(destination) += 1;
        let waited_us = now_us.saturating_sub(submission.arrived_us);
        let decision = self.decision(destination, submission.request, team, Verdict::Admitted, waited_us);
        actions.push(Action::Decide(decision));
        actions.push(Action::Place(submission));
    }

    fn refuse(&self, now_us: u64, submission: &Submission, reason: NotRun, actions: &mut Vec<Action>) {
        let destination = Destination::of(submission);
        let waited_us = now_us.saturating_sub(submission.arrived_us);
        let verdict = Verdict::Refused(reason);
        let team = submission.team.clone();
        let decision = self.decision(&destination, submission.request, team, verdict, waited_us);
        actions.push(Action::Decide(decision));
        actions.push(Action::Refuse { request: submission.request, reason });
    }

    fn decision(
        &self,
        destination: &Destination,
        request: RequestId,
        team: TeamId,
        verdict: Verdict,
        waited_us: u64,
    ) -> Decision {
        let queued = self
            .state
            .destinations
            .get(destination)
            .map_or(0, |destination_state| destination_state.queue.queued(&team));
        let in_flight = u32::try_from(self.state.in_flight.len()).unwrap_or(u32::MAX);
        let queued = u32::try_from(queued).unwrap_or(u32::MAX);
        Decision { request, team, verdict, in_flight, queued, waited_us }
    }

    fn on_cancel(&mut self, now_us: u64, request: RequestId, actions: &mut Vec<Action>) {
        match self.remove_waiting(request) {
            Some(waiting) => self.refuse(now_us, &waiting.submission, NotRun::Cancelled, actions),
            None => actions.push(Action::Cancel(request)),
        }
    }

    fn remove_waiting(&mut self, request: RequestId) -> Option<Waiting> {
        let (destination, position): (Destination, QueuePosition) = self.state.waiting.remove(&request)?;
        self.state.destinations.get_mut(&destination)?.queue.remove(&position)
    }

    fn on_finished(&mut self, now_us: u64, finished: &Finished, actions: &mut Vec<Action>) {
        let Some(in_flight) = self.state.in_flight.remove(&finished.request) else { return };
        let in_flight_of_kind = self.state.in_flight_of_kind(&in_flight.destination);
        *in_flight_of_kind = in_flight_of_kind.saturating_sub(1);
        let destination_state = self.state.destinations.entry(in_flight.destination.clone());
        destination_state.in_flight = destination_state.in_flight.saturating_sub(1);
        destination_state.record_finished(now_us, &in_flight, finished);
        self.admit_waiting(now_us, &in_flight.destination, actions);
    }

    fn on_capacity(&mut self, now_us: u64, capacities: &[Capacity], actions: &mut Vec<Action>) {
        for capacity in capacities {
            let destination_state = self.state.destinations.entry(capacity.destination.clone());
            destination_state.slots = Some(capacity.slots);
            if destination_state.forecast.set_capacity(capacity) {
                destination_state.recompute_latest_starts(now_us);
            }
            self.admit_waiting(now_us, &capacity.destination, actions);
        }
        self.refuse_expired(now_us, actions);
    }

    fn on_configured(&mut self, now_us: u64, configuration: &Arc<Configuration>, actions: &mut Vec<Action>) {
        self.set_configuration(configuration);
        let destinations: Vec<Destination> =
            self.state.destinations.iter().map(|(destination, _)| destination.clone()).collect();
        for destination in destinations {
            self.admit_waiting(now_us, &destination, actions);
        }
    }

    fn set_configuration(&mut self, configuration: &Arc<Configuration>) {
        let is_newer =
            self.configuration.as_ref().is_none_or(|current| current.version < configuration.version);
        if is_newer {
            let weights = configuration.document.teams.iter().map(|team| u64::from(team.weight));
            self.total_weight = weights.sum();
            self.configuration = Some(Arc::clone(configuration));
        }
    }

    fn weight(&self, team: &TeamId) -> u64 {
        let configured =
            self.configuration.as_ref().and_then(|configuration| configuration.document.team(team));
        configured.map_or(1, |team| u64::from(team.weight.max(1)))
    }

    fn in_flight_limit(&self) -> u32 {
        self.configuration.as_ref().map_or(0, |configuration| configuration.active().in_flight_limit)
    }

    fn has_room(&mut self, destination: &Destination) -> bool {
        let limit = self.in_flight_limit();
        let in_flight_of_kind = *self.state.in_flight_of_kind(destination);
        let destination_state = self.state.destinations.entry(destination.clone());
        in_flight_of_kind < limit && destination_state.in_flight < destination_state.slots()
    }

    fn refuse_expired(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let mut expired = Vec::new();
        for (_, destination_state) in self.state.destinations.iter_mut() {
            expired.extend(std::iter::from_fn(|| destination_state.queue.pop_expired(now_us)));
        }
        for waiting in expired {
            self.state.waiting.remove(&waiting.submission.request);
            self.refuse(now_us, &waiting.submission, NotRun::Deadline, actions);
        }
    }
}

impl DestinationState {
    /// Returns the limit of requests in flight, which is at least 1: if there is no endpoint, requests are
    /// passed on one at a time, and routing answers at once that there is no route.
    fn slots(&self) -> u32 {
        self.slots.unwrap_or(u32::MAX).max(1)
    }

    /// Returns the predicted waiting time of a new request.
    fn wait_us(&self, now_us: u64, submission: &Submission, demand: &Demand, weight: u64) -> u64 {
        let ahead_us = self.queue.cost_ahead_us(&submission.team, weight, submission.priority);
        let wait_us = self.forecast.wait_us(now_us, demand, ahead_us);
        (wait_us / f64::from(self.in_flight.min(self.slots()).max(1))) as u64
    }

    /// Updates the forecast from a request that ended, and corrects its charge to the actual cost.
    fn record_finished(&mut self, now_us: u64, in_flight: &InFlight, finished: &Finished) {
        let tokens = f64::from(finished.tokens);
        if finished.completed {
            let elapsed_us = now_us.saturating_sub(in_flight.placed_us);
            self.forecast.record_completion(now_us, &in_flight.demand, tokens, elapsed_us);
            if in_flight.demand.max_tokens > 0.0 {
                self.queue.record_output_ratio(now_us, &in_flight.team, tokens / in_flight.demand.max_tokens);
            }
        }
        let actual_cost_us = self.forecast.cost_for_tokens_us(now_us, &in_flight.demand, tokens);
        let difference_us = i64::try_from(actual_cost_us).unwrap_or(i64::MAX)
            - i64::try_from(in_flight.cost_us).unwrap_or(i64::MAX);
        self.queue.charge(&in_flight.team, difference_us);
    }

    fn recompute_latest_starts(&mut self, now_us: u64) {
        let forecast = &self.forecast;
        self.queue.recompute_latest_starts(|waiting, output_ratio| {
            let service_us = forecast.service_us(now_us, &waiting.demand, output_ratio);
            waiting.submission.deadline_us.saturating_sub(service_us.max(1))
        });
    }
}

impl Duty for Admission {
    type Event = Event;
    type Action = Action;

    fn on_event(&mut self, now_us: u64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Submit(submission) => self.on_submit(now_us, submission, actions),
            Event::Cancel(request) => self.on_cancel(now_us, request, actions),
            Event::Finished(finished) => self.on_finished(now_us, &finished, actions),
            Event::Capacity(capacities) => self.on_capacity(now_us, &capacities, actions),
            Event::Configured(configuration) => self.on_configured(now_us, &configuration, actions),
        }
    }

    fn next_timer_us(&self) -> Option<u64> {
        // A request may still start at its latest start time, so it expires one microsecond later.
        self.state
            .destinations
            .iter()
            .filter_map(|(_, destination_state)| destination_state.queue.next_expiry_us())
            .min()
            .map(|us| us + 1)
    }

    fn on_timer(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        self.refuse_expired(now_us, actions);
    }

    fn measure(&self, mut gauge: impl FnMut(&'static str, f64)) {
        let queued: usize =
            self.state.destinations.iter().map(|(_, destination_state)| destination_state.queue.len()).sum();
        gauge("banyannotch_queued", queued as f64);
    }
}
