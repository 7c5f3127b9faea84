//! Decides when a request goes on to routing.

use std::sync::Arc;

use super::fair::{Position, Waiting};
use super::forecast::Demand;
use super::state::{InFlight, Lane, State};
use super::{Action, AdmissionSettings, Capacity, Decision, Destination, Event, Finished, Verdict};
use crate::configuration::Configuration;
use crate::duty::Duty;
use crate::ids::{RequestId, TeamId};
use crate::request::{NotRun, Submission};

/// The policy of admission.
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

    /// Returns how many requests are in flight and how many wait.
    pub fn counts(&self) -> (usize, usize) {
        (self.state.in_flight.len(), self.state.waiting.len())
    }

    fn on_submit(&mut self, now_us: u64, submission: Box<Submission>, actions: &mut Vec<Action>) {
        self.set_configuration(&submission.configuration);
        let destination = Destination::of(&submission);
        let weight = self.weight(&submission.team);
        let demand = Demand::of(&submission);
        let free = self.has_room(&destination);
        let lane = self.state.lanes.entry(destination.clone());
        let tokens_share = lane.queue.tokens_share(&submission.team);
        let service_us = lane.forecast.service_us(now_us, &demand, &tokens_share);
        let latest_us = submission.deadline_us.saturating_sub(service_us.max(1));
        let waits = !free || lane.queue.len() > 0;
        let wait_us = if waits { lane.wait_us(now_us, &submission, &demand, weight) } else { 0 };
        if now_us + wait_us > latest_us {
            return self.refuse(now_us, &submission, NotRun::Deadline, actions);
        }
        if waits && self.is_full(&destination, &submission.team, weight) {
            return self.refuse(now_us, &submission, NotRun::QueueFull, actions);
        }
        let (request, team) = (submission.request, submission.team.clone());
        let lane = self.state.lanes.entry(destination.clone());
        let cost_us = lane.forecast.cost_us(now_us, &demand, &tokens_share);
        let position = lane.queue.push(weight, Waiting { submission, demand, cost_us, latest_us });
        self.state.waiting.insert(request, (destination.clone(), position));
        self.release(now_us, &destination, actions);
        if self.state.waiting.contains(&request) {
            let decision = self.decision(&destination, request, team, Verdict::Queued, 0);
            actions.push(Action::Decide(decision));
        }
    }

    /// Returns whether a team's queue or the whole queue is full. Once the whole queue is half full, each team may use
    /// its share of the other half, so that no team finds the queue filled by others.
    fn is_full(&self, destination: &Destination, team: &TeamId, weight: u64) -> bool {
        let Some(lane) = self.state.lanes.get(destination) else { return false };
        let team_limit = self.configuration.as_ref().map_or(0, |known| known.active().queue_limit);
        let queued = lane.queue.queued(team) as u64;
        let half = u64::from(self.settings.queue_total_limit / 2);
        let share = half * weight / self.total_weight.max(1);
        queued >= u64::from(team_limit) || (lane.queue.len() as u64 >= half && queued >= share.max(1))
    }

    /// Places waiting requests of the same kind while there is room. When the limit of the kind binds, the model or
    /// service with the fewest requests in flight is next, so that none keeps the others waiting.
    fn release(&mut self, now_us: u64, kind: &Destination, actions: &mut Vec<Action>) {
        while *self.state.in_flight_of_kind(kind) < self.in_flight_limit() {
            let lanes = self.state.lanes.iter().filter(|(destination, lane)| {
                destination.is_same_kind(kind) && lane.queue.len() > 0 && lane.in_flight < lane.slots()
            });
            let next = lanes.min_by_key(|(_, lane)| lane.in_flight);
            let Some(destination) = next.map(|(destination, _)| destination.clone()) else { return };
            self.release_one(now_us, &destination, actions);
        }
    }

    fn release_one(&mut self, now_us: u64, destination: &Destination, actions: &mut Vec<Action>) {
        let Some(lane) = self.state.lanes.get_mut(destination) else { return };
        let Some(waiting) = lane.queue.pop() else { return };
        self.state.waiting.remove(&waiting.submission.request);
        // The prediction may have changed since the request was queued.
        let tokens_share = lane.queue.tokens_share(&waiting.submission.team);
        let service_us = lane.forecast.service_us(now_us, &waiting.demand, &tokens_share);
        if now_us + service_us.max(1) > waiting.submission.deadline_us {
            let cost_us = i64::try_from(waiting.cost_us).unwrap_or(i64::MAX);
            lane.queue.charge(&waiting.submission.team, -cost_us);
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
        self.state.lanes.entry(destination.clone()).in_flight += 1;
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
        let queued = self.state.lanes.get(destination).map_or(0, |lane| lane.queue.queued(&team));
        let in_flight = u32::try_from(self.state.in_flight.len()).unwrap_or(u32::MAX);
        let queued = u32::try_from(queued).unwrap_or(u32::MAX);
        Decision { request, team, verdict, in_flight, queued, waited_us }
    }

    fn on_cancel(&mut self, now_us: u64, request: RequestId, actions: &mut Vec<Action>) {
        match self.take_waiting(request) {
            Some(waiting) => self.refuse(now_us, &waiting.submission, NotRun::Cancelled, actions),
            None => actions.push(Action::Cancel(request)),
        }
    }

    fn take_waiting(&mut self, request: RequestId) -> Option<Waiting> {
        let (destination, position): (Destination, Position) = self.state.waiting.remove(&request)?;
        self.state.lanes.get_mut(&destination)?.queue.remove(&position)
    }

    fn on_finished(&mut self, now_us: u64, finished: &Finished, actions: &mut Vec<Action>) {
        let Some(ended) = self.state.in_flight.remove(&finished.request) else { return };
        let of_kind = self.state.in_flight_of_kind(&ended.destination);
        *of_kind = of_kind.saturating_sub(1);
        let lane = self.state.lanes.entry(ended.destination.clone());
        lane.in_flight = lane.in_flight.saturating_sub(1);
        lane.learn(now_us, &ended, finished);
        self.release(now_us, &ended.destination, actions);
    }

    fn on_capacity(&mut self, now_us: u64, capacities: &[Capacity], actions: &mut Vec<Action>) {
        for capacity in capacities {
            let lane = self.state.lanes.entry(capacity.target.clone());
            lane.slots = Some(capacity.slots);
            if lane.forecast.set_capacity(capacity) {
                lane.refit(now_us);
            }
            self.release(now_us, &capacity.target, actions);
        }
        self.refuse_late(now_us, actions);
    }

    fn on_configured(&mut self, now_us: u64, configuration: &Arc<Configuration>, actions: &mut Vec<Action>) {
        self.set_configuration(configuration);
        let destinations: Vec<Destination> = self.state.lanes.iter().map(|(name, _)| name.clone()).collect();
        for destination in destinations {
            self.release(now_us, &destination, actions);
        }
    }

    fn set_configuration(&mut self, configuration: &Arc<Configuration>) {
        let newer = self.configuration.as_ref().is_none_or(|known| known.version < configuration.version);
        if newer {
            let weights = configuration.document.teams.iter().map(|team| u64::from(team.weight));
            self.total_weight = weights.sum();
            self.configuration = Some(Arc::clone(configuration));
        }
    }

    fn weight(&self, team: &TeamId) -> u64 {
        let known = self.configuration.as_ref().and_then(|known| known.document.team(team));
        known.map_or(1, |team| u64::from(team.weight.max(1)))
    }

    fn in_flight_limit(&self) -> u32 {
        self.configuration.as_ref().map_or(0, |known| known.active().in_flight_limit)
    }

    fn has_room(&mut self, destination: &Destination) -> bool {
        let limit = self.in_flight_limit();
        let of_kind = *self.state.in_flight_of_kind(destination);
        let lane = self.state.lanes.entry(destination.clone());
        of_kind < limit && lane.in_flight < lane.slots()
    }

    fn refuse_late(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let mut late = Vec::new();
        for (_, lane) in self.state.lanes.iter_mut() {
            late.extend(std::iter::from_fn(|| lane.queue.pop_expired(now_us)));
        }
        for waiting in late {
            self.state.waiting.remove(&waiting.submission.request);
            self.refuse(now_us, &waiting.submission, NotRun::Deadline, actions);
        }
    }
}

impl Lane {
    /// Returns the limit of requests in flight. Without any endpoint, single requests go on to routing, which answers
    /// them at once as having no route.
    fn slots(&self) -> u32 {
        self.slots.unwrap_or(u32::MAX).max(1)
    }

    /// Returns the predicted time until a new request of a team is placed.
    fn wait_us(&self, now_us: u64, submission: &Submission, demand: &Demand, weight: u64) -> u64 {
        let ahead_us = self.queue.cost_ahead_us(&submission.team, weight, submission.priority);
        let wait_us = self.forecast.wait_us(now_us, demand, ahead_us);
        (wait_us / f64::from(self.in_flight.min(self.slots()).max(1))) as u64
    }

    fn learn(&mut self, now_us: u64, ended: &InFlight, finished: &Finished) {
        let tokens = f64::from(finished.tokens);
        if finished.completed {
            let elapsed_us = now_us.saturating_sub(ended.placed_us);
            self.forecast.learn(now_us, &ended.demand, tokens, elapsed_us);
            if ended.demand.max_tokens > 0.0 {
                self.queue.learn_tokens_share(now_us, &ended.team, tokens / ended.demand.max_tokens);
            }
        }
        let actual_us = self.forecast.charge_us(now_us, &ended.demand, tokens);
        let difference_us =
            i64::try_from(actual_us).unwrap_or(i64::MAX) - i64::try_from(ended.cost_us).unwrap_or(i64::MAX);
        self.queue.charge(&ended.team, difference_us);
    }

    fn refit(&mut self, now_us: u64) {
        let forecast = &self.forecast;
        self.queue.refit(|waiting, tokens_share| {
            let service_us = forecast.service_us(now_us, &waiting.demand, tokens_share);
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
        // A request may still start at its latest time, so it is late one microsecond after it.
        self.state.lanes.iter().filter_map(|(_, lane)| lane.queue.expires_us()).min().map(|us| us + 1)
    }

    fn on_timer(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        self.refuse_late(now_us, actions);
    }

    fn measure(&self, mut gauge: impl FnMut(&'static str, f64)) {
        let queued: usize = self.state.lanes.iter().map(|(_, lane)| lane.queue.len()).sum();
        gauge("banyannotch_queued", queued as f64);
    }
}
