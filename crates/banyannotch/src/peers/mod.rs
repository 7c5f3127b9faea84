//! Carries observations, suspicions and configurations between entries. It decides nothing.
//!
//! See "Between entries" in `docs/design.md`.

mod messages;
mod runtime;

pub use messages::{EntryAddress, Event};
pub use runtime::{Links, spawn};
