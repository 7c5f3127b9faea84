//! Gateways as separate processes under random faults from outside, with promises that are checked from what callers and
//! endpoints see. Guards against combinations of faults that no other test names.
//!
//! `SOAK_SEEDS=1..51 cargo test -p banyannotch-gateway --test soak -- a_run_of_seeds` runs other seeds.

#![expect(
    clippy::expect_used,
    clippy::indexing_slicing,
    reason = "clippy does not take the helpers of an integration test for test code"
)]

#[allow(dead_code, reason = "each test file uses a part of it")]
#[path = "../common/mod.rs"]
mod common;
mod plan;
mod world;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use banyannotch::random::Random;
use banyannotch_standins::fleet::{Caller, RecordedResponse};

use common::{EVENTS, LIMIT};
use world::{REVOKE_MS, World};

/// Seeds of each run of the tests.
const SEEDS: [u64; 3] = [1, 2, 3];
/// Seeds that failed. 25: resets of connections count as breaks of a request's content, and after three of them every
/// gateway refuses equal requests for a minute, although no endpoint has crashed.
const FAILED_SEEDS: [u64; 1] = [25];
/// Gateways of a run.
const GATEWAYS: usize = 3;
/// Callers that send one request after the other.
const CALLERS: usize = 6;
/// Pause between two requests of a caller, in milliseconds.
const PAUSE_MS: u64 = 15;
/// How long after a change of the keys a request that is sent may still be treated by the old ones, in milliseconds: the
/// bound, and time for the request to reach the gateway.
const REVOKED_MS: u64 = REVOKE_MS + 200;

/// One request and what came of it.
#[derive(Clone, Debug)]
struct Sent {
    id: String,
    path: &'static str,
    key: String,
    at: Instant,
    got: RecordedResponse,
}

#[test]
fn a_run_of_seeds_breaks_no_promise() {
    let seeds: Vec<u64> = match std::env::var("SOAK_SEEDS") {
        Ok(range) => {
            let (from, to) = range.split_once("..").expect("a range like 1..51");
            (from.parse().expect("a number")..to.parse().expect("a number")).collect()
        }
        Err(_) => SEEDS.to_vec(),
    };
    run_all(&seeds);
}

#[test]
fn seeds_that_failed_break_no_promise() {
    run_all(&FAILED_SEEDS);
}

fn run_all(seeds: &[u64]) {
    for seed in seeds {
        actix_rt::System::new().block_on(run(*seed));
        println!("seed {seed} broke no promise");
    }
}

async fn run(seed: u64) {
    let world = World::start(GATEWAYS).await;
    let steps = plan::plan(seed, GATEWAYS, world.endpoints.len());
    println!("seed {seed}: {steps:?}");
    let (sent, stopped) = (Rc::new(RefCell::new(Vec::new())), Rc::new(Cell::new(false)));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let random = Random::seeded(seed ^ ((number as u64 + 1) << 32));
            let caller = send_on(number, random, Rc::clone(&world), Rc::clone(&sent), Rc::clone(&stopped));
            actix_rt::spawn(caller)
        })
        .collect();
    let mut troubles = Vec::new();
    for step in steps {
        actix_rt::time::sleep(Duration::from_millis(step.pause_ms)).await;
        troubles.push(actix_rt::spawn(Rc::clone(&world).trouble(step)));
    }
    for trouble in troubles {
        trouble.await.expect("the fault was brought about and taken back");
    }
    world.wait_ready().await;
    stopped.set(true);
    for caller in callers {
        caller.await.expect("the caller ends");
    }
    let mut faults = check_answers(&world, &sent.borrow());
    faults.extend(check_service(&world).await);
    assert!(faults.is_empty(), "seed {seed}:\n{}\n{}", faults.join("\n"), world.log());
}

/// Sends requests until it is told to stop, on a connection that it keeps as long as the gateway does.
async fn send_on(
    number: usize,
    mut random: Random,
    world: Rc<World>,
    sent: Rc<RefCell<Vec<Sent>>>,
    stopped: Rc<Cell<bool>>,
) {
    let mut caller = Caller::default();
    let mut gateway = number % GATEWAYS;
    for count in 0.. {
        if stopped.get() {
            return;
        }
        let keys = world.keys.borrow().clone();
        // Some callers go on with a key that was taken away.
        let old = keys.revoked.last().filter(|_| random.below(4) == 0).map(|(key, _)| key.clone());
        let path = ["/call/x", "/read/x", "/write/x"][random.below(3)];
        let (id, key) = (format!("{number}-{count}"), old.unwrap_or(keys.current));
        let at = Instant::now();
        let got = caller.send(world.members[gateway].callers.address, &id, path, &key).await;
        if got.status != Some(200) {
            caller = Caller::default();
            gateway = random.below(GATEWAYS);
        }
        sent.borrow_mut().push(Sent { id, path, key, at, got });
        actix_rt::time::sleep(Duration::from_millis(PAUSE_MS)).await;
    }
}

/// Compares what callers got with what endpoints ran.
fn check_answers(world: &World, sent: &[Sent]) -> Vec<String> {
    let mut runs: BTreeMap<String, Vec<banyannotch_standins::fleet::Run>> = BTreeMap::new();
    for (endpoint, _) in &world.endpoints {
        for run in endpoint.runs() {
            runs.entry(run.id.clone()).or_default().push(run);
        }
    }
    let mut faults = Vec::new();
    let keys = world.keys.borrow();
    for one in sent {
        let of_one = runs.remove(&one.id).unwrap_or_default();
        let mut fault = |what: &str| faults.push(format!("{what}: {one:?}, ran {of_one:?}"));
        let most = if one.path == "/call/x" { 1 } else { 2 };
        if of_one.len() > most {
            fault("ran too often");
        }
        if of_one.iter().any(|run| run.saw_key || run.team.as_deref() != Some("shop")) {
            fault("another team, or a key that reached an endpoint");
        }
        if of_one.iter().any(|run| run.target != one.path || run.body != b"body") {
            fault("changed on its way");
        }
        let promise = matches!(one.got.status, Some(408 | 421 | 429 | 503));
        if promise && !of_one.is_empty() {
            fault("refused as not run, and ran");
        }
        let revoked = keys.revoked.iter().find(|(key, _)| *key == one.key);
        let late = revoked.is_some_and(|(_, at)| one.at > *at + Duration::from_millis(REVOKED_MS));
        if late && !of_one.is_empty() {
            fault("ran with a key that was taken away");
        }
        if one.got.status == Some(200) && one.got.complete && !is_own_answer(one) {
            fault("a success that is not the endpoint's whole answer");
        }
        if matches!(one.got.status, Some(400 | 404 | 413 | 431)) {
            fault("a proper request was denied");
        }
        // Until then a gateway may not have read the key; after that it says that its configuration may be outdated.
        let installed = keys.revoked.last().map(|(_, at)| *at + Duration::from_millis(REVOKED_MS));
        if one.got.status == Some(401) && revoked.is_none() && installed.is_none_or(|at| one.at > at) {
            fault("a known key was denied");
        }
    }
    faults.extend(runs.keys().filter(|id| !id.starts_with("warm")).map(|id| format!("nobody sent {id}")));
    faults
}

fn is_own_answer(one: &Sent) -> bool {
    let signed = one.got.signature.as_deref().is_some_and(|signature| signature.ends_with(&one.id));
    let body = if one.path == "/write/x" {
        one.got.events() == (0..EVENTS).collect::<Vec<_>>()
    } else {
        one.got.body == format!("answer of {}", one.id)
    };
    signed && body
}

/// After the faults every gateway serves each kind of request again.
async fn check_service(world: &World) -> Vec<String> {
    let mut faults = Vec::new();
    for (number, member) in world.members.iter().enumerate() {
        for path in ["/call/x", "/read/x", "/write/x"] {
            let begun = Instant::now();
            let mut last = RecordedResponse::default();
            let mut count = 0;
            while last.status != Some(200) && begun.elapsed() < LIMIT {
                let key = world.keys.borrow().current.clone();
                let id = format!("warm-{number}-{path}-{count}");
                last = Caller::default().send(member.callers.address, &id, path, &key).await;
                count += 1;
                actix_rt::time::sleep(Duration::from_millis(PAUSE_MS)).await;
            }
            if last.status != Some(200) {
                faults.push(format!("gateway {number} does not serve {path} again: {last:?}"));
            }
        }
    }
    faults
}
