//! Traits that an adapter to a platform implements: the meaning of request and response heads, access to the store, and
//! the control of engines.

use std::future::Future;
use std::sync::Arc;

use thiserror::Error;

use super::http1::{RequestHead, ResponseHead};
use super::{Configuration, Endpoint, StorePosition};
use crate::ids::TeamId;
use crate::pipeline::{Address, LayerRange};

/// Maximum number of shared parts of a prompt that [`RequestInfo`] lists.
pub const SHARED_PART_LIMIT: usize = 16;

/// The parts of a caller's request that the gateway needs to route it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestInfo {
    /// Id that the caller gave this attempt.
    pub id: Arc<str>,
    /// Host without the port, in lower case.
    pub host: Arc<str>,
    /// Path and query.
    pub path: Arc<str>,
    /// API key of the caller's team.
    pub key: Option<Arc<str>>,
    /// Time until the caller's deadline, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Estimated length of the answer, in tokens.
    pub answer_tokens: u32,
    /// Id of the last event that the caller has received, if it resumes a stream.
    pub resume_after: Option<u64>,
    /// Digest of method, path, key and body. A repeated request has the same digest, also under another attempt id.
    pub digest: u64,
    /// Digests of the parts of the prompt that other requests may have too, from the most general to the most specific,
    /// at most [`SHARED_PART_LIMIT`]. The last part of the prompt belongs to this request only and is not listed.
    pub shared_parts: Vec<u64>,
}

impl RequestInfo {
    /// Returns the length of the prompt and the answer together, in tokens, at least 1. Callers may state any lengths.
    pub fn total_tokens(&self) -> f64 {
        (f64::from(self.prompt_tokens) + f64::from(self.answer_tokens)).max(1.0)
    }
}

/// Error in a request head.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum RequestError {
    /// The request has no attempt id, without which responses cannot be matched to it.
    #[error("the request has no attempt id")]
    NoId,
    /// A header has a value that cannot be parsed.
    #[error("header {0} cannot be read")]
    BadHeader(&'static str),
}

/// Information that the gateway adds to a request that it forwards to an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ForwardingInfo {
    /// Name of the endpoint. An endpoint with another name rejects the request.
    pub endpoint: Arc<str>,
    /// Team of the caller.
    pub team: Option<TeamId>,
    /// Time until the caller's deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Engines that the request passes through, with the layers that each of them runs; empty for plain services.
    pub path: Arc<[(Address, LayerRange)]>,
    /// Id of the last event that was delivered to the caller, if the endpoint is to resume a stream.
    pub resume_after: Option<u64>,
    /// Priority at the endpoint, from 0 (first) to 9; none for a service that is not classed.
    pub priority: Option<u8>,
}

/// Information in a response head apart from the status.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResponseInfo {
    /// Id of the attempt that the response belongs to.
    pub id: Option<Arc<str>>,
    /// Whether the response bears the signature of the endpoint.
    pub signed: bool,
    /// Whether the endpoint states that it did not run the request.
    pub not_run: bool,
    /// Engine of the pipeline that caused the failure, if the response names one.
    pub fault_at: Option<Address>,
    /// Numbers of requests that are running and queued at the endpoint.
    pub load: Option<(u32, u32)>,
    /// Whether the endpoint announces that it is leaving, so that it must get no further requests.
    pub leaving: bool,
    /// Time for which the endpoint wants no requests, in milliseconds, if it rejects this one.
    pub retry_after_ms: Option<u64>,
}

/// Interprets request and response heads of the platform.
pub trait Dialect: Clone + Send + 'static {
    /// Extracts the routing information from a request.
    ///
    /// # Errors
    /// Returns [`RequestError`] when the head cannot be used.
    fn request_info(&self, head: &RequestHead, body: &[u8])
    -> std::result::Result<RequestInfo, RequestError>;

    /// Writes the head of a request that is forwarded to an endpoint with a body of `body_len` bytes.
    fn write_head(&self, head: &RequestHead, info: &ForwardingInfo, body_len: usize, out: &mut Vec<u8>);

    /// Writes the head of a request that is handed on to another gateway with a body of `body_len` bytes: that of the caller,
    /// with the time and the last event of `info`.
    fn write_handoff_head(
        &self,
        head: &RequestHead,
        info: &ForwardingInfo,
        body_len: usize,
        out: &mut Vec<u8>,
    );

    /// Extracts the information from a response head.
    fn response_info(&self, head: &ResponseHead) -> ResponseInfo;

    /// Returns whether a response header is not forwarded to the caller, because it applies to one connection only or
    /// is meant for the gateway.
    fn is_hop_header(&self, name: &str) -> bool;

    /// Returns the path on which the platform's load balancer checks readiness.
    fn readiness_path(&self) -> &'static str;
}

/// A sequence of records in the store.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Feed {
    /// Records that the operator writes.
    Configuration,
    /// Entries in which endpoints describe themselves.
    Endpoints,
}

/// A decoded record of a feed.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A version of the configuration.
    Configuration(Arc<Configuration>),
    /// The entry of an endpoint.
    Endpoint(Endpoint),
    /// The entry of an endpoint was removed or cannot be used.
    NoEndpoint {
        /// Name of the endpoint.
        id: Arc<str>,
        /// Why the entry cannot be used; none if it was removed.
        fault: Option<String>,
    },
    /// A record that cannot be decoded and belongs to no endpoint.
    Unreadable {
        /// Key of the record.
        key: String,
        /// Why the record cannot be decoded.
        fault: String,
    },
}

/// Records from one read, and the position of the next read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Batch {
    /// Records, oldest first.
    pub records: Vec<Record>,
    /// Offset to continue reading from.
    pub next: u64,
    /// Era of the store that answered.
    pub era: u64,
    /// Size of the response data, in bytes.
    pub bytes: usize,
}

impl Batch {
    /// Returns the position to continue reading from.
    pub fn position(&self) -> StorePosition {
        StorePosition::new(self.era, self.next)
    }
}

/// Result of a call to the store.
pub type StoreResult<T> = std::result::Result<T, StoreFailure>;

/// A failed call to the store.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{error}")]
pub struct StoreFailure {
    /// Why the call failed.
    pub error: StoreError,
    /// Era of the store that answered; none if there was no answer or its era cannot be read.
    pub era: Option<u64>,
}

impl From<StoreError> for StoreFailure {
    fn from(error: StoreError) -> Self {
        Self { error, era: None }
    }
}

/// Error of a call to the store.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum StoreError {
    /// The store rejected the call because of its rate limit; the call had no effect.
    #[error("the store rejected the call because of its rate limit")]
    RateExceeded,
    /// The store is not available; the call had no effect.
    #[error("the store is not available")]
    Unavailable,
    /// The requested records have expired. The caller has to start again from the newest records.
    #[error("the records have expired")]
    Expired,
    /// The response states an era that cannot be read, so it is not known what its offsets mean.
    #[error("the response states an era that cannot be read: {0}")]
    UnreadableEra(String),
    /// The response is of an era that has ended, or states none although the store has stated one before.
    #[error("the response is of era {era}, although the store was in era {known} before")]
    EarlierEra {
        /// Era of the response.
        era: u64,
        /// Latest era that is known.
        known: u64,
    },
    /// There was no usable response, so the store may have executed the call.
    #[error("no usable response from the store: {0}")]
    Unknown(String),
}

/// Membership in a group that the store coordinates.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Group {
    /// Era of the store that answered; the group of an earlier one does not exist any more.
    pub era: u64,
    /// Generation of the group as of the last join.
    pub generation: u64,
    /// Partitions that this member owns, sorted. Each entitles it to give orders to a part of the engines.
    pub partitions: Vec<u64>,
}

/// Access to the platform's store. `limit_ms` is the timeout of each HTTP call that a method makes.
///
/// A store that comes back from a backup has lost the latest writes and assigns their offsets again. Its era, a number that
/// grows with each such return, shows that. The era of a store that states none is 0.
pub trait Store: Clone + 'static {
    /// Returns the newest record of each key, and the offset for the following call of [`Store::follow`].
    fn newest(&self, feed: Feed, limit_ms: u64) -> impl Future<Output = StoreResult<Batch>>;

    /// Returns the records from an offset on. If there is none yet, waits up to `wait_ms` for one.
    fn follow(
        &self,
        feed: Feed,
        from: u64,
        wait_ms: u64,
        limit_ms: u64,
    ) -> impl Future<Output = StoreResult<Batch>>;

    /// Joins the group of gateways that may give orders, or renews the membership for `ttl_ms`. `generation` is the one
    /// last returned.
    fn join(&self, member: &str, generation: u64, ttl_ms: u64) -> impl Future<Output = StoreResult<Group>>;

    /// Leaves the group of gateways that may give orders.
    fn leave(&self, member: &str) -> impl Future<Output = StoreResult<()>>;
}

/// State that an engine reports on request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineReport {
    /// Unix time of the engine's start, in milliseconds.
    pub born_ms: u64,
    /// Number of orders that the engine has accepted since its start.
    pub orders: u64,
    /// Whether the engine is executing an order.
    pub busy: bool,
    /// Layers that the engine holds.
    pub layers: Option<LayerRange>,
    /// Slowdown factor relative to the nominal speed of the engine's card type; above 1 the engine is slower.
    pub pace: f64,
    /// Engines that the engine's requests wait for without a response.
    pub stalled: Vec<Address>,
}

/// Result of sending an order to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderReply {
    /// The engine has started to execute the order, or its state already conforms to it.
    Accepted,
    /// The engine rejected the order with this HTTP status; 0 if the order was not sent.
    Refused(u16),
    /// There was no usable response: the engine may have accepted the order or may still accept it.
    Unknown(String),
}

/// Control of engines. `limit_ms` is the timeout of a call.
pub trait EngineControl: Clone + 'static {
    /// Requests the state of an engine. Returns none if there was no usable report.
    fn report(&self, address: Address, limit_ms: u64) -> impl Future<Output = Option<EngineReport>>;

    /// Orders an engine to hold exactly the given layers. `orders` is the number of orders that the engine must have
    /// accepted so far; otherwise it rejects this one.
    fn place(
        &self,
        address: Address,
        layers: LayerRange,
        orders: u64,
        limit_ms: u64,
    ) -> impl Future<Output = OrderReply>;
}
