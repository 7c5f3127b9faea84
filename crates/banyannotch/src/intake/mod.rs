//! Accepts requests from callers, authenticates their teams, and returns to each caller the answer to its own
//! request.
//!
//! See "Callers" and "Flow of a request" in `docs/design.md`.

mod error;
mod front;
#[cfg(test)]
mod front_tests;
mod messages;
mod policy;
mod runtime;
mod state;
#[cfg(test)]
mod tests;

pub use error::{Rejection, Result};
pub use messages::{Action, CallerRequest, CallerWork, Event};
pub use policy::Intake;
pub use runtime::{Links, spawn};
pub use state::IntakeSettings;
