//! A gateway process before stand-ins of the platform.
#![allow(
    clippy::expect_used,
    clippy::indexing_slicing,
    clippy::panic,
    reason = "a failure here fails the test"
)]

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

/// Longest time for anything that a test waits for.
pub const LIMIT: Duration = Duration::from_secs(15);

/// Ends its process when it is dropped.
pub struct Gateway {
    pub child: Child,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub metrics: SocketAddr,
    pub peers: SocketAddr,
    lines: Arc<Mutex<Vec<String>>>,
    settings: PathBuf,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // Both fail only when the process has ended already.
        drop(self.child.kill());
        drop(self.child.wait());
        drop(std::fs::remove_file(&self.settings));
    }
}

/// Waits for the line that says where a gateway listens.
fn listening(lines: &Mutex<Vec<String>>) -> String {
    let begun = Instant::now();
    while begun.elapsed() < LIMIT {
        let found =
            lines.lock().expect("no panic").iter().find(|line| line.contains("event=listening")).cloned();
        if let Some(line) = found {
            return line;
        }
        std::thread::yield_now();
    }
    panic!("the gateway does not listen");
}

impl Gateway {
    /// Starts a gateway before the given store.
    pub fn start(store: SocketAddr, extra: &[(&str, &str)]) -> Self {
        static STARTED: AtomicUsize = AtomicUsize::new(0);
        let number = STARTED.fetch_add(1, Ordering::Relaxed);
        // The kernel chooses the ports, so that no other process can take one in between.
        let any = "\"127.0.0.1:0\"".to_owned();
        let mut values = vec![
            ("instance", format!("\"g-{number}\"")),
            ("zone", "\"a\"".to_owned()),
            ("callers", any.clone()),
            ("readiness", any.clone()),
            ("peers", any.clone()),
            ("metrics", any.clone()),
            ("store", format!("\"{store}\"")),
            ("heartbeat_ms", "100".to_owned()),
            ("revoke_ms", "5000".to_owned()),
            ("strict_revocation", "true".to_owned()),
            ("drain_ms", "300".to_owned()),
            ("grace_s", "8".to_owned()),
            ("stall_ms", "2000".to_owned()),
            ("retry_ratio", "0.2".to_owned()),
            ("retry_window_s", "10".to_owned()),
            ("retry_allowance", "196".to_owned()),
            ("group_ttl_least_ms", "1000".to_owned()),
            ("descriptors", "1024".to_owned()),
        ];
        for (key, value) in extra {
            values.retain(|(known, _)| known != key);
            values.push((key, (*value).to_owned()));
        }
        let text: String = values.iter().map(|(key, value)| format!("{key} = {value}\n")).collect();
        let settings = std::env::temp_dir().join(format!("gateway-{}-{number}.toml", std::process::id()));
        std::fs::write(&settings, text).expect("a settings file");
        let mut child = Command::new(env!("CARGO_BIN_EXE_banyannotch-gateway"))
            .arg(format!("--settings={}", settings.display()))
            .stdout(Stdio::piped())
            .spawn()
            .expect("the gateway starts");
        let stdout = child.stdout.take().expect("a pipe");
        let lines: Arc<Mutex<Vec<String>>> = Arc::default();
        let kept = Arc::clone(&lines);
        std::thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                kept.lock().expect("no panic").push(line);
            }
        });
        let addresses = listening(&lines);
        let [callers, readiness, metrics, peers] =
            ["callers=", "readiness=", "metrics=", "peers="].map(|name| {
                let word = addresses.split(' ').find_map(|word| word.strip_prefix(name));
                word.and_then(|word| word.parse().ok()).unwrap_or_else(|| panic!("no {name} in {addresses}"))
            });
        Self { child, callers, readiness, metrics, peers, lines, settings }
    }

    /// Returns the log lines that contain the given text.
    pub fn lines(&self, text: &str) -> Vec<String> {
        self.lines.lock().expect("no panic").iter().filter(|line| line.contains(text)).cloned().collect()
    }

    /// Returns the status of the readiness check.
    pub async fn readiness(&self) -> Option<u16> {
        call(self.readiness, "probe", "/-/readyz", "", "").await.status
    }

    /// Waits until the gateway is ready.
    pub async fn wait_ready(&self) {
        wait_until(LIMIT, async || self.readiness().await == Some(200))
            .await
            .expect("the gateway becomes ready");
    }

    /// Sends a call.
    pub async fn call(&self, id: &str, path: &str) -> RecordedResponse {
        call(self.callers, id, path, "secret", "body").await
    }

    /// Waits until a stream can be had, and returns it.
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
        .unwrap_or_else(|error| panic!("no stream: {error}; last {got:?}"));
        got
    }
}

/// A store, two chains of two engines, and two replicas of a plain service.
pub struct Fleet {
    pub store: Store,
    pub engines: Vec<Endpoint>,
    pub desks: Vec<Endpoint>,
    /// Addresses that the entries name in place of the endpoints' own, engines first; none without proxies.
    pub proxies: Vec<SocketAddr>,
}

/// Events of a whole stream.
pub const EVENTS: u64 = 12;

impl Fleet {
    pub fn start() -> Self {
        let store = Store::start().expect("a store");
        let endpoint = |id: String| Endpoint::start(&id, EVENTS).expect("an endpoint");
        let engines = (1..=4).map(|number| endpoint(format!("engine-{number}"))).collect();
        let desks = (1..=2).map(|number| endpoint(format!("desk-{number}"))).collect();
        let mut fleet = Self { store, engines, desks, proxies: Vec::new() };
        fleet.store.put_configuration(&configuration(1, &["secret"]));
        fleet.beat();
        fleet
    }

    /// Writes the entries of all endpoints anew.
    pub fn beat(&mut self) {
        let engines = self.engines.iter().enumerate().map(|(number, engine)| {
            (format!("engine-{}", number + 1), engine.entry("model", Some("fast"), "ready"))
        });
        let desks = self
            .desks
            .iter()
            .enumerate()
            .map(|(number, desk)| (format!("desk-{}", number + 1), desk.entry("desk", None, "ready")));
        for (index, (id, mut entry)) in engines.chain(desks).enumerate() {
            if let Some(proxy) = self.proxies.get(index) {
                entry["address"] = json!(proxy.to_string());
            }
            self.store.put_endpoint(&id, Some(&entry));
        }
    }

    /// Waits until the gateway has placed all layers, and tells it so as the engines' heartbeats do.
    pub async fn wait_placed(&mut self) {
        let engines = self.engines.clone();
        wait_until(LIMIT, async || engines.iter().all(|engine| engine.layers().is_some()))
            .await
            .expect("every engine gets layers");
        self.beat();
    }

    /// Returns how often any endpoint has run the attempt.
    pub fn runs_of(&self, id: &str) -> usize {
        let all = self.engines.iter().chain(&self.desks);
        all.map(|endpoint| endpoint.runs().iter().filter(|run| run.id == id).count()).sum()
    }
}

/// A configuration with the given keys.
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
