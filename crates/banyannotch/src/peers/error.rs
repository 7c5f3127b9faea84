//! Errors of an exchange with another entry.

use thiserror::Error;

use crate::configuration::DocumentError;

/// Result of an exchange.
pub type Result<T> = std::result::Result<T, PeerError>;

/// Reason why an exchange failed. An exchange is idempotent, so it can be repeated.
#[derive(Debug, Error)]
pub enum PeerError {
    /// No connection could be established.
    #[error("cannot connect: {0}")]
    Connect(#[source] std::io::Error),
    /// The connection broke, the other entry refused the call, or its message cannot be read.
    #[error("the call failed: {0}")]
    Call(#[from] capnp::Error),
    /// A message has an unknown value of an enumeration.
    #[error("the message has an unknown value: {0}")]
    NotInSchema(#[from] capnp::NotInSchema),
    /// A text of a message is not valid UTF-8.
    #[error("the message has a text that is no UTF-8: {0}")]
    Text(#[from] std::str::Utf8Error),
    /// An address in a message cannot be parsed.
    #[error("the message has a wrong address: {0}")]
    Address(#[from] std::net::AddrParseError),
    /// The configuration document in a message is invalid.
    #[error("the message has a wrong document: {0}")]
    Document(#[from] DocumentError),
    /// The digest of a message's content differs from the digest in the message.
    #[error("the message has a content with another digest than it says")]
    Digest,
    /// The other entry did not answer before the timeout.
    #[error("no answer within {limit_ms} ms")]
    TimedOut {
        /// Timeout of the exchange.
        limit_ms: u64,
    },
    /// Too many calls from other entries are pending at this entry.
    #[error("more than {limit} calls wait for an answer")]
    Overloaded {
        /// Maximum number of pending calls.
        limit: usize,
    },
    /// The thread of the peers is shutting down.
    #[error("the entry is ending")]
    Ending,
}

impl From<PeerError> for capnp::Error {
    fn from(error: PeerError) -> Self {
        match error {
            PeerError::Overloaded { .. } => Self::overloaded(error.to_string()),
            PeerError::Ending => Self::disconnected(error.to_string()),
            _ => Self::failed(error.to_string()),
        }
    }
}
