//! Errors of the harness.

use std::path::PathBuf;
use std::time::Duration;

use banyannotch::http::CallError;
use thiserror::Error;

/// Result of a harness function.
pub type Result<T> = std::result::Result<T, HarnessError>;

/// An error of a harness function.
#[derive(Debug, Error)]
pub enum HarnessError {
    /// A binary could not be started, or a file for its settings or log could not be written.
    #[error("cannot start or write {}: {source}", binary.display())]
    Start {
        /// Path of the binary or file.
        binary: PathBuf,
        /// Reason from the operating system.
        source: std::io::Error,
    },
    /// The process did not announce all expected listeners in time.
    #[error("{} printed {found} of {expected} `listening` lines within {limit:?}", binary.display())]
    NotListening {
        /// Path of the binary.
        binary: PathBuf,
        /// Number of `listening` lines that it printed.
        found: usize,
        /// Number of `listening` lines that were expected.
        expected: usize,
        /// Time limit.
        limit: Duration,
    },
    /// A signal could not be sent.
    #[error("signal {signal} to process {id} failed: {reason}")]
    Signal {
        /// Name of the signal.
        signal: &'static str,
        /// Process id.
        id: u32,
        /// Error of the `kill` command, or its exit status.
        reason: String,
    },
    /// The process could not be killed, or its exit status could not be read.
    #[error("cannot kill process {id} or read its exit status: {source}")]
    Observe {
        /// Process id.
        id: u32,
        /// Reason from the operating system.
        source: std::io::Error,
    },
    /// A condition did not hold within the time limit.
    #[error("the condition did not hold within {limit:?}")]
    TimedOut {
        /// Time limit.
        limit: Duration,
    },
    /// A control request failed, or the body of its response is not valid JSON.
    #[error("control request {path}: {source}")]
    Control {
        /// Path of the request.
        path: String,
        /// Error of the HTTP client.
        source: CallError,
    },
    /// The response to a control request has a status other than 200.
    #[error("control request {path} was answered with status {status}: {body}")]
    ControlStatus {
        /// Path of the request.
        path: String,
        /// HTTP status.
        status: u16,
        /// Body of the response.
        body: String,
    },
}
