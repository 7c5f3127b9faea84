//! Decides for each request where it is sent, whether it is repeated, and when it is refused.
//!
//! A request that must not run twice is sent again only after an endpoint, or a connection that was never made, has
//! shown that it did not run. See `docs/platform.md`.

mod budget;
mod evidence;
mod health;
mod messages;
mod paths;
mod policy;
mod runtime;
mod settings;
mod suspects;
#[cfg(test)]
mod tests;
#[cfg(test)]
pub(crate) use tests::fixtures;
mod tickets;

pub use health::Load;
pub use messages::{
    Action, BrokenBy, Decision, Ending, Event, PeerState, Proof, Refusal, RefusalReason, SendOrder,
    Submission, Verdict,
};
pub use policy::Dispatch;
pub use runtime::{Links, spawn};
pub use settings::DispatchSettings;
