//! A replica of a plain service. It writes its entry into the store, runs requests one at a time on each connection, and
//! says in all its answers when it is leaving.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::fleet::Record;
use crate::net::{Message, read_body, read_head, write_message};
use crate::store::Store;

/// Interval at which a replica writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
pub const SLOTS: usize = 6;

#[derive(Default)]
struct Flags {
    /// Answers announce the departure.
    leaving: AtomicBool,
    /// The entry says `draining`.
    draining: AtomicBool,
    /// The entry is no longer written.
    silent: AtomicBool,
    /// The next answer to a request that ran has a status that does not exist.
    spoils_next: AtomicBool,
    /// The process of the replica has ended.
    ended: AtomicBool,
    /// The next answer comes early and without a length, and the connection is reset in the middle of it.
    resets_next: AtomicBool,
}

/// A request that began to run: milliseconds since the start of the case, attempt id.
pub type Arrival = (u64, String);

/// Size of the body of an answer, in bytes.
const ANSWER_BYTES: usize = 800;

/// Returns the whole body of an answer.
pub fn answer_body(signature: &str) -> String {
    format!("{signature:.<ANSWER_BYTES$}")
}

#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub zone: String,
    pub address: SocketAddr,
    born_ms: u128,
    flags: Arc<Flags>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    running: Arc<Mutex<usize>>,
    /// Number of the last heartbeat.
    sequence: Arc<Mutex<u64>>,
    store: Store,
    record: Record,
}

impl Replica {
    pub fn start(id: &str, zone: &str, ip: &str, store: &Store, record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind(format!("{ip}:0"))?;
        let born_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let replica = Self {
            id: id.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr()?,
            born_ms,
            flags: Arc::default(),
            streams: Arc::default(),
            arrivals: Arc::default(),
            running: Arc::default(),
            sequence: Arc::default(),
            store: store.clone(),
            record: record.clone(),
        };
        let accepting = replica.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.flags.ended.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    accepting.streams.lock().unwrap().push(copy);
                }
                let replica = accepting.clone();
                std::thread::spawn(move || replica.serve(stream));
            }
        });
        let beating = replica.clone();
        std::thread::spawn(move || {
            while !beating.flags.silent.load(Ordering::SeqCst) {
                beating.write_entry();
                std::thread::sleep(HEARTBEAT);
            }
        });
        Ok(replica)
    }

    /// Writes the entry with the next heartbeat, unless it was removed.
    fn write_entry(&self) {
        let mut sequence = self.sequence.lock().unwrap();
        if self.flags.silent.load(Ordering::SeqCst) {
            return;
        }
        *sequence += 1;
        let state = if self.flags.draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let entry = format!(
            "{{\"backend\":\"desk\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"{state}\",\"cold_left_ms\":0,\"born\":{},\"sequence\":{sequence}}}",
            self.address, self.zone, self.born_ms
        );
        self.store.put("keyed.servers", &self.id, Some(&entry));
    }

    fn remove_entry(&self) {
        let _sequence = self.sequence.lock().unwrap();
        self.flags.silent.store(true, Ordering::SeqCst);
        self.store.put("keyed.servers", &self.id, None);
    }

    /// Begins to leave: says so in all answers and reports `draining`, and goes on with its heartbeats. Returns when the
    /// store has acknowledged the report.
    pub fn drain(&self) {
        self.flags.draining.store(true, Ordering::SeqCst);
        self.flags.leaving.store(true, Ordering::SeqCst);
        self.write_entry();
    }

    /// Begins to leave without a report: its entry is removed. Returns when the store has acknowledged that.
    pub fn leave_without_report(&self) {
        self.flags.leaving.store(true, Ordering::SeqCst);
        self.remove_entry();
    }

    /// Gives the next answer the status 000, so that its bytes are no response.
    pub fn spoil_next(&self) {
        self.flags.spoils_next.store(true, Ordering::SeqCst);
    }

    /// Ends the replica with all its connections, and removes its entry.
    pub fn exit(&self) {
        self.flags.ended.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, which then closes the listener.
        drop(TcpStream::connect(self.address));
        for stream in self.streams.lock().unwrap().drain(..) {
            drop(stream.shutdown(Shutdown::Both));
        }
        self.remove_entry();
    }

    /// Lets the next answer come before the body of the request is read, without a length, and end in a reset.
    pub fn reset_next(&self, resets: bool) {
        self.flags.resets_next.store(resets, Ordering::SeqCst);
    }

    /// Requests that began to run here.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        if stream.set_nodelay(true).is_err() {
            return;
        }
        while let Some(mut request) = read_head(&mut stream, &mut buffer) {
            if self.flags.resets_next.swap(false, Ordering::SeqCst) {
                return self.reset_within_answer(stream, &request);
            }
            if read_body(&mut stream, &mut buffer, &mut request).is_none()
                || self.flags.ended.load(Ordering::SeqCst)
            {
                return;
            }
            let attempt = request.header("Attempt-Id").unwrap_or_default().to_owned();
            let expected = request.header("Expect-Instance");
            let work_ms = request.header("Work-Ms").and_then(|work| work.parse().ok()).unwrap_or(60);
            let is_full = *self.running.lock().unwrap() >= SLOTS;
            let refusal = if expected.is_some_and(|expected| expected != self.id) {
                Some("HTTP/1.1 421 Misdirected Request")
            } else if is_full {
                Some("HTTP/1.1 503 Service Unavailable")
            } else {
                None
            };
            let running = {
                let mut running = self.running.lock().unwrap();
                *running += usize::from(refusal.is_none());
                *running
            };
            let load = format!("{running},0,{SLOTS}");
            if refusal.is_none() {
                let at_ms = self.record.now_ms();
                self.arrivals.lock().unwrap().push((at_ms, attempt.clone()));
                self.record.line(&format!("replica {} runs {attempt}", self.id));
                std::thread::sleep(Duration::from_millis(work_ms));
                *self.running.lock().unwrap() -= 1;
            }
            if self.flags.ended.load(Ordering::SeqCst) {
                self.record.line(&format!("replica {} has ended, {attempt} is cut off", self.id));
                return;
            }
            let signature = format!("{}.{attempt}", self.id);
            let mut headers = vec![("Attempt-Id", attempt.as_str()), ("Instance-Load", load.as_str())];
            headers.push(("Keep-Alive", "timeout=10"));
            if refusal.is_some() {
                headers.push(("Not-Executed", "1"));
            } else {
                headers.push(("Server-Signature", signature.as_str()));
            }
            if self.flags.leaving.load(Ordering::SeqCst) {
                headers.push(("Server-Leaving", "1"));
            }
            let mut first_line = refusal.unwrap_or("HTTP/1.1 200 OK");
            if refusal.is_none() && self.flags.spoils_next.swap(false, Ordering::SeqCst) {
                first_line = "HTTP/1.1 000 ?";
                self.record.line(&format!("replica {} spoils the answer to {attempt}", self.id));
            }
            if write_message(&mut stream, first_line, &headers, answer_body(&signature).as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Sends the head and half of the body of an answer without a length, and closes the connection while most of the
    /// request is unread, which resets it.
    fn reset_within_answer(&self, mut stream: TcpStream, request: &Message) {
        let attempt = request.header("Attempt-Id").unwrap_or_default();
        self.record.line(&format!("replica {} runs {attempt}", self.id));
        std::thread::sleep(Duration::from_millis(60));
        let signature = format!("{}.{attempt}", self.id);
        let body = answer_body(&signature);
        let half = &body[..body.len() / 2];
        let answer = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Signature: {signature}\r\n\r\n{half}"
        );
        let own = stream.peer_addr().ok();
        self.streams.lock().unwrap().retain(|copy| copy.peer_addr().ok() != own);
        let written = stream.write_all(answer.as_bytes());
        drop(stream);
        let sent = if written.is_ok() { half.len() } else { 0 };
        self.record.line(&format!(
            "replica {} resets after {sent} of {} bytes of the answer to {attempt}",
            self.id,
            body.len()
        ));
    }
}
