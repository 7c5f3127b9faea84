//! A small deployment and checked requests, shared by the process tests.

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

/// Long enough for a busy machine; nothing waits this long when all is well.
pub const LIMIT: Duration = Duration::from_secs(30);

pub const PROMPTS: [&str; 3] = [
    "Uzraksti pieprasījuma vēstuli aviosabiedrībai par kavētu lidojumu",
    "Составь письмо авиакомпании о задержанном рейсе",
    "Draft a demand letter to the airline about a delayed flight",
];

/// Three stages of four layers with some replicas each, every replica in a zone of its own, without entries.
pub fn endpoints(replicas: usize) -> Deployment {
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

/// The same with entries.
pub fn deployment(replicas: usize, entries: usize) -> Deployment {
    let mut deployment = endpoints(replicas);
    for number in 1..=entries {
        let zone = format!("zone-{number}");
        deployment.add_entry(&format!("entry-{number}"), &zone, "").expect("the entry starts");
    }
    deployment
}

pub fn body(prompt: &str, max_tokens: u32) -> GenerateBody {
    GenerateBody { model: MODEL.into(), prompt: prompt.into(), max_tokens, deadline_ms: 25_000 }
}

pub fn expected(prompt: &str, max_tokens: u32) -> Vec<u32> {
    let answer = reference_answer(&Model::new(MODEL, 1), LAYERS, prompt, max_tokens);
    answer.iter().map(|Token { id, .. }| *id).collect()
}

/// Checks that an answer is whole, right and in order.
pub fn check(answer: &Answer, prompt: &str, max_tokens: u32) {
    assert_eq!(answer.outcome.outcome, "completed", "{answer:?}");
    assert_eq!(answer.tokens, expected(prompt, max_tokens), "the tokens of {prompt:?}");
    assert!(answer.indexes.iter().copied().eq(0..max_tokens), "each token once and in order");
}

/// Reads an answer until it has some tokens.
pub async fn read_tokens<S>(stream: &mut AnswerStream<S>, tokens: usize) -> Answer
where
    S: Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    let mut answer = Answer::default();
    while answer.tokens.len() < tokens {
        match stream.next().await.expect("an event").expect("not the end") {
            Event::Token(token) => {
                answer.tokens.push(token.id);
                answer.indexes.push(token.index);
            }
            Event::Outcome(outcome) => unreachable!("ended early: {outcome:?}"),
        }
    }
    answer
}

/// Asks one entry after another until one gives a definite outcome, as a caller behind a balancer does.
pub async fn ask_until_answered(caller: &Caller, entries: &[Address], body: &GenerateBody) -> Answer {
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
    unreachable!("no entry answers: {last:?}")
}

/// Sum over the living endpoints of layers that ran twice for one position of one cache.
pub async fn duplicates(deployment: &Deployment) -> u64 {
    let mut duplicates = 0;
    for endpoint in &deployment.endpoints {
        if let Ok(counts) = endpoint.process.get("/control/counts").await {
            duplicates += counts.get("duplicates").and_then(Value::as_u64).unwrap_or(0);
        }
    }
    duplicates
}

/// Checks that no layer ran twice and that no entry saw a violated invariant.
pub async fn check_clean(deployment: &Deployment) {
    assert_eq!(duplicates(deployment).await, 0);
    for entry in &deployment.entries {
        assert_eq!(violations(entry).await, Some(0.0), "{}", entry.instance);
    }
}

pub async fn violations(entry: &EntryProcess) -> Option<f64> {
    metric(entry.operators, "banyannotch_invariant_violations_total").await
}

/// Steps that an endpoint has run.
pub async fn steps(deployment: &Deployment, instance: &str) -> u64 {
    let found = deployment.endpoints.iter().find(|endpoint| endpoint.listed.instance.as_str() == instance);
    let counts = found.expect("an endpoint").process.get("/control/counts").await.expect("counts");
    counts.get("steps").and_then(Value::as_u64).expect("a number of steps")
}

/// Finds the engine of the middle layers that runs a request.
pub async fn busy_middle_stage(deployment: &Deployment) -> usize {
    for (index, endpoint) in deployment.endpoints.iter().enumerate() {
        let instance = endpoint.listed.instance.as_str();
        if instance.starts_with("engine-1-") && steps(deployment, instance).await > 0 {
            return index;
        }
    }
    unreachable!("no middle stage runs the request");
}

/// Lets the tests of one binary run one after another, so that few processes run at the same time.
pub fn in_turn() -> MutexGuard<'static, ()> {
    static TURN: Mutex<()> = Mutex::new(());
    // A test that failed must not make the others fail.
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The platform without log lines, unless `BANYANNOTCH_TEST_LOGS` names a directory for them.
pub fn quiet_platform(log_options: &[&str]) -> Deployment {
    let mut binaries = Binaries::beside(Path::new(env!("CARGO_BIN_EXE_banyannotch-standin")));
    let directory = std::env::var_os("BANYANNOTCH_TEST_LOGS").map(PathBuf::from);
    binaries.logs = directory.map_or(Logs::Discard, Logs::Directory);
    Deployment::start(binaries, log_options).expect("the platform starts")
}

/// Adds a replica of one of three stages, in the zone of its number.
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

/// Adds all three stages with some replicas each, and the plain service.
pub fn add_replicas(deployment: &mut Deployment, replicas: usize) {
    for replica in 1..=replicas {
        for stage in 0..3 {
            add_replica(deployment, stage, replica, &[]);
        }
    }
    deployment.add_service("desk", "desk-1", "zone-1").expect("the service starts");
}

/// Adds entries with further lines in their settings.
pub fn add_entries(deployment: &mut Deployment, entries: usize, more: &str) {
    for number in 1..=entries {
        let zone = format!("zone-{number}");
        deployment.add_entry(&format!("entry-{number}"), &zone, more).expect("the entry starts");
    }
}

/// Counts the endpoints whose processes have ended.
pub fn lost_endpoints(deployment: &mut Deployment) -> usize {
    let ended = deployment.endpoints.iter_mut().map(|endpoint| endpoint.process.has_ended());
    ended.filter(|ended| *ended.as_ref().expect("the process can be observed")).count()
}

/// Longest time that a balancer waits for `/readyz`.
const READY_CHECK_LIMIT_MS: u64 = 200;

/// Sends of one request after which a test gives up.
const SEND_LIMIT: usize = 200;

/// The platform's balancer: passes requests to the entries in turn, but only to those whose `/readyz` answers 200.
#[derive(Debug, Default)]
pub struct Balancer {
    entries: RefCell<Vec<Address>>,
    next: Cell<usize>,
    /// Requests that were answered in full.
    pub answered: Cell<u32>,
    /// Why requests were sent again.
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

    /// Returns the next entry that is ready.
    async fn ready_entry(&self) -> Address {
        let client = Client::new(ClientSettings::default());
        for _ in 0..SEND_LIMIT {
            let entry = {
                let entries = self.entries.borrow();
                let number = self.next.get();
                self.next.set(number + 1);
                *entries.get(number % entries.len()).expect("an entry")
            };
            let answer = client.get(entry, "/readyz", READY_CHECK_LIMIT_MS).await;
            if answer.is_ok_and(|answer| answer.status == 200) {
                return entry;
            }
        }
        unreachable!("no entry is ready")
    }

    /// Sends a request until it is answered in full, and again only after a refusal or a broken connection.
    pub async fn ask(&self, caller: &Caller, prompt: &str, max_tokens: u32) {
        for _ in 0..SEND_LIMIT {
            let entry = self.ready_entry().await;
            let reason = match caller.generate_whole(entry, &body(prompt, max_tokens)).await {
                Ok(answer) if answer.outcome.outcome == "not_run" => format!("{entry} {answer:?}"),
                Ok(answer) => {
                    check(&answer, prompt, max_tokens);
                    self.answered.set(self.answered.get() + 1);
                    return;
                }
                Err(error) => format!("{entry} {error}"),
            };
            self.resends.borrow_mut().push(reason);
        }
        unreachable!("{prompt:?} is not answered: {:?}", self.resends.borrow())
    }
}

/// Callers who send one request after another until they are told to stop.
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
                    balancer.ask(&caller, &prompt, max_tokens).await;
                    request += 1;
                }
            })
        });
        Self { tasks: tasks.collect(), stopping }
    }

    /// Waits until every caller has the answer to their last request.
    pub async fn stop(self) {
        self.stopping.set(true);
        for task in self.tasks {
            task.await.expect("the caller gets whole answers");
        }
    }
}
