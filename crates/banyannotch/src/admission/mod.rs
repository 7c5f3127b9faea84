//! Admits, queues or refuses requests, so that admitted requests finish before their deadlines.
//!
//! See "Routing, admission, limits" in `docs/design.md`.

mod fair;
mod forecast;
mod messages;
mod policy;
mod runtime;
mod settings;
mod state;
#[cfg(test)]
mod tests;

pub use messages::{Action, Capacity, Decision, Destination, Event, Finished, Verdict};
pub use policy::Admission;
pub use runtime::{Links, spawn};
pub use settings::AdmissionSettings;
