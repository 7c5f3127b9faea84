//! Crowds of clients that misbehave towards a gateway with lowered limits.
//!
//! The loads and the bounds were chosen before the gateway limited what it holds for callers, and are not adapted to it.

use std::net::SocketAddr;
use std::time::Duration;

use banyannotch_standins::harness::crowd::chunks;
use banyannotch_standins::harness::{Ports, Usage, UsageSampler, usage, wait_until};
use serde_json::{Value, json};
use tokio::sync::Mutex;

use super::{Fleet, Gateway, LIMIT, configuration};

/// Only one of the tests runs at a time, because each of them moves many megabytes.
pub static SERIAL: Mutex<()> = Mutex::const_new(());

pub const KB: usize = 1 << 10;
pub const MB: usize = 1 << 20;

/// `memory_mb` of the settings.
pub const MEMORY_MB: u64 = 48;
/// Part of the machine's memory that callers can make a gateway hold.
pub const CALLERS_SHARE: u64 = 4;
/// Memory of the process without callers, in kilobytes, with a margin for what its allocator and its threads keep. A debug
/// build that serves single requests takes about 10,000 kB.
pub const IDLE_ALLOWANCE_KB: u64 = 20_000;
/// Maximum resident memory of the process at any time.
pub const RESIDENT_LIMIT_KB: u64 = MEMORY_MB * 1_024 / CALLERS_SHARE + IDLE_ALLOWANCE_KB;

/// `descriptors` of the settings, which open files and connections together must not exceed.
pub const DESCRIPTORS: usize = 1_024;

/// Limits of the configuration: a body of a request, its head, and the time in which each must arrive, which is longer than
/// a test takes.
pub const BODY_LIMIT_BYTES: usize = 4 * MB;
pub const HEAD_LIMIT_BYTES: usize = 64 * KB;
pub const READ_TIMEOUT_MS: u64 = 60_000;

/// Requests that an endpoint accepts at a time, more than there are clients.
pub const SLOTS: usize = 1_000;

/// Maximum number of seconds for which the memory of the process may grow after the last write.
pub const SETTLE_LIMIT_S: u32 = 30;

/// A gateway with lowered limits, whose endpoints accept as many requests as the clients send.
pub struct Scene {
    pub fleet: Fleet,
    pub gateway: Gateway,
}

impl Scene {
    pub async fn start() -> Self {
        let mut fleet = Fleet::start();
        fleet.store.put_configuration(&generous_configuration());
        let memory_mb = MEMORY_MB.to_string();
        let descriptors = DESCRIPTORS.to_string();
        let settings = [("memory_mb", memory_mb.as_str()), ("descriptors", descriptors.as_str())];
        let gateway = Gateway::start(fleet.store.address, &settings);
        fleet.wait_placed().await;
        for (number, engine) in fleet.engines.iter().enumerate() {
            let entry = with_slots(engine.entry("model", Some("fast"), "ready"));
            fleet.store.put_endpoint(&format!("engine-{}", number + 1), Some(&entry));
        }
        for (number, replica) in fleet.replicas.iter().enumerate() {
            let entry = with_slots(replica.entry("desk", None, "ready"));
            fleet.store.put_endpoint(&format!("desk-{}", number + 1), Some(&entry));
        }
        gateway.wait_ready().await;
        gateway.first_stream().await;
        println!("before the clients: {} kB", gateway.peak_memory_kb());
        Self { fleet, gateway }
    }

    /// Samples what the process uses as its machine counts it.
    pub fn sample(&self) -> UsageSampler {
        UsageSampler::start(self.gateway.child.id(), self.ports())
    }

    /// Returns what the process uses now.
    pub fn usage(&self) -> Usage {
        usage(self.gateway.child.id(), &self.ports()).expect("the process runs")
    }

    fn ports(&self) -> Ports {
        let Gateway { callers, readiness, metrics, peers, .. } = &self.gateway;
        let endpoints = self.fleet.engines.iter().chain(&self.fleet.replicas);
        Ports {
            listening: [callers, readiness, metrics, peers].map(SocketAddr::port).to_vec(),
            connected: endpoints
                .map(|endpoint| endpoint.address.port())
                .chain([self.fleet.store.address.port()])
                .collect(),
        }
    }

    /// Waits until the process has read what the kernel holds of the clients' bytes, as far as its memory shows.
    pub async fn settle(&self) {
        let mut earlier_kb = 0;
        for _ in 0..SETTLE_LIMIT_S {
            let peak_kb = self.gateway.peak_memory_kb();
            if peak_kb == earlier_kb {
                return;
            }
            earlier_kb = peak_kb;
            actix_rt::time::sleep(Duration::from_secs(1)).await;
        }
    }

    /// Checks that the process is alive within its bounds and answers an ordinary request.
    pub async fn check(&mut self, case: &str) {
        self.settle().await;
        let open_files = std::fs::read_dir(format!("/proc/{}/fd", self.gateway.child.id()));
        let open_files = open_files.expect("the process runs").count();
        let peak_kb = self.gateway.peak_memory_kb();
        println!("{case}: {peak_kb} kB of {RESIDENT_LIMIT_KB}, {open_files} descriptors of {DESCRIPTORS}");
        let mut last = None;
        let answered = wait_until(LIMIT, async || {
            let got = self.gateway.call("after", "/call/x").await;
            let is_answered = got.body == "answer of after";
            last = Some(got);
            is_answered
        });
        let is_answered = answered.await.is_ok();
        assert!(is_answered, "{case}: no ordinary request was answered, the last response was {last:?}");
        assert!(matches!(self.gateway.child.try_wait(), Ok(None)), "{case}: the process has ended");
        assert!(peak_kb <= RESIDENT_LIMIT_KB, "{case}: the gateway used {peak_kb} of {RESIDENT_LIMIT_KB} kB");
        assert!(open_files <= DESCRIPTORS, "{case}: {open_files} of {DESCRIPTORS} descriptors are open");
    }
}

fn with_slots(mut entry: Value) -> Value {
    entry["slots"] = json!(SLOTS);
    entry
}

/// Returns a configuration whose limits neither end the requests of the clients nor keep them from the endpoints.
fn generous_configuration() -> Value {
    let mut document = configuration(2, &["secret"]);
    document["limits"] = json!({
        "max_header_bytes": HEAD_LIMIT_BYTES, "max_body_bytes": BODY_LIMIT_BYTES,
        "header_timeout_ms": READ_TIMEOUT_MS, "idle_timeout_ms": 60_000
    });
    for route in document["routes"].as_array_mut().expect("the configuration has routes") {
        route["timeout_ms"] = json!(60_000);
    }
    for service in document["services"].as_array_mut().expect("the configuration has services") {
        service["max_connections"] = json!(SLOTS);
        if let Some(engine) = service.get_mut("engine_type") {
            engine["slots"] = json!(SLOTS);
        }
    }
    document
}

/// Returns a request head without its last line, for the given path.
pub fn head(path: &str, id: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\nKey: secret\r\nDeadline-Ms: 60000\r\n\
         Token-Usage: 10,20\r\nLength-Hint: 5\r\n"
    )
}

/// Returns the beginning of a request with a chunked body of the given size, whose last chunk is missing.
pub fn unfinished_body(id: &str, size_bytes: usize, chunk_bytes: usize) -> Vec<u8> {
    let mut out = format!("{}Transfer-Encoding: chunked\r\n\r\n", head("/call/x", id)).into_bytes();
    out.extend(chunks(size_bytes, chunk_bytes));
    out
}
