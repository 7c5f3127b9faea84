//! Stand-ins for the platform of the users' pages, with the standard library only: the store, plain servers, clients, and
//! the start of gateway processes with the settings of the deploy file.

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Lines of `record.txt`, each with the milliseconds since the start.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Self> {
        Arc::new(Self { file: Mutex::new(File::create(path).expect("record.txt")), start: Instant::now() })
    }

    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.now_ms());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

// ---------------------------------------------------------------- HTTP

pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read ahead.
pub struct Link {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Link {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, ahead: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 65_536];
        let size = self.stream.read(&mut part)?;
        self.ahead.extend_from_slice(&part[..size]);
        Ok(size)
    }

    /// Reads a message whose body has a length, is chunked, or (answers only) ends with the connection.
    pub fn read(&mut self, is_answer: bool) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.ahead.windows(4).position(|part| part == b"\r\n\r\n") {
                break at + 4;
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        };
        let head = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
        self.ahead.drain(..end);
        let mut lines = head.lines();
        let first = lines.next().unwrap_or_default().to_owned();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':').map(|(name, value)| (name.to_owned(), value.trim().to_owned())))
            .collect();
        let mut message = Message { first, headers, body: Vec::new(), complete: true };
        if let Some(size) = message.header("content-length").and_then(|size| size.parse::<usize>().ok()) {
            while self.ahead.len() < size {
                if self.fill()? == 0 {
                    message.complete = false;
                    break;
                }
            }
            let size = size.min(self.ahead.len());
            message.body = self.ahead.drain(..size).collect();
        } else if message.header("transfer-encoding").is_some() {
            loop {
                let Some(at) = self.ahead.windows(2).position(|part| part == b"\r\n") else {
                    if self.fill()? == 0 {
                        message.complete = false;
                        break;
                    }
                    continue;
                };
                let size = usize::from_str_radix(String::from_utf8_lossy(&self.ahead[..at]).trim(), 16).unwrap_or(0);
                while self.ahead.len() < at + 2 + size + 2 {
                    if self.fill()? == 0 {
                        message.complete = false;
                        return Ok(Some(message));
                    }
                }
                message.body.extend_from_slice(&self.ahead[at + 2..at + 2 + size]);
                self.ahead.drain(..at + 2 + size + 2);
                if size == 0 {
                    break;
                }
            }
        } else if is_answer {
            while self.fill()? > 0 {}
            message.body = std::mem::take(&mut self.ahead);
        }
        Ok(Some(message))
    }
}

pub fn answer(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} Any\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    out.extend_from_slice(body);
    out
}

/// Serves each connection to a new loopback port on a thread of its own.
pub fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || serve(stream));
        }
    });
    address
}

/// Returns a port that is free for TCP and UDP, below those that the system gives to outgoing connections, and another one
/// each time.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    const FIRST: u64 = 20_000;
    const COUNT: u64 = 12_000;
    let start = u64::from(std::process::id()) * 97;
    for _ in 0..COUNT {
        let port = FIRST + (start + NEXT.fetch_add(1, Ordering::Relaxed)) % COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no port is free");
}

// ---------------------------------------------------------------- the platform's store

#[derive(Clone, Copy, PartialEq)]
pub enum Service {
    Serves,
    /// Answers 503: it turns the gateways away and goes on to serve the operator and the servers.
    TurnsAway,
}

struct Topic {
    records: Vec<Vec<u8>>,
    written: Vec<Instant>,
    newest: Vec<(String, Vec<u8>, u64)>,
}

/// The log of the pages, as far as gateways use it. Each answer takes 4 ms; a read returns 1,024 KB at most.
pub struct Store {
    topics: Mutex<HashMap<String, Topic>>,
    changed: Condvar,
    service: Mutex<Service>,
    /// The era that all answers state.
    era: AtomicU64,
    pub reads: AtomicU64,
    record: Arc<Record>,
}

const ANSWER_MS: u64 = 4;
const MAX_KB: usize = 1_024;
const PAGE: usize = 500;
/// The history that the sheets of the sites name.
const HISTORY: Duration = Duration::from_secs(20);

impl Store {
    pub fn start(record: &Arc<Record>) -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self {
            topics: Mutex::default(),
            changed: Condvar::new(),
            service: Mutex::new(Service::Serves),
            era: AtomicU64::new(1),
            reads: AtomicU64::new(0),
            record: Arc::clone(record),
        });
        let served = Arc::clone(&store);
        (store, listen(move |stream| served.serve(Link::new(stream), true)))
    }

    pub fn set_service(&self, service: Service) {
        *self.service.lock().unwrap() = service;
        self.changed.notify_all();
    }

    /// Opens a further address of the store, which goes on to serve when the first one turns gateways away.
    pub fn serve_others(self: &Arc<Self>) -> SocketAddr {
        let served = Arc::clone(self);
        listen(move |stream| served.serve(Link::new(stream), false))
    }

    /// Writes a record of the operator or of a server, which is acknowledged when this returns.
    pub fn put(&self, topic: &str, key: &str, value: Option<&[u8]>) {
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_insert(Topic { records: Vec::new(), written: Vec::new(), newest: Vec::new() });
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.unwrap_or_default());
        assert!(record.len() <= 262_144, "max_record_bytes: {}", record.len());
        let offset = topic.records.len() as u64;
        topic.records.push(record);
        topic.written.push(Instant::now());
        topic.newest.retain(|(known, ..)| known != key);
        if let Some(value) = value {
            topic.newest.push((key.to_owned(), value.to_vec(), offset));
            topic.newest.sort();
        }
        self.changed.notify_all();
    }

    /// Comes back from a copy of this age: what was written since is gone, and its offsets are given out again.
    pub fn restore(&self, age: Duration) {
        let mut topics = self.topics.lock().unwrap();
        for topic in topics.values_mut() {
            let kept = topic.written.partition_point(|at| at.elapsed() >= age);
            topic.records.truncate(kept);
            topic.written.truncate(kept);
            let mut newest: Vec<(String, Vec<u8>, u64)> = Vec::new();
            for (offset, record) in topic.records.iter().enumerate() {
                let (key, value) = record[1..].split_at(record[0].into());
                let key = String::from_utf8_lossy(key).into_owned();
                newest.retain(|(known, ..)| *known != key);
                if !value.is_empty() {
                    newest.push((key, value.to_vec(), offset as u64));
                }
            }
            newest.sort();
            topic.newest = newest;
        }
        self.era.fetch_add(1, Ordering::Relaxed);
        self.changed.notify_all();
    }

    fn serve(&self, mut link: Link, may_turn_away: bool) {
        while let Ok(Some(request)) = link.read(false) {
            let target = request.first.split(' ').nth(1).unwrap_or_default().to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let query: HashMap<&str, &str> = query.split('&').filter_map(|pair| pair.split_once('=')).collect();
            thread::sleep(ms(ANSWER_MS));
            let reply = if self.turns_away(may_turn_away) {
                answer(503, "", b"")
            } else {
                match path {
                    "/-/log-newest" => self.newest(&query),
                    "/-/log-read" => self.read(&query, may_turn_away),
                    "/-/log-join" => {
                        answer(200, "Content-Type: application/json\r\n", br#"{"group_epoch":1,"ttl_ms":2000,"parts":[]}"#)
                    }
                    _ => answer(200, "Content-Type: application/json\r\n", b"{}"),
                }
            };
            let era = format!("Store-Era: {}\r\n", self.era.load(Ordering::Relaxed));
            let line_end = reply.windows(2).position(|part| part == b"\r\n").map_or(0, |at| at + 2);
            let mut stated = reply[..line_end].to_vec();
            stated.extend_from_slice(era.as_bytes());
            stated.extend_from_slice(&reply[line_end..]);
            if link.stream.write_all(&stated).is_err() {
                return;
            }
        }
    }

    fn newest(&self, query: &HashMap<&str, &str>) -> Vec<u8> {
        let topics = self.topics.lock().unwrap();
        let after = query.get("after").copied().unwrap_or_default();
        let (mut rows, mut bytes, mut has_more, mut end) = (Vec::new(), 0, false, 0);
        if let Some(topic) = topics.get(query.get("topic").copied().unwrap_or_default()) {
            end = topic.records.len();
            for (key, value, offset) in topic.newest.iter().filter(|(key, ..)| key.as_str() > after) {
                if rows.len() == PAGE || bytes + value.len() > 1 << 20 {
                    has_more = true;
                    break;
                }
                bytes += value.len();
                rows.push(format!(r#"{{"key":"{key}","data":"{}","offset":{offset}}}"#, base64(value)));
            }
        }
        let body = format!(r#"{{"entries":[{}],"has_more":{has_more},"end_offset":{end}}}"#, rows.join(","));
        answer(200, "Content-Type: application/json\r\n", body.as_bytes())
    }

    fn turns_away(&self, may_turn_away: bool) -> bool {
        may_turn_away && *self.service.lock().unwrap() == Service::TurnsAway
    }

    fn read(&self, query: &HashMap<&str, &str>, may_turn_away: bool) -> Vec<u8> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let limit = number("max_kb").map_or(MAX_KB, |kb| kb as usize) * 1_024;
        let until = Instant::now() + ms(number("wait_ms").unwrap_or(0));
        let name = query.get("topic").copied().unwrap_or_default().to_owned();
        let mut topics = self.topics.lock().unwrap();
        loop {
            let end = topics.get(&name).map_or(0, |topic| topic.records.len());
            let left = until.saturating_duration_since(Instant::now());
            if from < end || left.is_zero() || self.turns_away(may_turn_away) {
                break;
            }
            topics = self.changed.wait_timeout(topics, left.min(ms(50))).unwrap().0;
        }
        if self.turns_away(may_turn_away) {
            return answer(503, "", b"");
        }
        let first = topics.get(&name).map_or(0, |topic| topic.written.partition_point(|at| at.elapsed() > HISTORY));
        if from < first || from > topics.get(&name).map_or(0, |topic| topic.records.len()) {
            self.record.line(&format!("store: read of {name} from {from} gets 410, the first retained offset is {first}"));
            return answer(410, "Content-Type: application/json\r\n", format!(r#"{{"start_offset":{first}}}"#).as_bytes());
        }
        let mut body = Vec::new();
        let empty = Vec::new();
        let records = topics.get(&name).map_or(&empty, |topic| &topic.records);
        body.extend_from_slice(&(records.len() as u64).to_be_bytes());
        body.extend_from_slice(&(first as u64).to_be_bytes());
        let mut count = 0;
        for record in records.iter().skip(from) {
            if count > 0 && body.len() + 4 + record.len() > limit {
                break;
            }
            body.extend_from_slice(&(record.len() as u32).to_be_bytes());
            body.extend_from_slice(record);
            count += 1;
        }
        if name == "keyed.op" && count > 0 {
            let end = records.len();
            self.record.line(&format!("store: read of keyed.op from {from} returns {count} records, the end is {end}"));
        }
        drop(topics);
        answer(200, "Content-Type: application/octet-stream\r\n", &body)
    }
}

fn base64(data: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(data.len() / 3 * 4 + 4);
    for part in data.chunks(3) {
        let word = (u32::from(part[0]) << 16)
            | (u32::from(*part.get(1).unwrap_or(&0)) << 8)
            | u32::from(*part.get(2).unwrap_or(&0));
        for digit in 0..4 {
            let index = (word >> (18 - 6 * digit)) & 63;
            out.push(if digit <= part.len() { DIGITS[index as usize] as char } else { '=' });
        }
    }
    out
}

// ---------------------------------------------------------------- a plain server

/// A request that a server has run.
#[derive(Clone)]
pub struct Run {
    pub id: String,
    pub tenant: String,
    pub at: Instant,
}

/// A server of a plain service. It runs each request that names it, for some ms, and answers 200.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub born_ms: u64,
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// The server is leaving, and says so in all its answers.
    pub leaving: Arc<AtomicBool>,
    /// The process has ended: connections break off, also those that wait for an answer.
    pub ended: Arc<AtomicBool>,
}

impl Server {
    pub fn start(id: &str, work: Duration) -> Self {
        let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
        let (leaving, ended): (Arc<AtomicBool>, Arc<AtomicBool>) = Default::default();
        let (kept, name) = (Arc::clone(&runs), id.to_owned());
        let (is_leaving, has_ended) = (Arc::clone(&leaving), Arc::clone(&ended));
        let address = listen(move |stream| {
            let mut link = Link::new(stream);
            while let Ok(Some(request)) = link.read(false) {
                if has_ended.load(Ordering::Relaxed) {
                    return;
                }
                let id = request.header("attempt-id").unwrap_or_default().to_owned();
                let reply = if request.header("expect-instance").is_some_and(|expected| expected != name) {
                    answer(421, &format!("Attempt-Id: {id}\r\nNot-Executed: 1\r\n"), b"")
                } else {
                    let tenant = request.header("tenant").unwrap_or_default().to_owned();
                    kept.lock().unwrap().push(Run { id: id.clone(), tenant, at: Instant::now() });
                    thread::sleep(work);
                    if has_ended.load(Ordering::Relaxed) {
                        return;
                    }
                    let leaves = if is_leaving.load(Ordering::Relaxed) { "Server-Leaving: 1\r\n" } else { "" };
                    let headers = format!(
                        "Attempt-Id: {id}\r\nServer-Signature: sig.{id}\r\nInstance-Load: 1,0,6\r\nKeep-Alive: timeout=20\r\n{leaves}"
                    );
                    answer(200, &headers, b"done")
                };
                if link.stream.write_all(&reply).is_err() {
                    return;
                }
            }
        });
        let born_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        Self { id: id.to_owned(), address, born_ms, runs, leaving, ended }
    }

    pub fn entry(&self, service: &str, state: &str, beat: u64) -> String {
        format!(
            r#"{{"backend":"{service}","address":"{}","zone":"arima","version":1,"slots":6,"state":"{state}","cold_left_ms":0,"sequence":{beat},"born":{}}}"#,
            self.address, self.born_ms
        )
    }
}

// ---------------------------------------------------------------- a gateway process

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;
const RLIMIT_NOFILE: i32 = 7;

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
    fn setrlimit(resource: i32, limit: *const u64) -> i32;
}

/// Ends the case as one that could not run, in case it hangs.
pub fn start_watchdog() {
    thread::spawn(|| {
        thread::sleep(ms(118_000));
        std::process::exit(2);
    });
}

/// Limits of a machine and the bounds of its site, by the site's sheet.
pub struct Machine {
    pub max_fds: u64,
    pub memory_mb: u64,
    pub config_apply_ms: u64,
    pub drain_ms: u64,
    pub stall_ms: u64,
    pub retry_allowance: u64,
}

pub const CCSTA_BANYAN: Machine = Machine {
    max_fds: 4_200,
    memory_mb: 260,
    config_apply_ms: 2_000,
    drain_ms: 2_000,
    stall_ms: 2_000,
    retry_allowance: 196,
};

pub struct Gateway {
    pub child: Child,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Gateway {
    /// Starts the program of the deploy file with the settings of its template, filled with the bounds of the site.
    pub fn start(name: &str, folder: &Path, store: SocketAddr, peers: SocketAddr, seeds: &[SocketAddr]) -> Self {
        Self::start_on(&CCSTA_BANYAN, name, folder, store, peers, seeds)
    }

    /// Starts a gateway on a machine of a site.
    pub fn start_on(
        machine: &Machine,
        name: &str,
        folder: &Path,
        store: SocketAddr,
        peers: SocketAddr,
        seeds: &[SocketAddr],
    ) -> Self {
        let (callers, readiness, metrics) = (free_address(), free_address(), free_address());
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let settings = format!(
            "instance = \"{name}\"\nzone = \"arima\"\ncallers = \"{callers}\"\nreadiness = \"{readiness}\"\npeers = \"{peers}\"\n\
             metrics = \"{metrics}\"\nstore = \"{store}\"\nseeds = [{}]\nheartbeat_ms = 1200\nrevoke_ms = 5000\n\
             strict_revocation = true\nconfig_apply_ms = {}\ndrain_ms = {}\ngrace_s = 8\nstall_ms = {}\n\
             retry_ratio = 0.2\nretry_window_s = 10\nretry_allowance = {}\ngroup_ttl_least_ms = 1000\n\
             group_partitions = 32\ndescriptors = {}\nmemory_mb = {}\n",
            seeds.join(","),
            machine.config_apply_ms,
            machine.drain_ms,
            machine.stall_ms,
            machine.retry_allowance,
            machine.max_fds,
            machine.memory_mb
        );
        let path: PathBuf = folder.join(format!("{name}.toml"));
        std::fs::write(&path, settings).expect("the settings file");
        let log = File::create(folder.join(format!("{name}.log"))).expect("the log");
        let max_fds = machine.max_fds;
        let mut command = Command::new("target/release/banyannotch-gateway");
        command
            .arg(format!("--settings={}", path.display()))
            .stdout(Stdio::from(log.try_clone().expect("the log")))
            .stderr(Stdio::from(log));
        // The gateway ends with this process, however it ends, and has the descriptors of its machine.
        // SAFETY: the calls between fork and exec are plain system calls.
        unsafe {
            command.pre_exec(move || {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                let limit = [max_fds; 2];
                setrlimit(RLIMIT_NOFILE, limit.as_ptr());
                Ok(())
            });
        }
        Self { child: command.spawn().expect("the gateway"), callers, readiness }
    }

    pub fn is_ready(&self) -> bool {
        let exchange = || -> io::Result<u16> {
            let mut link = Link::new(TcpStream::connect(self.readiness)?);
            link.stream.set_read_timeout(Some(ms(1_000)))?;
            link.stream.write_all(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
            Ok(link.read(true)?.map_or(0, |answer| answer.status()))
        };
        exchange().is_ok_and(|status| status == 200)
    }

    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + ms(10_000);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(ms(50));
        }
        false
    }
}

// ---------------------------------------------------------------- clients

/// Sends one request and reads its answer, on a connection that stays open.
pub fn exchange(link: &mut Link, head: &str, body: &[u8]) -> io::Result<Option<Message>> {
    let mut out = format!("{head}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    out.extend_from_slice(body);
    link.stream.write_all(&out)?;
    link.read(true)
}

pub fn connect(address: SocketAddr) -> io::Result<Link> {
    let stream = TcpStream::connect_timeout(&address, ms(1_000))?;
    stream.set_read_timeout(Some(ms(10_000)))?;
    Ok(Link::new(stream))
}

pub struct Stop(pub AtomicBool);

impl Stop {
    pub fn new() -> Arc<Self> {
        Arc::new(Self(AtomicBool::new(false)))
    }

    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    pub fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Writes the entries of servers again and again, as they do themselves.
pub fn beat(store: &Arc<Store>, servers: Vec<Arc<Server>>, service: &'static str, stop: &Arc<Stop>) {
    let (store, stop) = (Arc::clone(store), Arc::clone(stop));
    thread::spawn(move || {
        let mut beat = 1;
        while !stop.is_set() {
            for server in &servers {
                store.put("keyed.servers", &server.id, Some(server.entry(service, "ready", beat).as_bytes()));
            }
            beat += 1;
            thread::sleep(ms(1_200));
        }
    });
}
