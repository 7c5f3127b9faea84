//! Errors of the commands and their exit codes.

use banyannotch::backing::PlatformError;
use banyannotch::configuration::PresetName;
use banyannotch::http::CallError;
use thiserror::Error;

/// Result of a command.
pub type Result<T> = std::result::Result<T, CommandError>;

/// Reason why a command failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// A file could not be read.
    #[error("{path}: {source}")]
    File {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The checked files have errors, which have already been printed.
    #[error("{errors} error(s)")]
    Invalid {
        /// Number of errors.
        errors: usize,
    },
    /// No entry gave a usable answer. Holds the last error.
    #[error("no entry gave a usable answer: {0}")]
    NoEntry(String),
    /// An entry answered with an error status or with a body that could not be parsed.
    #[error("entry {entry} answered status {status}: {body}")]
    Answer {
        /// Address of the entry.
        entry: String,
        /// HTTP status of the response.
        status: u16,
        /// Body of the response, or the error of parsing it.
        body: String,
    },
    /// The log did not append the record, so nothing was published.
    #[error("the log did not append the record, so nothing was published: {0}")]
    NotAppended(PlatformError),
    /// It is unknown whether the log appended the record, for example after a timeout.
    #[error(
        "it is unknown whether the log appended the record ({0}); `banyannotch status` shows the version in \
         force, and publishing again on the same base cannot take effect twice"
    )]
    AppendUnknown(PlatformError),
    /// The entries refused the record, or the document in force cannot be parsed or changed.
    #[error("refused: {0}")]
    Refused(String),
    /// The drain set removes the last endpoint of some layers or of a service, so nothing was published.
    #[error(
        "nothing was published, because preset {preset} drains too much: {gaps}; --force publishes it all the same"
    )]
    Uncovered {
        /// Preset with that drain set.
        preset: PresetName,
        /// Layers and services that would have no endpoint.
        gaps: String,
    },
    /// The record is in the log, but was not in force at all entries before the timeout.
    #[error("version {version} is in the log, but not in force at: {missing}")]
    NotInForceYet {
        /// Version of the record.
        version: u64,
        /// Entries that do not have the version or did not answer.
        missing: String,
    },
    /// An HTTP request failed.
    #[error(transparent)]
    Call(#[from] CallError),
}

impl CommandError {
    /// Returns the exit code: 1 failed, 2 invalid input, 3 refused, 4 unknown, or not in force at all entries
    /// yet.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::NoEntry(_) | Self::Answer { .. } | Self::NotAppended(_) | Self::Call(_) => 1,
            Self::File { .. } | Self::Invalid { .. } => 2,
            Self::Refused(_) | Self::Uncovered { .. } => 3,
            Self::AppendUnknown(_) | Self::NotInForceYet { .. } => 4,
        }
    }
}
