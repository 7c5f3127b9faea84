//! Errors in settings files.

use thiserror::Error;

/// Result of reading settings.
pub type Result<T> = std::result::Result<T, SettingsError>;

/// Error in a settings file, with which the entry does not start.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is not TOML, a key is unknown, or a value has the wrong type.
    #[error("{path}: {detail}")]
    Syntax {
        /// Path of the file.
        path: String,
        /// Message of the TOML parser: line, key and what was expected.
        detail: String,
    },
    /// A value is outside its allowed range, or contradicts another value.
    #[error("{path}: {key} = {value}: allowed is {allowed}")]
    NotAllowed {
        /// Path of the file.
        path: String,
        /// Key, with the name of its table.
        key: &'static str,
        /// Value in the file.
        value: String,
        /// Description of the allowed values.
        allowed: String,
    },
}
