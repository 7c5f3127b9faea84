//! Errors in received requests and in calls to other processes.

use thiserror::Error;

/// Result of reading the body of a request.
pub type Result<T> = std::result::Result<T, InputError>;

/// Error in the body of a received request.
#[derive(Debug, Error)]
pub enum InputError {
    /// The body is larger than allowed.
    #[error("the body is larger than {limit_bytes} bytes")]
    TooLarge {
        /// Maximum size of a body.
        limit_bytes: usize,
    },
    /// The body did not arrive in time.
    #[error("the body did not arrive within {limit_ms} ms")]
    TooSlow {
        /// Timeout for reading the body.
        limit_ms: u64,
    },
    /// The connection ended before the body was complete.
    #[error("the body is truncated")]
    Truncated,
    /// The body is not valid JSON, or not of the expected type.
    #[error("the body is not valid: {0}")]
    Malformed(#[from] serde_json::Error),
}

impl InputError {
    /// Returns the HTTP status of the response for this error.
    pub fn status(&self) -> u16 {
        match self {
            Self::TooLarge { .. } => 413,
            Self::TooSlow { .. } => 408,
            Self::Truncated | Self::Malformed(_) => 400,
        }
    }
}

/// Error of a call to another process. Only after [`CallError::NotSent`] is it certain that the call did not run, which
/// decides whether a non-idempotent call may be repeated.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum CallError {
    /// No connection was established or the request could not be built, so nothing was sent.
    #[error("no connection: {0}")]
    NotSent(String),
    /// The connection broke when the request may already have been sent.
    #[error("the connection broke: {0}")]
    Broken(String),
    /// No answer arrived in time.
    #[error("no answer within {limit_ms} ms")]
    TimedOut {
        /// Timeout of the call.
        limit_ms: u64,
    },
    /// The status of the answer is none of a final response, or its body could not be decoded.
    #[error("the answer is not valid: {0}")]
    BadAnswer(String),
}
