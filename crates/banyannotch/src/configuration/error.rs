//! Errors of configuration documents.

use std::fmt;

use thiserror::Error;

/// Result of parsing and validating a configuration document.
pub type Result<T> = std::result::Result<T, DocumentError>;

/// Reason for which a document is refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum DocumentError {
    /// The text is not TOML, a key is unknown, or a value has the wrong type.
    #[error("{}{detail}", LinePrefix(*.line))]
    Syntax {
        /// Line of the error, counted from 1, if the TOML parser reports one.
        line: Option<usize>,
        /// Message of the TOML parser.
        detail: String,
    },
    /// The text is too long for one record of the log.
    #[error("document: {bytes} bytes are not allowed, allowed is at most {limit_bytes}")]
    TooLong {
        /// Length of the text in bytes.
        bytes: usize,
        /// Maximum length in bytes.
        limit_bytes: usize,
    },
    /// Two items of a list have the same name or token hash.
    #[error("{key}: {name:?} stands twice")]
    Duplicate {
        /// Key of the list.
        key: String,
        /// Name or token hash that is listed twice.
        name: String,
    },
    /// A value is out of range.
    #[error("{key}: {value} is not allowed, allowed is {allowed}")]
    Range {
        /// Key of the value.
        key: String,
        /// Value in the document.
        value: String,
        /// Allowed values, in words.
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
