//! Drives requests through their endpoints: every layer once for each token, in order, whatever fails on the way.
//!
//! A step whose outcome is unknown is never repeated on the same cache, and a request that ran is never reported as
//! not run. See "Execution and recovery" in `docs/design.md`.

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
    Action, CallOrder, CallReport, Decision, Event, Invariant, Method, Progress, StepInput, StepOrder,
    StepOutput, StepReport, StepResult, Suspicion,
};
pub use runtime::{Links, spawn};
pub use state::ExecutionSettings;
