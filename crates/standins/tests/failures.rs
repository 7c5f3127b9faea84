//! Fails several endpoints while streams are open. Guards against streams that end early or change their
//! tokens, and against the quarantine of requests that did not cause the failure.

#![expect(
    clippy::expect_used,
    clippy::indexing_slicing,
    reason = "clippy does not take the helpers of an integration test for test code"
)]

mod common;

use std::time::{Duration, Instant};

use banyannotch_standins::caller::{Answer, Caller};
use banyannotch_standins::harness::{Deployment, TOKEN, metric, wait_until};
use common::{
    PROMPTS, TIMEOUT, add_entries, add_replica, body, check_answer, check_no_violations, executed_steps,
    read_tokens, serialize_tests, start_platform,
};
use serde_json::json;

fn deployment(replicas: usize, entries: usize) -> Deployment {
    let mut deployment = start_platform(&[]);
    for replica in 1..=replicas {
        for stage in 0..3 {
            // Steps are slow enough that a failing engine has some in progress.
            add_replica(&mut deployment, stage, replica, &["--slow-factor", "4"]);
        }
    }
    add_entries(&mut deployment, entries, "");
    deployment
}

/// Returns the index of an endpoint in the deployment.
fn endpoint_index(deployment: &Deployment, instance: &str) -> usize {
    let found =
        deployment.endpoints.iter().position(|endpoint| endpoint.listed.instance.as_str() == instance);
    found.expect("an endpoint")
}

/// Returns the endpoint index of the replica of a stage that has run the most steps since `before`.
async fn busiest_replica(deployment: &Deployment, stage: u16, replicas: usize, before: &[u64]) -> usize {
    let mut best = (0, 1);
    for replica in 1..=replicas {
        let now = executed_steps(deployment, &format!("engine-{stage}-{replica}")).await;
        best = best.max((now - before[replica - 1], replica));
    }
    endpoint_index(deployment, &format!("engine-{stage}-{}", best.1))
}

/// Appends the tokens of the second part of an answer to the first.
fn concatenated(mut first: Answer, second: Answer) -> Answer {
    first.tokens.extend(second.tokens);
    first.indexes.extend(second.indexes);
    first
}

/// Number of tokens in each stream.
const TOKENS: u32 = 60;

/// Opens streams through all entries, runs `fail` while all of them are open, and checks that the answers are
/// complete and that the same prompts are accepted afterwards.
async fn check_streams(deployment: &mut Deployment, streams: usize, fail: impl AsyncFnOnce(&mut Deployment)) {
    deployment.make_ready().await.expect("the deployment is ready");
    let caller = Caller::new(TOKEN);
    let entries: Vec<_> = deployment.entries.iter().map(|entry| entry.callers).collect();
    let mut open = Vec::new();
    for number in 0..streams {
        let prompt = format!("{} {number}", PROMPTS[number % 3]);
        let entry = entries[number % entries.len()];
        let mut stream = caller.generate(entry, &body(&prompt, TOKENS)).await.expect("a response");
        let answer = read_tokens(&mut stream, 1).await;
        open.push((prompt, stream, answer));
    }
    fail(&mut *deployment).await;
    let failed = Instant::now();
    let mut prompts = Vec::new();
    for (prompt, stream, answer) in open {
        let answer = stream.finish(answer).await.expect("the rest of the answer");
        check_answer(&answer, &prompt, TOKENS);
        prompts.push(prompt);
    }
    let mut recoveries = 0.0;
    for entry in &deployment.entries {
        recoveries += metric(entry.operators, "banyannotch_recoveries_total").await.expect("metrics");
    }
    println!("{recoveries} recoveries; all streams are complete {:?} after the failure", failed.elapsed());
    assert!(recoveries >= 1.0, "expected at least 1 recovery, found {recoveries}");
    for entry in &entries {
        for prompt in &prompts {
            let again = caller.generate_whole(*entry, &body(prompt, 2)).await.expect("an answer");
            check_answer(&again, prompt, 2);
        }
    }
    check_no_violations(deployment).await;
}

fn kill(deployment: &mut Deployment, instances: &[&str]) {
    for instance in instances {
        let index = endpoint_index(deployment, instance);
        deployment.endpoints[index].process.kill().expect("the engine is killed");
    }
}

#[test]
fn streams_survive_two_engines_killed_at_once() {
    let _guard = serialize_tests();
    actix_rt::System::new().block_on(async {
        let mut deployment = deployment(3, 2);
        let fail = async |deployment: &mut Deployment| kill(deployment, &["engine-0-1", "engine-2-2"]);
        check_streams(&mut deployment, 8, fail).await;
    });
}

#[test]
fn streams_survive_the_loss_of_a_zone() {
    let _guard = serialize_tests();
    actix_rt::System::new().block_on(async {
        let mut deployment = deployment(3, 2);
        let fail = async |deployment: &mut Deployment| {
            kill(deployment, &["engine-0-1", "engine-1-1", "engine-2-1"]);
        };
        check_streams(&mut deployment, 12, fail).await;
    });
}

#[test]
fn a_stream_survives_a_killed_engine_and_its_killed_replacement() {
    let _guard = serialize_tests();
    actix_rt::System::new().block_on(async {
        let mut deployment = deployment(3, 1);
        deployment.make_ready().await.expect("the deployment is ready");
        let caller = Caller::new(TOKEN);
        let (entry, operators) = (deployment.entries[0].callers, deployment.entries[0].operators);
        let prompt = PROMPTS[1];
        let mut stream = caller.generate(entry, &body(prompt, 120)).await.expect("a response");
        let mut answer = read_tokens(&mut stream, 5).await;
        for kills in 1..=2 {
            let mut before = Vec::new();
            for replica in 1..=3 {
                let instance = format!("engine-1-{replica}");
                let index = endpoint_index(&deployment, &instance);
                let ended = deployment.endpoints[index].process.has_ended().expect("observed");
                before.push(if ended { u64::MAX } else { executed_steps(&deployment, &instance).await });
            }
            answer = concatenated(answer, read_tokens(&mut stream, 10).await);
            let mut victim = (0, 0);
            for replica in (1..=3).filter(|replica| before[replica - 1] != u64::MAX) {
                let instance = format!("engine-1-{replica}");
                let gained = executed_steps(&deployment, &instance).await - before[replica - 1];
                victim = victim.max((gained, endpoint_index(&deployment, &instance)));
            }
            deployment.endpoints[victim.1].process.kill().expect("the engine is killed");
            let killed = Instant::now();
            wait_until(TIMEOUT, async || {
                metric(operators, "banyannotch_recoveries_total").await == Some(f64::from(kills))
            })
            .await
            .expect("a recovery is counted");
            // Further tokens clear the request of suspicion before the replacement is killed too.
            answer = concatenated(answer, read_tokens(&mut stream, 30).await);
            println!("kill {kills}: 30 more tokens after {:?}", killed.elapsed());
        }
        let answer = stream.finish(answer).await.expect("the rest of the answer");
        check_answer(&answer, prompt, 120);
        let again = caller.generate_whole(entry, &body(prompt, 2)).await.expect("an answer");
        check_answer(&again, prompt, 2);
        check_no_violations(&deployment).await;
    });
}

#[test]
fn streams_are_rerouted_from_a_degraded_link() {
    const LINK_DELAY: Duration = Duration::from_secs(20);
    let _guard = serialize_tests();
    actix_rt::System::new().block_on(async {
        let deployment = deployment(2, 1);
        deployment.make_ready().await.expect("the deployment is ready");
        let caller = Caller::new(TOKEN);
        let entry = deployment.entries[0].callers;
        let prompt = PROMPTS[0];
        let mut stream = caller.generate(entry, &body(prompt, 200)).await.expect("a response");
        let answer = read_tokens(&mut stream, 20).await;
        let slow = busiest_replica(&deployment, 1, 2, &[0, 0]).await;
        let faults =
            json!({ "link_delay_us": u64::try_from(LINK_DELAY.as_micros()).expect("a short delay") });
        deployment.endpoints[slow].process.set_faults(&faults).await.expect("the link degrades");
        let degraded = Instant::now();
        // More tokens than the caller's credit, so that not all of them can have been sent before the link
        // degraded.
        let answer = concatenated(answer, read_tokens(&mut stream, 100).await);
        println!("100 tokens in {:?} after the link degraded", degraded.elapsed());
        assert!(
            degraded.elapsed() < LINK_DELAY / 2,
            "100 tokens took {:?}, so the stream waited for the slow link",
            degraded.elapsed()
        );
        let answer = stream.finish(answer).await.expect("the rest of the answer");
        check_answer(&answer, prompt, 200);
        check_no_violations(&deployment).await;
    });
}
