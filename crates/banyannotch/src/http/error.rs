//! Failures of HTTP input and of calls to other processes.

use thiserror::Error;

/// Result of reading input.
pub type Result<T> = std::result::Result<T, InputError>;

/// What was wrong with a request that we received.
#[derive(Debug, Error)]
pub enum InputError {
    /// The body is larger than allowed.
    #[error("the body is larger than {limit_bytes} bytes")]
    TooLarge {
        /// Largest body that is accepted.
        limit_bytes: usize,
    },
    /// The body did not arrive in time.
    #[error("the body did not arrive within {limit_ms} ms")]
    TooSlow {
        /// Longest time that reading a body may take.
        limit_ms: u64,
    },
    /// The connection broke inside the body.
    #[error("the body is truncated")]
    Truncated,
    /// The body is not the expected JSON.
    #[error("the body is not valid: {0}")]
    Malformed(#[from] serde_json::Error),
}

impl InputError {
    /// Returns the HTTP status that tells the caller what was wrong.
    pub fn status(&self) -> u16 {
        match self {
            Self::TooLarge { .. } => 413,
            Self::TooSlow { .. } => 408,
            Self::Truncated | Self::Malformed(_) => 400,
        }
    }
}

/// Why a call to another process gave no answer. The difference between the first two decides what may be repeated.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum CallError {
    /// No connection was made, so nothing was sent.
    #[error("no connection: {0}")]
    NotSent(String),
    /// The connection broke after the request could have left.
    #[error("the connection broke: {0}")]
    Broken(String),
    /// No answer came in time.
    #[error("no answer within {limit_ms} ms")]
    TimedOut {
        /// How long the answer was awaited.
        limit_ms: u64,
    },
    /// The answer could not be read.
    #[error("the answer is not valid: {0}")]
    BadAnswer(String),
}
