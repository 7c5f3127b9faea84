//! Priority admission control: classes of requests, and the engine memory that each class may use.
//!
//! It keeps its own state and knows nothing of dispatch, which asks it for the class of a request and its share of memory. See
//! `docs/design/priority-admission.md`.

mod classes;
mod outcomes;
mod policy;
mod settings;
#[cfg(test)]
mod tests;

pub use classes::{Class, Classes, is_enabled};
pub use policy::Admission;
pub use settings::AdmissionSettings;
