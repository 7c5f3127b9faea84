//! The platform's metadata store: the topics of the operator and of the servers, and the group of the gateways.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::net::{Message, read_message, write_message};

#[derive(Default)]
struct Topic {
    records: Vec<(String, Option<Vec<u8>>)>,
    newest: BTreeMap<String, (usize, Vec<u8>)>,
    /// Offset of the first record that can still be read.
    first_offset: usize,
    /// Number of reads that were answered.
    reads: usize,
}

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Topic>,
    /// Member of the group that holds all partitions, and when it was last heard of.
    owner: Option<(String, Instant, Duration)>,
    epoch: u64,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(ip: &str) -> std::io::Result<Self> {
        let listener = TcpListener::bind(format!("{ip}:0"))?;
        let store = Self { state: Arc::default(), address: listener.local_addr()? };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a record, or deletes the key. The return is the store's acknowledgement.
    pub fn put(&self, topic: &str, key: &str, value: Option<&str>) {
        let mut state = self.state.0.lock().unwrap();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        let offset = topic.records.len();
        let value = value.map(|value| value.as_bytes().to_vec());
        match &value {
            Some(value) => topic.newest.insert(key.to_owned(), (offset, value.clone())),
            None => topic.newest.remove(key),
        };
        topic.records.push((key.to_owned(), value));
        self.state.1.notify_all();
    }

    /// Forgets the history of a topic. The newest record of each key stays.
    pub fn forget_history(&self, topic: &str) {
        let mut state = self.state.0.lock().unwrap();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.first_offset = topic.records.len();
        self.state.1.notify_all();
    }

    /// Waits until a read of the topic has been answered.
    pub fn wait_for_read(&self, topic: &str) {
        let reads = |state: &State| state.topics.get(topic).map_or(0, |topic| topic.reads);
        let state = self.state.0.lock().unwrap();
        let before = reads(&state);
        let limit = Duration::from_secs(5);
        drop(self.state.1.wait_timeout_while(state, limit, |state| reads(state) == before).unwrap());
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        if stream.set_nodelay(true).is_err() {
            return;
        }
        while let Some(request) = read_message(&mut stream, &mut buffer) {
            let (status, kind, body) = self.answer(&request);
            let first_line = format!("HTTP/1.1 {status} X");
            if write_message(&mut stream, &first_line, &[("Content-Type", kind)], &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, &'static str, Vec<u8>) {
        const JSON: &str = "application/json";
        let (_, target) = request.request();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let fields = query.split('&').filter_map(|field| field.split_once('='));
            fields.filter(|(known, _)| *known == name).map(|(_, value)| value.to_owned()).next()
        };
        let number = |name: &str| field(name).and_then(|value| value.parse::<usize>().ok()).unwrap_or(0);
        let topic_name = field("topic").unwrap_or_default();
        let body = String::from_utf8_lossy(&request.body).into_owned();
        match path {
            "/-/log-newest" => {
                let mut state = self.state.0.lock().unwrap();
                let topic = state.topics.entry(topic_name).or_default();
                topic.reads += 1;
                let rows: Vec<String> = topic
                    .newest
                    .iter()
                    .map(|(key, (offset, value))| {
                        format!("{{\"key\":\"{key}\",\"data\":\"{}\",\"offset\":{offset}}}", base64(value))
                    })
                    .collect();
                let end = topic.records.len();
                self.state.1.notify_all();
                let rows = rows.join(",");
                let text = format!("{{\"entries\":[{rows}],\"has_more\":false,\"end_offset\":{end}}}");
                (200, JSON, text.into_bytes())
            }
            "/-/log-read" => {
                let (from, wait_ms) = (number("from"), number("wait_ms"));
                let has_news = |state: &State| {
                    let topic = state.topics.get(&topic_name);
                    topic.is_some_and(|topic| topic.records.len() > from || topic.first_offset > from)
                };
                let state = self.state.0.lock().unwrap();
                let limit = Duration::from_millis(wait_ms as u64);
                let waited = self.state.1.wait_timeout_while(state, limit, |state| !has_news(state));
                let (mut state, _) = waited.unwrap();
                let topic = state.topics.entry(topic_name.clone()).or_default();
                topic.reads += 1;
                self.state.1.notify_all();
                if from < topic.first_offset {
                    let text = format!("{{\"start_offset\":{}}}", topic.first_offset);
                    return (410, JSON, text.into_bytes());
                }
                let mut out = Vec::new();
                out.extend_from_slice(&(topic.records.len() as u64).to_be_bytes());
                out.extend_from_slice(&(topic.first_offset as u64).to_be_bytes());
                for (key, value) in topic.records.iter().skip(from) {
                    let value = value.as_deref().unwrap_or_default();
                    out.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
                    out.push(key.len() as u8);
                    out.extend_from_slice(key.as_bytes());
                    out.extend_from_slice(value);
                }
                (200, "application/octet-stream", out)
            }
            "/-/log-join" => {
                let member = json_text(&body, "member_id").unwrap_or_default();
                let ttl_ms = json_number(&body, "ttl_ms").unwrap_or(2_000);
                let mut state = self.state.0.lock().unwrap();
                let now = Instant::now();
                let expired = |(_, seen, ttl): &(String, Instant, Duration)| now > *seen + *ttl;
                if state.owner.as_ref().is_none_or(expired) {
                    state.owner = None;
                    state.epoch += 1;
                }
                let owner = state.owner.get_or_insert((member.clone(), now, Duration::ZERO));
                let owns = owner.0 == member;
                if owns {
                    (owner.1, owner.2) = (now, Duration::from_millis(ttl_ms));
                }
                let rows: Vec<String> =
                    (0..32).filter(|_| owns).map(|part| format!("[\"layers\",{part},0]")).collect();
                let (epoch, rows) = (state.epoch, rows.join(","));
                let text = format!("{{\"group_epoch\":{epoch},\"ttl_ms\":{ttl_ms},\"parts\":[{rows}]}}");
                (200, JSON, text.into_bytes())
            }
            "/-/log-leave" => {
                let member = json_text(&body, "member_id").unwrap_or_default();
                let mut state = self.state.0.lock().unwrap();
                if state.owner.as_ref().is_some_and(|owner| owner.0 == member) {
                    state.owner = None;
                    state.epoch += 1;
                }
                (200, JSON, b"{}".to_vec())
            }
            _ => (404, JSON, b"{}".to_vec()),
        }
    }
}

fn json_text(body: &str, name: &str) -> Option<String> {
    let (_, rest) = body.split_once(&format!("\"{name}\":\""))?;
    rest.split('"').next().map(str::to_owned)
}

fn json_number(body: &str, name: &str) -> Option<u64> {
    let (_, rest) = body.split_once(&format!("\"{name}\":"))?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

fn base64(data: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in data.chunks(3) {
        let bytes = [chunk[0], *chunk.get(1).unwrap_or(&0), *chunk.get(2).unwrap_or(&0)];
        let word = u32::from_be_bytes([0, bytes[0], bytes[1], bytes[2]]);
        for index in 0..4 {
            if index <= chunk.len() {
                out.push(char::from(DIGITS[(word >> (18 - 6 * index)) as usize & 63]));
            } else {
                out.push('=');
            }
        }
    }
    out
}
