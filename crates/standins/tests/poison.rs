//! Sends a request that crashes every engine that runs it. Guards against a resend through another entry that
//! crashes further engines, and against other callers' answers that are lost because of it.

#![expect(
    clippy::expect_used,
    clippy::indexing_slicing,
    reason = "clippy does not take the helpers of an integration test for test code"
)]

mod common;

use banyannotch::pipeline::Address;
use banyannotch_standins::caller::{Answer, Caller};
use banyannotch_standins::harness::{Deployment, TOKEN};
use common::{
    PROMPTS, add_entries, add_replica, body, check_answer, check_no_violations, exited_endpoints,
    read_tokens, serialize_tests, start_platform,
};

const POISON: &str = "poison";

/// Maximum number of engines that one prompt may crash.
const MAX_CRASHED_ENGINES: usize = 2;

/// Starts six replicas of the first stage, which crash on the poison prompt, and two of each other stage.
fn crashing_deployment(entries: usize) -> Deployment {
    let mut deployment = start_platform(&[]);
    for replica in 1..=6 {
        add_replica(&mut deployment, 0, replica, &["--crash-on", POISON]);
    }
    for replica in 1..=2 {
        for stage in 1..3 {
            add_replica(&mut deployment, stage, replica, &[]);
        }
    }
    add_entries(&mut deployment, entries, "");
    deployment
}

fn entries(deployment: &Deployment) -> Vec<Address> {
    deployment.entries.iter().map(|entry| entry.callers).collect()
}

async fn send(caller: &Caller, entry: Address) -> Answer {
    caller.generate_whole(entry, &body(POISON, 10)).await.expect("an answer")
}

fn is_quarantined(answer: &Answer) -> bool {
    answer.tokens.is_empty() && answer.outcome.reason.as_deref() == Some("quarantined")
}

/// Sends the poison prompt through the `first` entries at once and then through all entries one by one, while
/// other streams are open.
async fn check_poison(deployment: &mut Deployment, first: &[Address]) {
    deployment.make_ready().await.expect("the deployment is ready");
    let caller = Caller::new(TOKEN);
    let all = entries(deployment);
    let mut streams = Vec::new();
    for number in 0..12 {
        let prompt = format!("{} {number}", PROMPTS[number % 3]);
        let entry = all[number % all.len()];
        let mut stream = caller.generate(entry, &body(&prompt, 120)).await.expect("a response");
        let answer = read_tokens(&mut stream, 1).await;
        streams.push((prompt, stream, answer));
    }
    let answers = futures_util::future::join_all(first.iter().map(|entry| send(&caller, *entry))).await;
    for answer in &answers {
        assert!(is_quarantined(answer), "expected a quarantined request: {answer:?}");
    }
    for entry in all.iter().rev() {
        let resent = send(&caller, *entry).await;
        assert!(is_quarantined(&resent), "expected a quarantined request: {resent:?}");
        assert_eq!((resent.status, resent.outcome.outcome.as_str()), (422, "not_run"), "{resent:?}");
    }
    for (prompt, stream, answer) in streams {
        let answer = stream.finish(answer).await.expect("the rest of the answer");
        check_answer(&answer, &prompt, 120);
    }
    let crashed = exited_endpoints(deployment);
    println!("{crashed} engines crashed");
    assert!(
        crashed <= MAX_CRASHED_ENGINES,
        "{crashed} engines crashed, expected at most {MAX_CRASHED_ENGINES}"
    );
    check_no_violations(deployment).await;
}

#[test]
fn a_resend_through_another_entry_costs_no_further_engine() {
    let _guard = serialize_tests();
    actix_rt::System::new().block_on(async {
        let mut deployment = crashing_deployment(2);
        let first = [deployment.entries[0].callers];
        check_poison(&mut deployment, &first).await;
    });
}

#[test]
fn a_resend_through_another_entry_at_the_same_time_costs_no_further_engine() {
    let _guard = serialize_tests();
    actix_rt::System::new().block_on(async {
        let mut deployment = crashing_deployment(2);
        let first = entries(&deployment);
        check_poison(&mut deployment, &first).await;
    });
}
