//! Resource use of idle entries, by default with the number of endpoints of the users' deployments.

mod measure;
mod options;

pub use measure::idle;
pub use options::{IdleOptions, idle_options};
