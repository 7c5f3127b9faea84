//! Tracks which endpoints are live, suspected, leaving or dead, from the instance list, the endpoints' load
//! reports, failed calls of execution and observations of peers.
//!
//! See "Membership" in `docs/design.md`.

mod messages;
mod policy;
#[cfg(test)]
mod property_tests;
mod runtime;
mod schedule;
mod state;
#[cfg(test)]
mod tests;
mod verdict;

pub use messages::{
    Action, Decision, Endpoint, EndpointKind, Event, Health, Load, MissingReportReason, Observation,
    ObservedState, Role, Source, Verdict,
};
pub use policy::Membership;
pub use runtime::{Links, spawn};
pub use state::MembershipSettings;
