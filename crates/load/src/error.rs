//! Why a command gave no result.

use banyannotch::http::CallError;
use banyannotch_standins::caller::CallerError;
use banyannotch_standins::harness::HarnessError;
use thiserror::Error;

/// Result of a command.
pub type Result<T> = std::result::Result<T, LoadError>;

/// Failure of a command, as opposed to a wrong answer of the system under load.
#[derive(Debug, Error)]
pub enum LoadError {
    /// No entry gave a definite answer.
    #[error("no answer from {entries} entries, last: {last}")]
    NoAnswer {
        /// Entries that were asked.
        entries: usize,
        /// Failure of the last one.
        last: CallerError,
    },
    /// A plain HTTP request failed.
    #[error(transparent)]
    Call(#[from] CallError),
    /// A process of the deployment did not start or answer.
    #[error(transparent)]
    Harness(#[from] HarnessError),
    /// A file could not be read.
    #[error("cannot read {name}: {source}")]
    Read {
        /// File.
        name: String,
        /// What went wrong.
        source: std::io::Error,
    },
    /// A file or stream could not be written.
    #[error("cannot write {name}: {source}")]
    Write {
        /// File or stream.
        name: String,
        /// What went wrong.
        source: std::io::Error,
    },
    /// A plot could not be drawn.
    #[error("cannot plot {name}: {detail}")]
    Plot {
        /// File.
        name: String,
        /// What went wrong.
        detail: String,
    },
}
