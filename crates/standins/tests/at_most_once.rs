//! Sends non-idempotent calls through several entries while the log and the entries fail. Guards against a
//! call that runs twice, a call that ran but is reported as `not_run`, and a resend that gets a different
//! result.

#![expect(
    clippy::expect_used,
    clippy::indexing_slicing,
    reason = "clippy does not take the helpers of an integration test for test code"
)]

mod common;

use banyannotch::clock::{Clock, SystemClock};
use banyannotch::pipeline::Address;
use banyannotch_standins::caller::{Answer, CallBody, Caller, CallerError};
use banyannotch_standins::harness::{Deployment, Process, TOKEN, wait_until};
use common::{TIMEOUT, add_entries, add_replicas, check_no_violations, serialize_tests, start_platform};
use serde_json::{Value, json};

/// Short margins, so that a claim counts as lost soon after its holder has failed.
const SETTINGS: &str = "[ledger]\nclock_margin_ms = 50\nholder_grace_ms = 200\n";

/// Delay of the answers of the log or the service, in milliseconds, so that an entry can fail before it
/// receives one.
const ANSWER_DELAY_MS: u64 = 400;

async fn deployment(entries: usize) -> Deployment {
    let mut deployment = start_platform(&[]);
    add_replicas(&mut deployment, 1);
    add_entries(&mut deployment, entries, SETTINGS);
    deployment.make_ready().await.expect("the deployment is ready");
    let caller = Caller::new(TOKEN);
    for entry in &deployment.entries {
        // A new entry serves non-idempotent calls only after it has read the log.
        let key = format!("first at {}", entry.instance);
        wait_until(TIMEOUT, async || {
            let answer = caller.call(entry.callers, &payout(&key, 2_000)).await;
            answer.is_ok_and(|answer| answer.outcome.outcome == "completed")
        })
        .await
        .expect("the entry's ledger is ready");
    }
    deployment
}

fn payout(key: &str, deadline_ms: u64) -> CallBody {
    CallBody {
        service: "desk".into(),
        operation: "payout".into(),
        payload: json!({ "claim": key }),
        deadline_ms,
        idempotent: false,
        key: Some(key.into()),
        key_time_ms: Some(SystemClock::start().unix_ms()),
    }
}

fn desk(deployment: &Deployment) -> &Process {
    &deployment.endpoints.last().expect("the service").process
}

async fn counts(process: &Process) -> Value {
    process.get("/control/counts").await.expect("counts")
}

/// Returns how often the service has run the call with a key.
async fn runs(deployment: &Deployment, key: &str) -> u64 {
    let counts = counts(desk(deployment)).await;
    let keys = counts["keys"].as_array().expect("a list").clone();
    let found = keys.iter().find(|runs| runs["name"].as_str().is_some_and(|name| name.contains(key)));
    found.and_then(|runs| runs["runs"].as_u64()).unwrap_or(0)
}

async fn appended(deployment: &Deployment) -> u64 {
    counts(&deployment.log).await["appended"].as_u64().expect("a number")
}

/// Checks all answers to the calls with one key against the number of runs that the service counted.
async fn check_key(deployment: &Deployment, key: &str, answers: &[Answer]) {
    let runs = runs(deployment, key).await;
    assert!(runs <= 1, "{key} ran {runs} times: {answers:?}");
    let completed: Vec<&Answer> =
        answers.iter().filter(|answer| answer.outcome.outcome == "completed").collect();
    for answer in &completed {
        assert_eq!(answer.outcome.result, completed[0].outcome.result, "results of {key} differ");
        assert_eq!(runs, 1, "runs of {key}, which was reported as completed: {answer:?}");
    }
    let not_run = answers.iter().filter(|answer| answer.outcome.outcome == "not_run");
    assert!(runs == 0 || not_run.count() == 0, "{key} ran and is reported as not run: {answers:?}");
    let outcomes: Vec<_> = answers.iter().map(|answer| &answer.outcome.outcome).collect();
    println!("{key}: {runs} runs, {outcomes:?}");
}

async fn resend(caller: &Caller, entry: Address, first: &CallBody, deadline_ms: u64) -> Answer {
    let body = CallBody { deadline_ms, ..first.clone() };
    caller.call(entry, &body).await.expect("an answer")
}

#[test]
fn concurrent_calls_with_one_key_at_all_entries_run_once() {
    let _guard = serialize_tests();
    actix_rt::System::new().block_on(async {
        let deployment = deployment(6).await;
        let caller = Caller::new(TOKEN);
        let mut last = None;
        for key in 0..10 {
            let key = format!("at once {key}.");
            let body = payout(&key, 4_000);
            let calls = deployment.entries.iter().map(|entry| caller.call(entry.callers, &body));
            let answers = futures_util::future::join_all(calls).await;
            let answers: Vec<Answer> = answers.into_iter().map(|answer| answer.expect("an answer")).collect();
            assert!(answers.iter().all(|answer| answer.outcome.outcome == "completed"), "{answers:?}");
            check_key(&deployment, &key, &answers).await;
            last = Some(body);
        }
        let other = CallBody { payload: json!({ "claim": "changed" }), ..last.expect("a call") };
        for entry in &deployment.entries {
            let refused = caller.call(entry.callers, &other).await.expect("an answer");
            assert_eq!(refused.status, 409, "{refused:?}");
        }
        assert_eq!(counts(desk(&deployment)).await["duplicates"], json!(0));
        check_no_violations(&deployment).await;
    });
}

#[test]
fn calls_complete_once_when_append_answers_are_lost() {
    let _guard = serialize_tests();
    actix_rt::System::new().block_on(async {
        let deployment = deployment(2).await;
        let caller = Caller::new(TOKEN);
        for round in 0..5 {
            deployment.log.set_faults(&json!({ "lose_answer_next": 2 })).await.expect("faults");
            let key = format!("lost {round}.");
            let body = payout(&key, 6_000);
            let mut answers = Vec::new();
            for entry in &deployment.entries {
                answers.push(caller.call(entry.callers, &body).await.expect("an answer"));
            }
            assert!(answers.iter().all(|answer| answer.outcome.outcome == "completed"), "{answers:?}");
            check_key(&deployment, &key, &answers).await;
        }
        assert!(counts(&deployment.log).await["lost_answers"].as_u64() >= Some(5));
        assert_eq!(counts(desk(&deployment)).await["duplicates"], json!(0));
    });
}

/// Progress of a call when its entry fails.
#[derive(Clone, Copy, Debug)]
enum Stage {
    /// The claim is in the log, but the entry has not read it back.
    Claimed,
    /// The service has run the call and has not answered.
    Dispatched,
    /// The caller has received the answer.
    Answered,
}

/// Failure of the entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Failure {
    Killed,
    Suspended,
}

async fn check_failure(stage: Stage, failure: Failure) {
    let mut deployment = deployment(3).await;
    let caller = Caller::new(TOKEN);
    let key = format!("{failure:?} {stage:?}");
    let body = payout(&key, 1_000);
    match stage {
        Stage::Claimed => {
            let faults = json!({ "delay_ms": ANSWER_DELAY_MS });
            deployment.log.set_faults(&faults).await.expect("faults");
        }
        Stage::Dispatched => {
            let faults = json!({ "delay_ms": ANSWER_DELAY_MS });
            desk(&deployment).set_faults(&faults).await.expect("faults");
        }
        Stage::Answered => {}
    }
    let before = appended(&deployment).await;
    let holder = deployment.entries[0].callers;
    let first = actix_rt::spawn({
        let (caller, body) = (caller.clone(), body.clone());
        async move { caller.call(holder, &body).await }
    });
    wait_until(TIMEOUT, async || match stage {
        Stage::Claimed => appended(&deployment).await > before,
        Stage::Dispatched => runs(&deployment, &key).await > 0,
        Stage::Answered => first.is_finished(),
    })
    .await
    .expect("the call reaches the stage");
    match failure {
        Failure::Killed => deployment.entries[0].process.kill().expect("killed"),
        Failure::Suspended => deployment.entries[0].process.suspend().expect("suspended"),
    }
    let faults = json!({ "delay_ms": 0 });
    deployment.log.set_faults(&faults).await.expect("faults");
    desk(&deployment).set_faults(&faults).await.expect("faults");
    let (second, third) = (deployment.entries[1].callers, deployment.entries[2].callers);
    let resends = futures_util::future::join(
        resend(&caller, second, &body, 2_000),
        resend(&caller, third, &body, 2_000),
    );
    let (one, other) = resends.await;
    let mut answers = vec![one, other];
    if failure == Failure::Suspended {
        deployment.entries[0].process.resume().expect("resumed");
    }
    match first.await.expect("the task ends") {
        Ok(answer) => answers.push(answer),
        Err(error @ (CallerError::Malformed(_) | CallerError::NotSent(_))) => unreachable!("{error}"),
        Err(CallerError::Broken(_) | CallerError::NoOutcome) => assert_eq!(failure, Failure::Killed),
    }
    check_key(&deployment, &key, &answers).await;
    // A call that has not run yet may run now.
    let last = resend(&caller, second, &body, 2_000).await;
    answers.retain(|answer| answer.outcome.outcome != "not_run");
    answers.push(last);
    check_key(&deployment, &key, &answers).await;
    assert_eq!(counts(desk(&deployment)).await["duplicates"], json!(0));
}

#[test]
fn a_call_whose_entry_is_killed_runs_at_most_once() {
    let _guard = serialize_tests();
    actix_rt::System::new().block_on(async {
        for stage in [Stage::Claimed, Stage::Dispatched, Stage::Answered] {
            check_failure(stage, Failure::Killed).await;
        }
    });
}

#[test]
fn a_call_whose_entry_is_suspended_runs_at_most_once() {
    let _guard = serialize_tests();
    actix_rt::System::new().block_on(async {
        for stage in [Stage::Claimed, Stage::Dispatched, Stage::Answered] {
            check_failure(stage, Failure::Suspended).await;
        }
    });
}
