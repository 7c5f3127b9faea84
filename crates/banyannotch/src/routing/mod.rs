//! Chooses a replica for each stage, from own work in flight and lagging reports.
//!
//! See "Routing, admission, limits" in `docs/design.md`.

mod messages;
mod policy;
mod runtime;
mod state;

pub use messages::{
    Action, Assignment, Candidate, Cause, Choice, Decision, Event, Found, Need, Observation, Pace, Reroute,
    Start, Substitute,
};
pub use policy::Routing;
pub use runtime::{Links, spawn};
