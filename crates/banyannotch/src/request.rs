//! Requests as they are passed between the duties, and the four kinds of outcome.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::configuration::Configuration;
use crate::ids::{Fingerprint, ModelId, RequestId, ServiceId, TeamId};
use crate::random::mix;

/// A validated request of a known team.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Identifier of the request inside the system.
    pub request: RequestId,
    /// Identifier that the caller gave, for the caller's own records.
    pub caller_reference: Option<String>,
    /// Team that sent it.
    pub team: TeamId,
    /// Arrival time on the clock of the process.
    pub arrived_us: u64,
    /// Deadline on the clock of the process. The caller does not wait longer.
    pub deadline_us: u64,
    /// Priority within the team, 0 to 9; higher runs first.
    pub priority: u8,
    /// Generation or call to run.
    pub work: Work,
    /// Configuration at the arrival of the request. It applies to the request until the request ends.
    pub configuration: Arc<Configuration>,
}

/// Content of a request.
#[derive(Clone, Debug)]
pub enum Work {
    /// Generate an answer with a model.
    Generate(Generation),
    /// Call a plain service.
    Call(Call),
}

/// A generation with a model.
#[derive(Clone, Debug)]
pub struct Generation {
    /// Model to run.
    pub model: ModelId,
    /// Prompt text.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
}

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct Call {
    /// Service to call.
    pub service: ServiceId,
    /// Operation of the service.
    pub operation: String,
    /// Argument of the operation, as JSON text.
    pub payload: String,
    /// Whether the call may run more than once.
    pub repeat: Repeat,
}

/// Whether a call may run more than once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Repeat {
    /// Running the call twice has the same effect as running it once.
    Idempotent,
    /// The call runs at most once; the ledger records the key.
    AtMostOnce(IdempotencyKey),
}

/// The caller's key of a non-idempotent request. It includes the team, so that keys of different teams cannot collide.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct IdempotencyKey {
    /// Team that created the key.
    pub team: TeamId,
    /// Text of the key.
    pub key: String,
    /// Time at which the caller created the key, in Unix milliseconds. A resend has the same time.
    pub made_ms: u64,
}

impl Submission {
    /// Returns the digest of the content, which is the same for a resend of the request.
    pub fn fingerprint(&self) -> Fingerprint {
        match &self.work {
            Work::Generate(generation) => digest(&[generation.model.as_str(), &generation.prompt]),
            Work::Call(call) => digest(&[call.service.as_str(), &call.operation, &call.payload]),
        }
    }
}

/// Returns a 128-bit digest of a list of texts, for look-ups. It is the same in every process, but is not
/// cryptographically secure.
pub fn digest(parts: &[&str]) -> Fingerprint {
    let (mut low, mut high) = (0x243f_6a88_85a3_08d3_u64, 0x1319_8a2e_0370_7344_u64);
    for part in parts {
        for chunk in part.as_bytes().chunks(8) {
            let word = chunk.iter().fold(0_u64, |word, byte| (word << 8) | u64::from(*byte));
            low = mix(low ^ word);
            high = mix(high.rotate_left(17) ^ word);
        }
        let length = part.len() as u64;
        low = mix(low ^ length);
        high = mix(high ^ length.rotate_left(32));
    }
    Fingerprint((u128::from(high) << 64) | u128::from(low))
}

/// Outcome of a request. Each request has exactly one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The whole answer was delivered.
    Completed(Completion),
    /// No part of the request ran.
    NotRun(NotRun),
    /// Part of the request ran, and the rest cannot be completed.
    Failed(Failure),
    /// It is not known whether the request ran.
    Unknown(UnknownReason),
}

/// Result of a completed request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Completion {
    /// Result of a generation, whose tokens were already delivered one by one.
    Generated {
        /// Number of generated tokens.
        tokens: u32,
    },
    /// Result of a call of a plain service.
    Called {
        /// Result of the operation, as JSON text.
        result: String,
    },
}

/// Reason why a request did not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRun {
    /// The caller disconnected before the request started.
    Cancelled,
    /// The deadline has passed, or the predicted completion is after the deadline.
    Deadline,
    /// The entry is draining.
    Draining,
    /// The key was first used with a different payload.
    KeyConflict,
    /// The key is older than the retention time of the ledger.
    KeyExpired,
    /// The creation time of the key is in the future.
    KeyFromFuture,
    /// The claim of the key was not recorded in the log in time.
    LedgerUnavailable,
    /// No pipeline or endpoint is available for the request.
    NoRoute,
    /// The queue of the team or of the entry is full.
    QueueFull,
    /// Requests with this content crashed endpoints.
    Quarantined,
    /// The endpoint refused the request before it started.
    Refused,
    /// The entry has no configuration, or no longer knows which one is in force.
    Unconfigured,
}

impl NotRun {
    /// Returns whether the reason also rules out that an earlier sending with the same key ran. The other reasons are
    /// determined without the ledger, or while the ledger does not know the state of the key.
    pub fn rules_out_earlier_sendings(self) -> bool {
        match self {
            Self::KeyConflict | Self::KeyFromFuture | Self::Refused => true,
            Self::Cancelled
            | Self::Deadline
            | Self::Draining
            | Self::KeyExpired
            | Self::LedgerUnavailable
            | Self::NoRoute
            | Self::QueueFull
            | Self::Quarantined
            | Self::Unconfigured => false,
        }
    }
}

/// Reason why a request that started did not complete.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Failure {
    /// The caller disconnected.
    Cancelled,
    /// The deadline passed.
    Deadline,
    /// No replacement for a failed stage was available in time.
    NoReplacement,
    /// Requests with this content crashed endpoints.
    Quarantined,
    /// The retry budget is used up.
    RetriesExhausted,
    /// The service reported that the operation failed.
    Service,
}

/// Reason why it is not known whether a request ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UnknownReason {
    /// The connection broke when the request may already have been sent.
    ConnectionLost,
    /// This sending did not run, but an earlier one with the same key may have.
    EarlierSending,
    /// The call was dispatched under an earlier claim of the key, and its outcome was not recorded.
    HolderLost,
    /// No answer arrived in time.
    NoAnswer,
}

macro_rules! display_by_serde_name {
    ($($name:ident),*) => {$(
        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.serialize(formatter)
            }
        }
    )*};
}

display_by_serde_name!(NotRun, Failure, UnknownReason);

impl Outcome {
    /// Returns the name of the kind of outcome, as it is sent to callers.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Completed(_) => "completed",
            Self::NotRun(_) => "not_run",
            Self::Failed(_) => "failed",
            Self::Unknown(_) => "unknown",
        }
    }

    /// Returns the name of the reason, or `None` for a completed request.
    pub fn reason(&self) -> Option<String> {
        match self {
            Self::Completed(_) => None,
            Self::NotRun(reason) => Some(reason.to_string()),
            Self::Failed(reason) => Some(reason.to_string()),
            Self::Unknown(reason) => Some(reason.to_string()),
        }
    }
}

/// Message from execution or admission to intake about a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// One token of the answer.
    Token {
        /// Request that the token belongs to.
        request: RequestId,
        /// Position in the answer, counted from 0.
        index: u32,
        /// Token number.
        id: u32,
        /// Text of the token.
        text: String,
    },
    /// The request has ended.
    Ended {
        /// Request that ended.
        request: RequestId,
        /// Outcome of the request.
        outcome: Outcome,
    },
}
