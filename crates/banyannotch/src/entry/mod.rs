//! Starts an entry: binds its listeners, creates the rings between its duties, and starts one thread for each
//! duty.
//!
//! See "Code structure" in `docs/design.md`.

mod error;
mod rings;
mod start;

pub use error::{EntryError, Result};
pub use start::{Addresses, Entry};
