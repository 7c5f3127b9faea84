//! Guards against shutdowns that cut off requests, malformed input that affects other requests, and failures that the
//! log does not explain.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod common;

use std::time::{Duration, Instant};

use banyannotch::gateway::http1::connect;
use banyannotch_standins::fleet::{Caller, Fault, call, stream};
use banyannotch_standins::harness::wait_until;
use common::{EVENTS, Fleet, Gateway, LIMIT, configuration};
use serde_json::json;
use tokio::io::AsyncWriteExt;

fn terminate(gateway: &Gateway) {
    gateway.signal("-TERM");
}

#[actix_rt::test]
async fn a_graceful_shutdown_completes_running_streams() {
    let mut fleet = Fleet::start();
    let mut gateway = Gateway::start(fleet.store.address, &[("grace_s", "4")]);
    fleet.wait_placed().await;
    gateway.first_stream().await;
    let streams: Vec<_> = (0..10)
        .map(|number| {
            let callers = gateway.callers;
            actix_rt::spawn(async move { stream(callers, &format!("s{number}"), "secret").await })
        })
        .collect();
    terminate(&gateway);
    wait_until(LIMIT, async || gateway.readiness().await == Some(503))
        .await
        .expect("the readiness check fails after SIGTERM");
    // Requests are still accepted until the load balancer has noticed, and their responses close the connection.
    let late = gateway.call("late", "/call/x").await;
    assert_eq!((late.status, late.close), (Some(200), true));
    for stream in streams {
        let got = stream.await.expect("the task ends");
        assert_eq!((got.complete, got.events().len()), (true, EVENTS as usize), "{got:?}");
    }
    wait_until(LIMIT, async || matches!(gateway.child.try_wait(), Ok(Some(_))))
        .await
        .expect("the process ends");
    assert!(!gateway.lines("event=stopped").is_empty());
}

/// A configuration that raises the idle timeout applies to connections that are idle already, also if it arrives after the
/// earlier timeout has passed: callers go by it, and a request that crosses an earlier close is lost.
#[actix_rt::test]
async fn a_raised_idle_timeout_keeps_connections_that_are_already_idle() {
    const SHORT_IDLE: Duration = Duration::from_secs(1);
    /// `config_apply_ms` of the settings.
    const APPLY_TIME: Duration = Duration::from_secs(3);
    let fleet = Fleet::start();
    let mut limited = configuration(2, &["secret"]);
    limited["limits"]["idle_timeout_ms"] = json!(SHORT_IDLE.as_millis() as u64);
    fleet.store.put_configuration(&limited);
    let gateway = Gateway::start(fleet.store.address, &[("config_apply_ms", "3000")]);
    gateway.wait_ready().await;
    let mut caller = Caller::default();
    let first = caller.send(gateway.callers, "first", "/call/x", "secret").await;
    assert_eq!((first.status, first.close), (Some(200), false), "{first:?}");
    let idle_since = Instant::now();
    actix_rt::time::sleep(SHORT_IDLE + Duration::from_millis(200)).await;
    fleet.store.put_configuration(&configuration(3, &["secret"]));
    wait_until(LIMIT, async || !gateway.lines("idle_timeout_ms=15000").is_empty())
        .await
        .expect("the configuration is applied");
    assert!(idle_since.elapsed() < SHORT_IDLE + APPLY_TIME, "the configuration was not applied in time");
    let after_close = SHORT_IDLE + APPLY_TIME + Duration::from_millis(300);
    actix_rt::time::sleep_until((idle_since + after_close).into()).await;
    let second = caller.send(gateway.callers, "second", "/call/x", "secret").await;
    assert_eq!((second.status, second.complete), (Some(200), true), "{second:?}");
}

/// A request that arrives when the time for new requests is nearly over could still run when the process ends.
#[actix_rt::test]
async fn a_stopping_gateway_refuses_requests_well_before_three_seconds() {
    let fleet = Fleet::start();
    let gateway = Gateway::start(fleet.store.address, &[]);
    gateway.wait_ready().await;
    terminate(&gateway);
    let since_signal = Instant::now();
    wait_until(LIMIT, async || !gateway.lines("stage=closing").is_empty())
        .await
        .expect("the gateway stops accepting requests");
    assert!(since_signal.elapsed() < Duration::from_millis(2_950), "after {:?}", since_signal.elapsed());
}

/// An endpoint that stays silent is no reason to close the connection without a response when the process ends.
#[actix_rt::test]
async fn a_graceful_shutdown_answers_requests_whose_endpoints_are_silent() {
    let mut fleet = Fleet::start();
    let mut gateway = Gateway::start(fleet.store.address, &[("grace_s", "2")]);
    fleet.wait_placed().await;
    gateway.first_stream().await;
    for endpoint in fleet.engines.iter().chain(&fleet.replicas) {
        endpoint.set_fault(Fault::Hang, usize::MAX);
    }
    let requests = [("s", "/write/x"), ("c", "/call/x")].map(|(id, path)| {
        let callers = gateway.callers;
        actix_rt::spawn(async move { call(callers, id, path, "secret", "body").await })
    });
    wait_until(LIMIT, async || fleet.runs_of("s") + fleet.runs_of("c") == 2)
        .await
        .expect("the endpoints run both requests");
    terminate(&gateway);
    for request in requests {
        let got = request.await.expect("the task ends");
        assert_eq!((got.status, got.complete, got.close), (Some(504), true, true), "{got:?}");
    }
    wait_until(LIMIT, async || matches!(gateway.child.try_wait(), Ok(Some(_))))
        .await
        .expect("the process ends");
}

/// Requests that arrive during a shutdown, up to the exit of the process, are answered if they were passed on, and a refusal
/// is true. At another operator, requests that were accepted late in the grace period were cut at its end.
#[actix_rt::test]
async fn requests_that_arrive_late_in_the_grace_period_are_answered() {
    const INTERVAL: Duration = Duration::from_millis(20);
    let fleet = Fleet::start();
    let mut gateway = Gateway::start(fleet.store.address, &[("grace_s", "2")]);
    gateway.wait_ready().await;
    let callers = gateway.callers;
    let mut idle = Vec::new();
    for number in 0..50 {
        let mut caller = Caller::default();
        let first = caller.send(callers, &format!("first-{number}"), "/call/x", "secret").await;
        assert_eq!((first.status, first.close), (Some(200), false), "{first:?}");
        idle.push(caller);
    }
    for replica in &fleet.replicas {
        replica.set_fault(Fault::Hang, usize::MAX);
    }
    terminate(&gateway);
    gateway.signal("-TERM");
    let mut requests = Vec::new();
    while !matches!(gateway.child.try_wait(), Ok(Some(_))) {
        for kept in [true, false] {
            let number = requests.len();
            let id = format!("late-{number}");
            let mut caller = idle.pop().filter(|_| kept).unwrap_or_default();
            requests.push(actix_rt::spawn(async move {
                let got = caller.send(callers, &id, "/call/x", "secret").await;
                (id, got)
            }));
        }
        actix_rt::time::sleep(INTERVAL).await;
    }
    let mut counts = [0; 3];
    for request in requests {
        let (id, got) = request.await.expect("the task ends");
        let runs = fleet.runs_of(&id);
        match got.status {
            Some(504) => counts[0] += 1,
            Some(503) => counts[1] += 1,
            _ => counts[2] += 1,
        }
        assert!(runs <= 1 && (runs == 0 || got.status != Some(503)), "{id} ran {runs} times: {got:?}");
        assert!(runs == 0 || got.complete, "{id} was passed on and cut: {got:?} {:#?}", gateway.lines(&id));
    }
    let [answered, refused, _unread] = counts;
    assert!(answered >= 10 && refused >= 10, "{answered} requests were passed on, {refused} refused");
}

/// Each malformed request gets the appropriate status, and a request sent after it on another connection succeeds.
#[actix_rt::test]
async fn malformed_requests_get_the_appropriate_status() {
    let mut fleet = Fleet::start();
    let gateway = Gateway::start(fleet.store.address, &[]);
    fleet.wait_placed().await;
    gateway.first_stream().await;
    let head = "POST /call/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a\r\nKey: secret\r\n";
    let inputs = [
        ("no request", "\u{1}\u{2}\r\n\r\n".to_owned()),
        ("no id", "GET /call/x HTTP/1.1\r\nHost: h.example\r\n\r\n".to_owned()),
        ("deadline is no number", format!("{head}Deadline-Ms: soon\r\n\r\n")),
        ("two lengths", format!("{head}Content-Length: 1\r\nContent-Length: 2\r\n\r\n")),
        ("length and chunks", format!("{head}Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n")),
        ("large head", format!("{head}X: {}\r\n\r\n", "a".repeat(5_000))),
        ("large body", format!("{head}Content-Length: 70000\r\n\r\n{}", "a".repeat(70_000))),
        ("slow head", head.to_owned()),
        ("slow body", format!("{head}Content-Length: 10\r\n\r\nabc")),
        ("unknown path", "GET /none/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a\r\n\r\n".to_owned()),
        (
            "most tokens",
            format!("{head}Token-Usage: 4294967295,4294967295\r\n\r\n").replace("/call/", "/write/"),
        ),
        ("no key", "GET /call/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a\r\n\r\n".to_owned()),
    ];
    let mut lines = Vec::new();
    for (name, input) in inputs {
        let (mut reader, mut writer) =
            connect(gateway.callers, 1_000, 5_000).await.expect("the gateway accepts a connection");
        // The gateway may reject the request and close the connection before all of it is written.
        drop(writer.write_all(input.as_bytes()).await);
        let status = tokio::time::timeout(LIMIT, reader.response_head(8_192))
            .await
            .expect("the gateway responds or closes the connection in time");
        lines.push(format!(
            "{name}: {}",
            status.map_or_else(|error| error.to_string(), |head| head.status.to_string())
        ));
        assert_eq!(gateway.call("beside", "/call/x").await.status, Some(200), "{name}");
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// On-call engineers have only the id of a failed request and the logs.
#[actix_rt::test]
async fn the_log_lines_with_a_request_id_explain_its_failure() {
    let fleet = Fleet::start();
    let gateway = Gateway::start(fleet.store.address, &[]);
    gateway.wait_ready().await;
    for replica in &fleet.replicas {
        replica.set_fault(Fault::LoseAnswer, 1);
    }
    let got = gateway.call("lost-1", "/call/x").await;
    assert_eq!(got.status, Some(502));
    wait_until(LIMIT, async || gateway.lines("request=lost-1").len() >= 3)
        .await
        .expect("the log has three lines with the request id");
    let lines = gateway.lines("request=lost-1");
    let events: Vec<&str> =
        lines.iter().filter_map(|line| line.split("event=").nth(1)?.split(' ').next()).collect();
    assert_eq!(events, ["sent", "ended", "refused"], "{lines:?}");
    assert!(lines[1].contains("Broken { by: Connection }") && lines[2].contains("status=502"), "{lines:?}");
    let all_lines = gateway.lines("").join("\n");
    assert!(!all_lines.contains("secret"), "the log contains the key 'secret'");
    let metrics = call(gateway.metrics, "m", "/metrics", "", "").await;
    assert!(
        metrics.body.contains("banyannotch_gateway_refusals_total{reason=\"broken\"} 1"),
        "{}",
        metrics.body
    );
}

/// When a caller disconnects, its send ends, so that the endpoint does not keep working for it.
#[actix_rt::test]
async fn a_send_ends_when_its_caller_disconnects() {
    let mut fleet = Fleet::start();
    let gateway = Gateway::start(fleet.store.address, &[]);
    fleet.wait_placed().await;
    gateway.first_stream().await;
    for engine in &fleet.engines {
        engine.set_fault(Fault::StallAfter(2), 1);
    }
    let leaving = stream(gateway.callers, "leaves", "secret");
    drop(actix_rt::time::timeout(Duration::from_millis(100), leaving).await);
    wait_until(LIMIT, async || gateway.lines("request=leaves").iter().any(|line| line.contains("Left")))
        .await
        .expect("the log states that the send ended because its caller left");
    // A send that ends only because of the stall timeout has outlived its caller.
    let ended = gateway.lines("request=leaves").into_iter().filter(|line| line.contains("event=ended"));
    let endings: Vec<bool> = ended.map(|line| line.contains("ending=\"Left\"")).collect();
    assert_eq!(endings, [true], "{:?}", gateway.lines("request=leaves"));
}
