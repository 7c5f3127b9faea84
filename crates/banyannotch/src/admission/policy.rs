//! Decides when a request goes on to routing.

use std::sync::Arc;

use super::state::State;
use super::{Action, Decision, Event, Verdict};
use crate::configuration::Configuration;
use crate::duty::Duty;
use crate::ids::RequestId;
use crate::request::{NotRun, Submission};

/// Interval at which deadlines of waiting requests are looked for.
const TICK_US: u64 = 10_000;

/// The policy of admission.
#[derive(Debug, Default)]
pub struct Admission {
    configuration: Option<Arc<Configuration>>,
    state: State,
    next_tick_us: Option<u64>,
}

impl Admission {
    fn on_submit(&mut self, now_us: u64, submission: Box<Submission>, actions: &mut Vec<Action>) {
        if self.state.in_flight.len() < self.in_flight_limit() {
            return self.admit(now_us, submission, actions);
        }
        let limit = self.configuration.as_ref().map_or(0, |configuration| configuration.active().queue_limit);
        if self.state.queued(&submission.team) >= limit as usize {
            return self.refuse(now_us, &submission, NotRun::QueueFull, actions);
        }
        self.next_tick_us.get_or_insert(now_us + TICK_US);
        let team = submission.team.clone();
        self.decide(now_us, &submission, Verdict::Queued, actions);
        self.state.queues.entry(team).waiting.push_back(submission);
    }

    fn admit(&mut self, now_us: u64, submission: Box<Submission>, actions: &mut Vec<Action>) {
        self.state.in_flight.insert(submission.request, ());
        self.decide(now_us, &submission, Verdict::Admitted, actions);
        actions.push(Action::Place(submission));
    }

    fn refuse(&self, now_us: u64, submission: &Submission, reason: NotRun, actions: &mut Vec<Action>) {
        self.decide(now_us, submission, Verdict::Refused(reason), actions);
        actions.push(Action::Refuse { request: submission.request, reason });
    }

    fn decide(&self, now_us: u64, submission: &Submission, verdict: Verdict, actions: &mut Vec<Action>) {
        actions.push(Action::Decide(Decision {
            request: submission.request,
            team: submission.team.clone(),
            verdict,
            in_flight: u32::try_from(self.state.in_flight.len()).unwrap_or(u32::MAX),
            queued: u32::try_from(self.state.queued(&submission.team)).unwrap_or(u32::MAX),
            waited_us: now_us.saturating_sub(submission.arrived_us),
        }));
    }

    /// Admits waiting requests while there is room.
    fn release(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        while self.state.in_flight.len() < self.in_flight_limit() {
            let next = self.state.queues.iter_mut().find_map(|(_, queue)| queue.waiting.pop_front());
            let Some(submission) = next else { return };
            self.admit(now_us, submission, actions);
        }
    }

    fn on_cancel(&mut self, now_us: u64, request: RequestId, actions: &mut Vec<Action>) {
        match self.state.remove_waiting(request) {
            Some(submission) => self.refuse(now_us, &submission, NotRun::Cancelled, actions),
            None => actions.push(Action::Cancel(request)),
        }
    }

    fn in_flight_limit(&self) -> usize {
        self.configuration.as_ref().map_or(0, |configuration| configuration.active().in_flight_limit as usize)
    }

    fn refuse_late(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let late: Vec<RequestId> = self
            .state
            .queues
            .iter()
            .flat_map(|(_, queue)| &queue.waiting)
            .filter(|submission| submission.deadline_us <= now_us)
            .map(|submission| submission.request)
            .collect();
        for request in late {
            if let Some(submission) = self.state.remove_waiting(request) {
                self.refuse(now_us, &submission, NotRun::Deadline, actions);
            }
        }
    }
}

impl Duty for Admission {
    type Event = Event;
    type Action = Action;

    fn on_event(&mut self, now_us: u64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Submit(submission) => self.on_submit(now_us, submission, actions),
            Event::Cancel(request) => self.on_cancel(now_us, request, actions),
            Event::Finished(finished) => {
                self.state.in_flight.remove(&finished.request);
                self.release(now_us, actions);
            }
            Event::Capacity(_) => {}
            Event::Configured(configuration) => {
                self.configuration = Some(configuration);
                self.release(now_us, actions);
            }
        }
    }

    fn next_timer_us(&self) -> Option<u64> {
        self.next_tick_us
    }

    fn on_timer(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        self.refuse_late(now_us, actions);
        let waiting = self.state.queues.iter().any(|(_, queue)| !queue.waiting.is_empty());
        self.next_tick_us = waiting.then_some(now_us + TICK_US);
    }
}
