//! Why an entry cannot start.

use thiserror::Error;

use crate::pipeline::Address;

/// Result of starting an entry.
pub type Result<T> = std::result::Result<T, EntryError>;

/// An entry that cannot be right does not start.
#[derive(Debug, Error)]
pub enum EntryError {
    /// A listener cannot be bound.
    #[error("{port} = {address}: cannot listen: {source}")]
    Listen {
        /// Key of the address.
        port: &'static str,
        /// Address.
        address: Address,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A thread cannot be started.
    #[error("cannot start a thread: {0}")]
    Thread(#[from] std::io::Error),
    /// Metrics cannot be recorded.
    #[error("cannot record metrics: {0}")]
    Metrics(String),
}
