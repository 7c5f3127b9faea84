//! Deployments and loads of the project's users, scaled down to one machine.
//!
//! The numbers of engines, speeds, zones, services, entries and teams are those of the users' deployments.
//! Batch times, lengths and deadlines are scaled down, so that a run takes less than a minute and is limited
//! by timers rather than processors.

mod builtin;
mod document;

pub use builtin::{Scenario, UnknownScenario};
pub use document::document;
