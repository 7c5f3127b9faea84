//! Fault plans, fault injection, and the throughput bound of what remains of a deployment.

mod injector;
mod plan;
#[cfg(test)]
mod tests;

pub use injector::{InjectedFault, Injector, Observed};
pub use plan::{FaultError, FaultKind, FaultPlan};
