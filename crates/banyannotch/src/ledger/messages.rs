//! Inputs, actions and answers of the ledger.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::records::{Batch, Page};
use crate::ids::{Fingerprint, LogOffset, RequestId};
use crate::request::{Failure, IdempotencyKey, NotRun, UnknownReason};

/// Random number that identifies one claim. Only the claim with the granted nonce may dispatch the request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Nonce(pub crate::ids::RequestId);

/// Events that execution sends to the ledger.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// Requests the right to dispatch a request.
    Claim(Claim),
    /// Requests that the outcome of a request be recorded.
    RecordOutcome(OutcomeReport),
    /// The caller disconnected before the claim was answered.
    Abandon(RequestId),
}

/// Inputs of the policy.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Input {
    /// Reading of the wall clock. It precedes the other inputs of a batch.
    Clock {
        /// Milliseconds since the Unix epoch.
        unix_ms: u64,
    },
    /// Event from execution.
    Event(Event),
    /// A read of a shard's stream ended.
    Read {
        /// Shard that was read.
        shard: usize,
        /// The page, or `None` if the read failed.
        page: Option<Page>,
    },
    /// An append to a shard's stream ended.
    Appended {
        /// Shard that was appended to.
        shard: usize,
        /// Result of the append.
        result: AppendResult,
    },
}

/// Result of an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendResult {
    /// The record is in the log.
    Done,
    /// The record was not appended and will not be.
    Refused,
    /// The record may be in the log, or may still be appended later.
    Unclear,
}

/// Actions that the policy requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Read a shard's stream.
    Read {
        /// Shard to read.
        shard: usize,
        /// First offset to read.
        from: LogOffset,
        /// Maximum number of records to read.
        max_records: u32,
        /// How long the log may hold the read open until a record arrives.
        wait_ms: u64,
        /// Delay before the read starts.
        delay_ms: u64,
    },
    /// Append a record to a shard's stream.
    Append {
        /// Shard to append to.
        shard: usize,
        /// Record to append.
        batch: Batch,
        /// Timeout of the append.
        timeout_ms: u64,
    },
    /// Answer a claim of execution.
    Answer(Answer),
    /// Log a decision.
    Decide(Decision),
    /// Count and log an invariant violation.
    Violated {
        /// Violated invariant.
        invariant: Invariant,
        /// Claim that violated it.
        nonce: Nonce,
    },
}

/// An invariant behind the at-most-once guarantee. It is checked in release builds too.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Invariant {
    /// At most one claim of a key is granted, not counting claims that were recorded as not run.
    GrantedOnce,
    /// Only the claim that holds a key records the key's outcome.
    OutcomeOfHolder,
}

impl Invariant {
    /// Returns the name of the invariant in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::GrantedOnce => "granted_once",
            Self::OutcomeOfHolder => "outcome_of_holder",
        }
    }
}

/// Claim of the right to dispatch a non-idempotent request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    /// Request that is to be dispatched.
    pub request: RequestId,
    /// Caller's idempotency key.
    pub key: IdempotencyKey,
    /// Digest of the payload. Every use of a key must have the same payload.
    pub payload: Fingerprint,
    /// Deadline of the caller, in microseconds of the monotonic clock.
    pub deadline_us: u64,
}

/// Outcome of a claimed request, as execution reports it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OutcomeReport {
    /// Caller's idempotency key.
    pub key: IdempotencyKey,
    /// Nonce of the granted claim.
    pub nonce: Nonce,
    /// Outcome of the request.
    pub outcome: RecordedOutcome,
}

/// Outcome as it is stored in the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordedOutcome {
    /// The request ran and completed.
    Completed {
        /// Result of the service, as JSON text.
        result: String,
    },
    /// The request ran and failed.
    Failed(Failure),
    /// The request did not run; the key may be claimed again.
    NotRun(NotRun),
    /// The request may have run.
    Unknown(UnknownReason),
}

/// Answer of the ledger to a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Request of the claim.
    pub request: RequestId,
    /// Whether the request may run.
    pub verdict: Verdict,
}

/// Whether a claimed request may run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// This request alone may be dispatched.
    Granted(Nonce),
    /// An earlier request with the key ended with this outcome.
    Recorded(RecordedOutcome),
    /// The request must not run.
    Refused(NotRun),
    /// Another claim holds the key, and its outcome is not known.
    Unknown(UnknownReason),
}

/// Decision of the ledger, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Decision {
    /// Request that the decision concerns, if this entry handles it.
    pub request: Option<RequestId>,
    /// Verdict on the request.
    pub verdict: Verdict,
}

impl Decision {
    /// Returns the request that the decision concerns.
    pub fn request(&self) -> Option<RequestId> {
        self.request
    }
}

impl fmt::Display for Decision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.verdict {
            Verdict::Granted(nonce) => write!(formatter, "decision=granted nonce={}", nonce.0)?,
            Verdict::Recorded(recorded) => {
                write!(formatter, "decision=recorded outcome={}", recorded.kind())?;
            }
            Verdict::Refused(reason) => write!(formatter, "decision=refused reason={reason}")?,
            Verdict::Unknown(reason) => write!(formatter, "decision=unknown reason={reason}")?,
        }
        match self.request {
            Some(request) => write!(formatter, " request={request}"),
            None => Ok(()),
        }
    }
}

impl Verdict {
    /// Returns the name of the verdict in logs and metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Granted(_) => "granted",
            Self::Recorded(_) => "recorded",
            Self::Refused(_) => "refused",
            Self::Unknown(_) => "unknown",
        }
    }
}

impl RecordedOutcome {
    /// Returns the size of the service's result.
    pub fn result_bytes(&self) -> usize {
        match self {
            Self::Completed { result } => result.len(),
            Self::Failed(_) | Self::NotRun(_) | Self::Unknown(_) => 0,
        }
    }

    /// Returns the name of the outcome in logs.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Completed { .. } => "completed",
            Self::Failed(_) => "failed",
            Self::NotRun(_) => "not_run",
            Self::Unknown(_) => "unknown",
        }
    }
}
