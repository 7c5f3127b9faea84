//! Request and response bodies of the callers' protocol, as a caller encodes and decodes them.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Body of `POST /v1/generate`.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct GenerateBody {
    /// Model to run.
    pub model: String,
    /// Prompt text.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Time until the deadline, in milliseconds.
    pub deadline_ms: u64,
}

/// Body of `POST /v1/call`.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct CallBody {
    /// Service to call.
    pub service: String,
    /// Operation of the service.
    pub operation: String,
    /// Argument of the operation.
    pub payload: Value,
    /// Time until the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Whether the call may be repeated.
    pub idempotent: bool,
    /// Key of a call that must not be repeated.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// Time at which the caller created the key, in Unix milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key_time_ms: Option<u64>,
}

/// An event of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A generated token.
    Token(TokenBody),
    /// The outcome, which ends the answer.
    Outcome(OutcomeBody),
}

/// A token of an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct TokenBody {
    /// Position in the answer, from 0.
    pub index: u32,
    /// ID of the token.
    pub id: u32,
    /// Text of the token.
    pub text: String,
}

/// The outcome of a request.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct OutcomeBody {
    /// `completed`, `not_run`, `failed` or `unknown`.
    pub outcome: String,
    /// Name of the reason for the outcome, if it has one.
    #[serde(default)]
    pub reason: Option<String>,
    /// ID of the request in the router. `None` if the request was rejected before it got one.
    #[serde(default)]
    pub request: Option<String>,
    /// Number of tokens sent before the outcome. Absent after a rejection and after a completed service call.
    #[serde(default)]
    pub tokens: Option<u32>,
    /// Result of a service call.
    #[serde(default)]
    pub result: Option<Value>,
    /// Error of a rejected request: what is wrong, and which values are allowed.
    #[serde(default)]
    pub error: Option<String>,
}
