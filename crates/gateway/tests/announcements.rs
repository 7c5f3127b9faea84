//! Guards against requests to endpoints that announced in an answer that they take no more of them.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod common;

use std::time::{Duration, Instant};

use banyannotch_standins::fleet::{Endpoint, Fault, stream};
use banyannotch_standins::harness::wait_until;
use common::{EVENTS, Fleet, Gateway, LIMIT};
use serde_json::json;

fn arrivals(endpoints: &[Endpoint]) -> Vec<usize> {
    endpoints.iter().map(Endpoint::arrivals).collect()
}

/// Writes entries of replicas that were started at the given time.
fn write_entries(fleet: &Fleet, born_ms: u64, heartbeat: u64) {
    for (index, replica) in fleet.replicas.iter().enumerate() {
        let mut entry = replica.entry("desk", None, "ready");
        if let Some(fields) = entry.as_object_mut() {
            fields.extend([("born".to_owned(), json!(born_ms)), ("sequence".to_owned(), json!(heartbeat))]);
        }
        fleet.store.put_endpoint(&format!("desk-{}", index + 1), Some(&entry));
    }
}

/// An endpoint that announces its departure in any kind of answer gets no further request, although its entry still says
/// that it is ready, until it has started anew.
#[actix_rt::test]
async fn a_leaving_endpoint_gets_no_request_after_its_first_answer() {
    let fleet = Fleet::start();
    let gateway = Gateway::start(fleet.store.address, &[]);
    gateway.wait_ready().await;
    let faults =
        [Fault::None, Fault::NotRun, Fault::Ambiguous, Fault::Fail, Fault::Encoded, Fault::ForeignFirst];
    for (born_ms, fault) in (2..).zip(faults) {
        write_entries(&fleet, born_ms, 1);
        wait_until(LIMIT, async || {
            gateway.call(&format!("warm-{born_ms}"), "/call/x").await.status == Some(200)
        })
        .await
        .expect("endpoints that started anew are used");
        let before = arrivals(&fleet.replicas);
        for replica in &fleet.replicas {
            replica.set_leaving(true);
            replica.set_fault(fault, usize::MAX);
        }
        let mut statuses = Vec::new();
        for number in 0..4 {
            write_entries(&fleet, born_ms, 2 + number);
            statuses.push(gateway.call(&format!("{fault:?}-{number}"), "/call/x").await.status);
        }
        let received: Vec<usize> =
            arrivals(&fleet.replicas).iter().zip(&before).map(|(after, before)| after - before).collect();
        assert_eq!(received, [1, 1], "{fault:?}: requests to each replica, statuses {statuses:?}");
        assert_eq!(statuses.last(), Some(&Some(503)), "{fault:?}: {statuses:?}");
        for replica in &fleet.replicas {
            replica.set_leaving(false);
            replica.set_fault(Fault::None, 0);
        }
    }
}

/// The head of a stream announces the departure long before the stream ends. The stream goes on, and the next one takes
/// another path.
#[actix_rt::test]
async fn a_running_stream_of_a_leaving_engine_completes_and_the_next_one_avoids_the_engine() {
    let mut fleet = Fleet::start();
    let gateway = Gateway::start(fleet.store.address, &[]);
    fleet.wait_placed().await;
    gateway.first_stream().await;
    let before: usize = arrivals(&fleet.engines).iter().sum();
    for engine in &fleet.engines {
        engine.set_leaving(true);
        engine.set_fault(Fault::PauseAfter(1), usize::MAX);
    }
    let callers = gateway.callers;
    let running = actix_rt::spawn(async move { stream(callers, "running", "secret").await });
    wait_until(LIMIT, async || gateway.lines("event=endpoint_leaving").len() == 1)
        .await
        .expect("the departure is known");
    assert!(!running.is_finished(), "the departure was not known before the end of the stream");
    let next = stream(callers, "next", "secret").await;
    let refused = stream(callers, "refused", "secret").await;
    let running = running.await.expect("the task ends");
    for got in [&running, &next] {
        assert_eq!((got.status, got.events()), (Some(200), (0..EVENTS).collect::<Vec<_>>()), "{got:?}");
    }
    assert_eq!(refused.status, Some(503), "{refused:?}");
    let after: usize = arrivals(&fleet.engines).iter().sum();
    assert_eq!((after - before, fleet.runs_of("running")), (2, 1), "requests to engines, runs of the first");
}

/// An endpoint that answers 503 with `Retry-After` gets nothing until that time is over, whether or not its answer states
/// that the request was not executed. Callers are refused at once and told when to return.
#[actix_rt::test]
async fn an_endpoint_that_asks_for_a_pause_gets_no_request_before_its_end() {
    /// Pause that the endpoints ask for, in milliseconds. The deadline of the requests is 3 s, a third of which is shorter.
    const PAUSE_MS: u64 = 3_000;
    let fleet = Fleet::start();
    let gateway = Gateway::start(fleet.store.address, &[]);
    gateway.wait_ready().await;
    for marked in [true, false] {
        wait_until(LIMIT, async || {
            gateway.call(&format!("warm-{marked}"), "/call/x").await.status == Some(200)
        })
        .await
        .expect("the endpoints are used");
        let before: usize = arrivals(&fleet.replicas).iter().sum();
        for replica in &fleet.replicas {
            replica.set_fault(Fault::RetryAfter { ms: PAUSE_MS, marked }, usize::MAX);
        }
        let mut number = 0;
        let mut call = async || {
            number += 1;
            gateway.call(&format!("{marked}-{number}"), "/call/x").await
        };
        let started = Instant::now();
        // The first request reaches both replicas if the first one states that it was not executed.
        while arrivals(&fleet.replicas).iter().sum::<usize>() < before + 2 {
            call().await;
        }
        let refused = call().await;
        let retry_after_s: f64 =
            refused.retry_after.as_deref().unwrap_or_default().parse().expect("a number");
        assert!((0.5..=1.0).contains(&retry_after_s), "{refused:?}");
        for replica in &fleet.replicas {
            replica.set_fault(Fault::None, 0);
        }
        wait_until(LIMIT, async || {
            let got = call().await;
            assert!(matches!(got.status, Some(200 | 503)), "{got:?}");
            got.status == Some(200)
        })
        .await
        .expect("the endpoints are used again");
        let after: usize = arrivals(&fleet.replicas).iter().sum();
        assert_eq!(after - before, 3, "marked {marked}: requests to the replicas");
        let waited = started.elapsed();
        assert!(waited >= Duration::from_millis(PAUSE_MS), "marked {marked}: used again after {waited:?}");
    }
}
