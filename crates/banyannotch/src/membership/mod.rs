//! Knows which endpoints are live, leaving, suspected or dead, from the list, the endpoints, execution and peers.
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
    Action, Decision, Endpoint, EndpointKind, Event, Health, Instead, Load, Observation, ObservedState, Role,
    Source, Verdict,
};
pub use policy::Membership;
pub use runtime::{Links, spawn};
pub use state::MembershipSettings;
