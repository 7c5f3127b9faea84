//! Long runs under moderate load with random faults, to find violations.

mod measure;
mod options;
mod plan;
#[cfg(test)]
mod tests;

pub use measure::soak;
pub use options::{SoakOptions, soak_options};
pub use plan::random_faults;
