//! What intake hears and says.

use std::sync::Arc;

use super::Rejection;
use crate::configuration::Configuration;
use crate::ids::RequestId;
use crate::request::{Outcome, Reply, Submission};

/// What intake hears.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller sent a request that could be decoded.
    Arrived(Box<CallerRequest>),
    /// Admission or execution answers.
    Reply(Reply),
    /// The caller's connection took some tokens.
    Taken {
        /// Request whose caller read on.
        request: RequestId,
        /// Number of tokens.
        tokens: u32,
    },
    /// The caller went away.
    Gone(RequestId),
    /// A new configuration.
    Configured(Arc<Configuration>),
    /// Whether it is still known which configuration is in force.
    Certain(bool),
    /// The time up to which that is known without further contact.
    CertainUntil(u64),
    /// Take no more requests and finish those in flight.
    Drain,
}

/// A caller's request after decoding, before any check.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Identifier that the front gave it.
    pub request: RequestId,
    /// SHA-256 of the caller's token, in hex; empty without a token.
    pub token_sha256: String,
    /// Time to the deadline, if the caller gave one.
    pub deadline_ms: Option<u64>,
    /// Priority, if the caller gave one.
    pub priority: Option<u8>,
    /// When it arrived, in Unix milliseconds, to compare with the time of its key.
    pub arrived_ms: u64,
    /// Caller's own identifier.
    pub reference: Option<String>,
    /// What is asked for.
    pub work: CallerWork,
}

/// What a caller asks for.
#[derive(Clone, Debug)]
pub enum CallerWork {
    /// Generate an answer.
    Generate {
        /// Name of the model.
        model: String,
        /// Prompt text.
        prompt: String,
        /// Most tokens, if given.
        max_tokens: Option<u32>,
    },
    /// Call a plain service.
    Call {
        /// Name of the service.
        service: String,
        /// Operation.
        operation: String,
        /// JSON text.
        payload: String,
        /// Whether it may be repeated.
        idempotent: bool,
        /// Key of a call that must not be repeated.
        key: Option<String>,
        /// When the key was made, in Unix milliseconds.
        key_time_ms: Option<u64>,
    },
}

/// What intake wants done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Give the request to admission.
    Submit(Box<Submission>),
    /// Answer the caller that the request is rejected.
    Reject {
        /// Request.
        request: RequestId,
        /// What is wrong.
        rejection: Rejection,
        /// Whether an earlier sending with the same key may have run.
        may_have_run: bool,
    },
    /// Send the caller a token.
    Token {
        /// Request.
        request: RequestId,
        /// Place in the answer.
        index: u32,
        /// Token number.
        id: u32,
        /// Text of the token.
        text: String,
    },
    /// Send the caller the outcome and end the response.
    End {
        /// Request.
        request: RequestId,
        /// How it ended.
        outcome: Outcome,
        /// Tokens that were sent.
        tokens: u32,
    },
    /// Let execution send more tokens.
    Credit {
        /// Request.
        request: RequestId,
        /// Number of tokens.
        tokens: u32,
    },
    /// Tell the duties that the caller went away.
    Cancel(RequestId),
    /// Count and log that an answer is not what the caller is owed.
    Violated {
        /// Request.
        request: RequestId,
        /// Invariant that does not hold.
        invariant: crate::execution::Invariant,
    },
    /// Everything has been answered while draining; the process can end.
    Drained,
}
