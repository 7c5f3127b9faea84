//! Sends requests through entries and engines that run as separate processes. Guards against answers that
//! miss a layer or mix two requests, and against streams that end early when an engine is killed, suspended
//! or leaving.

mod common;

use std::time::Instant;

use banyannotch_standins::caller::Caller;
use banyannotch_standins::harness::{TOKEN, metric, wait_until};
use common::{
    PROMPTS, TIMEOUT, body, busy_middle_stage, check_answer, check_no_violations, deployment, executed_steps,
    generate_with_retries, read_tokens,
};
use serde_json::json;

#[test]
fn concurrent_requests_get_their_own_complete_answers() {
    actix_rt::System::new().block_on(async {
        let deployment = deployment(2, 1);
        deployment.make_ready().await.expect("the deployment is ready");
        let entry = deployment.entries[0].callers;
        let caller = Caller::new(TOKEN);
        let calls = (0..30_u32).map(|number| {
            let caller = caller.clone();
            async move {
                let prompt = format!("{} {number}", PROMPTS[number as usize % 3]);
                let answer = caller.generate_whole(entry, &body(&prompt, 20)).await.expect("an answer");
                check_answer(&answer, &prompt, 20);
            }
        });
        futures_util::future::join_all(calls).await;
        check_no_violations(&deployment).await;
    });
}

#[test]
fn a_stream_survives_a_killed_middle_stage() {
    actix_rt::System::new().block_on(async {
        let mut deployment = deployment(2, 1);
        deployment.make_ready().await.expect("the deployment is ready");
        let caller = Caller::new(TOKEN);
        let prompt = PROMPTS[2];
        let entry = deployment.entries[0].callers;
        let mut stream = caller.generate(entry, &body(prompt, 200)).await.expect("a response");
        let answer = read_tokens(&mut stream, 20).await;
        let victim = busy_middle_stage(&deployment).await;
        deployment.endpoints[victim].process.kill().expect("the engine is killed");
        let answer = stream.finish(answer).await.expect("the rest of the answer");
        check_answer(&answer, prompt, 200);
        check_no_violations(&deployment).await;
        let operators = deployment.entries[0].operators;
        wait_until(TIMEOUT, async || metric(operators, "banyannotch_recoveries_total").await == Some(1.0))
            .await
            .expect("one recovery is counted");
    });
}

#[test]
fn a_stream_survives_a_suspended_stage_and_drops_its_late_answer() {
    actix_rt::System::new().block_on(async {
        let deployment = deployment(2, 1);
        deployment.make_ready().await.expect("the deployment is ready");
        let caller = Caller::new(TOKEN);
        let prompt = PROMPTS[0];
        let entry = deployment.entries[0].callers;
        let mut stream = caller.generate(entry, &body(prompt, 200)).await.expect("a response");
        let answer = read_tokens(&mut stream, 20).await;
        let victim = busy_middle_stage(&deployment).await;
        deployment.endpoints[victim].process.suspend().expect("the engine is suspended");
        let suspended_at = Instant::now();
        let continued = read_tokens(&mut stream, 40).await;
        println!("40 tokens arrived within {:?} of the suspension", suspended_at.elapsed());
        deployment.endpoints[victim].process.resume().expect("the engine is resumed");
        let mut answer = answer;
        answer.tokens.extend(continued.tokens);
        answer.indexes.extend(continued.indexes);
        let answer = stream.finish(answer).await.expect("the rest of the answer");
        check_answer(&answer, prompt, 200);
        check_no_violations(&deployment).await;
    });
}

#[test]
fn a_leaving_endpoint_gets_no_new_work_while_the_list_is_down() {
    actix_rt::System::new().block_on(async {
        let deployment = deployment(2, 2);
        deployment.make_ready().await.expect("the deployment is ready");
        let list = &deployment.list;
        list.set_faults(&json!({ "down": true })).await.expect("the list goes down");
        let leaving = &deployment.endpoints[1];
        leaving.process.set_faults(&json!({ "leaving": true })).await.expect("the engine is leaving");
        let entries: Vec<_> = deployment.entries.iter().map(|entry| entry.callers).collect();
        // An entry must stop using a leaving endpoint within 3 s of the endpoint's report, so it must show it
        // as leaving by then.
        wait_until(std::time::Duration::from_secs(3), async || {
            let mut aware_entries = 0;
            for entry in &deployment.entries {
                let status = banyannotch_standins::harness::status(entry.operators).await;
                aware_entries +=
                    usize::from(status.is_some_and(|status| status.to_string().contains("\"leaving\"")));
            }
            aware_entries == deployment.entries.len()
        })
        .await
        .expect("every entry shows the endpoint as leaving within 3 s");
        let before = executed_steps(&deployment, leaving.listed.instance.as_str()).await;
        let caller = Caller::new(TOKEN);
        for number in 0..20 {
            let prompt = format!("request {number}");
            let answer = generate_with_retries(&caller, &entries, &body(&prompt, 5)).await;
            check_answer(&answer, &prompt, 5);
        }
        assert_eq!(
            executed_steps(&deployment, leaving.listed.instance.as_str()).await,
            before,
            "steps of the leaving endpoint"
        );
    });
}
