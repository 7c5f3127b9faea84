//! Plans which engine holds which layers, and orders it while this entry holds the lease.
//!
//! See "Placement and orders" in `docs/design.md`.

mod lease;
mod messages;
#[cfg(test)]
mod property_tests;

pub use lease::{Change, Held, Lease, LeaseRecord, STREAM};
pub use messages::Decision;
