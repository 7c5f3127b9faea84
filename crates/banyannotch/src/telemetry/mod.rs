//! Logs every decision, serves metrics and answers the operators' port. It decides nothing.
//!
//! See "Operators' port" in `docs/design.md`.

mod messages;
mod operators;
mod runtime;
mod state;

pub use messages::{Decision, Note, Switch};
pub use runtime::{Links, spawn};
