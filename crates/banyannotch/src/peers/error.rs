//! Failures of an exchange with another entry.

use thiserror::Error;

use crate::configuration::DocumentError;

/// Result of an exchange.
pub type Result<T> = std::result::Result<T, PeerError>;

/// Why an exchange failed. It can be repeated without harm.
#[derive(Debug, Error)]
pub enum PeerError {
    /// There is no connection.
    #[error("cannot connect: {0}")]
    Connect(#[source] std::io::Error),
    /// The connection broke, the other entry refused the call, or its message cannot be read.
    #[error("the call failed: {0}")]
    Call(#[from] capnp::Error),
    /// A message has an unknown value of an enumeration.
    #[error("the message has an unknown value: {0}")]
    NotInSchema(#[from] capnp::NotInSchema),
    /// A text of a message is no UTF-8.
    #[error("the message has a text that is no UTF-8: {0}")]
    Text(#[from] std::str::Utf8Error),
    /// An address of a message is wrong.
    #[error("the message has a wrong address: {0}")]
    Address(#[from] std::net::AddrParseError),
    /// The document of a message is wrong.
    #[error("the message has a wrong document: {0}")]
    Document(#[from] DocumentError),
    /// The content of a message does not have the digest that the message says.
    #[error("the message has a content with another digest than it says")]
    Digest,
    /// The other entry took too long.
    #[error("no answer within {limit_ms} ms")]
    TimedOut {
        /// Time limit.
        limit_ms: u64,
    },
    /// Too many calls are waiting for an answer here.
    #[error("more than {limit} calls wait for an answer")]
    Overloaded {
        /// Most calls that may wait.
        limit: usize,
    },
    /// The duty is ending.
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
