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

use super::{
    FILLER_CHUNK, encode_response, listen_between_crashes, read_request, split_stream, write_without_end,
};

/// A fault of an endpoint in the next requests.
///
/// The variants `BreakAfter` to `EndInsideAfter` affect streams only. `NotRun`, `Fail` and `FailResumed`
/// affect streams too, and so do those that say so. The other faults affect single responses only.
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
    /// Runs the request and responds with this status, of three digits.
    Status(u16),
    /// Runs the request and responds with this text in place of the status.
    StatusText(&'static str),
    /// Sends the head of an interim response with this status, of three digits, before the response; affects streams too.
    Interim(u16),
    /// Closes the connection of a new run after this many events, and responds to a resumed run without the rest of the
    /// stream.
    SpoilResumed(u64, Spoiled),
    /// Responds without a length and without chunks, and closes the connection at the end.
    Unframed,
    /// As `Unframed`, with HTTP/1.0 in the status line.
    UnframedOld,
    /// As `Unframed`, but resets the connection after this many events, or in the middle of the body of a single response.
    UnframedResetAfter(u64),
    /// As `Unframed`, but closes the connection inside the event that follows this many.
    UnframedTearAfter(u64),
    /// Runs the request, sends nothing and keeps the connection open; affects streams too.
    Hang,
    /// Sends the response to another request after its own and closes the connection.
    Extra,
    /// Sends single bytes without completing another event after this many, until the connection is closed.
    TrickleAfter(u64),
    /// Pauses for 900 ms after this many events and then continues.
    PauseAfter(u64),
    /// After this many events of a stream, the whole endpoint is silent on all its connections for 1.2 s, and then goes
    /// on.
    SilentAfter(u64),
    /// Sends a stream of events of 60 kB each. A new run pauses for 600 ms after the first three of them, and then sends the
    /// others without delay.
    Flood,
    /// Runs the request and closes the connection after this many bytes of the head of its response; affects streams too.
    CutHead(usize),
    /// Sends a head without end until the connection is closed.
    EndlessHead,
    /// Sends a head of this many bytes without its end, and keeps the connection open.
    UnfinishedHead(usize),
    /// Responds with a body of this many bytes.
    LargeBody(usize),
    /// Sends a body without end until the connection is closed.
    EndlessBody,
    /// As `EndlessBody`, without a length and without chunks.
    EndlessUnframed,
    /// Responds with status 503 and a `Retry-After`, and does not run the request.
    RetryAfter {
        /// Time for which the endpoint wants no requests, in milliseconds.
        ms: u64,
        /// Whether the response states that the request was not executed.
        marked: bool,
    },
    /// Responds that the request was not executed, with a body without end, and does not run it.
    EndlessNotRun,
    /// Responds to the first request on each connection that it was not executed, and does not run it. When a later
    /// request arrives on the connection, writes this response once more and then runs that request.
    RepeatNotRun,
    /// As `RepeatNotRun`, without `Attempt-Id` in the response that is repeated.
    RepeatNotRunWithoutId,
}

/// A response to a resumed run that does not contain the rest of the stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Spoiled {
    /// Status 500 with the engine's signature.
    Failure,
    /// The rest of the stream with this status, of three digits.
    Status(u16),
    /// The rest of the stream after the head of an interim response with this status, of three digits.
    Interim(u16),
    /// Status 503 without a statement that the request was not executed.
    Ambiguous,
    /// The statement that the request was not executed, with a body. The request is not run.
    NotRun,
    /// The response to another request, and nothing else.
    Foreign,
    /// A page of HTML.
    Page,
    /// The rest of the stream with another content type.
    EventsAsText,
    /// Events that skip one.
    Gap,
    /// A body of length 0.
    Empty,
    /// No body and no length, until the connection is closed.
    EmptyUnframed,
}

/// A fault of the reports of an endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ReportFault {
    /// No fault.
    #[default]
    None,
    /// Sends no response.
    Silent,
    /// Sends a body without end until the connection is closed.
    EndlessBody,
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
    /// End of the time in which the endpoint is silent.
    silent_until: Option<Instant>,
    /// Whether all answers to requests announce that the endpoint is leaving.
    leaving: bool,
    /// Number of requests that arrived, those that were rejected included.
    arrivals: usize,
    report_fault: ReportFault,
    /// Id of a part of a prompt that crashes the endpoint when it begins to answer.
    deadly_part: Option<String>,
    /// Target of requests that crash the endpoint.
    deadly_target: Option<String>,
    /// Time after a crash in which nothing listens at the address.
    restart: Duration,
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
            silent_until: None,
            leaving: false,
            arrivals: 0,
            report_fault: ReportFault::None,
            deadly_part: None,
            deadly_target: None,
            restart: RESTART,
            born: 1,
            down_until: None,
            crashed: Rc::default(),
        }));
        let shared = Rc::clone(&state);
        let crashed = Rc::clone(&state.borrow().crashed);
        let restarting = Rc::clone(&state);
        let restart = move || restarting.borrow().restart;
        let address =
            listen_between_crashes(crashed, restart, move |stream| serve(Rc::clone(&shared), stream))?;
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

    /// Sets the target of requests that crash the endpoint as a deadly part does, and how long it is down then.
    pub fn set_deadly_target(&self, target: &str, restart: Duration) {
        let mut state = self.state.borrow_mut();
        (state.deadly_target, state.restart) = (Some(target.to_owned()), restart);
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

    /// Sets whether all answers to requests announce that the endpoint is leaving, whatever its entry says.
    pub fn set_leaving(&self, leaving: bool) {
        self.state.borrow_mut().leaving = leaving;
    }

    /// Returns the number of requests that arrived, those that were rejected included.
    pub fn arrivals(&self) -> usize {
        self.state.borrow().arrivals
    }

    /// Sets the fault of the reports from now on.
    pub fn set_report_fault(&self, fault: ReportFault) {
        self.state.borrow_mut().report_fault = fault;
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
    // The first rejection on the connection.
    let mut rejection = None;
    while let Some((head, body)) = read_request(&mut reader).await {
        wait_while_silent(state).await;
        let report_fault = state.borrow().report_fault;
        let keep_alive = match head.target.as_str() {
            "/-/report" if report_fault == ReportFault::Silent => std::future::pending().await,
            "/-/report" if report_fault == ReportFault::EndlessBody => {
                let head = b"HTTP/1.1 200 Any\r\nTransfer-Encoding: chunked\r\n\r\n";
                write_without_end(head, FILLER_CHUNK, &mut writer).await
            }
            "/-/report" => {
                let report = report(&state.borrow());
                writer.write_all(&encode_response(200, "", report.to_string().as_bytes())).await.is_ok()
            }
            "/-/order" => {
                let out = order(&mut state.borrow_mut(), &body);
                writer.write_all(&out).await.is_ok()
            }
            _ => run(state, &head, &body, &mut writer, &mut rejection).await,
        };
        if !keep_alive {
            if matches!(writer.as_ref().linger(), Ok(Some(Duration::ZERO))) {
                // Dropping the writer would end the connection in order before it is reset.
                writer.forget();
            }
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
    rejection: &mut Option<Vec<u8>>,
) -> bool {
    let header = |name: &str| head.headers.get(name).map(str::to_owned);
    let (id, events, fault, leaving) = {
        let mut state = state.borrow_mut();
        state.arrivals += 1;
        let fault = if state.fault_count.get() > 0 { state.fault } else { Fault::None };
        state.fault_count.set(state.fault_count.get().saturating_sub(1));
        (state.id.clone(), state.events, fault, if state.leaving { "Server-Leaving: 1\r\n" } else { "" })
    };
    let attempt = header("Attempt-Id").unwrap_or_default();
    let unsigned = format!("Attempt-Id: {attempt}\r\n{leaving}");
    if header("Expect-Instance").as_deref() != Some(id.as_str()) {
        let headers = format!("{unsigned}Instance-Id: other\r\n");
        return writer.write_all(&encode_response(421, &headers, b"")).await.is_ok();
    }
    if fault == Fault::NotRun {
        let headers = format!("{unsigned}Not-Executed: 1\r\n");
        return writer.write_all(&encode_response(503, &headers, b"")).await.is_ok();
    }
    if let Fault::RetryAfter { ms, marked } = fault {
        let mark = if marked { "Not-Executed: 1\r\n" } else { "" };
        let headers = format!("{unsigned}{mark}Retry-After: {}.{:03}\r\n", ms / 1_000, ms % 1_000);
        return writer.write_all(&encode_response(503, &headers, b"")).await.is_ok();
    }
    if matches!(fault, Fault::RepeatNotRun | Fault::RepeatNotRunWithoutId) {
        let is_first = rejection.is_none();
        let out = rejection.get_or_insert_with(|| {
            let id = if fault == Fault::RepeatNotRun {
                format!("Attempt-Id: {attempt}\r\n")
            } else {
                String::new()
            };
            encode_response(503, &format!("{id}Not-Executed: 1\r\n"), b"")
        });
        if writer.write_all(out).await.is_err() || is_first {
            return true;
        }
    }
    if fault == Fault::EndlessNotRun {
        let head =
            format!("HTTP/1.1 503 Any\r\n{unsigned}Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
        return write_without_end(head.as_bytes(), FILLER_CHUNK, writer).await;
    }
    let resumed_after: Option<u64> = header("Last-Event-Id").and_then(|id| id.parse().ok());
    let (fault, spoiled) = match (fault, resumed_after) {
        (Fault::SpoilResumed(count, _), None) => (Fault::BreakAfter(count), None),
        (Fault::SpoilResumed(_, spoiled), Some(last)) => (Fault::None, Some((spoiled, last))),
        _ => (fault, None),
    };
    if let Some((Spoiled::NotRun, _)) = spoiled {
        let headers = format!("Attempt-Id: {attempt}\r\nNot-Executed: 1\r\n");
        return writer.write_all(&encode_response(503, &headers, b"id: 3\ndata: full\n\n")).await.is_ok();
    }
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
    let is_deadly = state.borrow().deadly_part.as_ref().is_some_and(is_deadly)
        || state.borrow().deadly_target.as_ref() == Some(&head.target);
    if is_deadly {
        let mut state = state.borrow_mut();
        state.born += 1;
        state.down_until = Some(Instant::now() + state.restart);
        state.crashed.notify_waiters();
        return false;
    }
    if matches!(fault, Fault::RepeatNotRun | Fault::RepeatNotRunWithoutId) {
        actix_rt::time::sleep(LONG_RUN).await;
    }
    let signed = format!("{unsigned}Server-Signature: {id}.{attempt}\r\n");
    if fault == Fault::Hang {
        return std::future::pending().await;
    }
    if let Fault::CutHead(size_bytes) = fault {
        let head = format!(
            "HTTP/1.1 200 Any\r\n{signed}Content-Type: text/event-stream\r\nContent-Length: 80\r\n\r\n"
        );
        // The connection is closed whether or not the write succeeds.
        drop(writer.write_all(head.as_bytes().get(..size_bytes).unwrap_or_default()).await);
        return false;
    }
    if fault == Fault::EndlessHead {
        let head = format!("HTTP/1.1 200 Any\r\n{signed}X-Filler: ");
        return write_without_end(head.as_bytes(), b"xxxxxxxxxxxxxxxx", writer).await;
    }
    if let Fault::UnfinishedHead(size_bytes) = fault {
        let head = format!("HTTP/1.1 200 Any\r\n{signed}X-Filler: {}", "x".repeat(size_bytes));
        if writer.write_all(head.as_bytes()).await.is_ok() {
            std::future::pending::<()>().await;
        }
        return false;
    }
    if fault == Fault::EndlessBody {
        let head = format!("HTTP/1.1 200 Any\r\n{signed}Transfer-Encoding: chunked\r\n\r\n");
        return write_without_end(head.as_bytes(), FILLER_CHUNK, writer).await;
    }
    if fault == Fault::EndlessUnframed {
        let head = format!("HTTP/1.1 200 Any\r\n{signed}\r\n");
        return write_without_end(head.as_bytes(), &[b'x'; 1_024], writer).await;
    }
    if let Some((spoiled, last)) = spoiled {
        let out = spoiled_response(spoiled, &signed, last);
        return writer.write_all(&out).await.is_ok()
            && !matches!(spoiled, Spoiled::Foreign | Spoiled::EmptyUnframed);
    }
    if head.target.starts_with("/write/")
        && !matches!(fault, Fault::Fail | Fault::Status(_) | Fault::StatusText(_))
    {
        return write_stream(state, &signed, resumed_after, events, fault, writer).await;
    }
    write_response(&attempt, &unsigned, &signed, fault, writer).await
}

fn spoiled_response(spoiled: Spoiled, signed: &str, last: u64) -> Vec<u8> {
    let stream = format!("{signed}Content-Type: text/event-stream\r\n");
    let event = |id: u64| format!("id: {id}\ndata: token {id}\n\n");
    match spoiled {
        Spoiled::Status(status) => encode_response(status, &stream, event(last + 1).as_bytes()),
        Spoiled::Interim(status) => {
            [interim_head(status), encode_response(200, &stream, event(last + 1).as_bytes())].concat()
        }
        Spoiled::Failure => encode_response(500, &stream, event(last + 1).as_bytes()),
        Spoiled::Ambiguous => encode_response(503, &stream, event(last + 1).as_bytes()),
        Spoiled::NotRun => Vec::new(),
        Spoiled::Foreign => {
            let headers = "Attempt-Id: another\r\nServer-Signature: x\r\nContent-Type: text/event-stream\r\n";
            encode_response(200, headers, event(last + 1).as_bytes())
        }
        Spoiled::Page => {
            let headers = format!("{signed}Content-Type: text/html\r\n");
            encode_response(200, &headers, b"<html>out of memory</html>\n\n")
        }
        Spoiled::EventsAsText => {
            let headers = format!("{signed}Content-Type: text/plain\r\n");
            encode_response(200, &headers, event(last + 1).as_bytes())
        }
        Spoiled::Gap => encode_response(200, &stream, event(last + 2).as_bytes()),
        Spoiled::Empty => encode_response(200, &stream, b""),
        Spoiled::EmptyUnframed => format!("HTTP/1.1 200 Any\r\n{stream}\r\n").into_bytes(),
    }
}

async fn write_response(
    attempt: &str,
    unsigned: &str,
    signed: &str,
    fault: Fault,
    writer: &mut OwnedWriteHalf,
) -> bool {
    let build_response =
        |status, headers: &str| encode_response(status, headers, format!("answer of {attempt}").as_bytes());
    let foreign_response = || build_response(200, "Attempt-Id: another\r\nServer-Signature: x\r\n");
    let out = match fault {
        Fault::LoseAnswer => return false,
        Fault::Garble => b"\x00\x01 no answer\r\n\r\n".to_vec(),
        Fault::Truncate => {
            let mut out = build_response(200, signed);
            out.truncate(out.len() - 3);
            out
        }
        Fault::ForeignFirst => [foreign_response(), build_response(200, signed)].concat(),
        Fault::ForeignOnly => foreign_response(),
        Fault::Unsigned => build_response(200, unsigned),
        Fault::Encoded => build_response(200, &format!("{signed}Content-Encoding: gzip\r\n")),
        Fault::Ambiguous => build_response(503, signed),
        Fault::Fail => build_response(500, signed),
        Fault::Status(status) => build_response(status, signed),
        Fault::StatusText(status) => {
            let length = format!("answer of {attempt}").len();
            format!("HTTP/1.1 {status} Any\r\n{signed}Content-Length: {length}\r\n\r\nanswer of {attempt}")
                .into_bytes()
        }
        Fault::Interim(status) => [interim_head(status), build_response(200, signed)].concat(),
        Fault::Unframed => format!("HTTP/1.1 200 Any\r\n{signed}\r\nanswer of {attempt}").into_bytes(),
        Fault::UnframedOld => format!("HTTP/1.0 200 Any\r\n{signed}\r\nanswer of {attempt}").into_bytes(),
        Fault::UnframedResetAfter(_) => format!("HTTP/1.1 200 Any\r\n{signed}\r\nanswer").into_bytes(),
        Fault::Extra => [build_response(200, signed), foreign_response()].concat(),
        Fault::LargeBody(size_bytes) => encode_response(200, signed, &vec![b'x'; size_bytes]),
        _ => build_response(200, signed),
    };
    let closes = matches!(
        fault,
        Fault::Garble
            | Fault::Truncate
            | Fault::ForeignOnly
            | Fault::Unframed
            | Fault::UnframedOld
            | Fault::UnframedResetAfter(_)
            | Fault::Extra
    );
    let written = writer.write_all(&out).await.is_ok();
    if matches!(fault, Fault::UnframedResetAfter(_)) {
        // The gateway reads the bytes before the reset discards them.
        actix_rt::time::sleep(EVENT_INTERVAL).await;
        reset_on_close(writer);
    }
    written && !closes
}

/// Encodes the head of an interim response, which has no body.
fn interim_head(status: u16) -> Vec<u8> {
    format!("HTTP/1.1 {status:03} Any\r\n\r\n").into_bytes()
}

/// Makes the operating system reset the connection when it is closed.
fn reset_on_close(writer: &OwnedWriteHalf) {
    // Without the option the connection is closed in order, and the test that needs the reset fails.
    drop(writer.as_ref().set_zero_linger());
}

async fn write_stream(
    state: &RefCell<State>,
    signed: &str,
    resumed_after: Option<u64>,
    events: u64,
    fault: Fault,
    writer: &mut OwnedWriteHalf,
) -> bool {
    let is_unframed = matches!(
        fault,
        Fault::Unframed | Fault::UnframedOld | Fault::UnframedResetAfter(_) | Fault::UnframedTearAfter(_)
    );
    let version = if fault == Fault::UnframedOld { "1.0" } else { "1.1" };
    let framing = if is_unframed { "" } else { "Transfer-Encoding: chunked\r\n" };
    let mut out =
        format!("HTTP/{version} 200 Any\r\n{signed}Content-Type: text/event-stream\r\n{framing}\r\n")
            .into_bytes();
    if let Fault::Interim(status) = fault {
        out.splice(..0, interim_head(status));
    }
    let first = resumed_after.map_or(0, |last| last + 1);
    if fault == Fault::Flood {
        return write_flood(out, first, writer).await;
    }
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
            Fault::UnframedResetAfter(count) if sent as u64 == count => {
                reset_on_close(writer);
                return false;
            }
            Fault::UnframedTearAfter(count) if sent as u64 == count => {
                drop(writer.write_all(partial_event(&text)).await);
                return false;
            }
            Fault::PauseAfter(count) if sent as u64 == count => {
                if writer.write_all(&out).await.is_err() {
                    return false;
                }
                out.clear();
                actix_rt::time::sleep(LONG_PAUSE).await;
                write_chunk(text.as_bytes(), &mut out);
            }
            Fault::SilentAfter(count) if sent as u64 == count => {
                state.borrow_mut().silent_until = Some(Instant::now() + SILENCE);
                write_chunk(text.as_bytes(), &mut out);
            }
            Fault::TrickleAfter(count) if sent as u64 == count => {
                write_chunk(format!("id: {event}\ndata: ").as_bytes(), &mut out);
                return write_slowly_without_end(&out, writer).await;
            }
            _ if is_unframed => out.extend_from_slice(text.as_bytes()),
            _ => write_chunk(text.as_bytes(), &mut out),
        }
        wait_while_silent(state).await;
        if writer.write_all(&out).await.is_err() {
            return false;
        }
        out.clear();
        actix_rt::time::sleep(EVENT_INTERVAL).await;
    }
    if fault == Fault::BreakAfter(events) || is_unframed {
        return false;
    }
    out.extend_from_slice(b"0\r\n\r\n");
    writer.write_all(&out).await.is_ok()
}

/// Number of events in a [`Fault::Flood`], which are more than the buffers of the sockets hold.
pub const FLOOD_EVENTS: u64 = 300;

async fn write_flood(mut out: Vec<u8>, first: u64, writer: &mut OwnedWriteHalf) -> bool {
    /// Number of events before the pause, and the time of the pause, in which a gateway requests a report.
    const EARLY_EVENTS: u64 = 3;
    const PAUSE: Duration = Duration::from_millis(600);
    let filler = "x".repeat(60_000);
    for event in first..FLOOD_EVENTS {
        if event == EARLY_EVENTS && first == 0 {
            actix_rt::time::sleep(PAUSE).await;
        }
        write_chunk(format!("id: {event}\ndata: {filler}\n\n").as_bytes(), &mut out);
        if writer.write_all(&out).await.is_err() {
            return false;
        }
        out.clear();
    }
    writer.write_all(b"0\r\n\r\n").await.is_ok()
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

/// Time for which a silent endpoint sends nothing. It is longer than the time after which a gateway asks for a report, and
/// the time that it waits for one.
const SILENCE: Duration = Duration::from_millis(1_200);

async fn wait_while_silent(state: &RefCell<State>) {
    let until = state.borrow().silent_until;
    if let Some(until) = until {
        actix_rt::time::sleep_until(until.into()).await;
    }
}

/// Time that a run takes after a repeated rejection.
const LONG_RUN: Duration = Duration::from_millis(20);

/// Delay between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(2);

/// Returns the first bytes of an event, which do not complete it.
fn partial_event(event: &str) -> &[u8] {
    event.as_bytes().get(..6).unwrap_or_default()
}
