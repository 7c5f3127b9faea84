//! Errors of reading HTTP messages.

use thiserror::Error;

/// Result of reading an HTTP message.
pub type Result<T> = std::result::Result<T, HttpError>;

/// Why an HTTP message could not be read.
#[derive(Debug, Error)]
pub enum HttpError {
    /// The peer closed the connection before the first byte of a message.
    #[error("the connection was closed")]
    Closed,
    /// The peer closed the connection in the middle of a message.
    #[error("the message is truncated")]
    Truncated,
    /// The head exceeds its size limit, given in bytes, or has too many headers.
    #[error("the head is larger than {0} bytes")]
    HeadTooLarge(usize),
    /// The body exceeds its size limit, given in bytes.
    #[error("the body is larger than {0} bytes")]
    BodyTooLarge(usize),
    /// All bodies that are buffered together would exceed their size limit, given in bytes.
    #[error("the buffered bodies together are larger than {0} bytes")]
    BuffersFull(usize),
    /// The bytes are not a valid HTTP/1.1 message.
    #[error("not an HTTP message: {0}")]
    Malformed(&'static str),
    /// Reading from the connection failed.
    #[error("the connection failed: {0}")]
    Io(#[from] std::io::Error),
}
