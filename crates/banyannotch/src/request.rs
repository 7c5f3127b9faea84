//! A request as all duties see it, and the four outcomes that it can have.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::configuration::Configuration;
use crate::ids::{Fingerprint, ModelId, RequestId, ServiceId, TeamId};
use crate::random::mix;

/// A well-formed request of a known team.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Identifier inside the system.
    pub request: RequestId,
    /// Identifier that the caller gave, for the caller's own records.
    pub caller_reference: Option<String>,
    /// Team that sent it.
    pub team: TeamId,
    /// When it arrived.
    pub arrived_us: u64,
    /// When the caller no longer waits.
    pub deadline_us: u64,
    /// Higher runs first within a team; 0 to 9.
    pub priority: u8,
    /// What is to be done.
    pub work: Work,
    /// Configuration that the request was admitted under and keeps until it ends.
    pub configuration: Arc<Configuration>,
}

/// What a request asks for.
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
    /// Most tokens to generate.
    pub max_tokens: u32,
}

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct Call {
    /// Service to call.
    pub service: ServiceId,
    /// Operation of the service.
    pub operation: String,
    /// JSON text for the service.
    pub payload: String,
    /// Whether the call may be repeated.
    pub repeat: Repeat,
}

/// Whether a call may run more than once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Repeat {
    /// Running it twice does no harm.
    Idempotent,
    /// It runs at most once.
    AtMostOnce(IdempotencyKey),
}

/// The caller's key of a non-idempotent request. The team is part of it, so that teams cannot meet in one key.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct IdempotencyKey {
    /// Team that made the key.
    pub team: TeamId,
    /// Text of the key.
    pub key: String,
    /// When the caller made the key, in Unix milliseconds. A resend carries the same time.
    pub made_ms: u64,
}

impl Submission {
    /// Digest of what is asked for, equal for a resend of the same request.
    pub fn fingerprint(&self) -> Fingerprint {
        match &self.work {
            Work::Generate(generation) => digest(&[generation.model.as_str(), &generation.prompt]),
            Work::Call(call) => digest(&[call.service.as_str(), &call.operation, &call.payload]),
        }
    }
}

/// Stable 128-bit digest of some texts; for lookup, not for secrets.
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

/// How a request ended. There is exactly one for each request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The whole answer was delivered.
    Completed(Completion),
    /// Nothing of it ran.
    NotRun(NotRun),
    /// Some of it ran and it cannot be finished.
    Failed(Failure),
    /// It may or may not have run.
    Unknown(Doubt),
}

/// What a completed request gave.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Completion {
    /// A generation; the tokens were delivered before.
    Generated {
        /// Number of tokens.
        tokens: u32,
    },
    /// A call of a service.
    Called {
        /// JSON text from the service.
        result: String,
    },
}

/// Why a request did not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRun {
    /// The caller went away before it began.
    Cancelled,
    /// The predicted finish or the deadline itself has passed.
    Deadline,
    /// The entry is draining.
    Draining,
    /// The key's first use had another payload.
    KeyConflict,
    /// The key is older than the ledger remembers.
    KeyExpired,
    /// The key's time is in the future.
    KeyFromFuture,
    /// The log could not record the claim in time.
    LedgerUnavailable,
    /// No pipeline or endpoint is available.
    NoRoute,
    /// The team's or the entry's queue is full.
    QueueFull,
    /// Requests with this content crashed endpoints.
    Quarantined,
    /// The endpoint refused it before it started.
    Refused,
    /// The entry has no configuration, or can no longer know which one is in force.
    Unconfigured,
}

impl NotRun {
    /// Returns whether the reason also says that no earlier sending with the same key ran. The others are found without
    /// the ledger, or when it cannot tell.
    pub fn covers_earlier_sendings(self) -> bool {
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

/// Why a request that ran did not finish.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Failure {
    /// The caller went away.
    Cancelled,
    /// The deadline passed.
    Deadline,
    /// No replacement for a failed stage was found in time.
    NoReplacement,
    /// Requests with this content crashed endpoints.
    Quarantined,
    /// The retry budget is used up.
    RetriesExhausted,
    /// The service reported a failure of its own.
    Service,
}

/// Why it is not known whether a request ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Doubt {
    /// The connection broke after the request could have left.
    ConnectionLost,
    /// This sending did not run, and it is not known here whether an earlier one with the same key did.
    EarlierSending,
    /// Another entry dispatched it, and its outcome is not recorded.
    HolderLost,
    /// No answer before the deadline.
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

display_by_serde_name!(NotRun, Failure, Doubt);

impl Outcome {
    /// Returns the name of the kind of outcome, as callers see it.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Completed(_) => "completed",
            Self::NotRun(_) => "not_run",
            Self::Failed(_) => "failed",
            Self::Unknown(_) => "unknown",
        }
    }

    /// Returns the typed reason as text, if the kind has one.
    pub fn reason(&self) -> Option<String> {
        match self {
            Self::Completed(_) => None,
            Self::NotRun(reason) => Some(reason.to_string()),
            Self::Failed(reason) => Some(reason.to_string()),
            Self::Unknown(reason) => Some(reason.to_string()),
        }
    }
}

/// What execution and admission tell intake about a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// One token of the answer.
    Token {
        /// Request that it belongs to.
        request: RequestId,
        /// Place in the answer, from 0.
        index: u32,
        /// Token number.
        id: u32,
        /// Text of the token.
        text: String,
    },
    /// The end of the request.
    Ended {
        /// Request that ended.
        request: RequestId,
        /// How it ended.
        outcome: Outcome,
    },
}
