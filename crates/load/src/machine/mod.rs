//! What the kernel reports about processes and the whole machine, from `/proc`, and how this program was built.

mod process;
#[cfg(test)]
mod tests;
mod usage;

pub use process::{ProcessSample, parse_process};
pub use usage::{MachineSample, parse_machine};

/// Clock ticks in a second of `/proc`; the kernel reports in this unit on all common architectures.
pub const TICKS_PER_S: u64 = 100;

/// Returns how this program was built.
pub fn build_profile() -> &'static str {
    if cfg!(debug_assertions) { "debug" } else { "release" }
}
