//! Changes the configuration of six entries while requests go on. Guards against entries that disagree, go back to an
//! old version, or lose the configuration with the log's records.

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
use common::{Balancer, LIMIT, Load, add_entries, add_replicas, body, check_clean, in_turn, quiet_platform};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longest time until an accepted record is in effect at six entries.
const EFFECT_LIMIT: Duration = Duration::from_secs(2);

const ENTRIES: usize = 6;

/// A token that no team has in [`DOCUMENT`], and its hash.
const OTHER_SHA256: &str = "0000000000000000000000000000000000000000000000000000000000000000";

fn deployment(log_options: &[&str], settings: &str) -> Deployment {
    let mut deployment = quiet_platform(log_options);
    add_replicas(&mut deployment, 1);
    add_entries(&mut deployment, ENTRIES, settings);
    deployment
}

/// Version and preset that an entry has in effect.
async fn in_effect(operators: Address) -> Option<(u64, String)> {
    let status = status(operators).await?;
    let configuration = status.get("configuration")?;
    let preset = configuration.get("preset")?.as_str()?.to_owned();
    Some((configuration.get("version")?.as_u64()?, preset))
}

/// What an entry last heard from another one; null when it has heard nothing.
async fn peer_row(operators: Address, instance: &str) -> Value {
    let status = status(operators).await.unwrap_or_default();
    let peers = status["peers"].as_array().cloned().unwrap_or_default();
    peers.into_iter().find(|peer| peer["instance"] == instance).unwrap_or_default()
}

async fn all_have(operators: &[Address], version: u64) -> bool {
    for entry in operators {
        if in_effect(*entry).await.is_none_or(|(found, _)| found != version) {
            return false;
        }
    }
    true
}

/// Appends a record and returns its offset.
async fn append(deployment: &Deployment, base: u64, author: &str, change: Value) -> u64 {
    let record = json!({ "base": base, "author": author, "change": change });
    let path = "/v1/streams/configuration/records";
    let appended = deployment.log.post(path, &record).await.expect("the log takes the record");
    appended["offset"].as_u64().expect("an offset")
}

/// Whether an entry accepted the record at an offset; none while it has not judged it.
async fn verdict(operators: Address, offset: u64) -> Option<bool> {
    let client = Client::new(ClientSettings::default());
    let answer = client.get(operators, &format!("/v1/verdict?offset={offset}"), 1_000).await.ok()?;
    answer.json::<Value>().ok()?.get("accepted")?.as_bool()
}

fn operators(deployment: &Deployment) -> Vec<Address> {
    deployment.entries.iter().map(|entry| entry.operators).collect()
}

/// Sends a request on a connection of its own and does not wait for the answer.
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
fn one_of_two_racing_operators_wins_at_every_entry() {
    let _turn = in_turn();
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
            wait_until(EFFECT_LIMIT, async || all_have(&operators, winner).await)
                .await
                .expect("the first record is in effect everywhere in time");
            println!("round {round}: version {winner} everywhere after {:?}", begin.elapsed());
            for entry in &operators {
                assert_eq!(in_effect(*entry).await, Some((winner, preset.to_owned())));
            }
            // An entry that takes the state from another one may never judge the second record itself.
            let loser = offsets.0.max(offsets.1);
            wait_until(EFFECT_LIMIT, async || {
                let mut refused = false;
                for entry in &operators {
                    let verdict = verdict(*entry, loser).await;
                    assert_ne!(verdict, Some(true), "the second record is accepted");
                    refused |= verdict == Some(false);
                }
                refused
            })
            .await
            .expect("the second record is refused");
            base = winner;
        }
        load.stop().await;
        check_clean(&deployment).await;
    });
}

#[test]
fn an_entry_that_was_suspended_takes_the_new_version_and_never_reverts_it() {
    let _turn = in_turn();
    actix_rt::System::new().block_on(async {
        let deployment = deployment(&[], "[configuration]\nuncertain_after_ms = 1000\n");
        deployment.make_ready().await.expect("the deployment is ready");
        let (sleeper, awake) = deployment.entries.split_last().expect("entries");
        let caller = Caller::new(TOKEN);
        let old = caller.generate_whole(sleeper.callers, &body("before", 2)).await.expect("an answer");
        assert_eq!(old.outcome.outcome, "completed");
        let others: Vec<Address> = awake.iter().map(|entry| entry.operators).collect();
        wait_until(LIMIT, async || peer_row(others[0], "entry-6").await["answers"] == json!(true))
            .await
            .expect("the others hear of the entry");
        sleeper.process.suspend().expect("the entry is suspended");

        // The team's token changes, so that what is admitted under the old version can be told from the new one.
        let known = "a0dddec17d1ca3525a0907e9e3464f1e5086a15dfd6f32dc1aa85fbb744f9d44";
        let document = DOCUMENT.replace(known, OTHER_SHA256);
        let version = append(&deployment, 1, "ilze", json!({ "document": document })).await;
        wait_until(EFFECT_LIMIT, async || all_have(&others, version).await).await.expect("in effect");
        // Longer than the time after which an entry without contact no longer knows the version in effect.
        wait_until(LIMIT, async || peer_row(others[0], "entry-6").await["answers"] == json!(false))
            .await
            .expect("the others notice that the entry is silent");

        // These wait in the sockets of the suspended entry.
        let mut waiting = Vec::new();
        for number in 0..8 {
            waiting.push(send_raw(sleeper.callers, &body(&format!("waiting {number}"), 2)).await);
        }
        sleeper.process.resume().expect("the entry goes on");
        let woken = Instant::now();
        let mut last_admitted = Duration::ZERO;
        let mut admitted = 0;
        wait_until(EFFECT_LIMIT, async || {
            let answer = caller.generate_whole(sleeper.callers, &body("after", 1)).await;
            if answer.is_ok_and(|answer| answer.outcome.outcome == "completed") {
                admitted += 1;
                last_admitted = woken.elapsed();
            }
            all_have(&[sleeper.operators], version).await
        })
        .await
        .expect("the entry takes the new version in time");
        println!("new version after {:?}; {admitted} admitted until {last_admitted:?}", woken.elapsed());
        assert!(last_admitted < Duration::from_millis(500), "the old version is used for long");
        let mut early = 0;
        for mut stream in waiting {
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await.expect("an answer");
            early += usize::from(answer.contains("completed"));
        }
        // Intake may take them in before it hears that the version is uncertain.
        println!("{early} of 8 waiting requests were admitted under the old version");
        let answer = caller.generate_whole(sleeper.callers, &body("after", 1)).await.expect("an answer");
        assert_eq!(answer.status, 401, "{answer:?}");
        // Whatever it told the others since, they keep the new version.
        wait_until(LIMIT, async || peer_row(others[0], "entry-6").await["version"] == json!(version))
            .await
            .expect("the entry tells the others the new version");
        assert!(all_have(&operators(&deployment), version).await);
    });
}

#[test]
fn entries_restart_and_join_while_the_log_is_down() {
    let _turn = in_turn();
    actix_rt::System::new().block_on(async {
        let settings = "[intake]\ndrain_notice_ms = 100\n";
        let mut deployment = deployment(&[], settings);
        deployment.make_ready().await.expect("the deployment is ready");
        let version = append(&deployment, 1, "ilze", json!({ "preset": "peak" })).await;
        wait_until(EFFECT_LIMIT, async || all_have(&operators(&deployment), version).await)
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
        wait_until(EFFECT_LIMIT, async || all_have(&operators(&deployment), next).await)
            .await
            .expect("the next version is in effect at all seven in time");
        load.stop().await;
        println!("{} answers, {} resends", balancer.answered.get(), balancer.resends.borrow().len());
        check_clean(&deployment).await;
    });
}

/// Whether the log has dropped all records before an offset.
async fn expired_before(deployment: &Deployment, offset: u64) -> bool {
    let page = deployment.log.get("/v1/streams/configuration/records?from=1&max=1&wait_ms=0").await;
    page.is_ok_and(|page| page["first"].as_u64().is_some_and(|first| first > offset))
}

#[test]
fn the_configuration_outlives_the_records_of_the_log() {
    let _turn = in_turn();
    actix_rt::System::new().block_on(async {
        let settings = "[configuration]\nretention_ms = 1500\n";
        let mut deployment = deployment(&["--retention-ms", "1500"], settings);
        deployment.make_ready().await.expect("the deployment is ready");
        let balancer = Balancer::new(&deployment);
        let load = Load::start(&balancer, 4, 10);
        let mut version = 1;
        for preset in ["peak", "ordinary"] {
            let offset = append(&deployment, version, "ilze", json!({ "preset": preset })).await;
            wait_until(EFFECT_LIMIT, async || all_have(&operators(&deployment), offset).await)
                .await
                .expect("in effect");
            version = offset;
            wait_until(LIMIT, async || {
                let all = operators(&deployment);
                assert!(all_have(&all, version).await, "no entry leaves version {version}");
                expired_before(&deployment, version).await
            })
            .await
            .expect("the record expires");
        }
        // Without the list it knows no other entry, so that it can only read the log.
        deployment.list.set_faults(&json!({ "down": true })).await.expect("the list goes down");
        deployment.add_entry("entry-7", "zone-1", settings).expect("the entry starts");
        let newcomer = deployment.entries[ENTRIES].operators;
        wait_until(LIMIT, async || all_have(&[newcomer], version).await)
            .await
            .expect("the new entry finds the restated version in the log");
        load.stop().await;
        assert_eq!(*balancer.resends.borrow(), Vec::<String>::new());
    });
}
