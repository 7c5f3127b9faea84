//! Deployments, requests with checked answers, and a load generator, shared by the process tests.

#![expect(
    clippy::expect_used,
    reason = "clippy does not take the helpers of an integration test for test code"
)]
#![allow(dead_code, reason = "each test binary uses a part of the helpers")]

use std::cell::{Cell, RefCell};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use banyannotch::engine::Token;
use banyannotch::http::{Client, ClientSettings};
use banyannotch::pipeline::{Address, LayerRange};
use banyannotch_standins::caller::{Answer, AnswerStream, Caller, CallerError, Event, GenerateBody};
use banyannotch_standins::harness::{
    Binaries, Deployment, EngineSpec, EntryProcess, LAYERS, Logs, MODEL, TOKEN, metric,
};
use banyannotch_standins::model::{Model, reference_answer};
use bytes::Bytes;
use futures_util::Stream;
use serde_json::Value;

/// Timeout of waits that succeed sooner unless something fails. Long enough for a busy machine.
pub const TIMEOUT: Duration = Duration::from_secs(30);

pub const PROMPTS: [&str; 3] = [
    "Uzraksti pieprasījuma vēstuli aviosabiedrībai par kavētu lidojumu",
    "Составь письмо авиакомпании о задержанном рейсе",
    "Draft a demand letter to the airline about a delayed flight",
];

/// Starts a deployment without entries: three stages of four layers with the given number of replicas, each
/// replica in its own zone, and the plain service.
pub fn deployment_without_entries(replicas: usize) -> Deployment {
    let binaries = Binaries::beside(Path::new(env!("CARGO_BIN_EXE_banyannotch-standin")));
    let mut deployment = Deployment::start(binaries, &[]).expect("the platform starts");
    for replica in 1..=replicas {
        for stage in 0..3 {
            let spec = EngineSpec {
                instance: format!("engine-{stage}-{replica}"),
                zone: format!("zone-{replica}"),
                layers: LayerRange::new(stage * 4, stage * 4 + 4),
                options: vec!["--step-us".into(), "200".into()],
            };
            deployment.add_engine(&spec).expect("the engine starts");
        }
    }
    deployment.add_service("desk", "desk-1", "zone-1").expect("the service starts");
    deployment
}

/// Starts a deployment as [`deployment_without_entries`] does, and adds entries.
pub fn deployment(replicas: usize, entries: usize) -> Deployment {
    let mut deployment = deployment_without_entries(replicas);
    for number in 1..=entries {
        let zone = format!("zone-{number}");
        deployment.add_entry(&format!("entry-{number}"), &zone, "").expect("the entry starts");
    }
    deployment
}

/// Body of a request to generate tokens, with a deadline of 25 s.
pub fn body(prompt: &str, max_tokens: u32) -> GenerateBody {
    GenerateBody { model: MODEL.into(), prompt: prompt.into(), max_tokens, deadline_ms: 25_000 }
}

/// Token ids of the reference answer.
pub fn expected_tokens(prompt: &str, max_tokens: u32) -> Vec<u32> {
    let answer = reference_answer(&Model::new(MODEL, 1), LAYERS, prompt, max_tokens);
    answer.iter().map(|Token { id, .. }| *id).collect()
}

/// Checks that an answer completed with the reference tokens, each once and in order.
pub fn check_answer(answer: &Answer, prompt: &str, max_tokens: u32) {
    assert_eq!(answer.outcome.outcome, "completed", "{answer:?}");
    assert_eq!(answer.tokens, expected_tokens(prompt, max_tokens), "tokens of the answer to {prompt:?}");
    assert!(
        answer.indexes.iter().copied().eq(0..max_tokens),
        "expected token indexes 0..{max_tokens} in order, found {:?}",
        answer.indexes
    );
}

/// Reads a stream until the given number of tokens has arrived.
pub async fn read_tokens<S>(stream: &mut AnswerStream<S>, tokens: usize) -> Answer
where
    S: Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    let mut answer = Answer::default();
    while answer.tokens.len() < tokens {
        match stream.next().await.expect("the stream is readable").expect("the stream has not ended") {
            Event::Token(token) => {
                answer.tokens.push(token.id);
                answer.indexes.push(token.index);
            }
            Event::Outcome(outcome) => unreachable!(
                "expected {tokens} tokens, but the stream ended after {}: {outcome:?}",
                answer.tokens.len()
            ),
        }
    }
    answer
}

/// Sends a request to one entry after another until one responds with an outcome other than `not_run`, as a
/// caller behind a load balancer does.
pub async fn generate_with_retries(caller: &Caller, entries: &[Address], body: &GenerateBody) -> Answer {
    let mut last = None;
    for _ in 0..5 {
        for entry in entries {
            match caller.generate_whole(*entry, body).await {
                Ok(answer) if answer.outcome.outcome != "not_run" => return answer,
                Ok(answer) => last = Some(format!("{answer:?}")),
                Err(error @ (CallerError::Malformed(_) | CallerError::NoOutcome)) => {
                    last = Some(error.to_string());
                }
                Err(error) => last = Some(error.to_string()),
            }
        }
    }
    unreachable!("no entry answered; last error or answer: {last:?}")
}

/// Returns how often layers ran again for the same position of a cache, summed over all endpoints that
/// respond.
pub async fn duplicate_runs(deployment: &Deployment) -> u64 {
    let mut duplicates = 0;
    for endpoint in &deployment.endpoints {
        if let Ok(counts) = endpoint.process.get("/control/counts").await {
            duplicates += counts.get("duplicates").and_then(Value::as_u64).unwrap_or(0);
        }
    }
    duplicates
}

/// Checks that no layer ran twice for a position and that no entry counted a violated invariant.
pub async fn check_no_violations(deployment: &Deployment) {
    assert_eq!(duplicate_runs(deployment).await, 0, "layers ran twice for a position");
    for entry in &deployment.entries {
        assert_eq!(
            invariant_violations(entry).await,
            Some(0.0),
            "invariant violations at {}",
            entry.instance
        );
    }
}

/// Returns the number of violated invariants that an entry counted; `None` when its metrics are unavailable.
pub async fn invariant_violations(entry: &EntryProcess) -> Option<f64> {
    metric(entry.operators, "banyannotch_invariant_violations_total").await
}

/// Returns the number of steps that an endpoint has run.
pub async fn executed_steps(deployment: &Deployment, instance: &str) -> u64 {
    let found = deployment.endpoints.iter().find(|endpoint| endpoint.listed.instance.as_str() == instance);
    let counts = found.expect("an endpoint").process.get("/control/counts").await.expect("counts");
    counts.get("steps").and_then(Value::as_u64).expect("a number of steps")
}

/// Returns the index of a middle-stage engine that has run steps.
pub async fn busy_middle_stage(deployment: &Deployment) -> usize {
    for (index, endpoint) in deployment.endpoints.iter().enumerate() {
        let instance = endpoint.listed.instance.as_str();
        if instance.starts_with("engine-1-") && executed_steps(deployment, instance).await > 0 {
            return index;
        }
    }
    unreachable!("no middle-stage engine has run a step");
}

/// Serializes the tests of one binary, so that few processes run at the same time.
pub fn serialize_tests() -> MutexGuard<'static, ()> {
    static LOCK: Mutex<()> = Mutex::new(());
    // A failed test poisons the mutex, which must not fail the others.
    LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts the platform's stand-ins. Log lines are discarded unless `BANYANNOTCH_TEST_LOGS` names a directory
/// for them.
pub fn start_platform(log_options: &[&str]) -> Deployment {
    let mut binaries = Binaries::beside(Path::new(env!("CARGO_BIN_EXE_banyannotch-standin")));
    let directory = std::env::var_os("BANYANNOTCH_TEST_LOGS").map(PathBuf::from);
    binaries.logs = directory.map_or(Logs::Discard, Logs::Directory);
    Deployment::start(binaries, log_options).expect("the platform starts")
}

/// Adds a replica of one of three stages, in the zone with the replica's number.
pub fn add_replica(deployment: &mut Deployment, stage: u16, replica: usize, options: &[&str]) {
    let options = ["--step-us", "200"].iter().chain(options).map(|option| (*option).to_owned()).collect();
    let spec = EngineSpec {
        instance: format!("engine-{stage}-{replica}"),
        zone: format!("zone-{replica}"),
        layers: LayerRange::new(stage * 4, stage * 4 + 4),
        options,
    };
    deployment.add_engine(&spec).expect("the engine starts");
}

/// Adds the given number of replicas of all three stages, and the plain service.
pub fn add_replicas(deployment: &mut Deployment, replicas: usize) {
    for replica in 1..=replicas {
        for stage in 0..3 {
            add_replica(deployment, stage, replica, &[]);
        }
    }
    deployment.add_service("desk", "desk-1", "zone-1").expect("the service starts");
}

/// Adds entries. `extra_settings` is appended to their settings files.
pub fn add_entries(deployment: &mut Deployment, entries: usize, extra_settings: &str) {
    for number in 1..=entries {
        let zone = format!("zone-{number}");
        deployment.add_entry(&format!("entry-{number}"), &zone, extra_settings).expect("the entry starts");
    }
}

/// Returns the number of endpoints whose processes have exited.
pub fn exited_endpoints(deployment: &mut Deployment) -> usize {
    let ended = deployment.endpoints.iter_mut().map(|endpoint| endpoint.process.has_ended());
    ended.filter(|ended| *ended.as_ref().expect("the process can be observed")).count()
}

/// Timeout of the balancer's `/readyz` check, in milliseconds.
const READY_CHECK_TIMEOUT_MS: u64 = 200;

/// Maximum number of attempts for one request, and of readiness checks for one attempt.
const MAX_SENDS: usize = 200;

/// The platform's load balancer: a round robin over the entries whose `/readyz` responds with 200.
#[derive(Debug, Default)]
pub struct Balancer {
    entries: RefCell<Vec<Address>>,
    next: Cell<usize>,
    /// Number of requests with a complete answer.
    pub answered: Cell<u32>,
    /// Reasons for which requests were sent again.
    pub resends: RefCell<Vec<String>>,
}

impl Balancer {
    pub fn new(deployment: &Deployment) -> Rc<Self> {
        let balancer = Self::default();
        balancer.set_entries(deployment.entries.iter().map(|entry| entry.callers).collect());
        Rc::new(balancer)
    }

    pub fn set_entries(&self, entries: Vec<Address>) {
        *self.entries.borrow_mut() = entries;
    }

    /// Returns the next entry that is ready, in round-robin order.
    async fn ready_entry(&self) -> Address {
        let client = Client::new(ClientSettings::default());
        for _ in 0..MAX_SENDS {
            let entry = {
                let entries = self.entries.borrow();
                let number = self.next.get();
                self.next.set(number + 1);
                *entries.get(number % entries.len()).expect("an entry")
            };
            let answer = client.get(entry, "/readyz", READY_CHECK_TIMEOUT_MS).await;
            if answer.is_ok_and(|answer| answer.status == 200) {
                return entry;
            }
        }
        unreachable!("no entry was ready in {MAX_SENDS} checks")
    }

    /// Sends a request and checks its answer. Sends it again if it did not run or its answer is incomplete.
    pub async fn send_until_answered(&self, caller: &Caller, prompt: &str, max_tokens: u32) {
        for _ in 0..MAX_SENDS {
            let entry = self.ready_entry().await;
            let reason = match caller.generate_whole(entry, &body(prompt, max_tokens)).await {
                Ok(answer) if answer.outcome.outcome == "not_run" => format!("{entry} {answer:?}"),
                Ok(answer) => {
                    check_answer(&answer, prompt, max_tokens);
                    self.answered.set(self.answered.get() + 1);
                    return;
                }
                Err(error) => format!("{entry} {error}"),
            };
            self.resends.borrow_mut().push(reason);
        }
        unreachable!("{prompt:?} was not answered in {MAX_SENDS} sends: {:?}", self.resends.borrow())
    }
}

/// Concurrent callers, each of which sends one request after another until [`Load::stop`].
pub struct Load {
    stopping: Rc<Cell<bool>>,
    tasks: Vec<actix_rt::task::JoinHandle<()>>,
}

impl Load {
    pub fn start(balancer: &Rc<Balancer>, callers: usize, max_tokens: u32) -> Self {
        let stopping = Rc::new(Cell::new(false));
        let tasks = (0..callers).map(|number| {
            let (balancer, stopping) = (Rc::clone(balancer), Rc::clone(&stopping));
            actix_rt::spawn(async move {
                let caller = Caller::new(TOKEN);
                let mut request = 0;
                while !stopping.get() {
                    let prompt = format!("caller {number} request {request}");
                    balancer.send_until_answered(&caller, &prompt, max_tokens).await;
                    request += 1;
                }
            })
        });
        Self { tasks: tasks.collect(), stopping }
    }

    /// Stops the callers and waits until each has the answer to its last request.
    pub async fn stop(self) {
        self.stopping.set(true);
        for task in self.tasks {
            task.await.expect("all answers of the caller are complete");
        }
    }
}
