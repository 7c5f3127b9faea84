//! Simulates endpoints and routing around the policy, in simulated time.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::sync::Arc;

use super::model::{self, LAYERS, Layers};
use crate::configuration::{Configuration, Document, Model, PresetName};
use crate::duty::Duty;
use crate::execution::{
    Action, CallFault, CallReport, Decision, Event, Execution, ExecutionSettings, ProbeResult, StepCommand,
    StepFault, StepInput, StepOutput, StepReport, StepResult,
};
use crate::ids::{CacheId, ConfigVersion, EndpointId, ModelVersion, RequestId};
use crate::ledger;
use crate::pipeline::{LayerRange, Route, Stage, Target};
use crate::request::{Call, Generation, Outcome, Repeat, Reply, Submission, Work};
use crate::routing::{Assignment, Need, Pace, Replacement, Reroute, RerouteResult, Start};

/// Duration of a step at a fake endpoint.
pub const STEP_US: u64 = 5_000;

/// Duration of a late step.
const LATE_US: u64 = 2_000_000;

/// Maximum simulated time of a test.
const END_US: u64 = 60_000_000;

/// A fault that is injected into one step or call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The endpoint crashes before it answers the step.
    Kill,
    /// The connection breaks before the step runs.
    BreakBefore,
    /// The step runs, and the connection breaks before the answer.
    BreakAfter,
    /// The endpoint stops answering.
    Freeze,
    /// The step runs, and its answer arrives after the step has timed out.
    Late,
    /// The endpoint refuses the step.
    Refuse,
    /// The answer arrives twice.
    Twice,
    /// The answer covers a wrong number of positions.
    WrongCount,
}

/// A fake endpoint.
#[derive(Debug)]
pub struct FakeEndpoint {
    pub target: Target,
    pub layers: LayerRange,
    pub alive: bool,
    pub frozen: bool,
    pub batches: u64,
    pub caches: BTreeMap<CacheId, Layers>,
    /// Crashes when a prompt that contains this text runs.
    pub crash_on: Option<String>,
}

/// What a caller received.
#[derive(Debug, Default)]
pub struct Received {
    pub tokens: Vec<u32>,
    pub outcomes: Vec<Outcome>,
}

/// The policy with its simulated environment.
pub struct World {
    pub now_us: u64,
    pub endpoints: Vec<FakeEndpoint>,
    pub received: BTreeMap<RequestId, Received>,
    /// Requests of which a step or call ran.
    pub ran: BTreeSet<RequestId>,
    /// Faults by the number of the step or call, counted over all requests from 1.
    pub faults: BTreeMap<usize, Fault>,
    /// Decisions of the policy, for snapshots.
    pub trace: String,
    pub recorded: Vec<ledger::RecordedOutcome>,
    pub violations: Vec<String>,
    pub announced_suspicions: usize,
    /// Endpoints that the policy reported as failed.
    pub failed: Vec<EndpointId>,
    execution: Execution,
    events: BTreeMap<(u64, u64), Event>,
    /// Endpoint of each scheduled event that is an answer.
    answering_endpoints: BTreeMap<(u64, u64), usize>,
    next_event_id: u64,
    step_count: usize,
    sent: BTreeSet<(CacheId, u32)>,
    used_caches: BTreeSet<CacheId>,
    released_caches: BTreeSet<CacheId>,
    placed: BTreeMap<RequestId, Vec<EndpointId>>,
    configuration: Arc<Configuration>,
}

impl World {
    /// Creates three stages of two layers each and a plain service, with the given number of replicas of
    /// each. Every replica is in a zone of its own.
    pub fn new(replicas: usize, settings: ExecutionSettings) -> Self {
        let mut endpoints = Vec::new();
        for replica in 1..=replicas {
            for stage in 0..3_u16 {
                let name = format!("e{stage}{replica}");
                endpoints.push(endpoint(
                    &name,
                    &format!("z{replica}"),
                    LayerRange::new(stage * 2, stage * 2 + 2),
                ));
            }
        }
        for replica in 1..=replicas {
            endpoints.push(endpoint(&format!("s{replica}"), &format!("z{replica}"), LayerRange::new(0, 0)));
        }
        let document = Document {
            models: vec![Model {
                name: "m".into(),
                version: ModelVersion(1),
                layers: LAYERS,
                hidden_bytes: 1_000,
            }],
            ..Document::default()
        };
        let configuration =
            Arc::new(Configuration { version: ConfigVersion(1), document, preset: PresetName::Ordinary });
        Self {
            now_us: 1_000_000,
            endpoints,
            received: BTreeMap::new(),
            ran: BTreeSet::new(),
            faults: BTreeMap::new(),
            trace: String::new(),
            recorded: Vec::new(),
            violations: Vec::new(),
            announced_suspicions: 0,
            failed: Vec::new(),
            execution: Execution::new(settings, 7),
            events: BTreeMap::new(),
            answering_endpoints: BTreeMap::new(),
            next_event_id: 0,
            step_count: 0,
            sent: BTreeSet::new(),
            used_caches: BTreeSet::new(),
            released_caches: BTreeSet::new(),
            placed: BTreeMap::new(),
            configuration,
        }
    }

    /// Starts a generation on the first replica of each stage.
    pub fn generate(&mut self, request: u128, prompt: &str, max_tokens: u32, deadline_ms: u64) {
        let work = Work::Generate(Generation { model: "m".into(), prompt: prompt.into(), max_tokens });
        let submission = self.submission(request, work, deadline_ms);
        let assignment = Ok(self.pipeline(submission.request, None));
        self.event(0, Event::Start(Start { submission, assignment }));
    }

    /// Starts a call of the plain service.
    pub fn call(&mut self, request: u128, repeat: Repeat, deadline_ms: u64) {
        let work = Work::Call(Call {
            service: "desk".into(),
            operation: "order".into(),
            payload: "{}".into(),
            repeat,
        });
        let submission = self.submission(request, work, deadline_ms);
        let target =
            self.endpoints.iter().find(|endpoint| endpoint.layers.is_empty()).map(|e| e.target.clone());
        let assignment = Ok(Assignment::Service(target.expect("a plain service exists")));
        self.event(0, Event::Start(Start { submission, assignment }));
    }

    /// Schedules an event.
    pub fn event(&mut self, after_us: u64, event: Event) {
        self.next_event_id += 1;
        self.events.insert((self.now_us + after_us, self.next_event_id), event);
    }

    /// Schedules an event that is the answer of an endpoint. If the endpoint is killed before, the event
    /// becomes a broken connection.
    fn answer(&mut self, endpoint: usize, after_us: u64, event: Event) {
        self.event(after_us, event);
        self.answering_endpoints.insert((self.now_us + after_us, self.next_event_id), endpoint);
    }

    /// Kills an endpoint; the connections of its outstanding answers break.
    pub fn kill(&mut self, endpoint: usize) {
        self.endpoints[endpoint].alive = false;
        let outstanding: Vec<_> = self
            .answering_endpoints
            .iter()
            .filter(|(_, from)| **from == endpoint)
            .map(|(key, _)| *key)
            .collect();
        for key in outstanding {
            self.answering_endpoints.remove(&key);
            match self.events.remove(&key) {
                Some(Event::StepFinished(report)) => {
                    self.event(
                        100,
                        Event::StepFinished(StepReport { result: Err(StepFault::Broken), ..report }),
                    );
                }
                Some(Event::CallFinished(report)) => {
                    self.event(
                        100,
                        Event::CallFinished(CallReport { result: Err(CallFault::Broken), ..report }),
                    );
                }
                Some(_) | None => {}
            }
        }
    }

    /// Runs until no event or timer is left.
    pub fn run(&mut self) {
        while let Some(due_us) = self.next_due_us() {
            assert!(
                due_us < END_US,
                "requests did not end within {END_US} us of simulated time: {}",
                self.trace
            );
            self.step();
        }
    }

    /// Runs all events and timers up to a time.
    pub fn run_until(&mut self, end_us: u64) {
        while self.next_due_us().is_some_and(|due_us| due_us <= end_us) {
            self.step();
        }
        self.now_us = self.now_us.max(end_us);
    }

    /// Returns the tokens that the caller of a request received.
    pub fn tokens(&self, request: u128) -> &[u32] {
        &self.received[&RequestId(request)].tokens
    }

    /// Returns the outcome of a request, which must be its only one.
    pub fn outcome(&self, request: u128) -> &Outcome {
        let outcomes = &self.received[&RequestId(request)].outcomes;
        assert_eq!(outcomes.len(), 1, "request {request} must have exactly one outcome");
        &outcomes[0]
    }

    /// Returns an endpoint by name.
    pub fn endpoint(&mut self, name: &str) -> &mut FakeEndpoint {
        let found = self.endpoints.iter_mut().find(|e| e.target.endpoint.instance.as_str() == name);
        found.expect("an endpoint with this name exists")
    }

    /// Checks the invariants that hold after all requests have ended.
    pub fn check_ended(&self) {
        assert_eq!(self.violations, Vec::<String>::new(), "{}", self.trace);
        assert_eq!(self.execution.retained_bytes(), 0, "inputs of ended requests are still retained");
        let unreleased: Vec<_> = self.used_caches.difference(&self.released_caches).collect();
        assert!(unreleased.is_empty(), "caches were not released: {unreleased:?}\n{}", self.trace);
        for (request, received) in &self.received {
            assert_eq!(received.outcomes.len(), 1, "request {request} must have exactly one outcome");
            if matches!(received.outcomes[0], Outcome::NotRun(_)) {
                assert!(
                    !self.ran.contains(request),
                    "request {request} ran but was reported as not run\n{}",
                    self.trace
                );
            }
        }
    }

    fn next_due_us(&self) -> Option<u64> {
        let event_us = self.events.first_key_value().map(|((due_us, _), _)| *due_us);
        [event_us, self.execution.next_timer_us()].into_iter().flatten().min()
    }

    fn step(&mut self) {
        let Some(due_us) = self.next_due_us() else { return };
        self.now_us = self.now_us.max(due_us);
        let mut actions = Vec::new();
        match self.events.first_key_value() {
            Some(((event_us, _), _)) if *event_us <= due_us => {
                if let Some((key, event)) = self.events.pop_first() {
                    self.answering_endpoints.remove(&key);
                    self.execution.on_event(self.now_us, event, &mut actions);
                }
            }
            _ => self.execution.on_timer(self.now_us, &mut actions),
        }
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Step(command) => self.perform_step(&command),
            Action::Call(command) => {
                let endpoint_index = self
                    .endpoints
                    .iter()
                    .position(|e| e.target == command.target)
                    .expect("the target is an endpoint of the simulation");
                let result = self.perform_call(endpoint_index, command.request);
                let Some((after_us, result)) = result else { return };
                let report = CallReport { request: command.request, attempt: command.attempt, result };
                self.answer(endpoint_index, after_us, Event::CallFinished(report));
            }
            Action::Release { cache, .. } => {
                self.released_caches.insert(cache);
            }
            Action::Probe(target) => self.perform_probe(target),
            Action::Reply(reply) => self.on_reply(reply),
            Action::Reroute(reroute) => {
                let found = self.substitute(&reroute);
                self.event(50, Event::RerouteResult(RerouteResult { request: reroute.request, found }));
            }
            Action::Ledger(ledger::Event::RecordOutcome(record)) => self.recorded.push(record.outcome),
            Action::Announce(suspicions) => self.announced_suspicions += suspicions.len(),
            Action::Decide(decision) => self.record_decision(&decision),
            Action::Violated { invariant, request } => {
                self.violations.push(format!("{} at {request}", invariant.name()));
            }
            Action::Failed { endpoint, .. } => self.failed.push(endpoint),
            Action::Ledger(_) | Action::Finished(_) | Action::Observed(_) => {}
        }
    }

    fn record_decision(&mut self, decision: &Decision) {
        let at_ms = self.now_us / 1_000 - 1_000;
        let text = decision.to_string().replace("request=0000000000000000000000000000000", "request=");
        writeln!(self.trace, "{at_ms:>6} ms {text}").expect("writing to a string succeeds");
    }

    fn perform_step(&mut self, command: &StepCommand) {
        assert!(
            self.sent.insert((command.cache, command.position)),
            "position {} was sent twice to cache {}",
            command.position,
            command.cache
        );
        self.used_caches.insert(command.cache);
        self.step_count += 1;
        let fault = self.faults.get(&self.step_count).copied();
        let endpoint_index = self
            .endpoints
            .iter()
            .position(|e| e.target == command.target)
            .expect("the target is an endpoint of the simulation");
        let report = |result| {
            Event::StepFinished(StepReport {
                request: command.request,
                cache: command.cache,
                position: command.position,
                result,
            })
        };
        let endpoint = &mut self.endpoints[endpoint_index];
        if !endpoint.alive {
            return self.event(100, report(Err(StepFault::NotSent)));
        }
        let crash = match (&endpoint.crash_on, &command.input) {
            (Some(text), StepInput::Prompt { prompt, .. }) => prompt.contains(text),
            _ => false,
        };
        if crash || fault == Some(Fault::Kill) {
            self.ran.insert(command.request);
            self.answer(endpoint_index, 100, report(Err(StepFault::Broken)));
            return self.kill(endpoint_index);
        }
        if endpoint.frozen || fault == Some(Fault::Freeze) {
            endpoint.frozen = true;
            return;
        }
        match fault {
            Some(Fault::Refuse) => {
                let reason = "busy".to_owned();
                return self.event(200, report(Err(StepFault::Refused { reason })));
            }
            Some(Fault::BreakBefore) => return self.event(200, report(Err(StepFault::Broken))),
            _ => {}
        }
        self.ran.insert(command.request);
        let endpoint = &mut self.endpoints[endpoint_index];
        endpoint.batches += 1;
        let mut result = run(endpoint, command);
        match fault {
            Some(Fault::BreakAfter) => self.answer(endpoint_index, STEP_US, report(Err(StepFault::Broken))),
            // The client of the runtime also times out after the time limit of the command.
            Some(Fault::Late) if command.timeout_ms * 1_000 < LATE_US => {
                self.event(command.timeout_ms * 1_000, report(Err(StepFault::TimedOut)));
            }
            Some(Fault::Late) => self.answer(endpoint_index, LATE_US, report(Ok(result))),
            Some(Fault::Twice) => {
                self.answer(endpoint_index, STEP_US, report(Ok(result.clone())));
                self.answer(endpoint_index, STEP_US + 1_000, report(Ok(result)));
            }
            Some(Fault::WrongCount) => {
                result.count += 1;
                self.answer(endpoint_index, STEP_US, report(Ok(result)));
            }
            _ => self.answer(endpoint_index, STEP_US, report(Ok(result))),
        }
    }

    fn perform_call(
        &mut self,
        endpoint_index: usize,
        request: RequestId,
    ) -> Option<(u64, std::result::Result<String, CallFault>)> {
        self.step_count += 1;
        let fault = self.faults.get(&self.step_count).copied();
        let endpoint = &mut self.endpoints[endpoint_index];
        if !endpoint.alive {
            return Some((100, Err(CallFault::NotSent)));
        }
        match fault {
            Some(Fault::Kill) => {
                self.kill(endpoint_index);
                self.ran.insert(request);
                Some((STEP_US, Err(CallFault::Broken)))
            }
            Some(Fault::BreakBefore) => Some((200, Err(CallFault::Broken))),
            Some(Fault::Refuse) => Some((200, Err(CallFault::Refused))),
            Some(Fault::Freeze) => {
                endpoint.frozen = true;
                None
            }
            Some(Fault::BreakAfter | Fault::WrongCount) => {
                self.ran.insert(request);
                Some((STEP_US, Err(CallFault::Broken)))
            }
            Some(Fault::Late) => {
                self.ran.insert(request);
                Some((9_000_000, Ok("1".into())))
            }
            Some(Fault::Twice) | None => {
                self.ran.insert(request);
                Some((STEP_US, Ok("1".into())))
            }
        }
    }

    fn perform_probe(&mut self, target: Target) {
        let endpoint = self
            .endpoints
            .iter()
            .find(|e| e.target == target)
            .expect("the target is an endpoint of the simulation");
        let (after_us, result) = match (endpoint.alive, endpoint.frozen) {
            (false, _) => (100, ProbeResult::Refused),
            (true, true) => (250_000, ProbeResult::NoAnswer),
            (true, false) => (500, ProbeResult::Batches(endpoint.batches)),
        };
        self.event(after_us, Event::Probed { endpoint: target.endpoint, result });
    }

    fn on_reply(&mut self, reply: Reply) {
        match reply {
            Reply::Token { request, index, id, .. } => {
                let received = self.received.entry(request).or_default();
                assert!(received.outcomes.is_empty(), "request {request} received a token after its outcome");
                assert_eq!(
                    index as usize,
                    received.tokens.len(),
                    "request {request} received a token out of order"
                );
                received.tokens.push(id);
                self.event(100, Event::Credit { request, tokens: 1 });
            }
            Reply::Ended { request, outcome } => {
                self.received.entry(request).or_default().outcomes.push(outcome);
            }
        }
    }

    /// Answers a request for a substitute with endpoints that are alive, not frozen and not the failed one. A
    /// new route falls back to the first endpoint for a stage that has no such endpoint.
    fn substitute(&mut self, reroute: &Reroute) -> Replacement {
        match reroute.need {
            Need::Stage { stage } => {
                let layers = LayerRange::new(stage as u16 * 2, stage as u16 * 2 + 2);
                match self.choose(layers, &reroute.failed) {
                    Some(target) => Replacement::Stage { stage, target, pace: pace() },
                    None => Replacement::Unavailable,
                }
            }
            Need::Route => Replacement::Assignment(self.pipeline(reroute.request, Some(&reroute.failed))),
            Need::Service => match self.choose(LayerRange::new(0, 0), &reroute.failed) {
                Some(target) => Replacement::Assignment(Assignment::Service(target)),
                None => Replacement::Unavailable,
            },
        }
    }

    fn choose(&self, layers: LayerRange, failed: &EndpointId) -> Option<Target> {
        let usable =
            |e: &&FakeEndpoint| e.layers == layers && e.alive && !e.frozen && e.target.endpoint != *failed;
        self.endpoints.iter().find(usable).map(|endpoint| endpoint.target.clone())
    }

    fn pipeline(&mut self, request: RequestId, failed: Option<&EndpointId>) -> Assignment {
        let no_endpoint = EndpointId::new("nobody", 0);
        let stages: Vec<Stage> = (0..3_u16)
            .filter_map(|stage| {
                let layers = LayerRange::new(stage * 2, stage * 2 + 2);
                let target = self.choose(layers, failed.unwrap_or(&no_endpoint)).or_else(|| {
                    self.endpoints.iter().find(|e| e.layers == layers).map(|e| e.target.clone())
                })?;
                Some(Stage { target, layers })
            })
            .collect();
        let endpoints = stages.iter().map(|stage| stage.target.endpoint.clone()).collect();
        self.placed.insert(request, endpoints);
        let route = Route::new("m".into(), ModelVersion(1), LAYERS, stages).expect("the stages form a route");
        Assignment::Pipeline { route, paces: vec![pace(); 3] }
    }

    fn submission(&self, request: u128, work: Work, deadline_ms: u64) -> Box<Submission> {
        Box::new(Submission {
            request: RequestId(request),
            caller_reference: None,
            team: "t".into(),
            arrived_us: self.now_us,
            deadline_us: self.now_us + deadline_ms * 1_000,
            priority: 5,
            work,
            configuration: Arc::clone(&self.configuration),
        })
    }
}

fn endpoint(name: &str, zone: &str, layers: LayerRange) -> FakeEndpoint {
    let address = "127.0.0.1:1".parse().expect("the address is valid");
    let target = Target { endpoint: EndpointId::new(name, 1), address, zone: zone.into() };
    FakeEndpoint {
        target,
        layers,
        alive: true,
        frozen: false,
        batches: 0,
        caches: BTreeMap::new(),
        crash_on: None,
    }
}

fn pace() -> Pace {
    Pace { step_us: STEP_US, position_us: 10 }
}

fn run(endpoint: &mut FakeEndpoint, command: &StepCommand) -> StepResult {
    let inputs = match &command.input {
        StepInput::Prompt { prompt, tokens } => {
            let mut inputs = model::prompt_values(prompt);
            inputs.extend(tokens.iter().map(|token| model::token_value(*token)));
            inputs
        }
        StepInput::Token(token) => vec![model::token_value(*token)],
        StepInput::Hidden(hidden) => hidden.clone(),
    };
    let cache = endpoint.caches.entry(command.cache).or_default();
    assert_eq!(cache.positions, command.position, "the position of the step is not the end of its cache");
    let outputs: Vec<u64> = inputs.iter().map(|input| cache.run(command.layers, *input)).collect();
    let count = outputs.len() as u32;
    let output = match outputs.last() {
        Some(last) if command.layers.end == LAYERS => {
            StepOutput::Token { id: model::token(*last), text: String::new(), end: false }
        }
        _ => StepOutput::Hidden(outputs),
    };
    StepResult { count, output }
}
