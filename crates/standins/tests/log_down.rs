//! Serves requests while the log is down. Guards against requests that need no log and wait for it, and against a call
//! that must not be repeated and runs without the ledger.

#![expect(
    clippy::expect_used,
    clippy::indexing_slicing,
    reason = "clippy does not take the helpers of an integration test for test code"
)]

mod common;

use std::time::{Duration, Instant};

use banyannotch::clock::{Clock, SystemClock};
use banyannotch_standins::caller::{CallBody, Caller};
use banyannotch_standins::harness::{Deployment, TOKEN};
use common::{PROMPTS, add_entries, add_replicas, body, check, check_clean, in_turn, quiet_platform};
use serde_json::{Value, json};

const DEADLINE_MS: u64 = 1_500;

fn call(operation: &str, idempotent: bool) -> CallBody {
    CallBody {
        service: "desk".into(),
        operation: operation.into(),
        payload: json!({ "amount": 250 }),
        deadline_ms: DEADLINE_MS,
        idempotent,
        key: (!idempotent).then(|| "payout-1".into()),
        key_time_ms: (!idempotent).then(|| SystemClock::start().unix_ms()),
    }
}

async fn runs(deployment: &Deployment, operation: &str) -> u64 {
    let desk = deployment.endpoints.last().expect("the service");
    let counts = desk.process.get("/control/counts").await.expect("counts");
    let operations = counts["operations"].as_array().expect("a list").clone();
    let found = operations.iter().find(|runs| runs["name"] == operation);
    found.and_then(|runs| runs["runs"].as_u64()).unwrap_or(0)
}

#[test]
fn only_calls_that_must_not_be_repeated_need_the_log() {
    let _turn = in_turn();
    actix_rt::System::new().block_on(async {
        let mut deployment = quiet_platform(&[]);
        add_replicas(&mut deployment, 1);
        add_entries(&mut deployment, 2, "");
        deployment.make_ready().await.expect("the deployment is ready");
        deployment.log.set_faults(&json!({ "down": true })).await.expect("the log goes down");
        let caller = Caller::new(TOKEN);
        for entry in &deployment.entries {
            for prompt in PROMPTS {
                let answer =
                    caller.generate_whole(entry.callers, &body(prompt, 20)).await.expect("an answer");
                check(&answer, prompt, 20);
            }
            let read = caller.call(entry.callers, &call("read", true)).await.expect("an answer");
            assert_eq!(read.outcome.outcome, "completed", "{read:?}");
            let begin = Instant::now();
            let payout = caller.call(entry.callers, &call("payout", false)).await.expect("an answer");
            let elapsed = begin.elapsed();
            assert_eq!(payout.outcome.outcome, "not_run", "{payout:?}");
            println!("not run after {elapsed:?}: {:?}", payout.outcome.reason);
            assert!(elapsed < Duration::from_millis(2 * DEADLINE_MS), "{elapsed:?}");
        }
        assert_eq!((runs(&deployment, "read").await, runs(&deployment, "payout").await), (2, 0));
        // What was reported as not run does not run later either.
        deployment.log.set_faults(&json!({ "down": false })).await.expect("the log is back");
        let read = caller.call(deployment.entries[0].callers, &call("read", true)).await.expect("an answer");
        assert_eq!(read.outcome.outcome, "completed", "{read:?}");
        assert_eq!(runs(&deployment, "payout").await, 0);
        let counts: Value = deployment.log.get("/control/counts").await.expect("counts");
        assert!(counts["down"].as_u64() > Some(0), "the outage was seen: {counts}");
        check_clean(&deployment).await;
    });
}
