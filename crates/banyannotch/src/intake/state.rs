//! Settings of intake and its requests in flight.

use serde::Deserialize;

/// Limits of intake.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct IntakeSettings {
    /// Tokens that are collected before execution gets credit for them, so that not each token costs a message.
    pub credit_batch_tokens: u32,
    /// How long a draining entry still takes requests, so that the balancer can notice first.
    pub drain_notice_ms: u64,
}

impl Default for IntakeSettings {
    fn default() -> Self {
        Self { credit_batch_tokens: 16, drain_notice_ms: 3_000 }
    }
}

/// A request that its caller waits for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Open {
    /// Tokens sent so far; the next one has this index.
    pub next_index: u32,
    /// Tokens taken by the caller that execution has no credit for yet.
    pub uncredited_tokens: u32,
    /// Whether the caller has gone.
    pub gone: bool,
    /// Whether the caller may have sent it before with the same key.
    pub may_be_resent: bool,
}
