//! Changes the configuration of six entries under load. Guards against entries that disagree on the version
//! in effect, revert to an old one, or lose the configuration when its records in the log expire.

#![expect(
    clippy::expect_used,
    clippy::indexing_slicing,
    reason = "clippy does not take the helpers of an integration test for test code"
)]

mod common;

use std::time::{Duration, Instant};

use banyannotch::http::{Client, ClientSettings};
use banyannotch::pipeline::Address;
use banyannotch_standins::caller::{Caller, GenerateBody};
use banyannotch_standins::harness::{DOCUMENT, Deployment, TOKEN, status, wait_until};
use common::{
    Balancer, Load, TIMEOUT, add_entries, add_replicas, body, check_no_violations, serialize_tests,
    start_platform,
};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Timeout until an accepted record is in effect at all entries.
const EFFECT_TIMEOUT: Duration = Duration::from_secs(2);

const ENTRIES: usize = 6;

/// Token hash that no team has in [`DOCUMENT`].
const OTHER_SHA256: &str = "0000000000000000000000000000000000000000000000000000000000000000";

fn deployment(log_options: &[&str], settings: &str) -> Deployment {
    let mut deployment = start_platform(log_options);
    add_replicas(&mut deployment, 1);
    add_entries(&mut deployment, ENTRIES, settings);
    deployment
}

/// Returns the version and preset in effect at an entry; `None` when its status has none.
async fn in_effect(operators: Address) -> Option<(u64, String)> {
    let status = status(operators).await?;
    let configuration = status.get("configuration")?;
    let preset = configuration.get("preset")?.as_str()?.to_owned();
    Some((configuration.get("version")?.as_u64()?, preset))
}

/// Returns an entry's status row for a peer; null when it has none.
async fn peer_status(operators: Address, instance: &str) -> Value {
    let status = status(operators).await.unwrap_or_default();
    let peers = status["peers"].as_array().cloned().unwrap_or_default();
    peers.into_iter().find(|peer| peer["instance"] == instance).unwrap_or_default()
}

/// Returns whether a version is in effect at all given entries.
async fn all_have(operators: &[Address], version: u64) -> bool {
    for entry in operators {
        if in_effect(*entry).await.is_none_or(|(found, _)| found != version) {
            return false;
        }
    }
    true
}

/// Appends a configuration record and returns its offset.
async fn append(deployment: &Deployment, base: u64, author: &str, change: Value) -> u64 {
    let record = json!({ "base": base, "author": author, "change": change });
    let path = "/v1/streams/configuration/records";
    let appended = deployment.log.post(path, &record).await.expect("the log takes the record");
    appended["offset"].as_u64().expect("an offset")
}

/// Returns whether an entry accepted the record at an offset; `None` while it has no verdict.
async fn verdict(operators: Address, offset: u64) -> Option<bool> {
    let client = Client::new(ClientSettings::default());
    let answer = client.get(operators, &format!("/v1/verdict?offset={offset}"), 1_000).await.ok()?;
    answer.json::<Value>().ok()?.get("accepted")?.as_bool()
}

fn operators(deployment: &Deployment) -> Vec<Address> {
    deployment.entries.iter().map(|entry| entry.operators).collect()
}

/// Sends a request on a new connection and returns without waiting for the answer.
async fn send_raw(entry: Address, body: &GenerateBody) -> TcpStream {
    let body = serde_json::to_string(body).expect("JSON");
    let head = format!(
        "POST /v1/generate HTTP/1.1\r\nhost: {entry}\r\nauthorization: Bearer {TOKEN}\r\nconnection: close\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let mut stream = TcpStream::connect(entry).await.expect("a connection");
    stream.write_all(format!("{head}{body}").as_bytes()).await.expect("the request is written");
    stream
}

#[test]
fn all_entries_accept_the_same_one_of_two_concurrent_changes() {
    let _guard = serialize_tests();
    actix_rt::System::new().block_on(async {
        let deployment = deployment(&[], "");
        deployment.make_ready().await.expect("the deployment is ready");
        let operators = operators(&deployment);
        let load = Load::start(&Balancer::new(&deployment), 4, 10);
        let mut base = 1;
        for round in 0..8 {
            let presets = if round % 2 == 0 { ["peak", "maintenance"] } else { ["maintenance", "ordinary"] };
            let begin = Instant::now();
            let offsets = futures_util::future::join(
                append(&deployment, base, "ilze", json!({ "preset": presets[0] })),
                append(&deployment, base, "marlon", json!({ "preset": presets[1] })),
            )
            .await;
            let (winner, preset) = (offsets.0, presets[0]).min((offsets.1, presets[1]));
            wait_until(EFFECT_TIMEOUT, async || all_have(&operators, winner).await)
                .await
                .expect("the first record is in effect everywhere in time");
            println!("round {round}: version {winner} everywhere after {:?}", begin.elapsed());
            for entry in &operators {
                assert_eq!(in_effect(*entry).await, Some((winner, preset.to_owned())));
            }
            // An entry that receives the new state from a peer possibly never gives a verdict on the second
            // record, so the refusal by one entry is enough.
            let loser = offsets.0.max(offsets.1);
            wait_until(EFFECT_TIMEOUT, async || {
                let mut refused = false;
                for entry in &operators {
                    let verdict = verdict(*entry, loser).await;
                    assert_ne!(
                        verdict,
                        Some(true),
                        "verdict on record {loser}, which lost to record {winner}"
                    );
                    refused |= verdict == Some(false);
                }
                refused
            })
            .await
            .expect("the second record is refused");
            base = winner;
        }
        load.stop().await;
        check_no_violations(&deployment).await;
    });
}

#[test]
fn a_resumed_entry_adopts_the_new_version_and_never_reverts_it() {
    let _guard = serialize_tests();
    actix_rt::System::new().block_on(async {
        let deployment = deployment(&[], "[configuration]\nuncertain_after_ms = 1000\n");
        deployment.make_ready().await.expect("the deployment is ready");
        let (suspended, running) = deployment.entries.split_last().expect("entries");
        let caller = Caller::new(TOKEN);
        let old = caller.generate_whole(suspended.callers, &body("before", 2)).await.expect("an answer");
        assert_eq!(old.outcome.outcome, "completed");
        let others: Vec<Address> = running.iter().map(|entry| entry.operators).collect();
        wait_until(TIMEOUT, async || peer_status(others[0], "entry-6").await["answers"] == json!(true))
            .await
            .expect("the other entries have contact with the entry");
        suspended.process.suspend().expect("the entry is suspended");

        // The new version changes the team's token, so that `TOKEN` is accepted under the old version only.
        let team_sha256 = "a0dddec17d1ca3525a0907e9e3464f1e5086a15dfd6f32dc1aa85fbb744f9d44";
        let document = DOCUMENT.replace(team_sha256, OTHER_SHA256);
        let version = append(&deployment, 1, "ilze", json!({ "document": document })).await;
        wait_until(EFFECT_TIMEOUT, async || all_have(&others, version).await).await.expect("in effect");
        // This takes longer than `uncertain_after_ms`, after which the suspended entry must treat its version
        // as uncertain.
        wait_until(TIMEOUT, async || peer_status(others[0], "entry-6").await["answers"] == json!(false))
            .await
            .expect("the other entries notice that the entry does not answer");

        // These requests stay in the socket buffers of the suspended entry.
        let mut waiting = Vec::new();
        for number in 0..8 {
            waiting.push(send_raw(suspended.callers, &body(&format!("waiting {number}"), 2)).await);
        }
        suspended.process.resume().expect("the entry is resumed");
        let resumed_at = Instant::now();
        let mut last_admitted = Duration::ZERO;
        let mut admitted = 0;
        wait_until(EFFECT_TIMEOUT, async || {
            let answer = caller.generate_whole(suspended.callers, &body("after", 1)).await;
            if answer.is_ok_and(|answer| answer.outcome.outcome == "completed") {
                admitted += 1;
                last_admitted = resumed_at.elapsed();
            }
            all_have(&[suspended.operators], version).await
        })
        .await
        .expect("the entry adopts the new version in time");
        println!("new version after {:?}; {admitted} admitted until {last_admitted:?}", resumed_at.elapsed());
        assert!(
            last_admitted < Duration::from_millis(500),
            "the old version admitted a request {last_admitted:?} after the resume"
        );
        let mut admitted_old = 0;
        for mut stream in waiting {
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await.expect("an answer");
            admitted_old += usize::from(answer.contains("completed"));
        }
        // Intake may admit them before it is notified that the version is uncertain, so any number is
        // correct.
        println!("{admitted_old} of 8 waiting requests were admitted under the old version");
        let answer = caller.generate_whole(suspended.callers, &body("after", 1)).await.expect("an answer");
        assert_eq!(answer.status, 401, "{answer:?}");
        // The resumed entry may have sent its old state to its peers, which must keep the new version.
        wait_until(TIMEOUT, async || peer_status(others[0], "entry-6").await["version"] == json!(version))
            .await
            .expect("the entry reports the new version to its peers");
        assert!(all_have(&operators(&deployment), version).await);
    });
}

#[test]
fn entries_restart_and_join_while_the_log_is_down() {
    let _guard = serialize_tests();
    actix_rt::System::new().block_on(async {
        let settings = "[intake]\ndrain_notice_ms = 100\n";
        let mut deployment = deployment(&[], settings);
        deployment.make_ready().await.expect("the deployment is ready");
        let version = append(&deployment, 1, "ilze", json!({ "preset": "peak" })).await;
        wait_until(EFFECT_TIMEOUT, async || all_have(&operators(&deployment), version).await)
            .await
            .expect("in effect");
        deployment.log.set_faults(&json!({ "down": true })).await.expect("the log goes down");
        let balancer = Balancer::new(&deployment);
        let load = Load::start(&balancer, 4, 10);
        for number in 0..ENTRIES {
            deployment.entries[number].process.kill().expect("the entry is killed");
            let name = deployment.entries[number].instance.clone();
            let entry = deployment.start_entry(&name, "zone-1", settings).expect("the entry starts");
            deployment.entries[number] = entry;
            deployment.announce().await.expect("the list is updated");
            deployment.wait_ready(&deployment.entries[number]).await.expect("the entry is ready again");
            balancer.set_entries(deployment.entries.iter().map(|entry| entry.callers).collect());
        }
        deployment.add_entry("entry-7", "zone-1", settings).expect("the entry starts");
        deployment.announce().await.expect("the list is updated");
        deployment.wait_ready(&deployment.entries[ENTRIES]).await.expect("the new entry is ready");
        balancer.set_entries(deployment.entries.iter().map(|entry| entry.callers).collect());
        assert!(all_have(&operators(&deployment), version).await);
        deployment.log.set_faults(&json!({ "down": false })).await.expect("the log is back");
        let next = append(&deployment, version, "ilze", json!({ "preset": "ordinary" })).await;
        wait_until(EFFECT_TIMEOUT, async || all_have(&operators(&deployment), next).await)
            .await
            .expect("the next version is in effect at all seven in time");
        load.stop().await;
        println!("{} answers, {} resends", balancer.answered.get(), balancer.resends.borrow().len());
        check_no_violations(&deployment).await;
    });
}

/// Returns whether the log has dropped the record at an offset and all before it.
async fn expired_before(deployment: &Deployment, offset: u64) -> bool {
    let page = deployment.log.get("/v1/streams/configuration/records?from=1&max=1&wait_ms=0").await;
    page.is_ok_and(|page| page["first"].as_u64().is_some_and(|first| first > offset))
}

#[test]
fn the_configuration_survives_the_expiry_of_its_log_records() {
    let _guard = serialize_tests();
    actix_rt::System::new().block_on(async {
        let settings = "[configuration]\nretention_ms = 1500\n";
        let mut deployment = deployment(&["--retention-ms", "1500"], settings);
        deployment.make_ready().await.expect("the deployment is ready");
        let balancer = Balancer::new(&deployment);
        let load = Load::start(&balancer, 4, 10);
        let mut version = 1;
        for preset in ["peak", "ordinary"] {
            let offset = append(&deployment, version, "ilze", json!({ "preset": preset })).await;
            wait_until(EFFECT_TIMEOUT, async || all_have(&operators(&deployment), offset).await)
                .await
                .expect("in effect");
            version = offset;
            wait_until(TIMEOUT, async || {
                let all = operators(&deployment);
                assert!(all_have(&all, version).await, "expected version {version} at all entries");
                expired_before(&deployment, version).await
            })
            .await
            .expect("the record expires");
        }
        // Without the instance list the new entry has no peers, so it can read the configuration only from
        // the log.
        deployment.list.set_faults(&json!({ "down": true })).await.expect("the list goes down");
        deployment.add_entry("entry-7", "zone-1", settings).expect("the entry starts");
        let new_entry = deployment.entries[ENTRIES].operators;
        wait_until(TIMEOUT, async || all_have(&[new_entry], version).await)
            .await
            .expect("the new entry reads the restated version from the log");
        load.stop().await;
        assert_eq!(*balancer.resends.borrow(), Vec::<String>::new());
    });
}
