//! The platform's store: the newest record of each key, long-polling reads, and a consumer group with one
//! partition.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::{FILLER_CHUNK, encode_response, listen, read_request, split_stream, write_without_end};

/// A fault of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Responds with status 503.
    Down,
    /// Responds with status 429.
    RateExceeded,
    /// Sends no response and keeps the connection open; also holds back responses that are being prepared.
    Silent,
    /// Closes a connection when it receives a request.
    Reset,
    /// Executes requests but sends no response, and keeps the connection open.
    AnswerLost,
    /// Sends a head without end until the connection is closed.
    EndlessHead,
    /// Sends a body without end until the connection is closed.
    EndlessBody,
}

#[derive(Default)]
struct Topic {
    records: Vec<(String, Option<Vec<u8>>)>,
    /// When each record was written.
    written: Vec<Instant>,
    /// Offset of the first record that can still be read.
    first_offset: usize,
}

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Topic>,
    fault: StoreFault,
    /// Value of the header `Store-Era` of all responses; none for a store that does not send it.
    era: Option<String>,
    /// Member of the consumer group that owns the partition.
    owner: Option<String>,
    /// Generation of the consumer group, which grows with each new owner.
    generation: u64,
    /// Generations that members stated in requests to join the group.
    joins: Vec<u64>,
    /// Number of executed `log-read` requests.
    reads: usize,
    /// Maximum number of records in a page of `log-newest`; none for all records in one page.
    page_limit: Option<usize>,
    /// Key whose record `log-newest` returns with `data` that is no Base64.
    spoiled_key: Option<String>,
}

/// A store in the test's own process.
#[derive(Clone)]
pub struct Store {
    state: Rc<RefCell<State>>,
    changed: Rc<Notify>,
    /// Address that the store listens on.
    pub address: SocketAddr,
}

impl Store {
    /// Starts an empty store.
    ///
    /// # Errors
    /// Returns the error of the operating system when it cannot listen.
    pub fn start() -> std::io::Result<Self> {
        let state: Rc<RefCell<State>> = Rc::default();
        let changed: Rc<Notify> = Rc::default();
        let (shared, notify) = (Rc::clone(&state), Rc::clone(&changed));
        let address = listen(move |stream| serve(Rc::clone(&shared), Rc::clone(&notify), stream))?;
        Ok(Self { state, changed, address })
    }

    /// Writes the configuration document of the operator.
    pub fn put_configuration(&self, document: &Value) {
        self.put("keyed.op", "config", Some(document.to_string().into_bytes()));
    }

    /// Writes the entry of an endpoint, or deletes it if `entry` is `None`.
    pub fn put_endpoint(&self, id: &str, entry: Option<&Value>) {
        self.put("keyed.servers", id, entry.map(|entry| entry.to_string().into_bytes()));
    }

    /// Writes arbitrary bytes, which need not be a valid entry, as the entry of an endpoint.
    pub fn put_bytes(&self, id: &str, bytes: &[u8]) {
        self.put("keyed.servers", id, Some(bytes.to_vec()));
    }

    /// Sets the fault that is in effect from now on.
    pub fn set_fault(&self, fault: StoreFault) {
        self.state.borrow_mut().fault = fault;
        self.changed.notify_waiters();
    }

    /// Makes all current offsets unreadable; the newest record of each key stays available to `log-newest`.
    pub fn compact(&self) {
        for topic in self.state.borrow_mut().topics.values_mut() {
            topic.first_offset = topic.records.len();
        }
    }

    /// Makes all responses carry this value as the header `Store-Era`; none for no header.
    pub fn set_era(&self, era: Option<&str>) {
        self.state.borrow_mut().era = era.map(str::to_owned);
    }

    /// Replaces the content by a copy that is this old, as a return from a backup does: later records are lost, their
    /// offsets are assigned again, the consumer group has no members, and the era in `Store-Era` rises by one.
    pub fn rewind(&self, age: Duration) {
        let mut state = self.state.borrow_mut();
        let copied_at = Instant::now().checked_sub(age);
        for topic in state.topics.values_mut() {
            let kept = copied_at.map_or(0, |at| topic.written.partition_point(|written| *written <= at));
            topic.records.truncate(kept);
            topic.written.truncate(kept);
            topic.first_offset = topic.first_offset.min(kept);
        }
        let era = state.era.as_deref().and_then(|era| era.parse::<u64>().ok()).unwrap_or_default();
        state.era = Some((era + 1).to_string());
        (state.owner, state.generation) = (None, 0);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns the generations that members stated in requests to join the group.
    pub fn joins(&self) -> Vec<u64> {
        self.state.borrow().joins.clone()
    }

    /// Limits the number of records in a page of `log-newest`.
    pub fn set_page_limit(&self, records: usize) {
        self.state.borrow_mut().page_limit = Some(records);
    }

    /// Makes `log-newest` return the record of this key with `data` that is no Base64.
    pub fn spoil_newest(&self, key: &str) {
        self.state.borrow_mut().spoiled_key = Some(key.to_owned());
    }

    /// Returns the number of `log-read` requests that were executed.
    pub fn reads(&self) -> usize {
        self.state.borrow().reads
    }

    fn put(&self, topic: &str, key: &str, value: Option<Vec<u8>>) {
        let mut state = self.state.borrow_mut();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.records.push((key.to_owned(), value));
        topic.written.push(Instant::now());
        drop(state);
        self.changed.notify_waiters();
    }
}

async fn serve(state: Rc<RefCell<State>>, changed: Rc<Notify>, stream: TcpStream) {
    let Ok((mut reader, mut writer)) = split_stream(stream) else { return };
    while let Some((head, body)) = read_request(&mut reader).await {
        let fault = state.borrow().fault;
        let out = match fault {
            StoreFault::None => respond(&state, &changed, &head.target, &body).await,
            StoreFault::Down => encode_response(503, &era_header(&state.borrow()), b""),
            StoreFault::RateExceeded => encode_response(429, &era_header(&state.borrow()), b""),
            StoreFault::Reset => return,
            StoreFault::EndlessHead => {
                let head = b"HTTP/1.1 200 Any\r\nX-Filler: ";
                write_without_end(head, b"xxxxxxxxxxxxxxxx", &mut writer).await;
                return;
            }
            StoreFault::EndlessBody => {
                let head = b"HTTP/1.1 200 Any\r\nTransfer-Encoding: chunked\r\n\r\n";
                write_without_end(head, FILLER_CHUNK, &mut writer).await;
                return;
            }
            StoreFault::Silent => std::future::pending().await,
            StoreFault::AnswerLost => {
                respond(&state, &changed, &head.target, &body).await;
                std::future::pending().await
            }
        };
        // The fault may have been set while the response was being prepared.
        if state.borrow().fault == StoreFault::Silent {
            std::future::pending::<()>().await;
        }
        if writer.write_all(&out).await.is_err() {
            return;
        }
    }
}

async fn respond(state: &Rc<RefCell<State>>, changed: &Notify, target: &str, body: &[u8]) -> Vec<u8> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let parameter = |name: &str| {
        query
            .split('&')
            .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
            .unwrap_or_default()
            .to_owned()
    };
    let topic = parameter("topic");
    match path {
        "/-/log-newest" => {
            let page = newest(&state.borrow(), &topic, &percent_decoded(&parameter("after")));
            let page = page.to_string();
            encode_response(200, &era_header(&state.borrow()), page.as_bytes())
        }
        "/-/log-read" => {
            let from = parameter("from").parse().unwrap_or_default();
            let wait = Duration::from_millis(parameter("wait_ms").parse().unwrap_or_default());
            if state.borrow().topics.get(&topic).is_none_or(|topic| topic.records.len() <= from) {
                // After a change or a time-out, the response holds whatever records exist.
                drop(actix_rt::time::timeout(wait, changed.notified()).await);
            }
            state.borrow_mut().reads += 1;
            read(&state.borrow(), &topic, from)
        }
        "/-/log-join" => join(&mut state.borrow_mut(), body),
        "/-/log-leave" => {
            state.borrow_mut().owner = None;
            encode_response(200, &era_header(&state.borrow()), b"{}")
        }
        _ => encode_response(404, &era_header(&state.borrow()), b""),
    }
}

fn newest(state: &State, topic: &str, after: &str) -> Value {
    let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
    let records = state.topics.get(topic).map(|topic| topic.records.as_slice()).unwrap_or_default();
    for (offset, (key, value)) in records.iter().enumerate() {
        match value {
            Some(value) => newest.insert(key, (offset, value)),
            None => newest.remove(key.as_str()),
        };
    }
    newest.retain(|key, _| after.is_empty() || **key > *after);
    let page_limit = state.page_limit.unwrap_or(usize::MAX);
    let entries: Vec<Value> = newest
        .iter()
        .take(page_limit)
        .map(|(key, (offset, value))| {
            let is_spoiled = state.spoiled_key.as_deref() == Some(*key);
            let data = if is_spoiled { "no*base64".to_owned() } else { base64(value) };
            json!({"key": key, "data": data, "offset": offset})
        })
        .collect();
    json!({"entries": entries, "has_more": newest.len() > page_limit, "end_offset": records.len()})
}

/// Decodes the percent-encoding of a query parameter.
fn percent_decoded(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        let digits: Option<String> = (byte == b'%').then(|| rest.by_ref().take(2).map(char::from).collect());
        bytes.push(digits.and_then(|digits| u8::from_str_radix(&digits, 16).ok()).unwrap_or(byte));
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn read(state: &State, topic: &str, from: usize) -> Vec<u8> {
    let empty = Topic::default();
    let topic = state.topics.get(topic).unwrap_or(&empty);
    if from < topic.first_offset || from > topic.records.len() {
        return encode_response(
            410,
            &era_header(state),
            json!({"start_offset": topic.first_offset}).to_string().as_bytes(),
        );
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
    encode_response(200, &era_header(state), &out)
}

fn join(state: &mut State, body: &[u8]) -> Vec<u8> {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    let member = body.get("member_id").and_then(Value::as_str).unwrap_or_default().to_owned();
    state.joins.push(body.get("group_epoch").and_then(Value::as_u64).unwrap_or_default());
    if state.owner.is_none() {
        state.owner = Some(member.clone());
        state.generation += 1;
    }
    let parts = if state.owner.as_ref() == Some(&member) { json!([["layers", 0, 0]]) } else { json!([]) };
    let group = json!({"group_epoch": state.generation, "ttl_ms": 3000, "parts": parts});
    encode_response(200, &era_header(state), group.to_string().as_bytes())
}

/// Returns the header line with the era, if the store sends it.
fn era_header(state: &State) -> String {
    state.era.as_ref().map(|era| format!("Store-Era: {era}\r\n")).unwrap_or_default()
}

/// Encodes bytes in standard Base64, as the store's protocol requires.
fn base64(bytes: &[u8]) -> String {
    use base64::Engine as _;
    base64::engine::general_purpose::STANDARD.encode(bytes)
}
