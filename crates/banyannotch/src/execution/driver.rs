//! The policy of execution: finds the request of an event, lets it go on, and ends it exactly once.

use super::budget::RetryBudget;
use super::call::{self, Call};
use super::error::StepFault;
use super::generation::{Awaiting, Generation};
use super::outcome::{call_outcome, outcome_of, recorded, report_end};
use super::state::{Context, Ending, ExecutionSettings, Flow};
use super::suspects::Suspects;
use super::{Action, Decision, Event, Progress, Suspicion};
use crate::clock::US_PER_MS;
use crate::duty::Duty;
use crate::ids::{EndpointId, RequestId};
use crate::ledger;
use crate::pipeline::Target;
use crate::random::Random;
use crate::request::{NotRun, Outcome, Submission, Work};
use crate::routing::{Assignment, Start, Substitute};
use crate::table::Table;

/// Interval at which deadlines and late steps are looked for while requests are in flight.
const TICK_US: u64 = 10 * US_PER_MS;

/// Drives all requests of one entry.
#[derive(Debug)]
pub struct Execution {
    settings: ExecutionSettings,
    random: Random,
    budget: RetryBudget,
    retained_bytes: u64,
    runs: Table<RequestId, Run>,
    probing: Table<EndpointId, ()>,
    suspects: Suspects,
    next_tick_us: Option<u64>,
}

/// A request in flight.
#[derive(Debug)]
enum Run {
    Generation(Box<Generation>),
    Call(Box<Call>),
}

impl Run {
    fn submission(&self) -> &Submission {
        match self {
            Self::Generation(generation) => &generation.submission,
            Self::Call(call) => &call.submission,
        }
    }
}

/// Splits the driver into the requests and what they share, so that both can be changed at once.
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
    /// Creates the policy; the seed determines the cache identifiers.
    pub fn new(settings: ExecutionSettings, seed: u64) -> Self {
        Self {
            settings,
            random: Random::seeded(seed),
            budget: RetryBudget::default(),
            retained_bytes: 0,
            runs: Table::default(),
            probing: Table::default(),
            suspects: Suspects::default(),
            next_tick_us: None,
        }
    }

    /// Returns the size of the inputs that are kept for replay.
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
        let run = match (assignment, submission.work.clone()) {
            (Ok(Assignment::Pipeline { route, paces }), Work::Generate(order)) => {
                Run::Generation(Box::new(Generation::new(submission, order, route, &paces, &mut context)))
            }
            (Ok(Assignment::Service(target)), Work::Call(order)) => {
                Run::Call(Box::new(Call::new(submission, order, target, now_us)))
            }
            (Err(reason), _) => return self.refuse(now_us, &submission, reason, actions),
            (Ok(_), _) => return self.refuse(now_us, &submission, NotRun::NoRoute, actions),
        };
        self.runs.insert(request, run);
        self.next_tick_us.get_or_insert(now_us + TICK_US);
        self.begin(now_us, request, actions);
    }

    fn begin(&mut self, now_us: u64, request: RequestId, actions: &mut Vec<Action>) {
        match self.runs.get_mut(&request) {
            Some(Run::Call(call)) => call.begin(&mut context!(self, now_us, actions)),
            Some(Run::Generation(generation)) => {
                if let Some(target) = generation.target(0) {
                    let (attempt, endpoint) = (generation.attempt, target.endpoint.clone());
                    actions.push(Action::Decide(Decision::Dispatched { request, attempt, endpoint }));
                }
                self.send_in_turn(now_us, request, 0, actions);
            }
            None => {}
        }
    }

    /// Sends a step, or lets a suspect wait for its turn at the endpoint.
    fn send_in_turn(&mut self, now_us: u64, request: RequestId, stage: usize, actions: &mut Vec<Action>) {
        let Some(Run::Generation(generation)) = self.runs.get_mut(&request) else { return };
        let fingerprint = generation.submission.fingerprint();
        if self.suspects.is_held(fingerprint, now_us) {
            generation.awaiting = Awaiting::News { stage };
            return;
        }
        if self.suspects.is_quarantined(fingerprint) {
            return self.end(now_us, request, Ending::Quarantined, actions);
        }
        let suspect = self.suspects.is_suspect(fingerprint);
        let endpoint = generation.target(stage).map(|target| target.endpoint.clone());
        let has_turn = match endpoint {
            Some(endpoint) if suspect => self.suspects.take_turn(&endpoint, request),
            _ => true,
        };
        if has_turn {
            generation.send(stage, &mut context!(self, now_us, actions));
        } else {
            generation.awaiting = Awaiting::Turn { stage };
        }
    }

    fn on_generation(
        &mut self,
        now_us: u64,
        request: RequestId,
        actions: &mut Vec<Action>,
        change: impl FnOnce(&mut Generation, &mut Context<'_>) -> Flow,
    ) {
        let Some(Run::Generation(generation)) = self.runs.get_mut(&request) else { return };
        let flow = change(generation, &mut context!(self, now_us, actions));
        self.follow(now_us, request, flow, actions);
    }

    fn on_call(
        &mut self,
        now_us: u64,
        request: RequestId,
        actions: &mut Vec<Action>,
        change: impl FnOnce(&mut Call, &mut Context<'_>) -> Flow,
    ) {
        let Some(Run::Call(call)) = self.runs.get_mut(&request) else { return };
        let flow = change(call, &mut context!(self, now_us, actions));
        self.follow(now_us, request, flow, actions);
    }

    fn follow(&mut self, now_us: u64, request: RequestId, flow: Flow, actions: &mut Vec<Action>) {
        if let Flow::End(ending) = flow {
            self.end(now_us, request, ending, actions);
        }
    }

    fn on_stepped(&mut self, now_us: u64, report: super::StepReport, actions: &mut Vec<Action>) {
        let request = report.request;
        let awaited = self.awaited_target(&report);
        if awaited.is_some() && self.ran_into_deadline(now_us, &report) {
            return self.end(now_us, request, Ending::Deadline, actions);
        }
        match &report.result {
            Ok(_) if awaited.is_some() && self.suspects.has_trials() => {
                self.survive(now_us, request, actions);
            }
            Ok(_) => {}
            Err(fault) => {
                if let Some(target) = awaited {
                    self.note_failure(now_us, &target, *fault == StepFault::NotSent, actions);
                }
            }
        }
        self.on_generation(now_us, request, actions, |generation, context| {
            generation.on_report(report, context)
        });
        self.check_crash(request, actions);
    }

    /// Probes the endpoint of a broken connection, to tell a crash from a broken link.
    fn check_crash(&mut self, request: RequestId, actions: &mut Vec<Action>) {
        let target = match self.runs.get(&request) {
            Some(Run::Generation(generation)) => match &generation.awaiting {
                Awaiting::CrashCheck { target, .. } => target.clone(),
                _ => return,
            },
            Some(Run::Call(call)) if call.checks_crash_of(&call.target().endpoint) => call.target().clone(),
            Some(Run::Call(_)) | None => return,
        };
        self.probe(target, actions);
    }

    /// Returns the endpoint of the step that a report answers, if the report is awaited.
    fn awaited_target(&self, report: &super::StepReport) -> Option<Target> {
        let Run::Generation(generation) = self.runs.get(&report.request)? else { return None };
        let Awaiting::Step(outstanding) = &generation.awaiting else { return None };
        let awaited = outstanding.cache == report.cache && outstanding.position == report.position;
        awaited.then(|| outstanding.target.clone())
    }

    /// Returns whether the time limit of a step ended because the request's deadline has passed. The limit is the time to
    /// the deadline, so it says nothing about the endpoint. Counted as a failure of the endpoint, it made other entries
    /// suspect healthy engines under overload.
    fn ran_into_deadline(&self, now_us: u64, report: &super::StepReport) -> bool {
        let deadline_us = self.runs.get(&report.request).map(|run| run.submission().deadline_us);
        report.result == Err(StepFault::TimedOut)
            && deadline_us.is_some_and(|deadline_us| deadline_us <= now_us)
    }

    /// Clears a suspect that an endpoint has survived, and lets the next one run.
    fn survive(&mut self, now_us: u64, request: RequestId, actions: &mut Vec<Action>) {
        if let Some(run) = self.runs.get(&request) {
            self.suspects.clear(run.submission().fingerprint());
        }
        self.pass_turn(now_us, request, actions);
    }

    fn pass_turn(&mut self, now_us: u64, request: RequestId, actions: &mut Vec<Action>) {
        for next in self.suspects.leave(request) {
            let Some(Run::Generation(generation)) = self.runs.get(&next) else { continue };
            let Awaiting::Turn { stage } = generation.awaiting else { continue };
            self.send_in_turn(now_us, next, stage, actions);
        }
    }

    fn note_failure(&mut self, now_us: u64, target: &Target, refused: bool, actions: &mut Vec<Action>) {
        self.suspects.note_failure(now_us, &target.zone, &target.endpoint, &self.settings);
        actions.push(Action::Failed { endpoint: target.endpoint.clone(), refused });
    }

    fn on_substitute(&mut self, now_us: u64, substitute: Substitute, actions: &mut Vec<Action>) {
        let request = substitute.request;
        match self.runs.get_mut(&request) {
            Some(Run::Generation(generation)) => {
                let stage = generation.on_found(substitute.found, &mut context!(self, now_us, actions));
                if let Some(stage) = stage {
                    self.send_in_turn(now_us, request, stage, actions);
                }
            }
            Some(Run::Call(call)) => call.on_found(substitute.found, &mut context!(self, now_us, actions)),
            None => {}
        }
    }

    fn on_probed(
        &mut self,
        now_us: u64,
        endpoint: &EndpointId,
        progress: Progress,
        actions: &mut Vec<Action>,
    ) {
        self.probing.remove(endpoint);
        let waiting: Vec<RequestId> = self.runs.iter().map(|(request, _)| *request).collect();
        let mut blamed = Vec::new();
        for request in waiting {
            match self.runs.get(&request) {
                Some(Run::Generation(generation)) => {
                    let checked = match &generation.awaiting {
                        Awaiting::CrashCheck { target, first, .. } if target.endpoint == *endpoint => {
                            Some((target.clone(), *first))
                        }
                        _ => None,
                    };
                    match checked {
                        Some((target, first)) => {
                            if progress == Progress::Refused {
                                self.blame(now_us, request, &target, &mut blamed);
                                self.await_news(now_us, request, first);
                            }
                            self.after_crash_check(now_us, request, actions);
                        }
                        None => self.after_late_check(now_us, request, endpoint, progress, actions),
                    }
                }
                Some(Run::Call(call)) if call.checks_crash_of(endpoint) => {
                    let target = call.target().clone();
                    if progress == Progress::Refused {
                        self.blame(now_us, request, &target, &mut blamed);
                    }
                    self.after_crash_check(now_us, request, actions);
                }
                Some(Run::Call(_)) | None => {}
            }
        }
        if progress == Progress::Refused {
            actions.push(Action::Failed { endpoint: endpoint.clone(), refused: true });
        }
        if !blamed.is_empty() {
            actions.push(Action::Announce(blamed));
        }
    }

    fn blame(&mut self, now_us: u64, request: RequestId, target: &Target, blamed: &mut Vec<Suspicion>) {
        let Some(run) = self.runs.get(&request) else { return };
        let fingerprint = run.submission().fingerprint();
        let suspicion = Suspicion { fingerprint, endpoint: target.endpoint.clone() };
        self.suspects.blame(now_us, &suspicion, Some(&target.zone), &self.settings);
        blamed.push(suspicion);
    }

    /// Holds back a content that crashed an endpoint in its first step, or is quarantined now. The other entries hear of
    /// the crash before the request is tried again here, and before its caller can resend it to one of them. A request
    /// that the endpoint had served before goes on at once.
    fn await_news(&mut self, now_us: u64, request: RequestId, first: bool) {
        let Some(run) = self.runs.get(&request) else { return };
        let fingerprint = run.submission().fingerprint();
        let least_ms = if self.suspects.is_quarantined(fingerprint) {
            self.settings.quarantine_notice_ms
        } else if first {
            self.settings.suspect_pause_ms
        } else {
            return;
        };
        let least_us = least_ms * US_PER_MS;
        let further_us = self.random.below(usize::try_from(least_us).unwrap_or(usize::MAX)) as u64;
        self.suspects.hold(fingerprint, now_us + least_us + further_us);
    }

    /// Goes on after a broken connection, unless the request's content is what breaks endpoints.
    fn after_crash_check(&mut self, now_us: u64, request: RequestId, actions: &mut Vec<Action>) {
        let Some(run) = self.runs.get(&request) else { return };
        let fingerprint = run.submission().fingerprint();
        if self.suspects.is_quarantined(fingerprint) {
            let endpoints = self.suspects.blamed_endpoints(fingerprint).to_vec();
            actions.push(Action::Decide(Decision::Quarantined { fingerprint, endpoints }));
            self.pass_turn(now_us, request, actions);
            if let Some(Run::Generation(generation)) = self.runs.get_mut(&request)
                && let Awaiting::CrashCheck { stage, .. } = &generation.awaiting
            {
                generation.awaiting = Awaiting::News { stage: *stage };
                return;
            }
            return self.end(now_us, request, Ending::Quarantined, actions);
        }
        self.pass_turn(now_us, request, actions);
        self.on_generation(now_us, request, actions, |generation, context| {
            let Awaiting::CrashCheck { stage, target, .. } = &generation.awaiting else {
                return Flow::Continue;
            };
            let (stage, failed) = (*stage, target.endpoint.clone());
            generation.ask_substitute(stage, &failed, true, context)
        });
        self.on_call(now_us, request, actions, |call, context| {
            if matches!(call.awaiting, call::Awaiting::CrashCheck) {
                call.ask_substitute(context)
            } else {
                Flow::Continue
            }
        });
    }

    /// Judges a step at a probed endpoint: late without progress is a failure, late with progress gets more time.
    fn after_late_check(
        &mut self,
        now_us: u64,
        request: RequestId,
        endpoint: &EndpointId,
        progress: Progress,
        actions: &mut Vec<Action>,
    ) {
        let timeout_us = self.settings.step_timeout_us();
        let Some(Run::Generation(generation)) = self.runs.get_mut(&request) else { return };
        let Awaiting::Step(outstanding) = &mut generation.awaiting else { return };
        if outstanding.target.endpoint != *endpoint {
            return;
        }
        let late = outstanding.due_us <= now_us;
        let failed = match progress {
            Progress::Silent | Progress::Refused => true,
            Progress::Batches(batches) => {
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
        self.note_failure(now_us, &target, progress == Progress::Refused, actions);
        self.pass_turn(now_us, request, actions);
        self.on_generation(now_us, request, actions, |generation, context| {
            generation.on_fault(&StepFault::TimedOut, context)
        });
    }

    fn on_suspected(&mut self, now_us: u64, suspicions: &[Suspicion], actions: &mut Vec<Action>) {
        for suspicion in suspicions {
            let before = self.suspects.is_quarantined(suspicion.fingerprint);
            let now = self.suspects.blame(now_us, suspicion, None, &self.settings);
            if now && !before {
                let endpoints = self.suspects.blamed_endpoints(suspicion.fingerprint).to_vec();
                let fingerprint = suspicion.fingerprint;
                actions.push(Action::Decide(Decision::Quarantined { fingerprint, endpoints }));
            }
            if !now {
                let until_us = now_us + self.settings.shared_turn_ms * US_PER_MS;
                self.suspects.hold(suspicion.fingerprint, until_us);
            }
        }
    }

    fn on_cancel(&mut self, now_us: u64, request: RequestId, actions: &mut Vec<Action>) {
        if let Some(Run::Call(call)) = self.runs.get_mut(&request)
            && call.key().is_some()
        {
            match call.awaiting {
                // The ledger decides whether the claim still takes effect; until then the request is open.
                call::Awaiting::Claim => {
                    call.abandoned = true;
                    actions.push(Action::Ledger(ledger::Event::Abandon(request)));
                    return;
                }
                // The service may be running it; its outcome is recorded for a resend.
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
        let Some(run) = self.runs.remove(&request) else { return };
        self.pass_turn(now_us, request, actions);
        match run {
            Run::Generation(mut generation) => {
                generation.release(&mut context!(self, now_us, actions));
                let tokens = u32::try_from(generation.tokens.len()).unwrap_or(u32::MAX);
                let outcome = outcome_of(ending, generation.phase, tokens);
                report_end(now_us, &generation.submission, outcome, tokens, actions);
            }
            Run::Call(call) => {
                let record = call.nonce.zip(call.key().cloned());
                let outcome = call_outcome(ending, call.phase);
                if let Some((nonce, key)) = record {
                    let outcome = recorded(&outcome);
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

    /// Looks at one request on the tick: its deadline, a late step, a pause that is over.
    fn check(&mut self, now_us: u64, request: RequestId, actions: &mut Vec<Action>) {
        let Some(run) = self.runs.get_mut(&request) else { return };
        if run.submission().deadline_us <= now_us && !waits_for_ledger(run) {
            let ending = if waits_for_substitute(run) { Ending::NoSubstitute } else { Ending::Deadline };
            return self.end(now_us, request, ending, actions);
        }
        match run {
            Run::Call(_) => {
                self.on_call(now_us, request, actions, Call::on_timer);
            }
            Run::Generation(generation) => {
                if let Awaiting::News { stage } = generation.awaiting {
                    return self.send_in_turn(now_us, request, stage, actions);
                }
                generation.retry_reroute(&mut context!(self, now_us, actions));
                let late = match &generation.awaiting {
                    Awaiting::Step(outstanding) if outstanding.due_us <= now_us => {
                        Some(outstanding.target.clone())
                    }
                    _ => None,
                };
                if let Some(target) = late {
                    self.probe(target, actions);
                }
            }
        }
    }

    /// Probes an endpoint once for all requests that wait for it.
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
            Event::Substitute(substitute) => self.on_substitute(now_us, substitute, actions),
            Event::Credit { request, tokens } => {
                self.on_generation(now_us, request, actions, |generation, context| {
                    generation.on_credit(tokens, context);
                    Flow::Continue
                });
            }
            Event::Stepped(report) => self.on_stepped(now_us, report, actions),
            Event::Called(report) => {
                let request = report.request;
                self.on_call(now_us, request, actions, |call, context| call.on_report(report, context));
                self.check_crash(request, actions);
            }
            Event::Claimed(answer) => {
                self.on_call(now_us, answer.request, actions, |call, context| {
                    call.on_claimed(answer.verdict, context)
                });
            }
            Event::Probed { endpoint, progress } => self.on_probed(now_us, &endpoint, progress, actions),
            Event::Suspected(suspicions) => self.on_suspected(now_us, &suspicions, actions),
        }
    }

    fn next_timer_us(&self) -> Option<u64> {
        self.next_tick_us
    }

    fn on_timer(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let requests: Vec<RequestId> = self.runs.iter().map(|(request, _)| *request).collect();
        for request in requests {
            self.check(now_us, request, actions);
        }
        self.suspects.expire(now_us, &self.settings);
        self.next_tick_us = if self.runs.is_empty() { None } else { Some(now_us + TICK_US) };
    }

    fn measure(&self, mut gauge: impl FnMut(&'static str, f64)) {
        gauge("banyannotch_retry_budget", self.budget.available());
    }
}

/// The ledger answers each claim by its deadline, and only it can tell whether the claim took effect.
fn waits_for_ledger(run: &Run) -> bool {
    match run {
        Run::Generation(_) => false,
        Run::Call(call) => matches!(call.awaiting, call::Awaiting::Claim) && call.key().is_some(),
    }
}

fn waits_for_substitute(run: &Run) -> bool {
    match run {
        Run::Generation(generation) => matches!(generation.awaiting, Awaiting::Substitute { .. }),
        Run::Call(call) => matches!(call.awaiting, call::Awaiting::Substitute { .. }),
    }
}
