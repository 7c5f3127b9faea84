//! Events and actions of intake, and the types that they carry.

use std::sync::Arc;

use super::Rejection;
use crate::configuration::Configuration;
use crate::ids::RequestId;
use crate::request::{Outcome, Reply, Submission};

/// An event that intake handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller's request arrived and was decoded.
    Arrived(Box<CallerRequest>),
    /// Admission or execution returned a token or an outcome.
    Reply(Reply),
    /// The caller's connection read some tokens.
    TokensRead {
        /// Request whose caller read the tokens.
        request: RequestId,
        /// Number of tokens.
        tokens: u32,
    },
    /// The caller disconnected, or the stream of its response ended.
    Disconnected(RequestId),
    /// A new configuration is in force.
    Configured(Arc<Configuration>),
    /// Whether it is certain which configuration is in force.
    ConfigurationCertain(bool),
    /// Time in microseconds until which it is certain which configuration is in force, even without further
    /// contact with the log or a peer.
    ConfigurationCertainUntil(u64),
    /// Stop accepting requests after the drain notice, and finish those in flight.
    Drain,
}

/// A caller's request after decoding and before validation.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Identifier that the front end assigned.
    pub request: RequestId,
    /// SHA-256 of the caller's token in hex; empty if there is no token.
    pub token_sha256: String,
    /// Time to the deadline, if the caller gave one.
    pub deadline_ms: Option<u64>,
    /// Priority, if the caller gave one.
    pub priority: Option<u8>,
    /// Time of arrival in Unix milliseconds, to compare with the time of its key.
    pub arrived_unix_ms: u64,
    /// Identifier that the caller assigned, if any.
    pub reference: Option<String>,
    /// Requested work.
    pub work: CallerWork,
}

/// Work that a caller requests.
#[derive(Clone, Debug)]
pub enum CallerWork {
    /// Generate an answer.
    Generate {
        /// Name of the model.
        model: String,
        /// Prompt text.
        prompt: String,
        /// Maximum number of tokens, if given.
        max_tokens: Option<u32>,
    },
    /// Call a plain service.
    Call {
        /// Name of the service.
        service: String,
        /// Operation of the service.
        operation: String,
        /// Payload as JSON text.
        payload: String,
        /// Whether the call may be repeated.
        idempotent: bool,
        /// Key of a call that must not be repeated.
        key: Option<String>,
        /// Time at which the caller created the key, in Unix milliseconds.
        key_time_ms: Option<u64>,
    },
}

/// An action that intake requests.
#[derive(Clone, Debug)]
pub enum Action {
    /// Submit the request to admission.
    Submit(Box<Submission>),
    /// Respond to the caller that the request is rejected.
    Reject {
        /// Identifier of the request.
        request: RequestId,
        /// Reason of the rejection.
        rejection: Rejection,
        /// Whether an earlier attempt to send the request with the same key may have run.
        may_have_run: bool,
    },
    /// Send the caller a token.
    Token {
        /// Identifier of the request.
        request: RequestId,
        /// Index of the token in the answer.
        index: u32,
        /// Token identifier.
        id: u32,
        /// Text of the token.
        text: String,
    },
    /// Send the caller the outcome and end the response.
    End {
        /// Identifier of the request.
        request: RequestId,
        /// Outcome of the request.
        outcome: Outcome,
        /// Number of tokens in the answer.
        tokens: u32,
    },
    /// Grant credit to execution, so that it may send more tokens.
    Credit {
        /// Identifier of the request.
        request: RequestId,
        /// Number of tokens.
        tokens: u32,
    },
    /// Cancel the request of a caller that disconnected.
    Cancel(RequestId),
    /// Count and log that an invariant does not hold.
    Violated {
        /// Identifier of the request.
        request: RequestId,
        /// Invariant that does not hold.
        invariant: crate::execution::Invariant,
    },
    /// All requests of a draining entry have been answered, so that the process can exit.
    Drained,
}
