//! Puts an entry together: binds the listeners, creates the rings, starts one thread for each duty.
//!
//! See "Code structure" in `docs/design.md`.

mod error;
mod rings;
mod start;

pub use error::{EntryError, Result};
pub use start::{Addresses, Entry};
