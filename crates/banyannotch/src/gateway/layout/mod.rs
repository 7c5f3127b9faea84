//! Plans which layers each engine holds, and sends the orders while this gateway owns the ordering group's
//! partition.
//!
//! An order carries the number of orders that the engine has accepted before. The engine refuses an order
//! whose number does not match, such as one that arrives late or comes from a second owner. See
//! `docs/platform.md`.

#[cfg(test)]
mod era_tests;
mod messages;
mod ownership;
mod plan;
mod policy;
mod runtime;
#[cfg(test)]
mod tests;

pub use messages::{Action, Decision, Event, LayoutSettings};
pub use plan::{Card, LayerAssignment, assign_empty_engine, fill_gap, plan};
pub use policy::Layout;
pub use runtime::{Links, spawn};
