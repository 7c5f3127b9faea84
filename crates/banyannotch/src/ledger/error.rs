//! Errors of encoding and decoding the ledger's records.

use thiserror::Error;

/// Result of encoding or decoding a record.
pub type Result<T> = std::result::Result<T, RecordError>;

/// Reason why a record cannot be encoded or decoded.
#[derive(Debug, Error)]
pub enum RecordError {
    /// The text is not a batch in the format of this version. Every entry skips such a record.
    #[error("the record is not a batch of ledger items: {0}")]
    Unreadable(serde_json::Error),
    /// The batch cannot be serialized as JSON.
    #[error("the batch cannot be written as JSON: {0}")]
    Unwritable(serde_json::Error),
}
