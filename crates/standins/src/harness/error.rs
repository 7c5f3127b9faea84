//! Failures of the harness.

use std::path::PathBuf;
use std::time::Duration;

use banyannotch::http::CallError;
use thiserror::Error;

/// Result of a harness function.
pub type Result<T> = std::result::Result<T, HarnessError>;

/// Why the harness could not do something.
#[derive(Debug, Error)]
pub enum HarnessError {
    /// The binary could not be started.
    #[error("cannot start {}: {source}", binary.display())]
    Start {
        /// Path of the binary.
        binary: PathBuf,
        /// Reason from the operating system.
        source: std::io::Error,
    },
    /// The process did not say where it listens.
    #[error("{} printed {found} of {expected} `listening` lines within {limit:?}", binary.display())]
    NotListening {
        /// Path of the binary.
        binary: PathBuf,
        /// Lines that it printed.
        found: usize,
        /// Lines that were expected.
        expected: usize,
        /// How long they were awaited.
        limit: Duration,
    },
    /// A signal could not be sent.
    #[error("signal {signal} to process {id} failed: {reason}")]
    Signal {
        /// Name of the signal.
        signal: &'static str,
        /// Process id.
        id: u32,
        /// What went wrong.
        reason: String,
    },
    /// The process could not be observed.
    #[error("cannot observe process {id}: {source}")]
    Observe {
        /// Process id.
        id: u32,
        /// Reason from the operating system.
        source: std::io::Error,
    },
    /// A condition did not hold in time.
    #[error("the condition did not hold within {limit:?}")]
    TimedOut {
        /// How long it was awaited.
        limit: Duration,
    },
    /// A control request got no answer.
    #[error("control request {path}: {source}")]
    Control {
        /// Path of the request.
        path: String,
        /// What went wrong.
        source: CallError,
    },
    /// A control request was answered with an error.
    #[error("control request {path} was answered with status {status}: {body}")]
    ControlStatus {
        /// Path of the request.
        path: String,
        /// HTTP status.
        status: u16,
        /// Body of the answer.
        body: String,
    },
}
