//! Errors of a ring.

use std::fmt;

/// Result of sending into a ring.
pub type Result<T, I> = std::result::Result<T, Full<I>>;

/// The ring and the sender's own queue are full. The item is returned, so that the caller can refuse it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Full<I>(pub I);

impl<I> fmt::Display for Full<I> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the ring and the queue of its sender are full")
    }
}

impl<I: fmt::Debug> std::error::Error for Full<I> {}
