//! Starts a gateway process that works with stand-ins of the platform.
#![allow(
    clippy::expect_used,
    clippy::indexing_slicing,
    clippy::panic,
    reason = "a failure here fails the test"
)]

pub mod crowd;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use banyannotch_standins::fleet::{Endpoint, RecordedResponse, Store, call};
use banyannotch_standins::harness::wait_until;
use serde_json::{Value, json};

/// Timeout for every condition that a test waits for.
pub const LIMIT: Duration = Duration::from_secs(15);

/// A running gateway process, which is killed when the value is dropped.
pub struct Gateway {
    pub child: Child,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub metrics: SocketAddr,
    pub peers: SocketAddr,
    pub handoffs: SocketAddr,
    lines: Arc<Mutex<Vec<String>>>,
    settings_path: PathBuf,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // Both calls fail only if the process has already ended.
        drop(self.child.kill());
        drop(self.child.wait());
        drop(std::fs::remove_file(&self.settings_path));
    }
}

/// Waits for the log line with the addresses that the gateway listens on, and returns it.
fn wait_for_listening_line(lines: &Mutex<Vec<String>>) -> String {
    let started = Instant::now();
    while started.elapsed() < LIMIT {
        let found = lines
            .lock()
            .expect("no thread has panicked")
            .iter()
            .find(|line| line.contains("event=listening"))
            .cloned();
        if let Some(line) = found {
            return line;
        }
        std::thread::yield_now();
    }
    panic!("the gateway did not log event=listening within {LIMIT:?}");
}

impl Gateway {
    /// Starts a gateway that uses the given store. `overrides` replaces or adds settings.
    pub fn start(store: SocketAddr, overrides: &[(&str, &str)]) -> Self {
        static START_COUNT: AtomicUsize = AtomicUsize::new(0);
        let number = START_COUNT.fetch_add(1, Ordering::Relaxed);
        // The kernel assigns the ports. A port that the test chose could be taken by another process before the gateway
        // binds it.
        let any_port = "\"127.0.0.1:0\"".to_owned();
        let mut values = vec![
            ("instance", format!("\"g-{number}\"")),
            ("zone", "\"a\"".to_owned()),
            ("callers", any_port.clone()),
            ("readiness", any_port.clone()),
            ("peers", any_port.clone()),
            ("metrics", any_port.clone()),
            ("handoffs", any_port.clone()),
            ("store", format!("\"{store}\"")),
            ("heartbeat_ms", "100".to_owned()),
            ("revoke_ms", "5000".to_owned()),
            ("strict_revocation", "true".to_owned()),
            ("config_apply_ms", "2000".to_owned()),
            ("group_partitions", "4".to_owned()),
            ("drain_ms", "300".to_owned()),
            ("grace_s", "8".to_owned()),
            ("stall_ms", "2000".to_owned()),
            ("retry_ratio", "0.2".to_owned()),
            ("retry_window_s", "10".to_owned()),
            ("retry_allowance", "196".to_owned()),
            ("group_ttl_least_ms", "1000".to_owned()),
            ("descriptors", "1024".to_owned()),
        ];
        for (key, value) in overrides {
            values.retain(|(known, _)| known != key);
            values.push((key, (*value).to_owned()));
        }
        let text: String = values.iter().map(|(key, value)| format!("{key} = {value}\n")).collect();
        let settings_path =
            std::env::temp_dir().join(format!("gateway-{}-{number}.toml", std::process::id()));
        std::fs::write(&settings_path, text).expect("the settings file is written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_banyannotch-gateway"))
            .arg(format!("--settings={}", settings_path.display()))
            .stdout(Stdio::piped())
            .spawn()
            .expect("the gateway starts");
        let stdout = child.stdout.take().expect("stdout is piped");
        let lines: Arc<Mutex<Vec<String>>> = Arc::default();
        let collected = Arc::clone(&lines);
        std::thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                collected.lock().expect("no thread has panicked").push(line);
            }
        });
        let listening_line = wait_for_listening_line(&lines);
        let [callers, readiness, metrics, peers, handoffs] =
            ["callers=", "readiness=", "metrics=", "peers=", "handoffs="].map(|name| {
                let address = listening_line.split(' ').find_map(|field| field.strip_prefix(name));
                address
                    .and_then(|address| address.parse().ok())
                    .unwrap_or_else(|| panic!("no {name} in {listening_line}"))
            });
        Self { child, callers, readiness, metrics, peers, handoffs, lines, settings_path }
    }

    /// Returns the log lines that contain the given text.
    pub fn lines(&self, text: &str) -> Vec<String> {
        self.lines
            .lock()
            .expect("no thread has panicked")
            .iter()
            .filter(|line| line.contains(text))
            .cloned()
            .collect()
    }

    /// Returns the largest amount of memory that the process has used so far, in kilobytes.
    pub fn peak_memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the process runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let number = line.and_then(|line| line.trim().trim_end_matches("kB").trim().parse().ok());
        number.expect("the status contains the peak of the resident memory")
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) {
        let status = Command::new("kill").args([signal, &self.child.id().to_string()]).status();
        assert!(status.is_ok_and(|status| status.success()), "kill {signal} failed");
    }

    /// Stops the process with SIGSTOP and waits until all its threads have stopped.
    pub async fn suspend(&self) {
        self.signal("-STOP");
        let tasks = format!("/proc/{}/task", self.child.id());
        let is_stopped = |task: std::io::Result<std::fs::DirEntry>| {
            let status = task.and_then(|task| std::fs::read_to_string(task.path().join("status")));
            status.expect("the process runs").contains("State:\tT")
        };
        wait_until(LIMIT, async || std::fs::read_dir(&tasks).expect("the process runs").all(is_stopped))
            .await
            .expect("all threads stop");
    }

    /// Returns the HTTP status of the readiness check.
    pub async fn readiness(&self) -> Option<u16> {
        call(self.readiness, "probe", "/-/readyz", "", "").await.status
    }

    /// Waits until the readiness check succeeds.
    pub async fn wait_ready(&self) {
        wait_until(LIMIT, async || self.readiness().await == Some(200))
            .await
            .expect("the gateway becomes ready");
    }

    /// Sends a request with the initial key and returns the response.
    pub async fn call(&self, id: &str, path: &str) -> RecordedResponse {
        call(self.callers, id, path, "secret", "body").await
    }

    /// Requests streams until one succeeds, and returns it.
    pub async fn first_stream(&self) -> RecordedResponse {
        let mut got = RecordedResponse::default();
        let mut number = 0;
        wait_until(LIMIT, async || {
            number += 1;
            got =
                banyannotch_standins::fleet::stream(self.callers, &format!("warm-{number}"), "secret").await;
            got.status == Some(200)
        })
        .await
        .unwrap_or_else(|error| panic!("no stream succeeded: {error}; last response: {got:?}"));
        got
    }
}

/// A store, four engines that form two chains of two, and two replicas of a plain service.
pub struct Fleet {
    pub store: Store,
    pub engines: Vec<Endpoint>,
    pub replicas: Vec<Endpoint>,
    /// Addresses of proxies, engines first, that the entries contain instead of the endpoints' own; empty without
    /// proxies.
    pub proxies: Vec<SocketAddr>,
}

/// Number of events in a complete stream.
pub const EVENTS: u64 = 12;

impl Fleet {
    pub fn start() -> Self {
        let store = Store::start().expect("the store starts");
        let endpoint = |id: String| Endpoint::start(&id, EVENTS).expect("the endpoint starts");
        let engines = (1..=4).map(|number| endpoint(format!("engine-{number}"))).collect();
        let replicas = (1..=2).map(|number| endpoint(format!("desk-{number}"))).collect();
        let mut fleet = Self { store, engines, replicas, proxies: Vec::new() };
        fleet.store.put_configuration(&configuration(1, &["secret"]));
        fleet.write_entries();
        fleet
    }

    /// Writes the current entries of all endpoints to the store, as their heartbeats do.
    pub fn write_entries(&mut self) {
        let engines = self.engines.iter().enumerate().map(|(number, engine)| {
            (format!("engine-{}", number + 1), engine.entry("model", Some("fast"), "ready"))
        });
        let replicas =
            self.replicas.iter().enumerate().map(|(number, replica)| {
                (format!("desk-{}", number + 1), replica.entry("desk", None, "ready"))
            });
        for (index, (id, mut entry)) in engines.chain(replicas).enumerate() {
            if let Some(proxy) = self.proxies.get(index) {
                entry["address"] = json!(proxy.to_string());
            }
            self.store.put_endpoint(&id, Some(&entry));
        }
    }

    /// Waits until every engine holds layers, and writes the entries with these layers.
    pub async fn wait_placed(&mut self) {
        let engines = self.engines.clone();
        wait_until(LIMIT, async || engines.iter().all(|engine| engine.layers().is_some()))
            .await
            .expect("every engine gets layers");
        self.write_entries();
    }

    /// Starts two gateways that know each other, and waits until both serve streams.
    pub async fn start_pair(&mut self) -> [Gateway; 2] {
        let first = Gateway::start(self.store.address, &[]);
        let seeds = format!("[\"{}\"]", first.peers);
        let second = Gateway::start(self.store.address, &[("seeds", &seeds)]);
        self.wait_placed().await;
        first.first_stream().await;
        second.first_stream().await;
        [first, second]
    }

    /// Returns how many times the endpoints together have run the attempt.
    pub fn runs_of(&self, id: &str) -> usize {
        let all = self.engines.iter().chain(&self.replicas);
        all.map(|endpoint| endpoint.runs().iter().filter(|run| run.id == id).count()).sum()
    }
}

/// Returns a configuration in which the given API keys are valid.
pub fn configuration(version: u64, keys: &[&str]) -> Value {
    let route = |prefix: &str, kind: &str, service: &str, attempts: u32| {
        json!({
            "name": prefix, "hostname": "h.example", "path_prefix": format!("/{prefix}/"), "route_type": kind,
            "timeout_ms": 6000, "slo_ms": 300, "priority": 1, "backend": service, "max_attempts": attempts,
            "anonymous": false, "session_affinity": kind == "streaming", "resumable": kind == "streaming",
            "itl_target_ms": 200
        })
    };
    json!({
        "version": version,
        "routes": [
            route("call", "non_idempotent", "desk", 1),
            route("read", "idempotent", "desk", 2),
            route("write", "streaming", "model", 2),
        ],
        "services": [
            {"name": "desk", "health_path": "/healthz", "max_connections": 96, "protocol": "h1", "tls": false},
            {"name": "model", "health_path": "/healthz", "max_connections": 96, "protocol": "h1", "tls": false,
             "engine_type": {
                "slots": 8, "kv_token_bytes": 800000, "stride": 3, "step_ms": 1.0, "per_seq_ms": 0.01,
                "read_per_s": 100000.0, "model_list": [{"name": "m", "pace": 1.0, "load_s": 1.0}],
                "usual": {"prompt": 10, "answer": 10}, "layers": 8, "layer_mb": 1000.0, "activation_bytes": 1000,
                "pipe_mbps": 1000.0, "delays": [],
                "types": [{"name": "fast", "size_mb": 8000.0, "pace": 1.0, "read_factor": 1.0}]
             }}
        ],
        "limits": {"max_header_bytes": 4096, "max_body_bytes": 65536, "header_timeout_ms": 500, "idle_timeout_ms": 15000},
        "tenants": [{"name": "shop", "api_keys": keys, "priority": 1}]
    })
}
