//! Failures of a ring.

use std::fmt;

/// Result of sending into a ring.
pub type Result<T, I> = std::result::Result<T, Full<I>>;

/// The ring and the sender's own queue are full. Gives the item back, so that its owner can refuse it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Full<I>(pub I);

impl<I> fmt::Display for Full<I> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the ring between two duties is full")
    }
}

impl<I: fmt::Debug> std::error::Error for Full<I> {}
