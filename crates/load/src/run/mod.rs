//! Open-loop runs of a scenario with faults, evaluated from the callers' side.

mod balancer;
mod figures;
mod judge;
mod measure;
mod options;
mod plot;
mod report;
mod sender;
#[cfg(test)]
mod tests;

pub use balancer::Balancer;
pub use figures::{outcomes, reasons};
pub use judge::{Recovery, Series, Violations};
pub use measure::{RunPlan, RunResult, execute_plan, run};
pub use options::{RunOptions, run_options};
pub use report::RunReport;
pub use sender::Record;
