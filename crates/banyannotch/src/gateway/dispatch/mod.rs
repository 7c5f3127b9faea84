//! Decides for each request which endpoint it is sent to, whether it is retried, and when it is refused.
//!
//! A request that must not run twice is retried only when it is certain that it did not run: the endpoint
//! said so, or no connection to the endpoint was made. See `docs/platform.md`.

mod announcements;
mod booking;
mod budget;
mod chains;
mod crashes;
mod evidence;
mod explanations;
mod findings;
mod handoff;
mod health;
mod late;
mod messages;
mod paths;
mod policy;
mod quarantine;
mod reachability;
mod runtime;
mod settings;
#[cfg(test)]
mod tests;
#[cfg(test)]
pub(crate) use tests::fixtures;
mod tickets;
mod utilization;
mod waiting;

pub use crashes::Crash;
pub use health::Load;
pub use messages::{
    Action, AdmissionState, BrokenBy, CrashFindings, CrashReport, Decision, Ending, EndpointStart,
    EndpointsProof, Event, Feature, Helper, PeerState, ProbeResult, Proof, QuarantineReport, Refusal,
    RefusalReason, Sections, SendOrder, Submission, Verdict,
};
pub use policy::Dispatch;
pub use runtime::{Links, spawn};
pub use settings::DispatchSettings;
