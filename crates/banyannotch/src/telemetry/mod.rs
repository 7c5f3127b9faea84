//! Logs all decisions, serves metrics and answers requests on the operators' port. It makes no decisions itself.
//!
//! See "Operators' port" in `docs/design.md`.

mod messages;
mod metric;
mod operators;
mod runtime;
mod state;
#[cfg(test)]
mod tests;

pub use messages::{Decision, Note, OperatorCommand};
pub use metric::RingHeldCounts;
pub(crate) use metric::describe;
pub use runtime::{Links, spawn};
