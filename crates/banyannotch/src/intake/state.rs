//! Settings of intake, and the state of its open requests.

use serde::{Deserialize, Serialize};

/// Limits of intake.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct IntakeSettings {
    /// Number of read tokens for which execution is granted credit in one message, so that there is not one
    /// message for each token.
    pub credit_batch_tokens: u32,
    /// How long a draining entry still accepts requests, so that the load balancer can first detect that it
    /// is not ready.
    pub drain_notice_ms: u64,
    /// Memory that the requests of all callers can take together, in megabytes.
    pub callers_limit_mb: usize,
}

impl Default for IntakeSettings {
    fn default() -> Self {
        Self { credit_batch_tokens: 16, drain_notice_ms: 3_000, callers_limit_mb: 64 }
    }
}

/// A request that has been submitted and has no outcome yet.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct OpenRequest {
    /// Index of the next token, which is the number of tokens received so far.
    pub next_index: u32,
    /// Number of tokens that the caller has read and for which execution has not been granted credit yet.
    pub uncredited_tokens: u32,
    /// Whether the caller has disconnected.
    pub disconnected: bool,
    /// Whether the caller may have sent the request before with the same key.
    pub may_be_resend: bool,
}
