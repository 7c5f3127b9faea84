//! What the ledger hears and says.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::records::{Batch, Page};
use crate::ids::{Fingerprint, LogOffset, RequestId};
use crate::request::{Failure, IdempotencyKey, NotRun, UnknownReason};

/// Random number that tells one claim from every other; only its holder may dispatch.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Nonce(pub crate::ids::RequestId);

/// What the ledger hears from execution.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// Asks for the right to dispatch a request.
    Claim(Claim),
    /// The request ended; its outcome is to be recorded.
    Record(Record),
    /// The caller went away before the claim was answered.
    Abandon(RequestId),
}

/// What the policy hears.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Input {
    /// The wall clock. It comes before the other inputs of a batch.
    Clock {
        /// Milliseconds since the Unix epoch.
        unix_ms: u64,
    },
    /// From execution.
    Asked(Event),
    /// A read of a shard's stream ended.
    Read {
        /// Shard that was read.
        shard: usize,
        /// The page, or none when the log could not be read.
        page: Option<Page>,
    },
    /// An append to a shard's stream ended.
    Appended {
        /// Shard that was appended to.
        shard: usize,
        /// What is known of the append.
        result: Appending,
    },
}

/// What is known of an append after its call has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Appending {
    /// The record is in the log.
    Done,
    /// Nothing was appended, and nothing will be.
    Refused,
    /// The record may be in the log, or may come into it later.
    Unclear,
}

/// What the policy wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Read a shard's stream.
    Read {
        /// Shard to read.
        shard: usize,
        /// First offset to read.
        from: LogOffset,
        /// Most records to read.
        max: u32,
        /// How long the log waits for a record.
        wait_ms: u64,
        /// How long to wait before reading.
        after_ms: u64,
    },
    /// Append a record to a shard's stream.
    Append {
        /// Shard to append to.
        shard: usize,
        /// Record to append.
        batch: Batch,
        /// How long the append may take.
        limit_ms: u64,
    },
    /// Answer execution.
    Answer(Answer),
    /// Log a decision.
    Decide(Decision),
    /// Count and log that an invariant does not hold.
    Violated {
        /// Invariant that does not hold.
        invariant: Invariant,
        /// Claim that it was seen at.
        nonce: Nonce,
    },
}

/// An invariant that guards the guarantee. It is checked in release builds too.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Invariant {
    /// A key is granted to at most one claim that was not recorded as not run.
    GrantedOnce,
    /// Only the holder of a key records its outcome.
    OutcomeOfHolder,
}

impl Invariant {
    /// Returns the name that logs and metrics use.
    pub fn name(self) -> &'static str {
        match self {
            Self::GrantedOnce => "granted_once",
            Self::OutcomeOfHolder => "outcome_of_holder",
        }
    }
}

/// Asks for the right to dispatch a non-idempotent request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    /// Request that asks.
    pub request: RequestId,
    /// Caller's key.
    pub key: IdempotencyKey,
    /// Digest of the payload, which must be the same for each use of the key.
    pub payload: Fingerprint,
    /// When the caller no longer waits.
    pub deadline_us: u64,
}

/// Outcome of a claimed request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Caller's key.
    pub key: IdempotencyKey,
    /// Nonce of the claim.
    pub nonce: Nonce,
    /// How it ended.
    pub outcome: Recorded,
}

/// Outcome as it is kept in the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Recorded {
    /// It ran; the JSON text is the service's result.
    Completed {
        /// Result of the service.
        result: String,
    },
    /// It ran and failed.
    Failed(Failure),
    /// It did not run; the key may be claimed again.
    NotRun(NotRun),
    /// It may have run.
    Unknown(UnknownReason),
}

/// What the ledger answers to a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Request that asked.
    pub request: RequestId,
    /// Whether it may run.
    pub verdict: Verdict,
}

/// Whether a claimed request may run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// This request, and no other one, may be dispatched.
    Granted(Nonce),
    /// The key was used before and this is the outcome.
    Recorded(Recorded),
    /// It does not run.
    Refused(NotRun),
    /// Another claim holds the key and its outcome is not known.
    Unknown(UnknownReason),
}

/// A decision of the ledger.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Decision {
    /// Request that it is about, if it is one of this entry.
    pub request: Option<RequestId>,
    /// What was decided.
    pub verdict: Verdict,
}

impl Decision {
    /// Returns the request that the decision is about.
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
            Verdict::Unknown(doubt) => write!(formatter, "decision=unknown reason={doubt}")?,
        }
        match self.request {
            Some(request) => write!(formatter, " request={request}"),
            None => Ok(()),
        }
    }
}

impl Verdict {
    /// Returns the name of the kind of verdict.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Granted(_) => "granted",
            Self::Recorded(_) => "recorded",
            Self::Refused(_) => "refused",
            Self::Unknown(_) => "unknown",
        }
    }
}

impl Recorded {
    /// Returns the bytes of the service's result.
    pub fn result_bytes(&self) -> usize {
        match self {
            Self::Completed { result } => result.len(),
            Self::Failed(_) | Self::NotRun(_) | Self::Unknown(_) => 0,
        }
    }

    /// Returns the name of the kind of outcome.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Completed { .. } => "completed",
            Self::Failed(_) => "failed",
            Self::NotRun(_) => "not_run",
            Self::Unknown(_) => "unknown",
        }
    }
}
