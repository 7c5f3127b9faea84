//! Guards against a gateway that accepts revoked keys or uses endpoints that are gone, and against one that rejects
//! requests without need.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod common;

use banyannotch_standins::fleet::{StoreFault, call};
use banyannotch_standins::harness::wait_until;
use common::{Fleet, Gateway, LIMIT, configuration};

/// During each fault of the store, requests are accepted while the proof that the configuration is current is fresh
/// enough, rejected once it is too old, and accepted again after the fault.
#[actix_rt::test]
async fn requests_are_rejected_in_time_during_each_fault_of_the_store() {
    for fault in [
        StoreFault::Down,
        StoreFault::RateExceeded,
        StoreFault::Silent,
        StoreFault::Reset,
        StoreFault::AnswerLost,
    ] {
        let fleet = Fleet::start();
        let gateway = Gateway::start(fleet.store.address, &[("revoke_ms", "3000")]);
        gateway.wait_ready().await;
        fleet.store.set_fault(fault);
        let started = std::time::Instant::now();
        assert_eq!(gateway.call("during", "/call/x").await.status, Some(200), "{fault:?}");
        wait_until(LIMIT, async || gateway.call("stale", "/call/x").await.status == Some(503))
            .await
            .expect("requests are rejected with 503");
        assert!(
            started.elapsed().as_millis() < 3_500,
            "{fault:?}: rejected only after {:?}",
            started.elapsed()
        );
        assert_eq!(gateway.readiness().await, Some(503), "{fault:?}");
        fleet.store.set_fault(StoreFault::None);
        wait_until(LIMIT, async || gateway.call("again", "/call/x").await.status == Some(200))
            .await
            .expect("requests are accepted again after the fault");
    }
}

#[actix_rt::test]
async fn a_revoked_key_is_rejected() {
    let fleet = Fleet::start();
    let gateway = Gateway::start(fleet.store.address, &[]);
    gateway.wait_ready().await;
    fleet.store.put_configuration(&configuration(2, &["other"]));
    wait_until(LIMIT, async || gateway.call("old", "/call/x").await.status == Some(401))
        .await
        .expect("the revoked key is rejected with 401");
    let got = call(gateway.callers, "new", "/call/x", "other", "").await;
    assert_eq!(got.status, Some(200), "{got:?}");
    // An older version that is read again must not be applied.
    fleet.store.put_configuration(&configuration(1, &["secret"]));
    fleet.store.compact();
    fleet.store.put_configuration(&configuration(3, &["other"]));
    wait_until(LIMIT, async || !gateway.lines("event=configuration_applied version=3").is_empty())
        .await
        .expect("version 3 is applied");
    assert_eq!(gateway.call("old-again", "/call/x").await.status, Some(401));
}

#[actix_rt::test]
async fn a_draining_endpoint_receives_no_new_requests() {
    let fleet = Fleet::start();
    let gateway = Gateway::start(fleet.store.address, &[]);
    gateway.wait_ready().await;
    fleet.store.put_endpoint("desk-1", Some(&fleet.replicas[0].entry("desk", None, "draining")));
    fleet.store.put_endpoint("desk-1", Some(&fleet.replicas[0].entry("desk", None, "ready")));
    wait_until(LIMIT, async || !gateway.lines("leaving=true").is_empty()).await.expect("the drain is logged");
    let before = fleet.replicas[0].runs().len();
    for number in 0..10 {
        assert_eq!(gateway.call(&format!("n{number}"), "/call/x").await.status, Some(200));
    }
    assert_eq!(
        fleet.replicas[0].runs().len(),
        before,
        "a draining endpoint must not receive requests, also after it is ready again"
    );
}

/// Entries of other writers that describe no usable endpoint are logged and do not affect requests.
#[actix_rt::test]
async fn unusable_entries_do_not_affect_requests() {
    let fleet = Fleet::start();
    let gateway = Gateway::start(fleet.store.address, &[]);
    gateway.wait_ready().await;
    let mut entry = fleet.replicas[0].entry("desk", None, "ready");
    for (number, bytes) in [
        b"\xff\xfe".to_vec(),
        b"{}".to_vec(),
        b"[]".to_vec(),
        entry.to_string().replace("\"ready\"", "\"asleep\"").into_bytes(),
        entry.to_string().replace("\"slots\":8", "\"slots\":\"8\"").into_bytes(),
        entry.to_string().replace("\"born\":1", "\"born\":1.5").into_bytes(),
        entry.to_string().replace("127.0.0.1:", "nowhere:").into_bytes(),
    ]
    .into_iter()
    .enumerate()
    {
        fleet.store.put_bytes(&format!("forged-{number}"), &bytes);
    }
    entry["backend"] = "unknown".into();
    fleet.store.put_endpoint("forged-service", Some(&entry));
    wait_until(LIMIT, async || gateway.lines("event=record_unusable").len() >= 7)
        .await
        .expect("each unusable entry is logged");
    for number in 0..4 {
        assert_eq!(gateway.call(&format!("n{number}"), "/call/x").await.status, Some(200));
    }
}
