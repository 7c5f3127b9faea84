//! Priority admission control: classes of requests, the engine memory that each class may use, and the queue of requests that
//! find no capacity.
//!
//! It keeps its own state and knows nothing of dispatch, which asks it for the class of a request, its share of memory and the
//! next request to send. See `docs/design/priority-admission.md`.

mod classes;
mod outcomes;
mod policy;
mod queue;
mod rate;
mod returns;
mod settings;
#[cfg(test)]
mod tests;

pub use classes::{Class, Classes, is_enabled};
pub use policy::{Admission, Offer};
pub use queue::Waiting;
pub use settings::AdmissionSettings;
