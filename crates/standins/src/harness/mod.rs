//! Starts and stops processes for tests, injects faults into them, and waits for conditions with a timeout.
//!
//! The caller passes the path of each binary, for example `env!("CARGO_BIN_EXE_banyannotch-standin")`.

mod child;
pub mod crowd;
mod deployment;
mod error;
#[cfg(test)]
mod tests;
mod usage;
mod wait;

pub use child::{Listener, Process};
pub use deployment::{
    Binaries, DOCUMENT, Deployment, Endpoint, EngineSpec, EntryProcess, LAYERS, Logs, MODEL, TOKEN, metric,
    status,
};
pub use error::{HarnessError, Result};
pub use usage::{Ports, Usage, UsageSampler, usage};
pub use wait::{wait_for, wait_until};
