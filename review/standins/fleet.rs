//! A small deployment: the store, three replicas of a plain service in two zones, and three gateways.

use std::fs::File;
use std::io::Write;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::net::{Message, call, free_address};
use crate::replica::Replica;
use crate::store::Store;

pub const DRAIN_MS: u64 = 2_000;
/// Deadline of the requests to the plain service.
const DEADLINE_MS: u64 = 1_000;
const KEY: &str = "k3y0fl0cald3sk";

const CONFIGURATION: &str = r#"{"version":7,"routes":[
{"name":"filing","hostname":"desk.example","path_prefix":"/filing/","route_type":"non_idempotent","timeout_ms":1000,"slo_ms":150,"priority":2,"backend":"desk","max_attempts":1,"anonymous":false},
{"name":"lookup","hostname":"desk.example","path_prefix":"/lookup/","route_type":"idempotent","timeout_ms":1000,"slo_ms":150,"priority":2,"backend":"desk","max_attempts":2,"anonymous":false}],
"services":[{"name":"desk","health_path":"/healthz","max_connections":96,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"claims","api_keys":["k3y0fl0cald3sk"],"priority":1}]}"#;

/// What was sent, answered and run, with milliseconds since the start of the case.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{:>7} {text}", self.now_ms()).unwrap();
    }
}

/// The seeds in the settings of the gateways.
#[derive(Clone, Copy)]
pub enum Seeds {
    All,
    /// The first gateway, and two addresses at which nothing answers any more.
    FirstAndStale,
}

pub struct Gateway {
    child: Child,
    pub name: &'static str,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
}

impl Gateway {
    /// Sends a signal to the process, by its name without `SIG`.
    pub fn signal(&self, signal: &str) -> Result<(), String> {
        let line = format!("kill -{signal} {}", self.child.id());
        let status = Command::new("sh").args(["-c", &line]).status().map_err(|error| error.to_string())?;
        if status.success() { Ok(()) } else { Err(format!("{line} failed")) }
    }
}

/// The replicas are in `riga-a`, `riga-b` and `riga-a`, the gateways in `riga-a`, `riga-b` and `riga-b`. The first gateway
/// is the one that reads the store for the others.
pub struct Fleet {
    pub record: Record,
    pub store: Store,
    pub replicas: Vec<Replica>,
    pub gateways: Vec<Gateway>,
    folder: PathBuf,
    root: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for gateway in &mut self.gateways {
            drop(gateway.child.kill());
            drop(gateway.child.wait());
        }
        drop(std::fs::remove_dir_all(&self.folder));
    }
}

/// The order of gateways by address in `crates/banyannotch/src/gateway/gossip/members.rs`, whose first is the reader.
fn order_key(ip: &str) -> u64 {
    let Ok(IpAddr::V4(ip)) = ip.parse() else { return 0 };
    let word = u64::from(u32::from(ip)).wrapping_add(0x9e37_79b9_7f4a_7c15);
    let word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}

impl Fleet {
    pub fn start(root: &str, out: &str, seeds: Seeds) -> std::io::Result<Self> {
        let record = Record {
            started: Instant::now(),
            file: Arc::new(Mutex::new(File::create(PathBuf::from(out).join("record.txt"))?)),
        };
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let store = Store::start("127.0.20.1")?;
        store.put("keyed.op", "config", Some(CONFIGURATION));
        let mut replicas = Vec::new();
        for (id, zone, ip) in [
            ("i-desk-a", "riga-a", "127.0.30.1"),
            ("i-desk-b", "riga-b", "127.0.30.2"),
            ("i-desk-c", "riga-a", "127.0.30.3"),
        ] {
            replicas.push(Replica::start(id, zone, ip, &store, &record)?);
        }
        let mut fleet = Self { record, store, replicas, gateways: Vec::new(), folder, root: root.into() };
        let mut ips = ["127.0.10.1", "127.0.10.2", "127.0.10.3"];
        ips.sort_by_key(|ip| order_key(ip));
        let peers = ips.iter().map(|ip| free_address(ip)).collect::<std::io::Result<Vec<_>>>()?;
        let seeds = match seeds {
            Seeds::All => peers.clone(),
            // The other two have been replaced, and nothing answers at their addresses.
            Seeds::FirstAndStale => vec![peers[0], free_address("127.0.10.8")?, free_address("127.0.10.9")?],
        };
        let names = [("edge-a-1", "riga-a"), ("edge-b-1", "riga-b"), ("edge-b-2", "riga-b")];
        for ((name, zone), (ip, own)) in names.iter().zip(ips.iter().zip(&peers)) {
            let gateway = fleet.start_gateway((name, zone), ip, *own, &seeds)?;
            fleet.gateways.push(gateway);
        }
        Ok(fleet)
    }

    fn start_gateway(
        &self,
        (name, zone): (&'static str, &str),
        ip: &str,
        own: SocketAddr,
        seeds: &[SocketAddr],
    ) -> std::io::Result<Gateway> {
        let (callers, readiness, metrics) = (free_address(ip)?, free_address(ip)?, free_address(ip)?);
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            "instance = \"{name}\"\nzone = \"{zone}\"\ncallers = \"{callers}\"\nreadiness = \"{readiness}\"\n\
             peers = \"{own}\"\nmetrics = \"{metrics}\"\nstore = \"{}\"\nseeds = [{}]\nheartbeat_ms = 1200\n\
             revoke_ms = 5000\nstrict_revocation = true\nconfig_apply_ms = 2000\ndrain_ms = {DRAIN_MS}\n\
             grace_s = 8\nstall_ms = 2000\nretry_ratio = 0.2\nretry_window_s = 10\nretry_allowance = 196\n\
             group_ttl_least_ms = 1000\ngroup_partitions = 32\ndescriptors = 4200\n",
            self.store.address,
            seeds.join(",")
        );
        let settings = self.folder.join(format!("{name}.toml"));
        std::fs::write(&settings, text)?;
        let child = self.spawn(name, &settings)?;
        self.record.line(&format!("gateway {name} in {zone} starts"));
        Ok(Gateway { child, name, callers, readiness, settings })
    }

    /// Starts a gateway with the command of the deploy file.
    fn spawn(&self, name: &str, settings: &Path) -> std::io::Result<Child> {
        let path = self.folder.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(path)?;
        Command::new(self.root.join("target/release/banyannotch-gateway"))
            .arg(format!("--settings={}", settings.display()))
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
    }

    /// Waits until a gateway that got SIGTERM has ended, and starts it again at the given time.
    pub fn restart(&mut self, index: usize, at_ms: u64) -> Result<(), String> {
        self.gateways[index].child.wait().map_err(|error| error.to_string())?;
        let name = self.gateways[index].name;
        self.record.line(&format!("gateway {name} has ended"));
        self.wait_until(at_ms);
        let settings = self.gateways[index].settings.clone();
        self.gateways[index].child = self.spawn(name, &settings).map_err(|error| error.to_string())?;
        self.record.line(&format!("gateway {name} starts again"));
        Ok(())
    }

    /// Waits until all gateways say that they are ready.
    pub fn wait_ready(&self) -> Result<(), String> {
        let started = Instant::now();
        for gateway in &self.gateways {
            loop {
                let limit = Duration::from_secs(1);
                let line = "GET /-/readyz HTTP/1.1";
                let answer =
                    call(gateway.readiness, line, &[("Host", "probe"), ("Connection", "close")], b"", limit);
                if answer.is_ok_and(|answer| answer.status() == 200) {
                    break;
                }
                if started.elapsed() > Duration::from_secs(20) {
                    return Err(format!("gateway {} is not ready after 20 s", gateway.name));
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        self.record.line("all gateways are ready");
        Ok(())
    }

    /// Returns a caller of a gateway.
    pub fn caller(&self, gateway: usize) -> Caller {
        let gateway = &self.gateways[gateway];
        Caller { record: self.record.clone(), gateway: gateway.name, address: gateway.callers }
    }

    /// Waits until a time of the case, in milliseconds.
    pub fn wait_until(&self, at_ms: u64) {
        std::thread::sleep(Duration::from_millis(at_ms.saturating_sub(self.record.now_ms())));
    }

    /// Prints what the gateways log about a replica.
    pub fn copy_log_lines(&self, id: &str) {
        for gateway in &self.gateways {
            let path = self.folder.join(format!("{}.log", gateway.name));
            let text = std::fs::read_to_string(path).unwrap_or_default();
            let is_about = |line: &&str| line.contains("event=endpoint_") && line.contains(id);
            for line in text.lines().filter(is_about) {
                self.record.line(&format!("log of {}: {line}", gateway.name));
            }
        }
    }
}

/// A client of one gateway. Each request is an attempt of its own on a new connection.
#[derive(Clone)]
pub struct Caller {
    record: Record,
    gateway: &'static str,
    address: SocketAddr,
}

impl Caller {
    /// Sends a request and returns the status of its answer; 0 if there was none.
    pub fn send(&self, kind: &str, attempt: &str, work_ms: u64) -> u16 {
        self.exchange(kind, attempt, work_ms, attempt.as_bytes()).map_or(0, |answer| answer.status())
    }

    /// Sends a request and returns its answer, or why there was none.
    pub fn exchange(&self, kind: &str, attempt: &str, work_ms: u64, body: &[u8]) -> Result<Message, String> {
        let (deadline, work) = (DEADLINE_MS.to_string(), work_ms.to_string());
        let first_line = format!("POST /{kind}/2f HTTP/1.1");
        let headers = [
            ("Host", "desk.example"),
            ("Attempt-Id", attempt),
            ("Deadline-Ms", deadline.as_str()),
            ("Key", KEY),
            ("Work-Ms", work.as_str()),
            ("Connection", "close"),
        ];
        self.record.line(&format!("caller sends {kind} {attempt} to {}", self.gateway));
        let limit = Duration::from_millis(DEADLINE_MS + 500);
        let answer = call(self.address, &first_line, &headers, body, limit);
        let text = match &answer {
            Ok(answer) => format!("gets {:?} and {} bytes", answer.first_line, answer.body.len()),
            Err(error) => format!("gets no answer: {error}"),
        };
        self.record.line(&format!("caller of {kind} {attempt} {text}"));
        answer
    }
}
