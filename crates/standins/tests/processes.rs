//! Runs the stand-ins as processes. Tests that clients can tell their faults apart, and that the library's
//! clients can decode their wire formats.

#![expect(
    clippy::expect_used,
    reason = "clippy does not take the helpers of an integration test for test code"
)]

use std::path::Path;
use std::time::Duration;

use banyannotch::backing::{HttpInstanceList, HttpLog, InstanceList, LogService, PlatformError};
use banyannotch::engine::{
    CacheName, CallRequest, EndpointClient, EndpointError, Input, Output, StepRequest,
};
use banyannotch::http::{CallError, Client, ClientSettings};
use banyannotch::ids::{Attempt, CacheId, LogOffset, ModelVersion, RequestId};
use banyannotch::pipeline::{Address, LayerRange};
use banyannotch_standins::harness::{Process, wait_for, wait_until};
use banyannotch_standins::model::{Model, reference_answer};
use serde::Serialize;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Timeout of waits that succeed sooner unless something fails. Long enough for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(20);
const TIMEOUT_MS: u64 = 20_000;

/// Time after which a stand-in counts as silent. A working stand-in answers sooner.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(SILENCE_TIMEOUT_MS);
const SILENCE_TIMEOUT_MS: u64 = 300;

const PROMPT: &str = "reply to the airline about the missed connection";

fn standin(arguments: &str) -> Process {
    let binary = Path::new(env!("CARGO_BIN_EXE_banyannotch-standin"));
    Process::start(binary, arguments.split_whitespace()).expect("the stand-in starts")
}

fn http() -> Client {
    Client::new(ClientSettings::default())
}

fn step(cache: u128, layers: LayerRange, position: u32, input: Input) -> StepRequest {
    StepRequest {
        cache: CacheId(cache),
        request: RequestId(1),
        attempt: Attempt(1),
        model: "m".into(),
        version: ModelVersion(1),
        layers,
        position,
        input,
        priority: 1,
    }
}

/// Result of a complete request, as seen on the connection.
#[derive(Debug, Eq, PartialEq)]
enum ConnectionResult {
    /// The server closed the connection without sending a byte.
    Closed,
    /// The server kept the connection open and sent nothing within the limit.
    Silent,
    /// The server sent at least one byte.
    Answered,
}

/// Sends a POST request over a raw socket, so that the result does not depend on the client library.
async fn raw_post<T: Serialize>(address: Address, path: &str, body: &T, limit: Duration) -> ConnectionResult {
    let body = serde_json::to_string(body).expect("JSON");
    let length = body.len();
    let request =
        format!("POST {path} HTTP/1.1\r\nhost: {address}\r\ncontent-length: {length}\r\n\r\n{body}");
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(request.as_bytes()).await.expect("the request is written");
    let mut byte = [0];
    match actix_rt::time::timeout(limit, stream.read(&mut byte)).await {
        Err(_) => ConnectionResult::Silent,
        Ok(Ok(0) | Err(_)) => ConnectionResult::Closed,
        Ok(Ok(_)) => ConnectionResult::Answered,
    }
}

fn prefill(cache: u128) -> StepRequest {
    let input = Input::Prompt { prompt: PROMPT.to_owned(), tokens: Vec::new() };
    step(cache, LayerRange::new(0, 8), 0, input)
}

#[test]
fn engines_generate_the_reference_tokens() {
    actix_rt::System::new().block_on(async {
        let first = standin("engine --layers 0..3 --model-layers 8 --step-us 10 --item-us 1");
        let second = standin("engine --layers 3..8 --model-layers 8 --step-us 10 --item-us 1");
        let client = EndpointClient::new(http());
        let mut tokens = Vec::new();
        let mut input = Input::Prompt { prompt: PROMPT.to_owned(), tokens: Vec::new() };
        let mut position = 0;
        while tokens.len() < 6 {
            let request = step(1, LayerRange::new(0, 3), position, input);
            let answer = client.step(first.address(), &request, TIMEOUT_MS).await.expect("the first stage");
            let Output::Hidden(hidden) = answer.output else {
                panic!("expected hidden values from the first stage")
            };
            let request = step(2, LayerRange::new(3, 8), position, Input::Hidden { hidden });
            let answer = client.step(second.address(), &request, TIMEOUT_MS).await.expect("the second stage");
            let Output::Token(token) = answer.output else { panic!("expected a token from the last stage") };
            position += answer.count;
            input = Input::Tokens { tokens: vec![token.id] };
            tokens.push(token);
        }
        assert_eq!(tokens, reference_answer(&Model::new("m", 1), 8, PROMPT, 6));
        let counts = second.get("/control/counts").await.expect("counts");
        assert_eq!((&counts["tokens"], &counts["duplicates"]), (&json!(6), &json!(0)));
        let requests = first.get("/control/requests").await.expect("requests");
        assert_eq!(
            (&requests["requests"][0]["end"], &requests["requests"][0]["steps"]),
            (&json!(13), &json!(6))
        );
        let load = client.engine_load(first.address(), TIMEOUT_MS).await.expect("the load");
        assert_eq!(load.batches, 6);
        let events = client.cache_events(first.address(), 0, TIMEOUT_MS).await.expect("events");
        assert_eq!(events.events, Vec::new());
        client.cancel(first.address(), CacheName { cache: CacheId(1) }, TIMEOUT_MS).await.expect("cancelled");
        let refused = client.step(first.address(), &prefill(1), TIMEOUT_MS).await;
        assert!(
            matches!(&refused, Err(EndpointError::Refused(refusal)) if refusal.error == "wrong_layers"),
            "expected a refusal as wrong_layers: {refused:?}"
        );
    });
}

#[test]
fn a_dropped_answer_closes_the_connection_and_a_freeze_keeps_it_open() {
    actix_rt::System::new().block_on(async {
        let engine = standin("engine --drop-answer-next 1");
        let client = EndpointClient::new(http());
        let dropped = raw_post(engine.address(), "/v1/step", &prefill(1), TIMEOUT).await;
        assert_eq!(dropped, ConnectionResult::Closed);
        engine.set_faults(&json!({ "freeze_next": 1 })).await.expect("faults");
        let frozen = raw_post(engine.address(), "/v1/step", &prefill(2), SILENCE_TIMEOUT).await;
        assert_eq!(frozen, ConnectionResult::Silent);
        engine.set_faults(&json!({ "freeze_next": 1 })).await.expect("faults");
        let frozen = client.step(engine.address(), &prefill(2), SILENCE_TIMEOUT_MS).await;
        assert!(matches!(frozen, Err(EndpointError::Call(CallError::TimedOut { .. }))), "{frozen:?}");
        let counts = engine.get("/control/counts").await.expect("counts");
        assert_eq!((&counts["steps"], &counts["dropped_answers"]), (&json!(1), &json!(1)));
        client
            .step(engine.address(), &prefill(3), TIMEOUT_MS)
            .await
            .expect("the engine still serves requests");

        engine.set_faults(&json!({ "freeze": true })).await.expect("faults");
        let load = client.engine_load(engine.address(), SILENCE_TIMEOUT_MS).await;
        assert!(matches!(load, Err(EndpointError::Call(CallError::TimedOut { .. }))), "{load:?}");
        let misspelt = engine.set_faults(&json!({ "frozen": true })).await;
        assert!(misspelt.is_err(), "an unknown fault was accepted: {misspelt:?}");
    });
}

#[test]
fn crashes_suspension_and_kills_are_observable() {
    actix_rt::System::new().block_on(async {
        let mut engine = standin("engine --crash-on missed");
        let client = EndpointClient::new(http());
        let crashed = raw_post(engine.address(), "/v1/step", &prefill(1), TIMEOUT).await;
        assert_eq!(crashed, ConnectionResult::Closed);
        assert_eq!(engine.wait_exit(TIMEOUT).await.expect("the engine exits"), Some(101));

        let mut engine = standin("engine");
        engine.suspend().expect("the engine is suspended");
        let suspended = client.engine_load(engine.address(), SILENCE_TIMEOUT_MS).await;
        assert!(matches!(suspended, Err(EndpointError::Call(CallError::TimedOut { .. }))), "{suspended:?}");
        engine.resume().expect("the engine is resumed");
        let address = engine.address();
        wait_until(TIMEOUT, async || client.engine_load(address, TIMEOUT_MS).await.is_ok())
            .await
            .expect("the engine answers again");
        engine.kill().expect("the engine is killed");
        let gone = wait_for(TIMEOUT, async || client.engine_load(address, TIMEOUT_MS).await.err()).await;
        assert!(matches!(gone, Ok(EndpointError::Call(_))), "{gone:?}");
    });
}

#[test]
fn short_batches_take_the_configured_time_on_average() {
    actix_rt::System::new().block_on(async {
        // One batch takes 8 * (40 + 10) us = 0.4 ms, less than the resolution of the timer.
        let engine = standin("engine --step-us 40 --item-us 10");
        let client = EndpointClient::new(http());
        client.step(engine.address(), &prefill(1), TIMEOUT_MS).await.expect("the prompt");
        let begin = std::time::Instant::now();
        for position in 8..508 {
            let request = step(1, LayerRange::new(0, 8), position, Input::Tokens { tokens: vec![1] });
            client.step(engine.address(), &request, TIMEOUT_MS).await.expect("a token");
        }
        let elapsed = begin.elapsed();
        // 500 batches take 200 ms, less the credit that the pacer may carry. There is no upper bound, because
        // a busy machine may take longer.
        assert!(
            elapsed >= Duration::from_millis(190),
            "500 batches took {elapsed:?}, expected at least 190 ms"
        );
        let counts = engine.get("/control/counts").await.expect("counts");
        assert_eq!(counts["batches"], json!(501));
    });
}

fn call(key: &str) -> CallRequest {
    CallRequest {
        operation: "payout".to_owned(),
        payload: json!({ "euros": 250 }),
        key: Some(key.to_owned()),
    }
}

#[test]
fn a_service_counts_executed_calls() {
    actix_rt::System::new().block_on(async {
        let service = standin("service --service cases --instance c1 --drop-answer-next 1");
        let client = EndpointClient::new(http());
        let dropped = raw_post(service.address(), "/v1/call", &call("k1"), TIMEOUT).await;
        assert_eq!(dropped, ConnectionResult::Closed);
        let answer = client.call(service.address(), &call("k1"), TIMEOUT_MS).await.expect("the call runs");
        assert_eq!(answer.result, json!({ "operation": "payout", "payload": { "euros": 250 }, "number": 2 }));
        service.set_faults(&json!({ "refuse_next": 1, "leaving": false })).await.expect("faults");
        let refused = client.call(service.address(), &call("k2"), TIMEOUT_MS).await;
        assert!(
            matches!(&refused, Err(EndpointError::Refused(refusal)) if refusal.error == "refused"),
            "{refused:?}"
        );
        let load = client.service_load(service.address(), TIMEOUT_MS).await.expect("the load");
        assert_eq!(load.service.as_str(), "cases");
        let counts = service.get("/control/counts").await.expect("counts");
        insta::assert_snapshot!(serde_json::to_string_pretty(&counts).expect("text"));
    });
}

#[test]
fn an_append_whose_answer_is_lost_is_in_the_log() {
    actix_rt::System::new().block_on(async {
        let process = standin("log --lose-answer-next 1");
        let log = HttpLog::new(http(), process.address());
        let lost = raw_post(process.address(), "/v1/streams/claims/records", &1, TIMEOUT).await;
        assert_eq!(lost, ConnectionResult::Closed);
        assert_eq!(log.append("claims", b"two", TIMEOUT_MS).await, Ok(LogOffset(2)));
        let page = log.read("claims", LogOffset(1), 10, 0).await.expect("a page");
        let data: Vec<&str> = page.records.iter().map(|record| record.data.as_str()).collect();
        assert_eq!((page.first, page.next, data), (LogOffset(1), LogOffset(3), vec!["1", "two"]));

        let reader = log.clone();
        let waiting =
            actix_rt::spawn(async move { reader.read("claims", LogOffset(3), 10, TIMEOUT_MS).await });
        assert_eq!(log.append("claims", b"three", TIMEOUT_MS).await, Ok(LogOffset(3)));
        let page = waiting.await.expect("the task ends").expect("a page");
        assert_eq!(page.records.len(), 1);

        process.set_faults(&json!({ "reject_next": 1 })).await.expect("faults");
        assert_eq!(log.append("claims", b"four", TIMEOUT_MS).await, Err(PlatformError::RateLimited));
        process.set_faults(&json!({ "down": true })).await.expect("faults");
        assert_eq!(log.read("claims", LogOffset(1), 10, 0).await, Err(PlatformError::Down));
        assert_eq!(process.get("/control/counts").await.expect("counts")["appended"], json!(3));
    });
}

fn listed(instance: &str) -> Value {
    json!({
        "instance": instance, "incarnation": 1, "kind": "engine", "zone": "z1",
        "address": "127.0.0.1:9", "state": "live", "fencing": "ignored",
    })
}

#[test]
fn the_list_shows_replaced_and_added_instances() {
    actix_rt::System::new().block_on(async {
        let process = standin("list --lag-ms 20");
        let list = HttpInstanceList::new(http(), process.address());
        process.post("/control/instances", &json!({ "instances": [listed("e1")] })).await.expect("replaced");
        process.post("/control/instances", &listed("e2")).await.expect("added");
        let all = wait_for(TIMEOUT, async || {
            let all = list.instances(TIMEOUT_MS).await.ok()?.instances;
            (all.len() == 2).then_some(all)
        });
        let names: Vec<String> = all
            .await
            .expect("both instances are visible")
            .iter()
            .map(|one| one.instance.to_string())
            .collect();
        assert_eq!(names, ["e1", "e2"]);
        process.set_faults(&json!({ "down": true })).await.expect("faults");
        assert_eq!(list.instances(TIMEOUT_MS).await, Err(PlatformError::Down));
    });
}

#[test]
fn a_connection_closed_after_sending_is_reported_as_broken() {
    actix_rt::System::new().block_on(async {
        let client = EndpointClient::new(http());
        let engine = standin("engine --drop-answer-next 1");
        let dropped = client.step(engine.address(), &prefill(1), TIMEOUT_MS).await;
        assert!(
            matches!(dropped, Err(EndpointError::Call(CallError::Broken(_)))),
            "the step ran, expected a broken connection: {dropped:?}"
        );

        let service = standin("service --drop-answer-next 1");
        let dropped = client.call(service.address(), &call("k1"), TIMEOUT_MS).await;
        assert!(
            matches!(dropped, Err(EndpointError::Call(CallError::Broken(_)))),
            "the call ran, expected a broken connection: {dropped:?}"
        );

        let process = standin("log --lose-answer-next 1");
        let log = HttpLog::new(http(), process.address());
        let lost = log.append("claims", b"one", TIMEOUT_MS).await;
        assert!(
            matches!(lost, Err(PlatformError::Call(CallError::Broken(_)))),
            "the record was appended, expected a broken connection: {lost:?}"
        );

        let engine = standin("engine --crash-on missed");
        let crashed = client.step(engine.address(), &prefill(1), TIMEOUT_MS).await;
        assert!(
            matches!(crashed, Err(EndpointError::Call(CallError::Broken(_)))),
            "the step began, expected a broken connection: {crashed:?}"
        );
    });
}
