//! Plans which engine holds which layers, and orders engines to load them while this entry holds the
//! controller lease.
//!
//! See "Placement and orders" in `docs/design.md`.

mod bound;
mod layout;
mod lease;
mod messages;
mod plan;
#[cfg(test)]
mod plan_tests;
mod policy;
#[cfg(test)]
mod property_tests;
mod runtime;
#[cfg(test)]
mod tests;

pub use bound::{throughput, upper_bound};
pub use layout::{Engine, Layout, Part, uncovered_layers};
pub use lease::{HeldLease, Lease, LeaseChange, LeaseRecord, STREAM};
pub use messages::{Action, Decision, Event, OrderAction, OrderResult, PlacementSettings};
pub use plan::{plan, repair, token_us};
pub use policy::{Placement, missing_layers};
pub use runtime::{Links, spawn};
