//! Admits, queues or refuses requests, so that what is admitted is answered in time.
//!
//! See "Routing, admission, limits" in `docs/design.md`.

mod messages;
mod policy;
mod runtime;
mod state;

pub use messages::{Action, Capacity, Decision, Destination, Event, Finished, Verdict};
pub use policy::Admission;
pub use runtime::{Links, spawn};
