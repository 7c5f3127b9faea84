//! Plans which engine holds which layers, and orders it while this entry holds the lease.
//!
//! See "Placement and orders" in `docs/design.md`.

mod messages;

pub use messages::Decision;
