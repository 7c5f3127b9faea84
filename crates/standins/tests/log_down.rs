//! Sends requests while the log service is down. Guards against requests that wait for the log
//! although they do not need it, and against non-idempotent calls that run without a claim in the log.

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
use common::{
    PROMPTS, add_entries, add_replicas, body, check_answer, check_no_violations, serialize_tests,
    start_platform,
};
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

/// Returns how often the plain service has run an operation.
async fn runs(deployment: &Deployment, operation: &str) -> u64 {
    let desk = deployment.endpoints.last().expect("the service");
    let counts = desk.process.get("/control/counts").await.expect("counts");
    let operations = counts["operations"].as_array().expect("a list").clone();
    let found = operations.iter().find(|runs| runs["name"] == operation);
    found.and_then(|runs| runs["runs"].as_u64()).unwrap_or(0)
}

#[test]
fn only_non_idempotent_calls_need_the_log() {
    let _guard = serialize_tests();
    actix_rt::System::new().block_on(async {
        let mut deployment = start_platform(&[]);
        add_replicas(&mut deployment, 1);
        add_entries(&mut deployment, 2, "");
        deployment.make_ready().await.expect("the deployment is ready");
        deployment.log.set_faults(&json!({ "down": true })).await.expect("the log goes down");
        let caller = Caller::new(TOKEN);
        for entry in &deployment.entries {
            for prompt in PROMPTS {
                let answer =
                    caller.generate_whole(entry.callers, &body(prompt, 20)).await.expect("an answer");
                check_answer(&answer, prompt, 20);
            }
            let read = caller.call(entry.callers, &call("read", true)).await.expect("an answer");
            assert_eq!(read.outcome.outcome, "completed", "{read:?}");
            let begin = Instant::now();
            let payout = caller.call(entry.callers, &call("payout", false)).await.expect("an answer");
            let elapsed = begin.elapsed();
            assert_eq!(payout.outcome.outcome, "not_run", "{payout:?}");
            println!("not run after {elapsed:?}: {:?}", payout.outcome.reason);
            assert!(
                elapsed < Duration::from_millis(2 * DEADLINE_MS),
                "the refusal took {elapsed:?}, the deadline is {DEADLINE_MS} ms"
            );
        }
        assert_eq!((runs(&deployment, "read").await, runs(&deployment, "payout").await), (2, 0));
        // A call that was reported as not run must not run after the outage either.
        deployment.log.set_faults(&json!({ "down": false })).await.expect("the log is back");
        let read = caller.call(deployment.entries[0].callers, &call("read", true)).await.expect("an answer");
        assert_eq!(read.outcome.outcome, "completed", "{read:?}");
        assert_eq!(runs(&deployment, "payout").await, 0);
        let counts: Value = deployment.log.get("/control/counts").await.expect("counts");
        assert!(counts["down"].as_u64() > Some(0), "expected requests refused during the outage: {counts}");
        check_no_violations(&deployment).await;
    });
}
