//! Guards against requests that crash one endpoint after the other.
#![allow(clippy::expect_used, reason = "a failure here fails the test")]

#[allow(dead_code, reason = "each test file uses a part of it")]
mod common;

use std::time::Duration;

use banyannotch_standins::fleet::{Endpoint, call};
use banyannotch_standins::harness::wait_until;
use common::{Fleet, Gateway, LIMIT};

/// Crashes until a request is refused: the users allow three, and one send may be under way while the third becomes known.
const CRASH_LIMIT: u64 = 4;
/// Number of times that the request comes.
const SEND_COUNT: usize = 5;
/// Time for which a crashed endpoint is down.
const RESTART: Duration = Duration::from_secs(3);

fn crashes(endpoints: &[Endpoint]) -> u64 {
    endpoints.iter().map(Endpoint::crashes).sum()
}

/// Sends the same request again and again, each time once the endpoints are back, and returns the last status.
async fn repeat(gateways: &[&Gateway], endpoints: &[Endpoint], path: &str) -> Option<u16> {
    let mut status = None;
    for (number, gateway) in (0..SEND_COUNT).zip(gateways.iter().cycle()) {
        status = call(gateway.callers, &format!("deadly-{number}"), path, "secret", "body").await.status;
        wait_until(LIMIT, async || endpoints.iter().all(|endpoint| !endpoint.is_down()))
            .await
            .expect("the endpoints are back");
    }
    status
}

/// The entries keep naming the starts that ended, as in the first seconds after a crash. The crashes of replicas were counted
/// by their entries only, and all repeats reached one.
#[actix_rt::test]
async fn a_request_that_crashes_replicas_is_refused_before_their_entries_expire() {
    let mut fleet = Fleet::start();
    let gateway = Gateway::start(fleet.store.address, &[]);
    gateway.wait_ready().await;
    fleet.wait_placed().await;
    fleet.replicas.iter().for_each(|replica| replica.set_deadly_target("/read/dead", RESTART));
    let status = repeat(&[&gateway], &fleet.replicas, "/read/dead").await;
    let crashes = crashes(&fleet.replicas);
    assert!(crashes <= CRASH_LIMIT && status == Some(503), "{crashes} crashes, last status {status:?}");
    assert_eq!(gateway.call("sound", "/read/sound").await.status, Some(200));
}

/// Each gateway sees only some of the crashes.
#[actix_rt::test]
async fn a_request_that_crashes_engines_is_refused_by_both_gateways() {
    let mut fleet = Fleet::start();
    let [gateway, other] = fleet.start_pair().await;
    fleet.engines.iter().for_each(|engine| engine.set_deadly_target("/write/dead", RESTART));
    let status = repeat(&[&gateway, &other], &fleet.engines, "/write/dead").await;
    let crashes = crashes(&fleet.engines);
    assert!(crashes <= CRASH_LIMIT && status == Some(503), "{crashes} crashes, last status {status:?}");
}
