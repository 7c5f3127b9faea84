//! Failures of reading a configuration.

use thiserror::Error;

/// Result of reading a configuration document.
pub type Result<T> = std::result::Result<T, DocumentError>;

/// Why a document was refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum DocumentError {
    /// The text is not TOML, a key is unknown, or a value has the wrong type.
    #[error("{0}")]
    Syntax(String),
    /// Two entries have the same name.
    #[error("{key}: {name:?} stands twice")]
    Duplicate {
        /// Key of the list.
        key: &'static str,
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
        allowed: &'static str,
    },
}
