//! The HTTP front end: decodes requests and encodes responses. It makes no decisions about requests that
//! could be decoded.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use actix_http::HttpMessage;
use actix_http::header::{HeaderValue, RETRY_AFTER};
use bytes::Bytes;
use serde::Deserialize;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use tokio::sync::{mpsc, oneshot};

use super::{CallerRequest, CallerWork, Event, Rejection};
use crate::caller_memory::{Hold, Refused};
use crate::clock::Clock;
use crate::duty::Mailbox;
use crate::http::{
    ConnectionMemory, EventStream, Handler, InputError, Request, Response, ServerSettings, StreamGuard,
    closing, events, json as json_response, read_json_within,
};
use crate::ids::RequestId;
use crate::request::{Completion, Failure, NotRun, Outcome};
use crate::table::Table;

/// Body of `POST /v1/generate`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct GenerateBody {
    model: String,
    prompt: String,
    max_tokens: Option<u32>,
    deadline_ms: Option<u64>,
    priority: Option<u8>,
    request_id: Option<String>,
}

/// Body of `POST /v1/call`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct CallBody {
    service: String,
    operation: String,
    #[serde(default)]
    payload: Value,
    deadline_ms: Option<u64>,
    priority: Option<u8>,
    #[serde(default)]
    idempotent: bool,
    key: Option<String>,
    key_time_ms: Option<u64>,
    request_id: Option<String>,
}

/// Channel to the response of a request.
#[derive(Debug)]
enum ResponseChannel {
    NotStarted(oneshot::Sender<Response>),
    Stream(mpsc::UnboundedSender<Bytes>),
}

/// State that the HTTP handler shares with the ports of the thread.
#[derive(Debug)]
pub(super) struct FrontEnd {
    channels: RefCell<Table<RequestId, ResponseChannel>>,
    mailbox: Mailbox<Event>,
    id_prefix: u128,
    next_id: Cell<u64>,
    ready: Cell<bool>,
}

/// Handles callers' HTTP requests.
#[derive(Clone, Debug)]
pub(super) struct CallerHandler<C> {
    pub front_end: Rc<FrontEnd>,
    pub settings: ServerSettings,
    pub clock: C,
}

/// Copies of a request that the duties hold at a time until its response begins: its decoded text, the message to the endpoint,
/// and the answer on its way to the caller.
const REQUEST_COPIES: usize = 5;
/// Time after which a caller that was refused for lack of memory may come back, in seconds.
const RETRY_AFTER_S: u64 = 1;

impl<C: Clock> Handler for CallerHandler<C> {
    async fn handle(&self, mut request: Request) -> Response {
        let path = request.path().to_owned();
        match (request.method().as_str(), path.as_str()) {
            ("GET", "/healthz") => json_response(200, &json!({ "status": "ok" })),
            ("GET", "/readyz") => {
                let ready = self.front_end.ready.get();
                json_response(if ready { 200 } else { 503 }, &json!({ "ready": ready }))
            }
            ("POST", "/v1/generate" | "/v1/call") => match ConnectionMemory::of(&request) {
                Some(memory) => self.serve_request(&path, &mut request, &memory).await,
                None => json_response(500, &rejected("internal", "the connection is not counted")),
            },
            _ => json_response(404, &rejected("unknown_path", "allowed: POST /v1/generate, POST /v1/call")),
        }
    }
}

impl<C: Clock> CallerHandler<C> {
    /// Decodes a request and passes it to the policy, unless there is no memory for it.
    async fn serve_request(&self, path: &str, request: &mut Request, memory: &ConnectionMemory) -> Response {
        let hold = memory.hold();
        let token_sha256 = token_hash(request);
        let decoded = tokio::select! {
            biased;
            () = hold.dropped() => None,
            decoded = self.decode(path, request, token_sha256, memory) => Some(decoded),
        };
        match decoded {
            Some(Ok(arrived)) => {
                memory.begin_work();
                tokio::select! {
                    biased;
                    response = self.front_end.submit(arrived) => response,
                    () = hold.dropped() => {
                        hold.record(Refused::Response);
                        let body = json!({
                            "outcome": "unknown", "reason": "no_memory", "error": "callers hold too much memory"
                        });
                        closing(json_response(502, &body))
                    }
                }
            }
            Some(Err(error)) => {
                log::info!("event=rejected path={path} reason=\"{error}\"");
                json_response(error.status(), &rejected("malformed", &error.to_string()))
            }
            None => refuse(hold, Refused::Request),
        }
    }

    async fn decode(
        &self,
        path: &str,
        request: &mut Request,
        token_sha256: String,
        memory: &ConnectionMemory,
    ) -> std::result::Result<CallerRequest, InputError> {
        let id = self.front_end.new_id();
        if path == "/v1/generate" {
            let body: GenerateBody =
                read_json_within(request, &self.settings, memory, REQUEST_COPIES).await?;
            return Ok(CallerRequest {
                request: id,
                token_sha256,
                deadline_ms: body.deadline_ms,
                priority: body.priority,
                arrived_unix_ms: self.clock.unix_ms(),
                reference: body.request_id,
                work: CallerWork::Generate {
                    model: body.model,
                    prompt: body.prompt,
                    max_tokens: body.max_tokens,
                },
            });
        }
        let body: CallBody = read_json_within(request, &self.settings, memory, REQUEST_COPIES).await?;
        Ok(CallerRequest {
            request: id,
            token_sha256,
            deadline_ms: body.deadline_ms,
            priority: body.priority,
            arrived_unix_ms: self.clock.unix_ms(),
            reference: body.request_id,
            work: CallerWork::Call {
                service: body.service,
                operation: body.operation,
                payload: body.payload.to_string(),
                idempotent: body.idempotent,
                key: body.key,
                key_time_ms: body.key_time_ms,
            },
        })
    }
}

/// Responds that a request was not run because there is no memory for it.
fn refuse(hold: &Hold, refused: Refused) -> Response {
    hold.record(refused);
    let mut response = closing(json_response(503, &rejected("no_memory", "callers hold too much memory")));
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(RETRY_AFTER_S));
    response
}

impl FrontEnd {
    /// Creates the front end. The prefix makes request identifiers unique across all entries.
    pub fn new(mailbox: Mailbox<Event>, id_prefix: u64) -> Self {
        Self {
            channels: RefCell::default(),
            mailbox,
            id_prefix: u128::from(id_prefix) << 64,
            next_id: Cell::new(1),
            ready: Cell::new(false),
        }
    }

    /// Sets the readiness that `/readyz` reports.
    pub fn set_ready(&self, ready: bool) {
        self.ready.set(ready);
    }

    fn new_id(&self) -> RequestId {
        let number = self.next_id.get();
        self.next_id.set(number + 1);
        RequestId(self.id_prefix | u128::from(number))
    }

    /// Passes a request to the policy and waits for the head of its response.
    async fn submit(&self, arrived: CallerRequest) -> Response {
        let request = arrived.request;
        let (sender, receiver) = oneshot::channel();
        self.channels.borrow_mut().insert(request, ResponseChannel::NotStarted(sender));
        self.mailbox.put(Event::Arrived(Box::new(arrived)));
        let guard = DisconnectGuard { request: Some(request), mailbox: self.mailbox.clone() };
        let response = receiver.await;
        guard.disarm();
        response.unwrap_or_else(|_| json_response(500, &rejected("internal", "the request was dropped")))
    }

    /// Sends one token to the caller. The first token starts the stream.
    pub fn send_token(&self, request: RequestId, index: u32, id: u32, text: &str) {
        let event = sse("token", &json!({ "index": index, "id": id, "text": text }));
        let mut channels = self.channels.borrow_mut();
        let Some(channel) = channels.get_mut(&request) else { return };
        if let ResponseChannel::NotStarted(_) = channel {
            let (chunks, stream) = self.open_stream(request);
            let head = std::mem::replace(channel, ResponseChannel::Stream(chunks));
            if let ResponseChannel::NotStarted(sender) = head {
                // If the caller has disconnected, the guard in `submit` reports it.
                let _ = sender.send(events(stream));
            }
        }
        if let ResponseChannel::Stream(chunks) = channel {
            // If the caller has disconnected, the end of the stream reports it.
            let _ = chunks.send(event);
        }
    }

    /// Sends the outcome to the caller and ends the response.
    pub fn send_outcome(&self, request: RequestId, outcome: &Outcome, tokens: u32) {
        let body = outcome_body(request, outcome, tokens);
        match self.channels.borrow_mut().remove(&request) {
            Some(ResponseChannel::NotStarted(sender)) => {
                let _ = sender.send(json_response(outcome_status(outcome), &body));
            }
            Some(ResponseChannel::Stream(chunks)) => {
                let _ = chunks.send(sse("outcome", &body));
            }
            None => {}
        }
    }

    /// Responds to the caller that the request is rejected.
    pub fn reject(&self, request: RequestId, rejection: &Rejection, may_have_run: bool) {
        if let Some(ResponseChannel::NotStarted(sender)) = self.channels.borrow_mut().remove(&request) {
            let outcome = if may_have_run { "unknown" } else { "not_run" };
            let body =
                json!({ "outcome": outcome, "reason": rejection.reason(), "error": rejection.to_string() });
            let _ = sender.send(json_response(rejection.status(), &body));
        }
    }

    /// Removes the channel to the response of a caller that disconnected.
    pub fn remove_response(&self, request: RequestId) {
        self.channels.borrow_mut().remove(&request);
    }

    /// Creates the stream of a response, and reports how many tokens the connection reads and when the stream
    /// ends.
    fn open_stream(&self, request: RequestId) -> (mpsc::UnboundedSender<Bytes>, EventStream) {
        let (chunks, receiver) = mpsc::unbounded_channel();
        let (read_tokens, mut read_receiver) = mpsc::unbounded_channel();
        let (end, ended) = StreamGuard::new();
        let mailbox = self.mailbox.clone();
        actix_rt::spawn(async move {
            let mut ended = ended;
            loop {
                tokio::select! {
                    Some(tokens) = read_receiver.recv() => {
                        mailbox.put(Event::TokensRead { request, tokens });
                    }
                    _ = &mut ended => {
                        mailbox.put(Event::Disconnected(request));
                        return;
                    }
                }
            }
        });
        (chunks, EventStream::new(receiver, end, read_tokens))
    }
}

/// Reports a caller that disconnects before the response has started.
struct DisconnectGuard {
    request: Option<RequestId>,
    mailbox: Mailbox<Event>,
}

impl DisconnectGuard {
    fn disarm(mut self) {
        self.request = None;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if let Some(request) = self.request {
            self.mailbox.put(Event::Disconnected(request));
        }
    }
}

fn token_hash(request: &Request) -> String {
    let header = request.headers().get("authorization").and_then(|value| value.to_str().ok());
    match header.and_then(|value| value.strip_prefix("Bearer ")) {
        Some(token) => Sha256::digest(token.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect(),
        None => String::new(),
    }
}

fn sse(event: &str, data: &Value) -> Bytes {
    Bytes::from(format!("event: {event}\ndata: {data}\n\n"))
}

fn rejected(reason: &str, detail: &str) -> Value {
    json!({ "outcome": "not_run", "reason": reason, "error": detail })
}

fn outcome_body(request: RequestId, outcome: &Outcome, tokens: u32) -> Value {
    let (kind, reason) = (outcome.kind(), outcome.reason());
    match outcome {
        Outcome::Completed(Completion::Called { result }) => {
            // The result was serialized from the service's JSON answer, so it parses.
            let result: Value = serde_json::from_str(result).unwrap_or(Value::Null);
            json!({ "outcome": kind, "reason": reason, "request": request, "result": result })
        }
        _ => json!({ "outcome": kind, "reason": reason, "request": request, "tokens": tokens }),
    }
}

/// Returns the HTTP status of an outcome that is sent before any token.
fn outcome_status(outcome: &Outcome) -> u16 {
    match outcome {
        Outcome::Completed(_) => 200,
        Outcome::NotRun(reason) => match reason {
            NotRun::KeyConflict => 409,
            NotRun::KeyExpired | NotRun::KeyFromFuture | NotRun::Quarantined => 422,
            NotRun::QueueFull => 429,
            NotRun::Deadline => 504,
            NotRun::Cancelled => 499,
            NotRun::Draining
            | NotRun::LedgerUnavailable
            | NotRun::NoRoute
            | NotRun::Refused
            | NotRun::Unconfigured => 503,
        },
        Outcome::Failed(Failure::Deadline) => 504,
        Outcome::Failed(_) | Outcome::Unknown(_) => 502,
    }
}
