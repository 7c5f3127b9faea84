//! Fails several endpoints while streams are in flight. Guards against streams that break off or change, and against
//! innocent requests that are quarantined.

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
    LIMIT, PROMPTS, add_entries, add_replica, body, check, check_clean, in_turn, quiet_platform, read_tokens,
    steps,
};
use serde_json::json;

fn deployment(replicas: usize, entries: usize) -> Deployment {
    let mut deployment = quiet_platform(&[]);
    for replica in 1..=replicas {
        for stage in 0..3 {
            // Steps take long enough that a failing engine has some in flight.
            add_replica(&mut deployment, stage, replica, &["--slow-factor", "4"]);
        }
    }
    add_entries(&mut deployment, entries, "");
    deployment
}

/// Number of an endpoint in the deployment.
fn place(deployment: &Deployment, instance: &str) -> usize {
    let found = deployment.endpoints.iter().position(|end| end.listed.instance.as_str() == instance);
    found.expect("an endpoint")
}

/// The replica of a stage that gained the most steps while some tokens were read.
async fn serving(deployment: &Deployment, stage: u16, replicas: usize, before: &[u64]) -> usize {
    let mut best = (0, 1);
    for replica in 1..=replicas {
        let now = steps(deployment, &format!("engine-{stage}-{replica}")).await;
        best = best.max((now - before[replica - 1], replica));
    }
    place(deployment, &format!("engine-{stage}-{}", best.1))
}

fn joined(mut first: Answer, second: Answer) -> Answer {
    first.tokens.extend(second.tokens);
    first.indexes.extend(second.indexes);
    first
}

/// Tokens of each stream.
const TOKENS: u32 = 60;

/// Runs streams through all entries, lets `fail` do its work while all of them are in flight, and checks the answers
/// and that no content is refused afterwards.
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
        check(&answer, &prompt, TOKENS);
        prompts.push(prompt);
    }
    let mut recoveries = 0.0;
    for entry in &deployment.entries {
        recoveries += metric(entry.operators, "banyannotch_recoveries_total").await.expect("metrics");
    }
    println!("{recoveries} recoveries; all streams are whole {:?} after the failure", failed.elapsed());
    assert!(recoveries >= 1.0, "the failure hit no stream");
    for entry in &entries {
        for prompt in &prompts {
            let again = caller.generate_whole(*entry, &body(prompt, 2)).await.expect("an answer");
            check(&again, prompt, 2);
        }
    }
    check_clean(deployment).await;
}

fn kill(deployment: &mut Deployment, instances: &[&str]) {
    for instance in instances {
        let place = place(deployment, instance);
        deployment.endpoints[place].process.kill().expect("the engine is killed");
    }
}

#[test]
fn streams_survive_the_death_of_two_stages_at_once() {
    let _turn = in_turn();
    actix_rt::System::new().block_on(async {
        let mut deployment = deployment(3, 2);
        let fail = async |deployment: &mut Deployment| kill(deployment, &["engine-0-1", "engine-2-2"]);
        check_streams(&mut deployment, 8, fail).await;
    });
}

#[test]
fn streams_survive_the_loss_of_a_zone() {
    let _turn = in_turn();
    actix_rt::System::new().block_on(async {
        let mut deployment = deployment(3, 2);
        let fail = async |deployment: &mut Deployment| {
            kill(deployment, &["engine-0-1", "engine-1-1", "engine-2-1"]);
        };
        check_streams(&mut deployment, 12, fail).await;
    });
}

#[test]
fn a_stream_survives_a_stage_and_then_its_replacement() {
    let _turn = in_turn();
    actix_rt::System::new().block_on(async {
        let mut deployment = deployment(3, 1);
        deployment.make_ready().await.expect("the deployment is ready");
        let caller = Caller::new(TOKEN);
        let (entry, operators) = (deployment.entries[0].callers, deployment.entries[0].operators);
        let prompt = PROMPTS[1];
        let mut stream = caller.generate(entry, &body(prompt, 120)).await.expect("a response");
        let mut answer = read_tokens(&mut stream, 5).await;
        for deaths in 1..=2 {
            let mut before = Vec::new();
            for replica in 1..=3 {
                let instance = format!("engine-1-{replica}");
                let place = place(&deployment, &instance);
                let ended = deployment.endpoints[place].process.has_ended().expect("observed");
                before.push(if ended { u64::MAX } else { steps(&deployment, &instance).await });
            }
            answer = joined(answer, read_tokens(&mut stream, 10).await);
            let mut victim = (0, 0);
            for replica in (1..=3).filter(|replica| before[replica - 1] != u64::MAX) {
                let instance = format!("engine-1-{replica}");
                let gained = steps(&deployment, &instance).await - before[replica - 1];
                victim = victim.max((gained, place(&deployment, &instance)));
            }
            deployment.endpoints[victim.1].process.kill().expect("the engine is killed");
            let killed = Instant::now();
            wait_until(LIMIT, async || {
                metric(operators, "banyannotch_recoveries_total").await == Some(f64::from(deaths))
            })
            .await
            .expect("a recovery is counted");
            // The next tokens clear the request before its replacement dies as well.
            answer = joined(answer, read_tokens(&mut stream, 30).await);
            println!("death {deaths}: 30 more tokens after {:?}", killed.elapsed());
        }
        let answer = stream.finish(answer).await.expect("the rest of the answer");
        check(&answer, prompt, 120);
        let again = caller.generate_whole(entry, &body(prompt, 2)).await.expect("an answer");
        check(&again, prompt, 2);
        check_clean(&deployment).await;
    });
}

#[test]
fn streams_leave_a_link_that_degrades() {
    const DELAY: Duration = Duration::from_secs(20);
    let _turn = in_turn();
    actix_rt::System::new().block_on(async {
        let deployment = deployment(2, 1);
        deployment.make_ready().await.expect("the deployment is ready");
        let caller = Caller::new(TOKEN);
        let entry = deployment.entries[0].callers;
        let prompt = PROMPTS[0];
        let mut stream = caller.generate(entry, &body(prompt, 200)).await.expect("a response");
        let answer = read_tokens(&mut stream, 20).await;
        let slow = serving(&deployment, 1, 2, &[0, 0]).await;
        let faults = json!({ "link_delay_us": u64::try_from(DELAY.as_micros()).expect("a short delay") });
        deployment.endpoints[slow].process.set_faults(&faults).await.expect("the link degrades");
        let degraded = Instant::now();
        // More than the caller's credit, so that these tokens cannot all have been on their way.
        let answer = joined(answer, read_tokens(&mut stream, 100).await);
        println!("100 tokens in {:?} after the link degraded", degraded.elapsed());
        assert!(degraded.elapsed() < DELAY / 2, "the stream waits for the slow link");
        let answer = stream.finish(answer).await.expect("the rest of the answer");
        check(&answer, prompt, 200);
        check_clean(&deployment).await;
    });
}
