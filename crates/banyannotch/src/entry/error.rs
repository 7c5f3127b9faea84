//! Errors of starting an entry.

use thiserror::Error;

use crate::pipeline::Address;

/// Result of starting an entry.
pub type Result<T> = std::result::Result<T, EntryError>;

/// Reason for which an entry cannot start.
#[derive(Debug, Error)]
pub enum EntryError {
    /// A listener cannot be bound to its address.
    #[error("{port} = {address}: cannot listen: {source}")]
    Listen {
        /// Key of the address in the settings.
        port: &'static str,
        /// Address to bind to.
        address: Address,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A thread cannot be created.
    #[error("cannot start a thread: {0}")]
    Thread(#[from] std::io::Error),
    /// The metrics recorder cannot be installed.
    #[error("cannot record metrics: {0}")]
    Metrics(String),
}
