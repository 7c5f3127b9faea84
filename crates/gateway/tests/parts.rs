//! Guards against requests that share a part of their prompt and crash one engine after the other.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod common;

use banyannotch_standins::fleet::stream_of_parts;
use banyannotch_standins::harness::wait_until;
use common::{Fleet, Gateway, LIMIT};

/// Number of crashes after which the users count further requests with the part.
const CRASH_LIMIT: u64 = 5;

/// Returns whether a request with only sound parts is served in time. Each try has another content.
async fn is_served(gateway: &Gateway, id: &str) -> bool {
    let mut count = 0;
    let served = wait_until(LIMIT, async || {
        count += 1;
        let parts = format!("aa:5,bb:5,{count:x}:5");
        stream_of_parts(gateway.callers, &format!("{id}-{count}"), "secret", &parts).await.status == Some(200)
    });
    served.await.is_ok()
}

/// No two of the requests are alike. The gateway that saw the crashes and one that only heard of them refuse the part,
/// and requests with the other parts are served.
#[actix_rt::test]
async fn a_part_that_crashes_engines_is_refused_by_all_gateways() {
    let mut fleet = Fleet::start();
    let [gateway, other] = fleet.start_pair().await;
    for engine in &fleet.engines {
        engine.set_deadly_part("dead");
    }
    let is_refused = |gateway: &Gateway| !gateway.lines("event=feature_quarantined").is_empty();
    for number in 0..CRASH_LIMIT {
        let parts = format!("aa:5,dead:5,{number:x}:5");
        stream_of_parts(gateway.callers, &format!("deadly-{number}"), "secret", &parts).await;
        wait_until(LIMIT, async || fleet.engines.iter().all(|engine| !engine.is_down()))
            .await
            .expect("the engines are back");
        // The entries state that the engines have started anew.
        fleet.write_entries();
        assert!(is_served(&gateway, &format!("sound-{number}")).await, "sound requests after crash {number}");
    }
    wait_until(LIMIT, async || is_refused(&gateway) && is_refused(&other))
        .await
        .expect("both gateways quarantine the part");
    let crashes = |fleet: &Fleet| fleet.engines.iter().map(|engine| engine.crashes()).sum::<u64>();
    let before = crashes(&fleet);
    for gateway in [&gateway, &other] {
        let got = stream_of_parts(gateway.callers, "late", "secret", "cc:5,dead:5,ee:5").await;
        assert_eq!(got.status, Some(503), "{got:?}");
        assert!(is_served(gateway, "sound").await, "sound requests after the quarantine");
    }
    assert_eq!(crashes(&fleet), before, "a request with the part reached an engine");
}
