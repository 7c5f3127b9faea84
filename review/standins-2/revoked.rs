//! A gateway that the store has turned away reads a part of what it missed, and takes it for all.

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
/// The machines of the site; the store turns away none of them. Three are seeds.
const OTHERS: usize = 6;
const SEEDS: usize = 3;
const REVOKE_MS: u64 = 5_000;
/// `big_config` of the site.
const ADDED_ROUTES: usize = 481;
/// `config_storm` of the site: a change each 0.08 s for 2 s.
const CHANGES: u64 = 18;
const CHANGE_GAP_MS: u64 = 80;
/// `platform_down`, `nodes`, `count = 1` of the site: 7 s.
const TURNED_AWAY_MS: u64 = 7_000;

/// A configuration with the routes of the service, those that were added, and the keys of two tenants.
fn configuration(version: u64, keys: &[&str]) -> String {
    let route = |name: &str, prefix: &str, timeout_ms: u64| {
        format!(
            r#"{{"name":"{name}","hostname":"desk.example","path_prefix":"{prefix}","route_type":"idempotent","timeout_ms":{timeout_ms},"slo_ms":300,"priority":2,"backend":"{SERVICE}","max_attempts":2,"anonymous":false,"session_affinity":false,"resumable":false}}"#
        )
    };
    let mut routes = vec![route("r-read", "/read/", 2_000)];
    // The changes of a series change time-outs of other routes.
    routes.extend((0..ADDED_ROUTES).map(|index| route(&format!("r-{index}"), &format!("/added{index}/"), 2_000 + version)));
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"{SERVICE}","health_path":"/healthz","max_connections":96,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"shop-a","api_keys":[{}],"priority":1}},{{"name":"shop-b","api_keys":["keyofshopb0000000000"],"priority":1}}]}}"#,
        routes.join(","),
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
    let mut version = 1;
    let first = configuration(version, &[revoked, kept]);
    record.line(&format!("a configuration has {} bytes", first.len()));
    store.put("keyed.op", "config", Some(first.as_bytes()));
    // Six gateways that the store serves all the time, and one that was added when the machines that are its seeds were down.
    let others = store.serve_others();
    let peers: Vec<_> = (0..OTHERS).map(|_| free_address()).collect();
    let fleet: Vec<Gateway> = (0..OTHERS)
        .map(|index| Gateway::start(&format!("edge-{index}"), &temporary, others, peers[index], &peers[..SEEDS]))
        .collect();
    let down: Vec<_> = (0..SEEDS).map(|_| free_address()).collect();
    let gateway = Gateway::start("edge-added", &temporary, store_address, free_address(), &down);
    if !gateway.wait_until_ready() || !fleet.iter().all(Gateway::wait_until_ready) {
        record.line("a gateway is not ready");
        return ExitCode::from(2);
    }
    record.line(&format!("{OTHERS} gateways and the added one are ready"));

    // Clients of both keys, each with a connection that it keeps and 12 requests a second: 150 a second together, the
    // traffic of the site (90) at its largest burst (1.7).
    let sent: Arc<Mutex<Vec<(String, Instant, &str, u16)>>> = Arc::default();
    let counter = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for index in 0..12 {
        let key = if index % 4 == 0 { kept } else { revoked };
        let (sent, counter, stop, address) = (Arc::clone(&sent), Arc::clone(&counter), Arc::clone(&stop), gateway.callers);
        clients.push(thread::spawn(move || {
            let mut link = None;
            // The clients take turns.
            thread::sleep(ms(7 * index));
            while !stop.is_set() {
                thread::sleep(ms(80));
                let id = format!("{:016x}", 0x5eed_0000 + counter.fetch_add(1, Ordering::Relaxed));
                let Some(open) = link.take().or_else(|| connect(address).ok()) else { continue };
                let mut open: Link = open;
                let head = format!("GET /read/stock HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 4000\r\nKey: {key}\r\n");
                let at = Instant::now();
                let answer = exchange(&mut open, &head, b"").ok().flatten();
                let status = answer.as_ref().map_or(0, Message::status);
                if answer.is_some_and(|answer| answer.header("connection") != Some("close")) {
                    link = Some(open);
                }
                sent.lock().unwrap().push((id, at, key, status));
            }
        }));
    }
    thread::sleep(ms(1_500));

    if trouble {
        store.set_service(Service::TurnsAway);
        record.line("the store turns the added gateway away (503); it serves the others, the operator and the servers");
    }
    let away_since = Instant::now();
    for _ in 0..CHANGES {
        version += 1;
        store.put("keyed.op", "config", Some(configuration(version, &[revoked, kept]).as_bytes()));
        thread::sleep(ms(CHANGE_GAP_MS));
    }
    version += 1;
    store.put("keyed.op", "config", Some(configuration(version, &[kept]).as_bytes()));
    let acknowledged = Instant::now();
    record.line(&format!("version {version}, without the key of shop-a that is taken away, is acknowledged"));
    thread::sleep(ms(TURNED_AWAY_MS).saturating_sub(away_since.elapsed()));
    store.set_service(Service::Serves);
    if trouble {
        record.line("the store serves the gateway again");
    }
    thread::sleep(ms(2_500));
    stop.set();
    for client in clients {
        let _ = client.join();
    }

    let runs: Vec<Run> = servers.iter().flat_map(|server| server.runs.lock().unwrap().clone()).collect();
    let sent = sent.lock().unwrap();
    let (mut late, mut kept_served) = (0, 0);
    for (id, at, key, status) in sent.iter() {
        let since_ms = at.saturating_duration_since(acknowledged).as_millis() as u64;
        let ran = runs.iter().any(|run| run.id == *id);
        if *key == revoked && since_ms > REVOKE_MS && ran {
            late += 1;
            record.line(&format!("BROKEN: request {id} with the revoked key, sent {since_ms} ms after the acknowledgement, ran; answer {status}"));
        }
        kept_served += u64::from(*key == kept && since_ms > REVOKE_MS && ran);
    }
    let count = |wanted: &str, status: u16| sent.iter().filter(|(_, _, key, found)| *key == wanted && *found == status).count();
    for (name, key) in [("revoked", revoked), ("kept", kept)] {
        record.line(&format!("{name} key: 200: {}, 401: {}, 503: {}", count(key, 200), count(key, 401), count(key, 503)));
    }
    record.line(&format!("{} requests sent, {} runs; {late} with the revoked key sent later than {REVOKE_MS} ms ran; {kept_served} with the kept key", sent.len(), runs.len()));
    if kept_served == 0 {
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(late > 0))
}
