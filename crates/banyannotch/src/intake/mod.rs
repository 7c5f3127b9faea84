//! Takes callers' requests, finds out which team sent them, and gives each caller exactly their own answer.
//!
//! See "Callers" and "Flow of a request" in `docs/design.md`.

mod error;
mod front;
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
