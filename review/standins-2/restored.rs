//! A machine is added just after the store has come back from a copy and the machines that are its seeds are lost.

#[path = "kit.rs"]
#[allow(dead_code)]
mod kit;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use kit::*;

const SERVICE: &str = "order-desk";
/// The machines of the site. The first half are seeds.
const GATEWAYS: usize = 6;
const SEEDS: usize = 3;
const REVOKE_MS: u64 = 5_000;
/// Time from the acknowledgement of the version that takes a key away until the store is away for a moment.
const AWAY_AT_MS: u64 = 5_500;
const AWAY_MS: u64 = 500;
/// The copy is from just before that version.
const COPY_AGE_MS: u64 = 6_500;
/// Time from the return of the store until the operator writes the lost version again.
const WRITTEN_AGAIN_MS: u64 = 3_000;

fn configuration(version: u64, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-read","hostname":"desk.example","path_prefix":"/read/","route_type":"idempotent","timeout_ms":2000,"slo_ms":300,"priority":2,"backend":"{SERVICE}","max_attempts":2,"anonymous":false,"session_affinity":false,"resumable":false}}],"services":[{{"name":"{SERVICE}","health_path":"/healthz","max_connections":96,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"shop-a","api_keys":[{}],"priority":1}}]}}"#,
        keys.join(",")
    )
}

fn main() -> ExitCode {
    start_watchdog();
    let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    let temporary = PathBuf::from(std::env::args().nth(2).expect("a temporary folder"));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&folder.join("record.txt"));
    record.line(&format!("trouble: {trouble}"));

    let (store, store_address) = Store::start(&record);
    let servers: Vec<_> = (0..3).map(|index| Arc::new(Server::start(&format!("i-desk{index}"), ms(5)))).collect();
    let stop = Stop::new();
    beat(&store, servers.clone(), SERVICE, &stop);
    let (revoked, kept) = ("revokedkey0000000000", "keptkey0000000000000");
    store.put("keyed.op", "config", Some(configuration(1, &[revoked, kept]).as_bytes()));
    let peers: Vec<_> = (0..GATEWAYS).map(|_| free_address()).collect();
    let seeds = &peers[..SEEDS];
    let mut gateways: Vec<Gateway> = (0..GATEWAYS)
        .map(|index| Gateway::start(&format!("edge-{index}"), &temporary, store_address, peers[index], seeds))
        .collect();
    if !gateways.iter().all(Gateway::wait_until_ready) {
        record.line("a gateway is not ready");
        return ExitCode::from(2);
    }
    record.line(&format!("{GATEWAYS} gateways are ready"));
    thread::sleep(ms(2_500));
    let again = configuration(2, &[kept]);
    store.put("keyed.op", "config", Some(again.as_bytes()));
    let acknowledged = Instant::now();
    record.line("version 2, without the key that is taken away, is acknowledged");
    thread::sleep(ms(AWAY_AT_MS));
    if trouble {
        store.set_service(Service::TurnsAway);
        for gateway in &mut gateways[..SEEDS] {
            let _ = gateway.child.kill();
        }
        record.line(&format!("the store is away, and the {SEEDS} machines that are seeds are lost"));
        thread::sleep(ms(AWAY_MS));
        store.restore(ms(COPY_AGE_MS));
        store.set_service(Service::Serves);
        record.line(&format!("the store is back from a copy that is {COPY_AGE_MS} ms old, in its next era"));
    } else {
        thread::sleep(ms(AWAY_MS));
    }
    let back = Instant::now();
    let added = Gateway::start("edge-added", &temporary, store_address, free_address(), seeds);
    record.line("a machine is added");

    let sent: Arc<Mutex<Vec<(String, Instant, usize, &str, u16)>>> = Arc::default();
    let counter = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    let addresses: Vec<_> = gateways.iter().chain([&added]).map(|gateway| gateway.callers).collect();
    for (index, address) in addresses.into_iter().enumerate().skip(SEEDS) {
        for key in [revoked, kept] {
            let (sent, counter, stop) = (Arc::clone(&sent), Arc::clone(&counter), Arc::clone(&stop));
            clients.push(thread::spawn(move || {
                let mut link: Option<Link> = None;
                while !stop.is_set() {
                    thread::sleep(ms(50));
                    let id = format!("{:016x}", 0x5eed_0000 + counter.fetch_add(1, Ordering::Relaxed));
                    let Some(mut open) = link.take().or_else(|| connect(address).ok()) else { continue };
                    let head = format!("GET /read/stock HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 4000\r\nKey: {key}\r\n");
                    let at = Instant::now();
                    let answer = exchange(&mut open, &head, b"").ok().flatten();
                    let status = answer.as_ref().map_or(0, Message::status);
                    if answer.is_some_and(|answer| answer.header("connection") != Some("close")) {
                        link = Some(open);
                    }
                    sent.lock().unwrap().push((id, at, index, key, status));
                }
            }));
        }
    }
    thread::sleep(ms(WRITTEN_AGAIN_MS).saturating_sub(back.elapsed()));
    if trouble {
        store.put("keyed.op", "config", Some(again.as_bytes()));
        record.line("the operator writes version 2 again");
    }
    thread::sleep(ms(3_000));
    stop.set();
    for client in clients {
        let _ = client.join();
    }

    let runs: Vec<Run> = servers.iter().flat_map(|server| server.runs.lock().unwrap().clone()).collect();
    let sent = sent.lock().unwrap();
    let (mut late, mut kept_served) = (0, 0);
    for (id, at, gateway, key, status) in sent.iter() {
        let since_ms = at.saturating_duration_since(acknowledged).as_millis() as u64;
        let ran = runs.iter().any(|run| run.id == *id);
        let name = if *gateway == gateways.len() { "edge-added".to_owned() } else { format!("edge-{gateway}") };
        if *key == revoked && since_ms > REVOKE_MS && ran {
            late += 1;
            record.line(&format!("BROKEN: request {id} with the revoked key, sent to {name} {since_ms} ms after the acknowledgement, ran; answer {status}"));
        }
        kept_served += u64::from(*key == kept && ran);
    }
    record.line(&format!("{} requests sent; {late} with the revoked key sent later than {REVOKE_MS} ms ran; {kept_served} with the kept key", sent.len()));
    if kept_served == 0 {
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(late > 0))
}
