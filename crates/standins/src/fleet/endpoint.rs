//! An endpoint: an engine that holds layers, or a plain service.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use banyannotch::gateway::http1::{RequestHead, write_chunk};
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Notify;

use super::{encode_response, listen, read_request, split_stream};

/// A fault of an endpoint in the next requests.
///
/// The variants `BreakAfter` to `EndInsideAfter` affect streams only. `NotRun`, `Fail` and `FailResumed`
/// affect streams too. The other faults affect single responses only.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Closes the connection after this many events.
    BreakAfter(u64),
    /// Closes the connection in the middle of a chunk and an event, after this many events.
    TearAfter(u64),
    /// Sends nothing more after this many events and keeps the connection open.
    StallAfter(u64),
    /// Omits one event after this many.
    SkipAfter(u64),
    /// Ends the chunked body regularly, but inside the event that follows this many.
    EndInsideAfter(u64),
    /// Runs the request and closes the connection without a response.
    LoseAnswer,
    /// Responds with bytes that are not HTTP.
    Garble,
    /// Responds with a body that is shorter than its `Content-Length`.
    Truncate,
    /// Sends the response to another request before its own.
    ForeignFirst,
    /// Sends only the response to another request.
    ForeignOnly,
    /// Omits `Server-Signature` from the response.
    Unsigned,
    /// Declares a content coding that the client did not request.
    Encoded,
    /// Responds that the request was not executed, and does not run it.
    NotRun,
    /// Runs the request and responds with status 503, which leaves open whether it ran.
    Ambiguous,
    /// Runs the request and responds with status 500.
    Fail,
    /// Closes the connection of a new run after this many events, and responds to a resumed run with status
    /// 500.
    FailResumed(u64),
    /// Responds without `Content-Length` and closes the connection.
    Unframed,
    /// Sends the response to another request after its own and closes the connection.
    Extra,
    /// Sends single bytes without completing another event after this many, until the connection is closed.
    TrickleAfter(u64),
    /// Pauses for 900 ms after this many events and then continues.
    PauseAfter(u64),
    /// Sends a head without end until the connection is closed.
    EndlessHead,
    /// Sends a body without end until the connection is closed.
    EndlessBody,
    /// Responds that the request was not executed, with a body without end, and does not run it.
    EndlessNotRun,
}

/// One request that an endpoint has run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// Value of `Attempt-Id`, which names the attempt.
    pub id: String,
    /// Request target: path and query.
    pub target: String,
    /// Request body.
    pub body: Vec<u8>,
    /// Value of `Last-Event-Id`: the event after which the run resumed; `None` for a new run.
    pub resumed_after: Option<u64>,
    /// Value of `Tenant`, the team that the gateway names.
    pub team: Option<String>,
    /// Value of `Hop-Count`, the engines of the path that the gateway names.
    pub path: Option<String>,
    /// Whether the request carried the caller's `Key` header.
    pub saw_key: bool,
}

struct State {
    id: String,
    events: u64,
    fault: Fault,
    /// Number of requests to which the fault still applies, possibly shared with other endpoints.
    fault_count: Rc<Cell<usize>>,
    runs: Vec<Run>,
    /// Range of layers of the last accepted order.
    layers: Option<(u64, u64)>,
    /// Number of accepted orders, which reports contain as `sequence`.
    orders: u64,
    /// Addresses of the engines on which requests are reported as stalled.
    stalled: Vec<String>,
    /// Id of a part of a prompt that crashes the endpoint when it begins to answer.
    deadly_part: Option<String>,
    /// Number of starts, which reports and entries contain as `born`.
    born: u64,
    /// Until when the endpoint is down after a crash.
    down_until: Option<Instant>,
    /// Notified at a crash, which ends all connections.
    crashed: Rc<Notify>,
}

impl State {
    fn is_down(&self) -> bool {
        self.down_until.is_some_and(|until| Instant::now() < until)
    }
}

/// An endpoint in the test's own process.
#[derive(Clone)]
pub struct Endpoint {
    state: Rc<RefCell<State>>,
    /// Address that the endpoint listens on.
    pub address: SocketAddr,
}

impl Endpoint {
    /// Starts an endpoint that answers streams with the given number of events.
    ///
    /// # Errors
    /// Returns the error of the operating system when it cannot listen.
    pub fn start(id: &str, events: u64) -> std::io::Result<Self> {
        let state = Rc::new(RefCell::new(State {
            id: id.to_owned(),
            events,
            fault: Fault::None,
            fault_count: Rc::default(),
            runs: Vec::new(),
            layers: None,
            orders: 0,
            stalled: Vec::new(),
            deadly_part: None,
            born: 1,
            down_until: None,
            crashed: Rc::default(),
        }));
        let shared = Rc::clone(&state);
        let address = listen(move |stream| serve(Rc::clone(&shared), stream))?;
        Ok(Self { state, address })
    }

    /// Returns the endpoint's entry for the store. `card` is the type of an engine's accelerator
    /// card, and `None` for a plain service.
    pub fn entry(&self, service: &str, card: Option<&str>, state: &str) -> Value {
        let layers =
            self.state.borrow().layers.map(|(from, to)| json!({"from": from, "to": to, "version": 1}));
        let mut entry = json!({
            "backend": service, "address": self.address.to_string(), "zone": "a", "version": "v1", "slots": 8,
            "state": state, "cold_left_ms": 0, "born": self.state.borrow().born, "sequence": 4,
        });
        if let (Some(card), Some(object)) = (card, entry.as_object_mut()) {
            object.insert("route_type".to_owned(), json!(card));
            object.insert("layers".to_owned(), layers.unwrap_or(Value::Null));
        }
        entry
    }

    /// Sets the fault of the next requests.
    pub fn set_fault(&self, fault: Fault, count: usize) {
        let mut state = self.state.borrow_mut();
        state.fault = fault;
        state.fault_count = Rc::new(Cell::new(count));
    }

    /// Sets the fault of the next requests to any of the endpoints, `count` of them together.
    pub fn set_shared_fault(endpoints: &[Self], fault: Fault, count: usize) {
        let shared = Rc::new(Cell::new(count));
        for endpoint in endpoints {
            let mut state = endpoint.state.borrow_mut();
            state.fault = fault;
            state.fault_count = Rc::clone(&shared);
        }
    }

    /// Sets a part of a prompt that crashes the endpoint. It keeps its layers and is back after half a second.
    pub fn set_deadly_part(&self, id: &str) {
        self.state.borrow_mut().deadly_part = Some(id.to_owned());
    }

    /// Returns whether the endpoint is down after a crash.
    pub fn is_down(&self) -> bool {
        self.state.borrow().is_down()
    }

    /// Returns how often the endpoint has crashed.
    pub fn crashes(&self) -> u64 {
        self.state.borrow().born - 1
    }

    /// Reports another engine as the one on which requests are stalled.
    pub fn set_stalled(&self, address: SocketAddr) {
        self.state.borrow_mut().stalled = vec![address.to_string()];
    }

    /// Returns the requests that the endpoint has run.
    pub fn runs(&self) -> Vec<Run> {
        self.state.borrow().runs.clone()
    }

    /// Returns the range of layers that the endpoint holds.
    pub fn layers(&self) -> Option<(u64, u64)> {
        self.state.borrow().layers
    }
}

/// Time after a crash in which an endpoint accepts no request.
const RESTART: Duration = Duration::from_millis(500);

async fn serve(state: Rc<RefCell<State>>, stream: TcpStream) {
    let crashed = Rc::clone(&state.borrow().crashed);
    tokio::select! {
        biased;
        () = crashed.notified() => {}
        () = serve_requests(&state, stream) => {}
    }
}

async fn serve_requests(state: &Rc<RefCell<State>>, stream: TcpStream) {
    let Ok((mut reader, mut writer)) = split_stream(stream) else { return };
    if state.borrow().is_down() {
        return;
    }
    while let Some((head, body)) = read_request(&mut reader).await {
        let keep_alive = match head.target.as_str() {
            "/-/report" => {
                let report = report(&state.borrow());
                writer.write_all(&encode_response(200, "", report.to_string().as_bytes())).await.is_ok()
            }
            "/-/order" => {
                let out = order(&mut state.borrow_mut(), &body);
                writer.write_all(&out).await.is_ok()
            }
            _ => run(state, &head, &body, &mut writer).await,
        };
        if !keep_alive {
            return;
        }
    }
}

fn report(state: &State) -> Value {
    let layers = state.layers.map(|(from, to)| json!({"from": from, "to": to, "version": 1}));
    let stalled: Vec<Value> =
        state.stalled.iter().map(|address| json!({"id": "x", "address": address})).collect();
    json!({"born": state.born, "sequence": state.orders, "busy": false, "layers": layers, "pace": 1.0, "stalled": stalled})
}

fn order(state: &mut State, body: &[u8]) -> Vec<u8> {
    let order: Value = serde_json::from_slice(body).unwrap_or_default();
    let number = |name: &str| order.get(name).and_then(Value::as_u64);
    if number("expect") != Some(state.orders) {
        return encode_response(409, "", b"{}");
    }
    state.layers = number("from").zip(number("to"));
    state.orders += 1;
    encode_response(202, "", b"{}")
}

/// Runs a request and returns whether the connection stays open.
async fn run(
    state: &Rc<RefCell<State>>,
    head: &RequestHead,
    body: &[u8],
    writer: &mut OwnedWriteHalf,
) -> bool {
    let header = |name: &str| head.headers.get(name).map(str::to_owned);
    let (id, events, fault) = {
        let state = state.borrow();
        let fault = if state.fault_count.get() > 0 { state.fault } else { Fault::None };
        state.fault_count.set(state.fault_count.get().saturating_sub(1));
        (state.id.clone(), state.events, fault)
    };
    if header("Expect-Instance").as_deref() != Some(id.as_str()) {
        return writer.write_all(&encode_response(421, "Instance-Id: other\r\n", b"")).await.is_ok();
    }
    let attempt = header("Attempt-Id").unwrap_or_default();
    if fault == Fault::NotRun {
        let headers = format!("Attempt-Id: {attempt}\r\nNot-Executed: 1\r\n");
        return writer.write_all(&encode_response(503, &headers, b"")).await.is_ok();
    }
    if fault == Fault::EndlessNotRun {
        let head = format!(
            "HTTP/1.1 503 Any\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        return write_without_end(head.as_bytes(), FILLER_CHUNK, writer).await;
    }
    let resumed_after: Option<u64> = header("Last-Event-Id").and_then(|id| id.parse().ok());
    let fault = match (fault, resumed_after) {
        (Fault::FailResumed(count), None) => Fault::BreakAfter(count),
        (Fault::FailResumed(_), Some(_)) => Fault::Fail,
        _ => fault,
    };
    state.borrow_mut().runs.push(Run {
        id: attempt.clone(),
        target: head.target.clone(),
        body: body.to_vec(),
        resumed_after,
        team: header("Tenant"),
        path: header("Hop-Count"),
        saw_key: head.headers.get("Key").is_some(),
    });
    let parts = header("Prefix-Hash").unwrap_or_default();
    let is_deadly = |deadly: &String| {
        parts.split(',').any(|part| part.split_once(':').is_some_and(|(id, _)| id == deadly))
    };
    if state.borrow().deadly_part.as_ref().is_some_and(is_deadly) {
        let mut state = state.borrow_mut();
        state.born += 1;
        state.down_until = Some(Instant::now() + RESTART);
        state.crashed.notify_waiters();
        return false;
    }
    let signed = format!("Attempt-Id: {attempt}\r\nServer-Signature: {id}.{attempt}\r\n");
    if fault == Fault::EndlessHead {
        let head = format!("HTTP/1.1 200 Any\r\n{signed}X-Filler: ");
        return write_without_end(head.as_bytes(), b"xxxxxxxxxxxxxxxx", writer).await;
    }
    if fault == Fault::EndlessBody {
        let head = format!("HTTP/1.1 200 Any\r\n{signed}Transfer-Encoding: chunked\r\n\r\n");
        return write_without_end(head.as_bytes(), FILLER_CHUNK, writer).await;
    }
    if head.target.starts_with("/write/") && fault != Fault::Fail {
        return write_stream(&id, &attempt, resumed_after, events, fault, writer).await;
    }
    write_response(&id, &attempt, fault, writer).await
}

async fn write_response(id: &str, attempt: &str, fault: Fault, writer: &mut OwnedWriteHalf) -> bool {
    let signed = format!("Attempt-Id: {attempt}\r\nServer-Signature: {id}.{attempt}\r\n");
    let build_response =
        |status, headers: &str| encode_response(status, headers, format!("answer of {attempt}").as_bytes());
    let foreign_response = || build_response(200, "Attempt-Id: another\r\nServer-Signature: x\r\n");
    let out = match fault {
        Fault::LoseAnswer => return false,
        Fault::Garble => b"\x00\x01 no answer\r\n\r\n".to_vec(),
        Fault::Truncate => {
            let mut out = build_response(200, &signed);
            out.truncate(out.len() - 3);
            out
        }
        Fault::ForeignFirst => [foreign_response(), build_response(200, &signed)].concat(),
        Fault::ForeignOnly => foreign_response(),
        Fault::Unsigned => build_response(200, &format!("Attempt-Id: {attempt}\r\n")),
        Fault::Encoded => build_response(200, &format!("{signed}Content-Encoding: gzip\r\n")),
        Fault::Ambiguous => build_response(503, &signed),
        Fault::Fail => build_response(500, &signed),
        Fault::Unframed => format!("HTTP/1.1 200 Any\r\n{signed}\r\nanswer of {attempt}").into_bytes(),
        Fault::Extra => [build_response(200, &signed), foreign_response()].concat(),
        _ => build_response(200, &signed),
    };
    let closes = matches!(
        fault,
        Fault::Garble | Fault::Truncate | Fault::ForeignOnly | Fault::Unframed | Fault::Extra
    );
    writer.write_all(&out).await.is_ok() && !closes
}

async fn write_stream(
    id: &str,
    attempt: &str,
    resumed_after: Option<u64>,
    events: u64,
    fault: Fault,
    writer: &mut OwnedWriteHalf,
) -> bool {
    let mut out = format!(
        "HTTP/1.1 200 Any\r\nAttempt-Id: {attempt}\r\nServer-Signature: {id}.{attempt}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    .into_bytes();
    let first = resumed_after.map_or(0, |last| last + 1);
    for (sent, event) in (first..events).enumerate() {
        let text = format!("id: {event}\ndata: token {event}\n\n");
        match fault {
            Fault::BreakAfter(count) if sent as u64 == count => {
                // The connection is closed whether or not the write succeeds.
                drop(writer.write_all(&out).await);
                return false;
            }
            Fault::TearAfter(count) if sent as u64 == count => {
                out.extend_from_slice(b"40\r\n");
                out.extend_from_slice(partial_event(&text));
                drop(writer.write_all(&out).await);
                return false;
            }
            Fault::EndInsideAfter(count) if sent as u64 == count => {
                write_chunk(partial_event(&text), &mut out);
                out.extend_from_slice(b"0\r\n\r\n");
                return writer.write_all(&out).await.is_ok();
            }
            Fault::StallAfter(count) if sent as u64 == count => {
                if writer.write_all(&out).await.is_ok() {
                    std::future::pending::<()>().await;
                }
                return false;
            }
            Fault::SkipAfter(count) if sent as u64 == count => continue,
            Fault::PauseAfter(count) if sent as u64 == count => {
                if writer.write_all(&out).await.is_err() {
                    return false;
                }
                out.clear();
                actix_rt::time::sleep(LONG_PAUSE).await;
                write_chunk(text.as_bytes(), &mut out);
            }
            Fault::TrickleAfter(count) if sent as u64 == count => {
                write_chunk(format!("id: {event}\ndata: ").as_bytes(), &mut out);
                return write_slowly_without_end(&out, writer).await;
            }
            _ => write_chunk(text.as_bytes(), &mut out),
        }
        if writer.write_all(&out).await.is_err() {
            return false;
        }
        out.clear();
        actix_rt::time::sleep(EVENT_INTERVAL).await;
    }
    out.extend_from_slice(b"0\r\n\r\n");
    writer.write_all(&out).await.is_ok()
}

/// A chunk of the chunked transfer coding.
const FILLER_CHUNK: &[u8] = b"10\r\nxxxxxxxxxxxxxxxx\r\n";

/// Writes the same bytes until the client closes the connection.
async fn write_without_end(head: &[u8], filler: &[u8], writer: &mut OwnedWriteHalf) -> bool {
    /// Number of times that the bytes are repeated in one write.
    const REPETITIONS: usize = 256;
    let filler = filler.repeat(REPETITIONS);
    if writer.write_all(head).await.is_err() {
        return false;
    }
    while writer.write_all(&filler).await.is_ok() {}
    false
}

/// Writes a byte of a body after each interval of the events, until the client closes the connection.
async fn write_slowly_without_end(head: &[u8], writer: &mut OwnedWriteHalf) -> bool {
    if writer.write_all(head).await.is_err() {
        return false;
    }
    while writer.write_all(b"1\r\nx\r\n").await.is_ok() {
        actix_rt::time::sleep(EVENT_INTERVAL).await;
    }
    false
}

/// Pause of a slow stream, longer than the time after which a gateway examines its path.
const LONG_PAUSE: Duration = Duration::from_millis(900);

/// Delay between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(2);

/// Returns the first bytes of an event, which do not complete it.
fn partial_event(event: &str) -> &[u8] {
    event.as_bytes().get(..6).unwrap_or_default()
}
