//! Load generation and measurements with the stand-ins, and single requests for scripts.
//!
//! All parts of a deployment run as processes on the loopback interface. Every answer is checked against the
//! reference answer of the stand-ins' model, so that no figure counts an incorrect answer.

pub mod bound;
pub mod client;
mod command;
mod error;
pub mod faults;
pub mod idle;
pub mod layout;
pub mod machine;
pub mod overhead;
pub mod report;
pub mod run;
pub mod scenario;
pub mod script;
pub mod slopes;
pub mod soak;
#[cfg(test)]
mod tests;
pub mod workload;

pub use command::{Command, Verdict, execute, options};
pub use error::{LoadError, Result};
