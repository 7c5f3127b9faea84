//! Failures of the ledger's records.

use thiserror::Error;

/// Result of coding a record.
pub type Result<T> = std::result::Result<T, RecordError>;

/// A record that cannot be coded.
#[derive(Debug, Error)]
pub enum RecordError {
    /// The text is not a batch of this version. Every entry skips it.
    #[error("the record is not a batch of ledger items: {0}")]
    Unreadable(serde_json::Error),
    /// The batch has no JSON form.
    #[error("the batch cannot be written as JSON: {0}")]
    Unwritable(serde_json::Error),
}
