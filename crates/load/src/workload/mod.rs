//! Requests of the callers and their send times, generated from a seed.

mod arrivals;
mod lengths;
mod prompts;
mod schedule;
#[cfg(test)]
mod tests;

pub use arrivals::{Arrivals, UnknownArrivals};
pub use lengths::Lengths;
pub use prompts::{prompt, shared_prefix};
pub use schedule::{Mix, PlannedRequest, Task, TaskKind, Team, Work, means, schedule};
