//! JSON bodies of the callers' protocol, from the caller's side.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Body of `POST /v1/generate`.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct GenerateBody {
    /// Model to run.
    pub model: String,
    /// Prompt text.
    pub prompt: String,
    /// Most tokens.
    pub max_tokens: u32,
    /// Time to the deadline.
    pub deadline_ms: u64,
}

/// Body of `POST /v1/call`.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct CallBody {
    /// Service to call.
    pub service: String,
    /// Operation of it.
    pub operation: String,
    /// Argument.
    pub payload: Value,
    /// Time to the deadline.
    pub deadline_ms: u64,
    /// Whether it may be repeated.
    pub idempotent: bool,
    /// Key of a call that must not be repeated.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// When the key was made, in Unix milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key_time_ms: Option<u64>,
}

/// One event of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A token.
    Token(TokenBody),
    /// The outcome, which ends the answer.
    Outcome(OutcomeBody),
}

/// A token of an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct TokenBody {
    /// Place in the answer.
    pub index: u32,
    /// Token number.
    pub id: u32,
    /// Text.
    pub text: String,
}

/// The outcome of a request.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct OutcomeBody {
    /// `completed`, `not_run`, `failed` or `unknown`.
    pub outcome: String,
    /// Typed reason.
    #[serde(default)]
    pub reason: Option<String>,
    /// Identifier inside the system; none when the request was rejected before it got one.
    #[serde(default)]
    pub request: Option<String>,
    /// Tokens that were sent.
    #[serde(default)]
    pub tokens: Option<u32>,
    /// Result of a service.
    #[serde(default)]
    pub result: Option<Value>,
    /// What is wrong and what is allowed, for a rejected request.
    #[serde(default)]
    pub error: Option<String>,
}
