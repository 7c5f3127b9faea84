//! Resource use of processes and of the whole machine, from `/proc`, and the build profile of this program.

mod process;
#[cfg(test)]
mod tests;
mod usage;

pub use process::{ProcessSample, parse_process};
pub use usage::{MachineSample, parse_machine};

/// Clock ticks per second in `/proc`; the kernel uses this value on all common architectures.
pub const TICKS_PER_S: u64 = 100;

/// Returns the build profile of this program.
pub fn build_profile() -> &'static str {
    if cfg!(debug_assertions) { "debug" } else { "release" }
}
