//! Errors of starting a gateway.

use thiserror::Error;

use crate::pipeline::Address;

/// Result of starting a gateway.
pub type Result<T> = std::result::Result<T, GatewayError>;

/// Error that prevents a gateway from starting.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// A listener could not be bound.
    #[error("cannot listen on {address} for {port}: {source}")]
    Listen {
        /// Settings key of the listener.
        port: &'static str,
        /// Address from the settings.
        address: Address,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A thread could not be created, or the local address of a listener could not be read.
    #[error("cannot create a thread or read the local address of a listener: {0}")]
    Thread(#[from] std::io::Error),
    /// The metrics recorder could not be installed.
    #[error("cannot install the metrics recorder: {0}")]
    Metrics(String),
}
