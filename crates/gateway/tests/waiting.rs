//! Guards against requests that wait for capacity and are forgotten: their callers must get a response or, once they have
//! left, free their places.
#![allow(
    clippy::expect_used,
    clippy::indexing_slicing,
    clippy::panic,
    reason = "a failure here fails the test"
)]

#[allow(dead_code, reason = "each test file uses a part of it")]
mod common;

use std::time::{Duration, Instant};

use banyannotch_standins::fleet::stream;
use banyannotch_standins::harness::wait_until;
use common::{EVENTS, Fleet, Gateway, LIMIT, configuration};
use serde_json::{Value, json};

/// Time for which requests may wait. Longer than each step of the test.
const OBJECTIVE_MS: u64 = 6_000;

/// Returns a configuration in which two routes with different priorities lead to the model.
fn classed_configuration(version: u64) -> Value {
    let mut classed = configuration(version, &["secret"]);
    classed["tenants"] = json!([{"name": "shop", "api_keys": ["secret"]}]);
    let routes = classed["routes"].as_array_mut().expect("a list of routes");
    let mut usual = routes.pop().expect("the route of streams");
    usual["slo_ms"] = json!(OBJECTIVE_MS);
    usual["timeout_ms"] = json!(OBJECTIVE_MS + 1_000);
    let mut urgent = usual.clone();
    urgent["name"] = json!("urgent");
    urgent["path_prefix"] = json!("/urgent/");
    urgent["priority"] = json!(0);
    routes.extend([usual, urgent]);
    classed
}

async fn wait_for_line(gateway: &Gateway, request: &str, text: &str) {
    let request = format!("request={request}");
    let has_line = async || gateway.lines(&request).iter().any(|line| line.contains(text));
    if wait_until(LIMIT, has_line).await.is_err() {
        panic!("no line with {text}: {:?}", gateway.lines(&request));
    }
}

/// While the engines hold no layers, streams wait. One whose caller leaves is dropped, the others are sent when the model is
/// held, and those that wait at a stop are refused at once and never run.
#[actix_rt::test]
async fn waiting_requests_are_dropped_sent_or_refused() {
    let mut fleet = Fleet::start();
    fleet.store.put_configuration(&classed_configuration(2));
    let gateway = Gateway::start(fleet.store.address, &[("grace_s", "8"), ("waiting_limit", "64")]);
    wait_until(LIMIT, async || gateway.readiness().await == Some(200)).await.expect("the gateway is ready");
    let wait = |name: &'static str| {
        let callers = gateway.callers;
        actix_rt::spawn(async move { stream(callers, name, "secret").await })
    };
    let (leaving, served) = (wait("leaves"), wait("served"));
    wait_for_line(&gateway, "leaves", "event=queued").await;
    wait_for_line(&gateway, "served", "event=queued").await;
    leaving.abort();
    wait_for_line(&gateway, "leaves", "ending=\"Left\"").await;
    fleet.wait_placed().await;
    let got = served.await.expect("the task ends");
    assert_eq!((got.status, got.events().len()), (Some(200), EVENTS as usize), "{got:?}");
    assert_eq!(fleet.runs_of("leaves"), 0, "the request of a caller that left was run");

    for number in 1..=4 {
        fleet.store.put_endpoint(&format!("engine-{number}"), None);
    }
    wait_until(LIMIT, async || gateway.lines("event=endpoint_gone").len() >= 4)
        .await
        .expect("no engine is known");
    let stopped = wait("stopped");
    wait_for_line(&gateway, "stopped", "event=queued").await;
    let stopped_at = Instant::now();
    gateway.signal("-TERM");
    let got = stopped.await.expect("the task ends");
    assert_eq!(got.status, Some(503), "{got:?}");
    assert!(stopped_at.elapsed() < Duration::from_millis(OBJECTIVE_MS / 2), "the caller was kept waiting");
    assert_eq!(fleet.runs_of("stopped"), 0, "a request that was refused was run");
}
