//! Knows which endpoints are live, leaving, suspected or dead, from the list, the endpoints, execution and peers.
//!
//! See "Membership" in `docs/design.md`.

mod messages;
mod policy;
mod runtime;
mod state;

pub use messages::{
    Action, Decision, Endpoint, EndpointKind, Event, Health, Load, Observation, ObservedState, Role, Source,
    Verdict,
};
pub use policy::Membership;
pub use runtime::{Links, spawn};
pub use state::MembershipSettings;
