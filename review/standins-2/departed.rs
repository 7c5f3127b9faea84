//! Servers leave as all gateways but one are killed, after a time without changes.

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
/// The machines of the site.
const GATEWAYS: usize = 6;
/// "To be borne at once: the loss of any number of them."
const KILLED: usize = 5;
/// Time for which the killed machines are dark: `herd_kill` of the site.
const DARK_MS: u64 = 2_000;
const DRAIN_MS: u64 = 2_000;
/// Time without a change, longer than the 20 s of history that the store keeps.
const QUIET_MS: u64 = 22_000;
/// A server goes on for `drain_ms` and a little longer after its entry was removed, and then ends.
const SERVES_ON_MS: u64 = 2_600;
/// The clients are idle from the removal until then; then each of them sends an order.
const ORDERS_AT_MS: u64 = 2_400;
/// Time in which a server runs an order; the sheet has 60 ms on average and 450 ms at most.
const WORK_MS: u64 = 300;
const CLIENTS_PER_GATEWAY: usize = 8;
/// Each round is the same disruption once more, with another server that leaves. The first round that breaks the rule is
/// the last one.
const ROUNDS: usize = 4;

fn configuration() -> String {
    let route = |name: &str, prefix: &str, kind: &str| {
        format!(
            r#"{{"name":"{name}","hostname":"desk.example","path_prefix":"{prefix}","route_type":"{kind}","timeout_ms":2000,"slo_ms":300,"priority":2,"backend":"{SERVICE}","max_attempts":2,"anonymous":true,"session_affinity":false,"resumable":false}}"#
        )
    };
    let routes = [route("r-order", "/order/", "non_idempotent"), route("r-read", "/read/", "idempotent")];
    format!(
        r#"{{"version":1,"routes":[{}],"services":[{{"name":"{SERVICE}","health_path":"/healthz","max_connections":96,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        routes.join(",")
    )
}

/// A request of a client: its id, when it was sent, the gateway, and the status of the answer.
type Sent = (String, Instant, usize, u16);

fn main() -> ExitCode {
    start_watchdog();
    let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    let temporary = PathBuf::from(std::env::args().nth(2).expect("a temporary folder"));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&folder.join("record.txt"));
    record.line(&format!("trouble: {trouble}"));

    let (store, store_address) = Store::start(&record);
    let stop = Stop::new();
    let start_server = |index: usize| {
        let server = Arc::new(Server::start(&format!("i-desk{index}"), ms(WORK_MS)));
        let stop = Stop::new();
        beat(&store, vec![Arc::clone(&server)], SERVICE, &stop);
        (server, stop)
    };
    let servers: Vec<_> = (0..ROUNDS + 2).map(start_server).collect();
    store.put("keyed.op", "config", Some(configuration().as_bytes()));

    let mut peers: Vec<_> = (0..GATEWAYS).map(|_| free_address()).collect();
    peers.sort();
    let start = |index: usize| {
        Gateway::start(&format!("edge-{index}"), &temporary, store_address, peers[index], &peers[..3])
    };
    let mut gateways: Vec<Gateway> = (0..GATEWAYS).map(start).collect();
    if !gateways.iter().all(Gateway::wait_until_ready) {
        record.line("a gateway is not ready");
        return ExitCode::from(2);
    }
    record.line(&format!("{GATEWAYS} gateways are ready"));

    // Clients of each gateway that is never killed send an order every second or so, but none while they are idle.
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let idle = Stop::new();
    let counter = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for index in KILLED * CLIENTS_PER_GATEWAY..GATEWAYS * CLIENTS_PER_GATEWAY {
        let gateway = index / CLIENTS_PER_GATEWAY;
        let (sent, counter, stop, idle, address) =
            (Arc::clone(&sent), Arc::clone(&counter), Arc::clone(&stop), Arc::clone(&idle), gateways[gateway].callers);
        clients.push(thread::spawn(move || {
            let mut link: Option<Link> = None;
            while !stop.is_set() {
                thread::sleep(ms(1_000 + 37 * index as u64));
                while idle.is_set() {
                    thread::sleep(ms(5));
                }
                let id = format!("{:016x}", 0x5eed_0000 + counter.fetch_add(1, Ordering::Relaxed));
                let Some(mut open) = link.take().or_else(|| connect(address).ok()) else { continue };
                let head = format!("POST /order/crates HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 4000\r\n");
                let at = Instant::now();
                let answer = exchange(&mut open, &head, b"10 crates").ok().flatten();
                let status = answer.as_ref().map_or(0, Message::status);
                if answer.is_some_and(|answer| answer.header("connection") != Some("close")) {
                    link = Some(open);
                }
                sent.lock().unwrap().push((id, at, gateway, status));
            }
        }));
    }

    let mut late = 0;
    for (leaving, stop_beat) in servers.iter().take(ROUNDS) {
        thread::sleep(ms(QUIET_MS));
        // The last orders are answered before the server leaves.
        idle.set();
        thread::sleep(ms(WORK_MS + 200));
        if trouble {
            for gateway in &mut gateways[..KILLED] {
                let _ = gateway.child.kill();
            }
            record.line(&format!("{KILLED} gateways are killed; the others and the store are not disturbed"));
        }
        thread::sleep(ms(50));
        stop_beat.set();
        leaving.leaving.store(true, Ordering::Relaxed);
        store.put("keyed.servers", &leaving.id, None);
        let acknowledged = Instant::now();
        record.line(&format!("the entry of {} is removed; it serves on", leaving.id));
        thread::sleep(ms(DARK_MS));
        if trouble {
            for index in 0..KILLED {
                gateways[index] = start(index);
            }
            record.line("the killed gateways start again");
        }
        thread::sleep(ms(ORDERS_AT_MS).saturating_sub(acknowledged.elapsed()));
        idle.0.store(false, Ordering::Relaxed);
        thread::sleep(ms(SERVES_ON_MS).saturating_sub(acknowledged.elapsed()));
        leaving.ended.store(true, Ordering::Relaxed);
        record.line(&format!("{} ends", leaving.id));
        thread::sleep(ms(800));
        late = check(&record, &sent.lock().unwrap(), leaving, acknowledged);
        if late > 0 {
            break;
        }
    }
    stop.set();
    for client in clients {
        let _ = client.join();
    }
    let sent = sent.lock().unwrap();
    let ok = sent.iter().filter(|(.., status)| *status == 200).count();
    record.line(&format!("{} requests sent, {ok} answered 200", sent.len()));
    if ok == 0 || gateways.iter_mut().any(|gateway| gateway.child.try_wait().is_ok_and(|end| end.is_some())) {
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(late > 0))
}

/// Returns the number of requests that reached the server too late after its entry was removed.
fn check(record: &Record, sent: &[Sent], leaving: &Server, acknowledged: Instant) -> usize {
    let (mut late, mut last_ms) = (0, vec![0; GATEWAYS]);
    for run in leaving.runs.lock().unwrap().iter().filter(|run| run.at > acknowledged) {
        let since_ms = run.at.duration_since(acknowledged).as_millis() as u64;
        let found = sent.iter().find(|(id, ..)| *id == run.id);
        let (gateway, status) = found.map_or((0, 0), |(_, _, gateway, status)| (*gateway, *status));
        last_ms[gateway] = since_ms.max(last_ms[gateway]);
        if since_ms > DRAIN_MS {
            late += 1;
            record.line(&format!(
                "BROKEN: request {} reaches {} from edge-{gateway} {since_ms} ms after the removal; answer {status}",
                run.id, leaving.id
            ));
        }
    }
    for (gateway, last_ms) in last_ms.iter().enumerate().skip(KILLED) {
        record.line(&format!("edge-{gateway}: the last request to {} {last_ms} ms after the removal", leaving.id));
    }
    late
}
