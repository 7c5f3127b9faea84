//! Plans which engine holds which layers, and orders it while this gateway owns the ordering group's partition.
//!
//! Orders name the number of orders that the engine has accepted, so that one that is carried out late, or given by a
//! second owner, is refused by the engine. See `docs/platform.md`.

mod messages;
mod plan;
mod policy;
mod runtime;
#[cfg(test)]
mod tests;

pub use messages::{Action, Decision, Event, LayoutSettings};
pub use plan::{Card, Placed, assign_empty, fill_gap, plan};
pub use policy::Layout;
pub use runtime::{Links, spawn};
