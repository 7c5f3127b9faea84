//! Why a caller has no answer.

use thiserror::Error;

/// Result of a request.
pub type Result<T> = std::result::Result<T, CallerError>;

/// A request without a definite answer.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum CallerError {
    /// No connection was made.
    #[error("no connection: {0}")]
    NotSent(String),
    /// The connection broke before the outcome.
    #[error("the connection broke: {0}")]
    Broken(String),
    /// The response ended without an outcome.
    #[error("the response ended without an outcome")]
    NoOutcome,
    /// An event could not be read.
    #[error("not an event of the protocol: {0}")]
    Malformed(String),
}
