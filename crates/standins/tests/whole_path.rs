//! Runs callers, entries, engines, a plain service, the log and the instance list as separate processes. Guards against
//! answers that miss a layer, mix two requests, or break off when a stage dies.

#![expect(
    clippy::expect_used,
    reason = "clippy does not take the helpers of an integration test for test code"
)]

use std::path::Path;
use std::time::Duration;

use banyannotch::engine::Token;
use banyannotch::pipeline::LayerRange;
use banyannotch_standins::caller::{Answer, Caller, Event, GenerateBody};
use banyannotch_standins::harness::{
    Binaries, Deployment, EngineSpec, LAYERS, MODEL, TOKEN, metric, wait_until,
};
use banyannotch_standins::model::{Model, reference_answer};
use serde_json::Value;

/// Long enough for a busy machine; nothing waits this long when all is well.
const LIMIT: Duration = Duration::from_secs(30);

const PROMPTS: [&str; 3] = [
    "Uzraksti pieprasījuma vēstuli aviosabiedrībai par kavētu lidojumu",
    "Составь письмо авиакомпании о задержанном рейсе",
    "Draft a demand letter to the airline about a delayed flight",
];

/// Three stages of four layers with two replicas each, in two zones.
fn deployment() -> Deployment {
    let binaries = Binaries::beside(Path::new(env!("CARGO_BIN_EXE_banyannotch-standin")));
    let mut deployment = Deployment::start(binaries, &[]).expect("the platform starts");
    for replica in 1..=2 {
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
    deployment.add_entry("entry-1", "zone-1", "").expect("the entry starts");
    deployment
}

fn body(prompt: &str, max_tokens: u32) -> GenerateBody {
    GenerateBody { model: MODEL.into(), prompt: prompt.into(), max_tokens, deadline_ms: 25_000 }
}

fn expected(prompt: &str, max_tokens: u32) -> Vec<u32> {
    let answer = reference_answer(&Model::new(MODEL, 1), LAYERS, prompt, max_tokens);
    answer.iter().map(|Token { id, .. }| *id).collect()
}

fn check(answer: &Answer, prompt: &str, max_tokens: u32) {
    assert_eq!(answer.outcome.outcome, "completed", "{answer:?}");
    assert_eq!(answer.tokens, expected(prompt, max_tokens), "the tokens of {prompt:?}");
    assert!(answer.indexes.iter().copied().eq(0..max_tokens), "each token once and in order");
}

async fn duplicates(deployment: &Deployment) -> u64 {
    let mut duplicates = 0;
    for endpoint in &deployment.endpoints {
        if let Ok(counts) = endpoint.process.get("/control/counts").await {
            duplicates += counts.get("duplicates").and_then(Value::as_u64).unwrap_or(0);
        }
    }
    duplicates
}

#[test]
fn answers_are_whole_and_each_callers_own() {
    actix_rt::System::new().block_on(async {
        let deployment = deployment();
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
        assert_eq!(duplicates(&deployment).await, 0);
        let operators = deployment.entries[0].operators;
        assert_eq!(metric(operators, "banyannotch_invariant_violations_total").await, Some(0.0));
    });
}

#[test]
fn a_stream_survives_the_death_of_a_middle_stage() {
    actix_rt::System::new().block_on(async {
        let mut deployment = deployment();
        deployment.make_ready().await.expect("the deployment is ready");
        let entry = deployment.entries[0].callers;
        let caller = Caller::new(TOKEN);
        let prompt = PROMPTS[2];
        let mut stream = caller.generate(entry, &body(prompt, 200)).await.expect("a response");
        let mut answer = Answer::default();
        while answer.tokens.len() < 20 {
            match stream.next().await.expect("an event").expect("not the end") {
                Event::Token(token) => {
                    answer.tokens.push(token.id);
                    answer.indexes.push(token.index);
                }
                Event::Outcome(outcome) => panic!("ended early: {outcome:?}"),
            }
        }
        let victim = busy_middle_stage(&deployment).await;
        deployment.endpoints[victim].process.kill().expect("the engine is killed");
        let answer = stream.finish(answer).await.expect("the rest of the answer");
        check(&answer, prompt, 200);
        assert_eq!(duplicates(&deployment).await, 0);
        let operators = deployment.entries[0].operators;
        wait_until(LIMIT, async || metric(operators, "banyannotch_recoveries_total").await == Some(1.0))
            .await
            .expect("one recovery is counted");
    });
}

/// Finds the engine of the middle layers that runs the request.
async fn busy_middle_stage(deployment: &Deployment) -> usize {
    for (index, endpoint) in deployment.endpoints.iter().enumerate() {
        if !endpoint.listed.instance.as_str().starts_with("engine-1-") {
            continue;
        }
        let counts = endpoint.process.get("/control/counts").await.expect("counts");
        if counts.get("steps").and_then(Value::as_u64).unwrap_or(0) > 0 {
            return index;
        }
    }
    unreachable!("no middle stage runs the request")
}
