//! Runs generations and calls on their endpoints, and recovers them when an endpoint fails.
//!
//! A failure does not change an answer: every layer contributes to each token once and in order. A step whose
//! outcome is unknown is never repeated on the same cache, and a request that ran is never reported as not
//! run. See "Execution and recovery" in `docs/design.md`.

mod budget;
mod call;
mod driver;
mod error;
mod generation;
mod messages;
mod outcome;
mod phase;
mod runtime;
mod state;
mod suspects;
#[cfg(test)]
mod tests;

pub use driver::Execution;
pub use error::{CallFault, StepFault};
pub use messages::{
    Action, CallCommand, CallReport, Decision, Event, Invariant, ProbeResult, RecoveryMethod, StepCommand,
    StepInput, StepOutput, StepReport, StepResult, Suspicion,
};
pub use runtime::{Links, spawn};
pub use state::ExecutionSettings;
