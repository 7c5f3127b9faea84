//! Runs callers, entries, engines, a plain service, the log and the instance list as separate processes. Guards against
//! answers that miss a layer, mix two requests, or break off when a stage dies, freezes or leaves.

mod common;

use std::time::Instant;

use banyannotch_standins::caller::Caller;
use banyannotch_standins::harness::{TOKEN, metric, wait_until};
use common::{
    LIMIT, PROMPTS, ask_until_answered, body, busy_middle_stage, check, check_clean, deployment, read_tokens,
    steps,
};
use serde_json::json;

#[test]
fn answers_are_whole_and_each_callers_own() {
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
                check(&answer, &prompt, 20);
            }
        });
        futures_util::future::join_all(calls).await;
        check_clean(&deployment).await;
    });
}

#[test]
fn a_stream_survives_the_death_of_a_middle_stage() {
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
        check(&answer, prompt, 200);
        check_clean(&deployment).await;
        let operators = deployment.entries[0].operators;
        wait_until(LIMIT, async || metric(operators, "banyannotch_recoveries_total").await == Some(1.0))
            .await
            .expect("one recovery is counted");
    });
}

#[test]
fn a_stream_survives_a_frozen_stage_whose_late_answer_is_dropped() {
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
        let frozen = Instant::now();
        let answer_so_far = read_tokens(&mut stream, 40).await;
        println!("stalled for {:?}", frozen.elapsed());
        deployment.endpoints[victim].process.resume().expect("the engine goes on");
        let mut answer = answer;
        answer.tokens.extend(answer_so_far.tokens);
        answer.indexes.extend(answer_so_far.indexes);
        let answer = stream.finish(answer).await.expect("the rest of the answer");
        check(&answer, prompt, 200);
        check_clean(&deployment).await;
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
        // The bound is 3 s from the report; the entries' own view is awaited within it.
        wait_until(std::time::Duration::from_secs(3), async || {
            let mut seen = 0;
            for entry in &deployment.entries {
                let status = banyannotch_standins::harness::status(entry.operators).await;
                seen += usize::from(status.is_some_and(|status| status.to_string().contains("\"leaving\"")));
            }
            seen == deployment.entries.len()
        })
        .await
        .expect("every entry sees it within 3 s");
        let before = steps(&deployment, leaving.listed.instance.as_str()).await;
        let caller = Caller::new(TOKEN);
        for number in 0..20 {
            let prompt = format!("request {number}");
            let answer = ask_until_answered(&caller, &entries, &body(&prompt, 5)).await;
            check(&answer, &prompt, 5);
        }
        assert_eq!(steps(&deployment, leaving.listed.instance.as_str()).await, before);
    });
}
