//! Resource use of an idle entry, at the users' number of endpoints.

mod measure;
mod options;

pub use measure::idle;
pub use options::{IdleOptions, idle_options};
