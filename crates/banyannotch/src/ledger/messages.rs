//! What the ledger hears and says.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{Fingerprint, RequestId};
use crate::request::{Doubt, Failure, IdempotencyKey, NotRun};

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
    Unknown(Doubt),
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
    Unknown(Doubt),
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

impl Recorded {
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
