//! Errors of requests that a caller sends.

use thiserror::Error;

/// Result of a request.
pub type Result<T> = std::result::Result<T, CallerError>;

/// Why a request has no definite outcome.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum CallerError {
    /// No connection was established, so the request was not sent.
    #[error("could not connect: {0}")]
    NotSent(String),
    /// The connection broke before the outcome arrived. The request may have been executed.
    #[error("the connection broke before the outcome: {0}")]
    Broken(String),
    /// The response ended without an outcome.
    #[error("the response ended without an outcome")]
    NoOutcome,
    /// An event, or a response body that is not an event stream, could not be decoded.
    #[error("malformed event or outcome: {0}")]
    Malformed(String),
}
