//! Fake endpoints and a fake routing around the policy, in time that the test drives.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::sync::Arc;

use super::model::{self, LAYERS, Layers};
use crate::configuration::{Configuration, Document, Model, PresetName};
use crate::duty::Duty;
use crate::execution::{
    Action, CallFault, CallReport, Decision, Event, Execution, ExecutionSettings, Progress, StepFault,
    StepInput, StepOrder, StepOutput, StepReport, StepResult,
};
use crate::ids::{CacheId, ConfigVersion, EndpointId, ModelVersion, RequestId};
use crate::ledger;
use crate::pipeline::{LayerRange, Route, Stage, Target};
use crate::request::{Call, Generation, Outcome, Repeat, Reply, Submission, Work};
use crate::routing::{Assignment, Found, Need, Pace, Reroute, Start, Substitute};

/// Time of one step at a fake endpoint.
pub const STEP_US: u64 = 5_000;

/// Time of a late step.
const LATE_US: u64 = 2_000_000;

/// Longest simulated time of a test.
const END_US: u64 = 60_000_000;

/// What goes wrong with one step or call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The endpoint ends before it runs the step.
    Kill,
    /// The connection breaks before the step runs.
    BreakBefore,
    /// The step runs and the connection breaks before the answer.
    BreakAfter,
    /// The endpoint stops answering anything.
    Freeze,
    /// The step runs, its answer comes long after it was given up.
    Late,
    /// The endpoint refuses the step.
    Refuse,
    /// The answer comes twice.
    Twice,
    /// The answer covers another number of positions.
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
    /// Ends when a prompt with this text runs.
    pub crash_on: Option<String>,
}

/// What a caller got.
#[derive(Debug, Default)]
pub struct Received {
    pub tokens: Vec<u32>,
    pub outcomes: Vec<Outcome>,
}

/// The policy with everything around it.
pub struct World {
    pub now_us: u64,
    pub endpoints: Vec<FakeEndpoint>,
    pub received: BTreeMap<RequestId, Received>,
    /// Requests of which some step or call ran.
    pub ran: BTreeSet<RequestId>,
    /// Faults by the number of the step or call, counted over all.
    pub faults: BTreeMap<usize, Fault>,
    /// Decisions and what the policy asked for, for snapshots.
    pub trace: String,
    pub recorded: Vec<ledger::RecordedOutcome>,
    pub violations: Vec<String>,
    pub announced: usize,
    /// Endpoints that were reported as failed.
    pub failed: Vec<EndpointId>,
    execution: Execution,
    events: BTreeMap<(u64, u64), Event>,
    /// Endpoints whose answers are among the events.
    answering: BTreeMap<(u64, u64), usize>,
    next_event: u64,
    steps: usize,
    sent: BTreeSet<(CacheId, u32)>,
    taken_caches: BTreeSet<CacheId>,
    released_caches: BTreeSet<CacheId>,
    placed: BTreeMap<RequestId, Vec<EndpointId>>,
    configuration: Arc<Configuration>,
}

impl World {
    /// Creates three stages of two layers with the given number of replicas, one zone for each replica.
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
            announced: 0,
            failed: Vec::new(),
            execution: Execution::new(settings, 7),
            events: BTreeMap::new(),
            answering: BTreeMap::new(),
            next_event: 0,
            steps: 0,
            sent: BTreeSet::new(),
            taken_caches: BTreeSet::new(),
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
        let assignment = Ok(Assignment::Service(target.expect("a service")));
        self.event(0, Event::Start(Start { submission, assignment }));
    }

    /// Schedules an event.
    pub fn event(&mut self, after_us: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((self.now_us + after_us, self.next_event), event);
    }

    /// Schedules an event that is the answer of an endpoint, and breaks off when the endpoint ends before.
    fn answer(&mut self, endpoint: usize, after_us: u64, event: Event) {
        self.event(after_us, event);
        self.answering.insert((self.now_us + after_us, self.next_event), endpoint);
    }

    /// Ends an endpoint; every answer that it owes breaks off.
    pub fn kill(&mut self, endpoint: usize) {
        self.endpoints[endpoint].alive = false;
        let owed: Vec<_> =
            self.answering.iter().filter(|(_, from)| **from == endpoint).map(|(key, _)| *key).collect();
        for key in owed {
            self.answering.remove(&key);
            match self.events.remove(&key) {
                Some(Event::Stepped(report)) => {
                    self.event(100, Event::Stepped(StepReport { result: Err(StepFault::Broken), ..report }));
                }
                Some(Event::Called(report)) => {
                    self.event(100, Event::Called(CallReport { result: Err(CallFault::Broken), ..report }));
                }
                Some(_) | None => {}
            }
        }
    }

    /// Runs until nothing is left to do.
    pub fn run(&mut self) {
        while let Some(due_us) = self.next_due_us() {
            assert!(due_us < END_US, "the requests do not end: {}", self.trace);
            self.step();
        }
    }

    /// Runs until the time has come.
    pub fn run_until(&mut self, end_us: u64) {
        while self.next_due_us().is_some_and(|due_us| due_us <= end_us) {
            self.step();
        }
        self.now_us = self.now_us.max(end_us);
    }

    /// Returns the tokens that a request received.
    pub fn tokens(&self, request: u128) -> &[u32] {
        &self.received[&RequestId(request)].tokens
    }

    /// Returns the one outcome of a request.
    pub fn outcome(&self, request: u128) -> &Outcome {
        let outcomes = &self.received[&RequestId(request)].outcomes;
        assert_eq!(outcomes.len(), 1, "one outcome");
        &outcomes[0]
    }

    /// Returns an endpoint by name.
    pub fn endpoint(&mut self, name: &str) -> &mut FakeEndpoint {
        let found = self.endpoints.iter_mut().find(|e| e.target.endpoint.instance.as_str() == name);
        found.expect("an endpoint of this name")
    }

    /// Checks what must hold after all requests have ended.
    pub fn check_ended(&self) {
        assert_eq!(self.violations, Vec::<String>::new(), "{}", self.trace);
        assert_eq!(self.execution.retained_bytes(), 0, "inputs of ended requests are kept");
        let kept: Vec<_> = self.taken_caches.difference(&self.released_caches).collect();
        assert!(kept.is_empty(), "caches are not freed: {kept:?}\n{}", self.trace);
        for (request, received) in &self.received {
            assert_eq!(received.outcomes.len(), 1, "one outcome for {request}");
            if matches!(received.outcomes[0], Outcome::NotRun(_)) {
                assert!(
                    !self.ran.contains(request),
                    "{request} ran and was reported as not run\n{}",
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
                    self.answering.remove(&key);
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
            Action::Step(order) => self.perform_step(&order),
            Action::Call(order) => {
                let at =
                    self.endpoints.iter().position(|e| e.target == order.target).expect("a known endpoint");
                let result = self.perform_call(at, order.request);
                let Some((after_us, result)) = result else { return };
                let report = CallReport { request: order.request, attempt: order.attempt, result };
                self.answer(at, after_us, Event::Called(report));
            }
            Action::Release { cache, .. } => {
                self.released_caches.insert(cache);
            }
            Action::Probe(target) => self.perform_probe(target),
            Action::Reply(reply) => self.take_reply(reply),
            Action::Reroute(reroute) => {
                let found = self.substitute(&reroute);
                self.event(50, Event::Substitute(Substitute { request: reroute.request, found }));
            }
            Action::Ledger(ledger::Event::RecordOutcome(record)) => self.recorded.push(record.outcome),
            Action::Announce(suspicions) => self.announced += suspicions.len(),
            Action::Decide(decision) => self.note(&decision),
            Action::Violated { invariant, request } => {
                self.violations.push(format!("{} at {request}", invariant.name()));
            }
            Action::Failed { endpoint, .. } => self.failed.push(endpoint),
            Action::Ledger(_) | Action::Finished(_) | Action::Observed(_) => {}
        }
    }

    fn note(&mut self, decision: &Decision) {
        let at_ms = self.now_us / 1_000 - 1_000;
        let text = decision.to_string().replace("request=0000000000000000000000000000000", "request=");
        writeln!(self.trace, "{at_ms:>6} ms {text}").expect("a string takes text");
    }

    fn perform_step(&mut self, order: &StepOrder) {
        assert!(self.sent.insert((order.cache, order.position)), "a step is repeated on the same cache");
        self.taken_caches.insert(order.cache);
        self.steps += 1;
        let fault = self.faults.get(&self.steps).copied();
        let at = self.endpoints.iter().position(|e| e.target == order.target).expect("a known endpoint");
        let report = |result| {
            Event::Stepped(StepReport {
                request: order.request,
                cache: order.cache,
                position: order.position,
                result,
            })
        };
        let endpoint = &mut self.endpoints[at];
        if !endpoint.alive {
            return self.event(100, report(Err(StepFault::NotSent)));
        }
        let crash = match (&endpoint.crash_on, &order.input) {
            (Some(text), StepInput::Prompt { prompt, .. }) => prompt.contains(text),
            _ => false,
        };
        if crash || fault == Some(Fault::Kill) {
            self.ran.insert(order.request);
            self.answer(at, 100, report(Err(StepFault::Broken)));
            return self.kill(at);
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
        self.ran.insert(order.request);
        let endpoint = &mut self.endpoints[at];
        endpoint.batches += 1;
        let mut result = run(endpoint, order);
        match fault {
            Some(Fault::BreakAfter) => self.answer(at, STEP_US, report(Err(StepFault::Broken))),
            // Like the client of the runtime, which gives up after the time limit of the order.
            Some(Fault::Late) if order.limit_ms * 1_000 < LATE_US => {
                self.event(order.limit_ms * 1_000, report(Err(StepFault::TimedOut)));
            }
            Some(Fault::Late) => self.answer(at, LATE_US, report(Ok(result))),
            Some(Fault::Twice) => {
                self.answer(at, STEP_US, report(Ok(result.clone())));
                self.answer(at, STEP_US + 1_000, report(Ok(result)));
            }
            Some(Fault::WrongCount) => {
                result.count += 1;
                self.answer(at, STEP_US, report(Ok(result)));
            }
            _ => self.answer(at, STEP_US, report(Ok(result))),
        }
    }

    fn perform_call(
        &mut self,
        at: usize,
        request: RequestId,
    ) -> Option<(u64, std::result::Result<String, CallFault>)> {
        self.steps += 1;
        let fault = self.faults.get(&self.steps).copied();
        let endpoint = &mut self.endpoints[at];
        if !endpoint.alive {
            return Some((100, Err(CallFault::NotSent)));
        }
        match fault {
            Some(Fault::Kill) => {
                self.kill(at);
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
        let endpoint = self.endpoints.iter().find(|e| e.target == target).expect("a known endpoint");
        let (after_us, progress) = match (endpoint.alive, endpoint.frozen) {
            (false, _) => (100, Progress::Refused),
            (true, true) => (250_000, Progress::Silent),
            (true, false) => (500, Progress::Batches(endpoint.batches)),
        };
        self.event(after_us, Event::Probed { endpoint: target.endpoint, progress });
    }

    fn take_reply(&mut self, reply: Reply) {
        match reply {
            Reply::Token { request, index, id, .. } => {
                let received = self.received.entry(request).or_default();
                assert!(received.outcomes.is_empty(), "a token after the outcome");
                assert_eq!(index as usize, received.tokens.len(), "tokens come once and in order");
                received.tokens.push(id);
                self.event(100, Event::Credit { request, tokens: 1 });
            }
            Reply::Ended { request, outcome } => {
                self.received.entry(request).or_default().outcomes.push(outcome);
            }
        }
    }

    /// Chooses like a routing that knows which endpoints are dead, but not which are frozen.
    fn substitute(&mut self, reroute: &Reroute) -> Found {
        match reroute.need {
            Need::Stage { stage } => {
                let layers = LayerRange::new(stage as u16 * 2, stage as u16 * 2 + 2);
                match self.choose(layers, &reroute.failed) {
                    Some(target) => Found::Stage { stage, target, pace: pace() },
                    None => Found::Nothing,
                }
            }
            Need::Route => Found::Assignment(self.pipeline(reroute.request, Some(&reroute.failed))),
            Need::Service => match self.choose(LayerRange::new(0, 0), &reroute.failed) {
                Some(target) => Found::Assignment(Assignment::Service(target)),
                None => Found::Nothing,
            },
        }
    }

    fn choose(&self, layers: LayerRange, failed: &EndpointId) -> Option<Target> {
        let usable =
            |e: &&FakeEndpoint| e.layers == layers && e.alive && !e.frozen && e.target.endpoint != *failed;
        self.endpoints.iter().find(usable).map(|endpoint| endpoint.target.clone())
    }

    fn pipeline(&mut self, request: RequestId, failed: Option<&EndpointId>) -> Assignment {
        let nobody = EndpointId::new("nobody", 0);
        let stages: Vec<Stage> = (0..3_u16)
            .filter_map(|stage| {
                let layers = LayerRange::new(stage * 2, stage * 2 + 2);
                let target = self.choose(layers, failed.unwrap_or(&nobody)).or_else(|| {
                    self.endpoints.iter().find(|e| e.layers == layers).map(|e| e.target.clone())
                })?;
                Some(Stage { target, layers })
            })
            .collect();
        let endpoints = stages.iter().map(|stage| stage.target.endpoint.clone()).collect();
        self.placed.insert(request, endpoints);
        let route = Route::new("m".into(), ModelVersion(1), LAYERS, stages).expect("a route");
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
    let address = "127.0.0.1:1".parse().expect("an address");
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

fn run(endpoint: &mut FakeEndpoint, order: &StepOrder) -> StepResult {
    let inputs = match &order.input {
        StepInput::Prompt { prompt, tokens } => {
            let mut inputs = model::prompt_values(prompt);
            inputs.extend(tokens.iter().map(|token| model::token_value(*token)));
            inputs
        }
        StepInput::Token(token) => vec![model::token_value(*token)],
        StepInput::Hidden(hidden) => hidden.clone(),
    };
    let cache = endpoint.caches.entry(order.cache).or_default();
    assert_eq!(cache.positions, order.position, "a step at a position that the cache does not await");
    let outputs: Vec<u64> = inputs.iter().map(|input| cache.run(order.layers, *input)).collect();
    let count = outputs.len() as u32;
    let output = match outputs.last() {
        Some(last) if order.layers.end == LAYERS => {
            StepOutput::Token { id: model::token(*last), text: String::new(), end: false }
        }
        _ => StepOutput::Hidden(outputs),
    };
    StepResult { count, output }
}
