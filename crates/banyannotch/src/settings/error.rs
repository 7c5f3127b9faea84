//! Why settings are refused.

use thiserror::Error;

/// Result of reading settings.
pub type Result<T> = std::result::Result<T, SettingsError>;

/// A settings file that an entry does not start with.
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
        /// Line, key and what is allowed.
        detail: String,
    },
    /// A value is not allowed.
    #[error("{path}: {key} = {value}: allowed is {allowed}")]
    NotAllowed {
        /// Path of the file.
        path: String,
        /// Key of the value.
        key: &'static str,
        /// Value that was given.
        value: String,
        /// What is allowed.
        allowed: String,
    },
}
