//! Overhead of an entry: compares closed loops and single requests through an entry with the same ones
//! without it.

mod closed;
mod measure;
mod options;
mod report;

pub use closed::{ClosedLoop, Round, closed_loop};
pub use measure::{direct, overhead, routed};
pub use options::{OverheadOptions, overhead_options};
pub use report::{OverheadReport, RoundPair, Single};
