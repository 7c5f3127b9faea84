//! The users' deployments and loads, scaled to one machine.
//!
//! The numbers of engines, speeds, zones, services, entries and teams are the users'. Batch times, lengths and deadlines
//! are scaled down, so that a run takes less than a minute and timers rather than processors set the pace.

mod builtin;
mod document;

pub use builtin::{Scenario, UnknownScenario};
pub use document::document;
