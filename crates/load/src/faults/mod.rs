//! Faults at given times: their plan, their injection, and what the deployment can still do.

mod injector;
mod plan;
#[cfg(test)]
mod tests;

pub use injector::{Injected, Injector, Observed};
pub use plan::{FaultError, FaultKind, FaultPlan};
