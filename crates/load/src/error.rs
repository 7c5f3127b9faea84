//! Errors of the commands.

use banyannotch::http::CallError;
use banyannotch_standins::caller::CallerError;
use banyannotch_standins::harness::HarnessError;
use thiserror::Error;

/// Result of a command.
pub type Result<T> = std::result::Result<T, LoadError>;

/// Failure to carry out a command, as opposed to a wrong answer of the system under test.
#[derive(Debug, Error)]
pub enum LoadError {
    /// No entry returned an outcome.
    #[error("no outcome from any of {entries} entries; last error: {last}")]
    NoAnswer {
        /// Number of entries that were tried.
        entries: usize,
        /// Error of the last entry.
        last: CallerError,
    },
    /// A plain HTTP request failed.
    #[error(transparent)]
    Call(#[from] CallError),
    /// A process of the deployment did not start or did not answer.
    #[error(transparent)]
    Harness(#[from] HarnessError),
    /// A file, or another resource of the operating system, could not be read.
    #[error("cannot read {name}: {source}")]
    Read {
        /// Path of the file, or name of the resource.
        name: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A file or stream could not be written.
    #[error("cannot write {name}: {source}")]
    Write {
        /// Path of the file, or name of the stream.
        name: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A plot could not be drawn.
    #[error("cannot plot {name}: {detail}")]
    Plot {
        /// Path of the file.
        name: String,
        /// Text of the plotting error.
        detail: String,
    },
}
