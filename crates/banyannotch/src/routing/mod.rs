//! Chooses a replica for each stage of a request from this entry's work in flight, lagging load reports and
//! measured step times.
//!
//! See "Routing, admission, limits" in `docs/design.md`.

mod balance;
mod capacity;
mod chain;
mod index;
mod limiter;
mod messages;
mod meter;
mod policy;
mod prefixes;
mod runtime;
mod settings;
mod state;
#[cfg(test)]
mod tests;

pub use balance::{Balance, ExpectedTime, LeastReported, Picked, RoundRobin, Uniform, View};
pub use index::Pool;
pub use messages::{
    Action, Assignment, Candidate, Cause, Choice, Decision, Event, Need, Observation, Pace, Replacement,
    Reroute, RerouteResult, Start,
};
pub use policy::Routing;
pub use runtime::{Links, spawn};
pub use settings::{BalanceName, RoutingContext, RoutingSettings};
