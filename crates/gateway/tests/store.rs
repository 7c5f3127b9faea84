//! Guards against a gateway that accepts revoked keys or uses endpoints that are gone, and against one that rejects
//! requests without need.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod common;

use std::time::{Duration, Instant};

use banyannotch_standins::fleet::{StoreFault, call, stream};
use banyannotch_standins::harness::wait_until;
use common::{Fleet, Gateway, LIMIT, configuration};

/// During each fault of the store, requests are accepted while the proof that the configuration is current is fresh
/// enough, rejected once it is too old, and accepted again after the fault.
#[actix_rt::test]
async fn requests_are_rejected_in_time_during_each_fault_of_the_store() {
    const MEMORY_LIMIT_KB: u64 = 32_000;
    for fault in [
        StoreFault::Down,
        StoreFault::RateExceeded,
        StoreFault::Silent,
        StoreFault::Reset,
        StoreFault::AnswerLost,
        StoreFault::EndlessHead,
        StoreFault::EndlessBody,
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
        let peak_kb = gateway.peak_memory_kb();
        assert!(peak_kb < MEMORY_LIMIT_KB, "{fault:?}: the gateway used {peak_kb} kB");
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

/// Entries of other writers that describe no usable endpoint are logged. They neither end the gateway nor affect requests
/// and later changes, also after a restart, when the newest records are read in pages.
#[actix_rt::test]
async fn unusable_entries_do_not_affect_requests() {
    let mut fleet = Fleet::start();
    let gateway = Gateway::start(fleet.store.address, &[]);
    fleet.wait_placed().await;
    gateway.first_stream().await;
    // An entry in place of that of a replica, as a start in the far future, is followed by the replica's own.
    let own = fleet.replicas[1].entry("desk", None, "ready").to_string();
    let far = own.replace("\"born\":1", "\"born\":18446744073709551615");
    let far = far.replace(&fleet.replicas[1].address.to_string(), "127.0.0.1:9");
    fleet.store.put_bytes("desk-2", far.as_bytes());
    fleet.write_entries();
    let address = format!("address={}", fleet.replicas[1].address);
    wait_until(LIMIT, async || {
        let known = gateway.lines("event=endpoint_known endpoint=desk-2 ");
        let is_refused = !gateway.lines("event=record_unusable key=desk-2 ").is_empty();
        is_refused && known.last().is_some_and(|line| line.contains(&address))
    })
    .await
    .unwrap_or_else(|error| panic!("{error}: {:#?}", gateway.lines("endpoint=desk-2 ")));
    let replica = fleet.replicas[0].entry("desk", None, "ready").to_string();
    let first = fleet.engines.iter().find(|engine| engine.layers().is_some_and(|(from, _)| from == 0));
    let first = first.expect("an engine holds the first layer");
    let engine = first.entry("model", Some("fast"), "ready").to_string();
    let address = fleet.replicas[0].address.to_string();
    let with = |name: &str, value: &str| {
        let mut fields: Vec<String> =
            ["\"backend\":\"desk\"", "\"slots\":8", "\"born\":1", "\"zone\":\"a\"", "\"state\":\"ready\""]
                .into_iter()
                .filter(|field| !field.starts_with(&format!("\"{name}\"")))
                .map(str::to_owned)
                .collect();
        fields.push(format!("\"{name}\":{value}"));
        if name != "address" {
            fields.push(format!("\"address\":\"{address}\""));
        }
        format!("{{{}}}", fields.join(",")).into_bytes()
    };
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let unusable = [
        b"\xff\xfe".to_vec(),
        b"{}".to_vec(),
        b"[]".to_vec(),
        nested.clone().into_bytes(),
        with("backend", &nested),
        with("state", "\"asleep\""),
        with("state", "1"),
        with("slots", "\"8\""),
        with("slots", "-1"),
        with("slots", "1.5"),
        with("slots", "4294967296"),
        with("slots", "1e999"),
        with("born", "1.5"),
        with("born", "-1"),
        with("born", "1e30"),
        with("layers", r#"{"from":0,"to":70000}"#),
        with("layers", r#"{"from":-1,"to":8}"#),
        with("address", "\"nowhere:80\""),
        with("address", "\"127.0.0.1:99999\""),
        with("address", "\"127.0.0.1:0\""),
        with("address", "\"0.0.0.0:80\""),
        with("zone", &format!("\"{}\"", "z".repeat(100_000))),
        with("zone", "\"a\\nevent=forged\""),
        with("route_type", "\"fast\\u0000\""),
        with("backend", "\"\""),
    ];
    for (number, bytes) in unusable.iter().enumerate() {
        fleet.store.put_bytes(&format!("forged-{number:02}"), bytes);
    }
    // These entries claim the address of a replica, as later starts of it. All names but the first cannot be forwarded.
    let names = ["q&r=%2", "", " ", "name with spaces", "desk-1\nevent=forged", "desk-1\r\nTenant: forged"];
    for (name, born) in names.into_iter().zip(2..) {
        let later = replica.replace("\"born\":1", &format!("\"born\":{born}"));
        fleet.store.put_bytes(name, later.as_bytes());
    }
    // These entries can be read, but nothing that they claim exists.
    for (number, (from, to)) in [
        ("\"model\"", "\"unknown\""),
        ("\"fast\"", "\"unknown\""),
        ("\"zone\":\"a\"", "\"zone\":\"unknown\""),
        ("\"slots\":8", "\"slots\":4294967295"),
        ("\"from\":0", "\"from\":65535"),
        ("\"to\":", "\"to\":6553"),
        ("\"born\":1", "\"born\":18446744073709551615"),
    ]
    .into_iter()
    .enumerate()
    {
        assert!(engine.contains(from), "{from} in {engine}");
        let nothing_listens =
            engine.replace(&first.address.to_string(), &format!("127.0.0.1:{}", 2 + number));
        fleet.store.put_bytes(&format!("absurd-{number}"), nothing_listens.replace(from, to).as_bytes());
    }
    let mut gateways = vec![gateway];
    for round in 0..2_u64 {
        let newest = gateways.last_mut().expect("a gateway runs");
        wait_until(LIMIT, async || {
            newest.lines("event=record_unusable").len() >= unusable.len() + names.len() - 1
        })
        .await
        .unwrap_or_else(|error| panic!("{error}: {:#?}", newest.lines("event=record_unusable")));
        newest.wait_ready().await;
        newest.first_stream().await;
        for number in 0..6 {
            assert_eq!(newest.call(&format!("n{round}-{number}"), "/call/x").await.status, Some(200));
        }
        // A configuration that cannot be read is logged and does not replace the one in force.
        fleet.store.put_configuration(&serde_json::json!({"version": 2, "limits": "none"}));
        wait_until(LIMIT, async || !newest.lines("event=record_unusable key=config").is_empty())
            .await
            .expect("the configuration is refused");
        assert_eq!(newest.call("refused", "/call/x").await.status, Some(200));
        fleet.store.put_configuration(&configuration(3 + round, &["secret"]));
        // A later change is followed.
        fleet
            .store
            .put_endpoint(&format!("late-{round}"), Some(&fleet.replicas[1].entry("desk", None, "draining")));
        wait_until(LIMIT, async || {
            !newest.lines(&format!("event=endpoint_known endpoint=late-{round}")).is_empty()
        })
        .await
        .expect("a later change is followed");
        assert!(newest.child.try_wait().expect("the state of the process is known").is_none());
        assert!(newest.lines("").iter().all(|line| line.len() < 1_000 && !line.starts_with("event=forged")));
        if round == 0 {
            fleet.store.spoil_newest("forged-00");
            fleet.store.set_page_limit(2);
            gateways.push(Gateway::start(fleet.store.address, &[]));
        }
    }
    let runs = fleet.engines.iter().chain(&fleet.replicas).flat_map(|endpoint| endpoint.runs());
    let teams: Vec<_> = runs.map(|run| run.team).filter(|team| team.as_deref() != Some("shop")).collect();
    assert!(teams.is_empty(), "requests ran for other teams: {teams:?}");
}

/// A configuration with the largest numbers that its types can hold does not end the gateway.
#[actix_rt::test]
async fn the_largest_numbers_in_a_configuration_do_not_end_the_gateway() {
    let mut fleet = Fleet::start();
    let mut gateway = Gateway::start(fleet.store.address, &[]);
    fleet.wait_placed().await;
    gateway.first_stream().await;
    let largest = || serde_json::json!(u64::MAX);
    let mut document = configuration(2, &["secret"]);
    for route in document["routes"].as_array_mut().expect("the configuration has routes") {
        let service = route["backend"].clone();
        let share = serde_json::json!({"backend": service, "weight": u32::MAX});
        route["traffic_split"] = serde_json::json!([share, share]);
        route["max_attempts"] = serde_json::json!(u32::MAX);
        route["timeout_ms"] = largest();
        route["slo_ms"] = serde_json::json!(1e300);
        route["itl_target_ms"] = serde_json::json!(1e300);
    }
    for limit in ["max_header_bytes", "max_body_bytes", "header_timeout_ms", "idle_timeout_ms"] {
        document["limits"][limit] = largest();
    }
    document["services"][0]["max_connections"] = largest();
    fleet.store.put_configuration(&document);
    wait_until(LIMIT, async || !gateway.lines("event=configuration_applied version=2").is_empty())
        .await
        .expect("version 2 is applied");
    for path in ["/call/x", "/read/x", "/write/x"] {
        assert_eq!(gateway.call(&path.replace('/', "-"), path).await.status, Some(200), "{path}");
    }
    assert!(gateway.child.try_wait().expect("the state of the process is known").is_none());
}

/// A store that comes back from a backup twice, each time from before a key was revoked and an engine departed, brings back
/// neither. Requests are refused until the operator has written the configuration again, and served afterwards.
#[actix_rt::test]
async fn a_store_that_comes_back_from_a_backup_reverts_nothing() {
    let mut fleet = Fleet::start();
    fleet.store.set_era(Some("1"));
    let gateways = fleet.start_pair().await;
    let copied_at = Instant::now();
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    let departing = fleet.engines[0].clone();
    fleet.store.put_configuration(&configuration(2, &["other"]));
    fleet.store.put_endpoint("engine-1", Some(&departing.entry("model", Some("fast"), "draining")));
    for gateway in &gateways {
        wait_until(LIMIT, async || {
            let is_leaving = !gateway.lines("event=endpoint_known endpoint=engine-1 ").is_empty()
                && !gateway.lines("leaving=true").is_empty();
            is_leaving && gateway.call("old", "/call/x").await.status == Some(401)
        })
        .await
        .unwrap_or_else(|error| panic!("{error}: {:#?}", gateway.lines("event=")));
    }
    let runs_before = departing.runs().len();
    for era in 2..4 {
        fleet.store.rewind(copied_at.elapsed());
        for gateway in &gateways {
            let restored = format!("event=store_restored era={era} before={}", era - 1);
            wait_until(LIMIT, async || gateway.lines(&restored).len() == 1)
                .await
                .unwrap_or_else(|error| panic!("{error}: {:#?}", gateway.lines("event=")));
            for number in 0..5 {
                let (old, new) = (format!("old-{era}-{number}"), format!("new-{era}-{number}"));
                let got = gateway.call(&old, "/call/x").await;
                assert!(matches!(got.status, Some(401 | 503)), "the revoked key: {got:?}");
                let got = call(gateway.callers, &new, "/call/x", "other", "").await;
                assert_eq!(got.status, Some(503), "without a proof: {got:?}");
                actix_rt::time::sleep(Duration::from_millis(100)).await;
            }
        }
        // The operator and the endpoints that are alive write their records again.
        fleet.store.put_configuration(&configuration(2, &["other"]));
        for (number, engine) in fleet.engines.iter().enumerate().skip(1) {
            let entry = engine.entry("model", Some("fast"), "ready");
            fleet.store.put_endpoint(&format!("engine-{}", number + 1), Some(&entry));
        }
        for (number, replica) in fleet.replicas.iter().enumerate() {
            let entry = replica.entry("desk", None, "ready");
            fleet.store.put_endpoint(&format!("desk-{}", number + 1), Some(&entry));
        }
        for gateway in &gateways {
            wait_until(LIMIT, async || gateway.readiness().await == Some(200))
                .await
                .unwrap_or_else(|error| panic!("{error}: {:#?}", gateway.lines("event=")));
            for number in 0..6 {
                let id = format!("again-{era}-{number}");
                assert_eq!(stream(gateway.callers, &id, "other").await.status, Some(200), "{id}");
                let got = call(gateway.callers, &format!("{id}-call"), "/call/x", "other", "").await;
                assert_eq!(got.status, Some(200), "{got:?}");
                assert_eq!(gateway.call(&format!("{id}-old"), "/call/x").await.status, Some(401));
            }
        }
    }
    assert_eq!(departing.runs().len(), runs_before, "a departed engine must not receive requests");
    for gateway in &gateways {
        let metrics = call(gateway.metrics, "m", "/metrics", "", "").await;
        let counter = "banyannotch_gateway_store_restored_total 2";
        assert!(metrics.body.contains(counter), "{}", metrics.body);
        assert_eq!(gateway.lines("event=configuration_applied version=2 ").len(), 1);
    }
    // The owner of the ordering group joined anew with generation 0: at its start, and in each era.
    let joins = fleet.store.joins();
    assert!(joins.iter().filter(|generation| **generation == 0).count() >= 3, "{joins:?}");
}

/// While the store's header is missing, unreadable or lower than before, nothing is taken from it, and what was known is kept.
#[actix_rt::test]
async fn a_store_with_an_implausible_era_changes_nothing() {
    for era in [None, Some("three"), Some("-1"), Some("3"), Some("99999999999999999999")] {
        let fleet = Fleet::start();
        fleet.store.set_era(Some("4"));
        let mut gateway = Gateway::start(fleet.store.address, &[]);
        gateway.wait_ready().await;
        fleet.store.set_era(era);
        fleet.store.put_configuration(&configuration(2, &["other"]));
        // One line for each feed.
        wait_until(LIMIT, async || gateway.lines("event=dependency_lost").len() >= 2)
            .await
            .unwrap_or_else(|error| panic!("{era:?}: {error}: {:#?}", gateway.lines("event=")));
        assert_eq!(gateway.call("kept", "/call/x").await.status, Some(200), "{era:?}");
        assert!(gateway.lines("event=configuration_applied version=2").is_empty(), "{era:?}");
        fleet.store.set_era(Some("4"));
        wait_until(LIMIT, async || gateway.call("old", "/call/x").await.status == Some(401))
            .await
            .unwrap_or_else(|error| panic!("{era:?}: {error}: {:#?}", gateway.lines("event=")));
        assert!(gateway.lines("event=store_restored").is_empty(), "{era:?}");
        assert!(gateway.child.try_wait().expect("the state of the process is known").is_none());
    }
}
