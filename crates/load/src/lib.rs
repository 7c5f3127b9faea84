//! Load and measurements against the stand-ins, and single requests for scripts.
//!
//! Everything runs as processes on loopback. Answers are checked against the reference answer of the stand-ins' model,
//! so a figure never counts a wrong answer.

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
pub mod soak;
#[cfg(test)]
mod tests;
pub mod workload;

pub use command::{Command, Verdict, execute, options};
pub use error::{LoadError, Result};
