//! The policy of execution: dispatches each event to its request and ends each request exactly once.

use super::budget::RetryBudget;
use super::call::{self, Call};
use super::error::StepFault;
use super::generation::{Awaiting, Generation};
use super::outcome::{call_outcome, outcome_of, report_end, to_recorded};
use super::state::{Context, Ending, ExecutionSettings, Flow};
use super::suspects::Suspects;
use super::{Action, Decision, Event, ProbeResult, Suspicion};
use crate::clock::US_PER_MS;
use crate::duty::Duty;
use crate::ids::{EndpointId, RequestId};
use crate::ledger;
use crate::pipeline::Target;
use crate::random::Random;
use crate::request::{NotRun, Outcome, Submission, Work};
use crate::routing::{Assignment, RerouteResult, Start};
use crate::table::Table;

/// Interval at which deadlines and late steps are checked while requests are in flight.
const TICK_US: u64 = 10 * US_PER_MS;

/// Policy that drives all requests of one entry.
#[derive(Debug)]
pub struct Execution {
    settings: ExecutionSettings,
    random: Random,
    budget: RetryBudget,
    retained_bytes: u64,
    in_flight: Table<RequestId, InFlight>,
    probing: Table<EndpointId, ()>,
    suspects: Suspects,
    next_tick_us: Option<u64>,
}

/// A request in flight.
#[derive(Debug)]
enum InFlight {
    Generation(Box<Generation>),
    Call(Box<Call>),
}

impl InFlight {
    fn submission(&self) -> &Submission {
        match self {
            Self::Generation(generation) => &generation.submission,
            Self::Call(call) => &call.submission,
        }
    }
}

/// Borrows the shared state apart from the requests, so that both can be changed at once.
macro_rules! context {
    ($driver:ident, $now_us:ident, $actions:ident) => {
        Context {
            now_us: $now_us,
            settings: &$driver.settings,
            random: &mut $driver.random,
            budget: &mut $driver.budget,
            retained_bytes: &mut $driver.retained_bytes,
            actions: $actions,
        }
    };
}

impl Execution {
    /// Creates the policy. The seed determines the cache identifiers and the jitter of holds.
    pub fn new(settings: ExecutionSettings, seed: u64) -> Self {
        Self {
            settings,
            random: Random::seeded(seed),
            budget: RetryBudget::default(),
            retained_bytes: 0,
            in_flight: Table::default(),
            probing: Table::default(),
            suspects: Suspects::default(),
            next_tick_us: None,
        }
    }

    /// Returns the size of the inputs that are retained for replay.
    pub fn retained_bytes(&self) -> u64 {
        self.retained_bytes
    }

    fn on_start(&mut self, now_us: u64, start: Start, actions: &mut Vec<Action>) {
        let Start { submission, assignment } = start;
        let request = submission.request;
        self.budget.count_first_attempt(submission.configuration.active().retry_budget_percent);
        if self.suspects.is_quarantined(submission.fingerprint()) {
            return self.refuse(now_us, &submission, NotRun::Quarantined, actions);
        }
        if submission.deadline_us <= now_us {
            return self.refuse(now_us, &submission, NotRun::Deadline, actions);
        }
        let mut context = context!(self, now_us, actions);
        let request_state = match (assignment, submission.work.clone()) {
            (Ok(Assignment::Pipeline { route, paces }), Work::Generate(work)) => {
                InFlight::Generation(Box::new(Generation::new(submission, work, route, &paces, &mut context)))
            }
            (Ok(Assignment::Service(target)), Work::Call(work)) => {
                InFlight::Call(Box::new(Call::new(submission, work, target, now_us)))
            }
            (Err(reason), _) => return self.refuse(now_us, &submission, reason, actions),
            (Ok(_), _) => return self.refuse(now_us, &submission, NotRun::NoRoute, actions),
        };
        self.in_flight.insert(request, request_state);
        self.next_tick_us.get_or_insert(now_us + TICK_US);
        self.begin(now_us, request, actions);
    }

    fn begin(&mut self, now_us: u64, request: RequestId, actions: &mut Vec<Action>) {
        match self.in_flight.get_mut(&request) {
            Some(InFlight::Call(call)) => call.begin(&mut context!(self, now_us, actions)),
            Some(InFlight::Generation(generation)) => {
                if let Some(target) = generation.target(0) {
                    let (attempt, endpoint) = (generation.attempt, target.endpoint.clone());
                    actions.push(Action::Decide(Decision::Dispatched { request, attempt, endpoint }));
                }
                self.send_or_wait(now_us, request, 0, actions);
            }
            None => {}
        }
    }

    /// Sends a step, unless the content is held or quarantined, or is a suspect that has to wait for its turn
    /// at the endpoint.
    fn send_or_wait(&mut self, now_us: u64, request: RequestId, stage: usize, actions: &mut Vec<Action>) {
        let Some(InFlight::Generation(generation)) = self.in_flight.get_mut(&request) else { return };
        let fingerprint = generation.submission.fingerprint();
        if self.suspects.is_held(fingerprint, now_us) {
            generation.awaiting = Awaiting::Hold { stage };
            return;
        }
        if self.suspects.is_quarantined(fingerprint) {
            return self.end(now_us, request, Ending::Quarantined, actions);
        }
        let suspect = self.suspects.is_suspect(fingerprint);
        let endpoint = generation.target(stage).map(|target| target.endpoint.clone());
        let has_turn = match endpoint {
            Some(endpoint) if suspect => self.suspects.try_acquire_turn(&endpoint, request),
            _ => true,
        };
        if has_turn {
            generation.send(stage, &mut context!(self, now_us, actions));
        } else {
            generation.awaiting = Awaiting::Turn { stage };
        }
    }

    fn with_generation(
        &mut self,
        now_us: u64,
        request: RequestId,
        actions: &mut Vec<Action>,
        update: impl FnOnce(&mut Generation, &mut Context<'_>) -> Flow,
    ) {
        let Some(InFlight::Generation(generation)) = self.in_flight.get_mut(&request) else { return };
        let flow = update(generation, &mut context!(self, now_us, actions));
        self.apply_flow(now_us, request, flow, actions);
    }

    fn with_call(
        &mut self,
        now_us: u64,
        request: RequestId,
        actions: &mut Vec<Action>,
        update: impl FnOnce(&mut Call, &mut Context<'_>) -> Flow,
    ) {
        let Some(InFlight::Call(call)) = self.in_flight.get_mut(&request) else { return };
        let flow = update(call, &mut context!(self, now_us, actions));
        self.apply_flow(now_us, request, flow, actions);
    }

    fn apply_flow(&mut self, now_us: u64, request: RequestId, flow: Flow, actions: &mut Vec<Action>) {
        if let Flow::End(ending) = flow {
            self.end(now_us, request, ending, actions);
        }
    }

    fn on_step_finished(&mut self, now_us: u64, report: super::StepReport, actions: &mut Vec<Action>) {
        let request = report.request;
        let target = self.expected_target(&report);
        if target.is_some() && self.is_deadline_timeout(now_us, &report) {
            return self.end(now_us, request, Ending::Deadline, actions);
        }
        match &report.result {
            Ok(_) if target.is_some() && self.suspects.has_turns() => {
                self.clear_suspicion(now_us, request, actions);
            }
            Ok(_) => {}
            Err(fault) => {
                if let Some(target) = target {
                    self.record_failure(now_us, &target, *fault == StepFault::NotSent, actions);
                }
            }
        }
        self.with_generation(now_us, request, actions, |generation, context| {
            generation.on_report(report, context)
        });
        self.probe_after_break(request, actions);
    }

    /// Probes the endpoint of a broken connection, to distinguish a crash from a network failure.
    fn probe_after_break(&mut self, request: RequestId, actions: &mut Vec<Action>) {
        let target = match self.in_flight.get(&request) {
            Some(InFlight::Generation(generation)) => match &generation.awaiting {
                Awaiting::CrashCheck { target, .. } => target.clone(),
                _ => return,
            },
            Some(InFlight::Call(call)) if call.is_checking_crash_of(&call.target().endpoint) => {
                call.target().clone()
            }
            Some(InFlight::Call(_)) | None => return,
        };
        self.probe(target, actions);
    }

    /// Returns the endpoint of the outstanding step, if the report belongs to that step.
    fn expected_target(&self, report: &super::StepReport) -> Option<Target> {
        let InFlight::Generation(generation) = self.in_flight.get(&report.request)? else { return None };
        let Awaiting::Step(outstanding) = &generation.awaiting else { return None };
        let matches = outstanding.cache == report.cache && outstanding.position == report.position;
        matches.then(|| outstanding.target.clone())
    }

    /// Returns whether a step timed out because the request's deadline has passed. The time limit of a step
    /// is the time to the deadline, so such a timeout says nothing about the endpoint. Counting it as a
    /// failure of the endpoint made other entries suspect healthy engines under overload.
    fn is_deadline_timeout(&self, now_us: u64, report: &super::StepReport) -> bool {
        let deadline_us =
            self.in_flight.get(&report.request).map(|request_state| request_state.submission().deadline_us);
        report.result == Err(StepFault::TimedOut)
            && deadline_us.is_some_and(|deadline_us| deadline_us <= now_us)
    }

    /// Clears the suspicion against the content of a request after an endpoint ran a step of it without a
    /// crash, and lets the next suspect run.
    fn clear_suspicion(&mut self, now_us: u64, request: RequestId, actions: &mut Vec<Action>) {
        if let Some(request_state) = self.in_flight.get(&request) {
            self.suspects.clear(request_state.submission().fingerprint());
        }
        self.release_turns(now_us, request, actions);
    }

    fn release_turns(&mut self, now_us: u64, request: RequestId, actions: &mut Vec<Action>) {
        for next in self.suspects.release_turns(request) {
            let Some(InFlight::Generation(generation)) = self.in_flight.get(&next) else { continue };
            let Awaiting::Turn { stage } = generation.awaiting else { continue };
            self.send_or_wait(now_us, next, stage, actions);
        }
    }

    fn record_failure(&mut self, now_us: u64, target: &Target, refused: bool, actions: &mut Vec<Action>) {
        self.suspects.record_failure(now_us, &target.zone, &target.endpoint, &self.settings);
        actions.push(Action::Failed { endpoint: target.endpoint.clone(), refused });
    }

    fn on_reroute_result(&mut self, now_us: u64, result: RerouteResult, actions: &mut Vec<Action>) {
        let request = result.request;
        match self.in_flight.get_mut(&request) {
            Some(InFlight::Generation(generation)) => {
                let stage = generation.on_reroute_result(result.found, &mut context!(self, now_us, actions));
                if let Some(stage) = stage {
                    self.send_or_wait(now_us, request, stage, actions);
                }
            }
            Some(InFlight::Call(call)) => {
                call.on_reroute_result(result.found, &mut context!(self, now_us, actions));
            }
            None => {}
        }
    }

    fn on_probed(
        &mut self,
        now_us: u64,
        endpoint: &EndpointId,
        result: ProbeResult,
        actions: &mut Vec<Action>,
    ) {
        self.probing.remove(endpoint);
        let requests: Vec<RequestId> = self.in_flight.iter().map(|(request, _)| *request).collect();
        let mut suspicions = Vec::new();
        for request in requests {
            match self.in_flight.get(&request) {
                Some(InFlight::Generation(generation)) => {
                    let crash_check = match &generation.awaiting {
                        Awaiting::CrashCheck { target, first_step, .. } if target.endpoint == *endpoint => {
                            Some((target.clone(), *first_step))
                        }
                        _ => None,
                    };
                    match crash_check {
                        Some((target, first_step)) => {
                            if result == ProbeResult::Refused {
                                self.record_crash(now_us, request, &target, &mut suspicions);
                                self.hold_content(now_us, request, first_step);
                            }
                            self.resume_after_crash_check(now_us, request, actions);
                        }
                        None => self.evaluate_outstanding_step(now_us, request, endpoint, result, actions),
                    }
                }
                Some(InFlight::Call(call)) if call.is_checking_crash_of(endpoint) => {
                    let target = call.target().clone();
                    if result == ProbeResult::Refused {
                        self.record_crash(now_us, request, &target, &mut suspicions);
                    }
                    self.resume_after_crash_check(now_us, request, actions);
                }
                Some(InFlight::Call(_)) | None => {}
            }
        }
        if result == ProbeResult::Refused {
            actions.push(Action::Failed { endpoint: endpoint.clone(), refused: true });
        }
        if !suspicions.is_empty() {
            actions.push(Action::Announce(suspicions));
        }
    }

    fn record_crash(
        &mut self,
        now_us: u64,
        request: RequestId,
        target: &Target,
        suspicions: &mut Vec<Suspicion>,
    ) {
        let Some(request_state) = self.in_flight.get(&request) else { return };
        let fingerprint = request_state.submission().fingerprint();
        let suspicion = Suspicion { fingerprint, endpoint: target.endpoint.clone() };
        self.suspects.record_crash(now_us, &suspicion, Some(&target.zone), &self.settings);
        suspicions.push(suspicion);
    }

    /// Holds a content that crashed an endpoint in its first step, or that is quarantined now, so that the
    /// other entries receive the report of the crash before the request is retried here, and before its
    /// caller can resend it to one of them. A request of which the endpoint had already run a step is held
    /// only if its content is quarantined.
    fn hold_content(&mut self, now_us: u64, request: RequestId, first_step: bool) {
        let Some(request_state) = self.in_flight.get(&request) else { return };
        let fingerprint = request_state.submission().fingerprint();
        let min_ms = if self.suspects.is_quarantined(fingerprint) {
            self.settings.quarantine_notice_ms
        } else if first_step {
            self.settings.suspect_pause_ms
        } else {
            return;
        };
        let min_us = min_ms * US_PER_MS;
        let jitter_us = self.random.below(usize::try_from(min_us).unwrap_or(usize::MAX)) as u64;
        self.suspects.hold(fingerprint, now_us + min_us + jitter_us);
    }

    /// Continues a request after the probe of its broken connection. A request whose content is quarantined
    /// ends instead: a call at once, a generation when its hold ends.
    fn resume_after_crash_check(&mut self, now_us: u64, request: RequestId, actions: &mut Vec<Action>) {
        let Some(request_state) = self.in_flight.get(&request) else { return };
        let fingerprint = request_state.submission().fingerprint();
        if self.suspects.is_quarantined(fingerprint) {
            let endpoints = self.suspects.crashed_endpoints(fingerprint).to_vec();
            actions.push(Action::Decide(Decision::Quarantined { fingerprint, endpoints }));
            self.release_turns(now_us, request, actions);
            if let Some(InFlight::Generation(generation)) = self.in_flight.get_mut(&request)
                && let Awaiting::CrashCheck { stage, .. } = &generation.awaiting
            {
                generation.awaiting = Awaiting::Hold { stage: *stage };
                return;
            }
            return self.end(now_us, request, Ending::Quarantined, actions);
        }
        self.release_turns(now_us, request, actions);
        self.with_generation(now_us, request, actions, |generation, context| {
            let Awaiting::CrashCheck { stage, target, .. } = &generation.awaiting else {
                return Flow::Continue;
            };
            let (stage, failed) = (*stage, target.endpoint.clone());
            generation.request_substitute(stage, &failed, true, context)
        });
        self.with_call(now_us, request, actions, |call, context| {
            if matches!(call.awaiting, call::Awaiting::CrashCheck) {
                call.request_substitute(context)
            } else {
                Flow::Continue
            }
        });
    }

    /// Evaluates an outstanding step at a probed endpoint. The step fails if the endpoint is gone or gives no
    /// answer, or if it is late and the endpoint has finished no batch since the last probe. It gets more
    /// time if it is late and the endpoint makes progress.
    fn evaluate_outstanding_step(
        &mut self,
        now_us: u64,
        request: RequestId,
        endpoint: &EndpointId,
        result: ProbeResult,
        actions: &mut Vec<Action>,
    ) {
        let timeout_us = self.settings.step_timeout_us();
        let Some(InFlight::Generation(generation)) = self.in_flight.get_mut(&request) else { return };
        let Awaiting::Step(outstanding) = &mut generation.awaiting else { return };
        if outstanding.target.endpoint != *endpoint {
            return;
        }
        let late = outstanding.due_us <= now_us;
        let failed = match result {
            ProbeResult::NoAnswer | ProbeResult::Refused => true,
            ProbeResult::Batches(batches) => {
                let advanced = outstanding.batches.is_none_or(|seen| batches > seen);
                if late && advanced {
                    outstanding.batches = Some(batches);
                    outstanding.due_us = now_us + timeout_us;
                }
                late && !advanced
            }
        };
        if !failed {
            return;
        }
        let target = outstanding.target.clone();
        self.record_failure(now_us, &target, result == ProbeResult::Refused, actions);
        self.release_turns(now_us, request, actions);
        self.with_generation(now_us, request, actions, |generation, context| {
            generation.on_fault(&StepFault::TimedOut, context)
        });
    }

    fn on_suspected(&mut self, now_us: u64, suspicions: &[Suspicion], actions: &mut Vec<Action>) {
        for suspicion in suspicions {
            let was_quarantined = self.suspects.is_quarantined(suspicion.fingerprint);
            let is_quarantined = self.suspects.record_crash(now_us, suspicion, None, &self.settings);
            if is_quarantined && !was_quarantined {
                let endpoints = self.suspects.crashed_endpoints(suspicion.fingerprint).to_vec();
                let fingerprint = suspicion.fingerprint;
                actions.push(Action::Decide(Decision::Quarantined { fingerprint, endpoints }));
            }
            if !is_quarantined {
                let until_us = now_us + self.settings.shared_turn_ms * US_PER_MS;
                self.suspects.hold(suspicion.fingerprint, until_us);
            }
        }
    }

    fn on_cancel(&mut self, now_us: u64, request: RequestId, actions: &mut Vec<Action>) {
        if let Some(InFlight::Call(call)) = self.in_flight.get_mut(&request)
            && call.key().is_some()
        {
            match call.awaiting {
                // Only the ledger determines whether the claim still takes effect, so the request stays
                // open until it answers.
                call::Awaiting::Claim => {
                    call.abandoned = true;
                    actions.push(Action::Ledger(ledger::Event::Abandon(request)));
                    return;
                }
                // The service may be running the call. The request stays open so that its outcome is recorded
                // for a resend.
                call::Awaiting::Answer { .. } => {
                    call.abandoned = true;
                    return;
                }
                call::Awaiting::CrashCheck | call::Awaiting::Substitute { .. } => {}
            }
        }
        self.end(now_us, request, Ending::Cancelled, actions);
    }

    fn refuse(&self, now_us: u64, submission: &Submission, reason: NotRun, actions: &mut Vec<Action>) {
        let outcome = Outcome::NotRun(reason);
        report_end(now_us, submission, outcome, 0, actions);
    }

    fn end(&mut self, now_us: u64, request: RequestId, ending: Ending, actions: &mut Vec<Action>) {
        let Some(request_state) = self.in_flight.remove(&request) else { return };
        self.release_turns(now_us, request, actions);
        match request_state {
            InFlight::Generation(mut generation) => {
                generation.release(&mut context!(self, now_us, actions));
                let tokens = u32::try_from(generation.tokens.len()).unwrap_or(u32::MAX);
                let outcome = outcome_of(ending, generation.phase, tokens);
                report_end(now_us, &generation.submission, outcome, tokens, actions);
            }
            InFlight::Call(call) => {
                let record = call.nonce.zip(call.key().cloned());
                let outcome = call_outcome(ending, call.phase);
                if let Some((nonce, key)) = record {
                    let outcome = to_recorded(&outcome);
                    actions.push(Action::Ledger(ledger::Event::RecordOutcome(ledger::OutcomeReport {
                        key,
                        nonce,
                        outcome,
                    })));
                }
                report_end(now_us, &call.submission, outcome, 0, actions);
            }
        }
    }

    /// Checks one request on a tick for a passed deadline, a late step or answer, and a pause or hold that
    /// has ended.
    fn check_request(&mut self, now_us: u64, request: RequestId, actions: &mut Vec<Action>) {
        let Some(request_state) = self.in_flight.get_mut(&request) else { return };
        if request_state.submission().deadline_us <= now_us && !is_awaiting_ledger(request_state) {
            let ending =
                if is_awaiting_substitute(request_state) { Ending::NoSubstitute } else { Ending::Deadline };
            return self.end(now_us, request, ending, actions);
        }
        match request_state {
            InFlight::Call(_) => {
                self.with_call(now_us, request, actions, Call::on_timer);
            }
            InFlight::Generation(generation) => {
                if let Awaiting::Hold { stage } = generation.awaiting {
                    return self.send_or_wait(now_us, request, stage, actions);
                }
                generation.retry_reroute(&mut context!(self, now_us, actions));
                let late_target = match &generation.awaiting {
                    Awaiting::Step(outstanding) if outstanding.due_us <= now_us => {
                        Some(outstanding.target.clone())
                    }
                    _ => None,
                };
                if let Some(target) = late_target {
                    self.probe(target, actions);
                }
            }
        }
    }

    /// Probes an endpoint, unless a probe of it is already in progress for another request.
    fn probe(&mut self, target: Target, actions: &mut Vec<Action>) {
        if self.probing.insert(target.endpoint.clone(), ()).is_none() {
            actions.push(Action::Probe(target));
        }
    }
}

impl Duty for Execution {
    type Event = Event;
    type Action = Action;

    fn on_event(&mut self, now_us: u64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Start(start) => self.on_start(now_us, start, actions),
            Event::Cancel(request) => self.on_cancel(now_us, request, actions),
            Event::RerouteResult(result) => self.on_reroute_result(now_us, result, actions),
            Event::Credit { request, tokens } => {
                self.with_generation(now_us, request, actions, |generation, context| {
                    generation.on_credit(tokens, context);
                    Flow::Continue
                });
            }
            Event::StepFinished(report) => self.on_step_finished(now_us, report, actions),
            Event::CallFinished(report) => {
                let request = report.request;
                self.with_call(now_us, request, actions, |call, context| call.on_report(report, context));
                self.probe_after_break(request, actions);
            }
            Event::Claimed(answer) => {
                self.with_call(now_us, answer.request, actions, |call, context| {
                    call.on_claimed(answer.verdict, context)
                });
            }
            Event::Probed { endpoint, result } => self.on_probed(now_us, &endpoint, result, actions),
            Event::Suspected(suspicions) => self.on_suspected(now_us, &suspicions, actions),
        }
    }

    fn next_timer_us(&self) -> Option<u64> {
        self.next_tick_us
    }

    fn on_timer(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let requests: Vec<RequestId> = self.in_flight.iter().map(|(request, _)| *request).collect();
        for request in requests {
            self.check_request(now_us, request, actions);
        }
        self.suspects.expire(now_us, &self.settings);
        self.next_tick_us = if self.in_flight.is_empty() { None } else { Some(now_us + TICK_US) };
    }

    fn measure(&self, mut gauge: impl FnMut(&'static str, f64)) {
        gauge("banyannotch_retry_budget", self.budget.available());
    }
}

/// Returns whether a call waits for the ledger. The ledger answers each claim by the deadline of its request,
/// and only the ledger determines whether the claim took effect.
fn is_awaiting_ledger(request_state: &InFlight) -> bool {
    match request_state {
        InFlight::Generation(_) => false,
        InFlight::Call(call) => matches!(call.awaiting, call::Awaiting::Claim) && call.key().is_some(),
    }
}

fn is_awaiting_substitute(request_state: &InFlight) -> bool {
    match request_state {
        InFlight::Generation(generation) => matches!(generation.awaiting, Awaiting::Substitute { .. }),
        InFlight::Call(call) => matches!(call.awaiting, call::Awaiting::Substitute { .. }),
    }
}
