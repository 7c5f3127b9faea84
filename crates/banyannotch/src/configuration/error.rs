//! Failures of reading a configuration.

use std::fmt;

use thiserror::Error;

/// Result of reading a configuration document.
pub type Result<T> = std::result::Result<T, DocumentError>;

/// Why a document was refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum DocumentError {
    /// The text is not TOML, a key is unknown, or a value has the wrong type.
    #[error("{}{detail}", LinePrefix(*.line))]
    Syntax {
        /// Line of the fault, from 1, where the TOML reader gives one.
        line: Option<usize>,
        /// What is wrong and what is allowed.
        detail: String,
    },
    /// The text is too long to be kept in one record of the log.
    #[error("document: {bytes} bytes are not allowed, allowed is at most {limit_bytes}")]
    TooLong {
        /// Length of the text.
        bytes: usize,
        /// Longest text that is accepted.
        limit_bytes: usize,
    },
    /// Two items of a list have the same name or token.
    #[error("{key}: {name:?} stands twice")]
    Duplicate {
        /// Key of the list.
        key: String,
        /// Name that stands twice.
        name: String,
    },
    /// A value is out of range.
    #[error("{key}: {value} is not allowed, allowed is {allowed}")]
    Range {
        /// Key of the value.
        key: String,
        /// Value that was given.
        value: String,
        /// What is allowed.
        allowed: String,
    },
}

struct LinePrefix(Option<usize>);

impl fmt::Display for LinePrefix {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(line) => write!(formatter, "line {line}: "),
            None => Ok(()),
        }
    }
}
