//! What an entry costs: the same closed loop and the same single requests, through an entry and without one.

mod closed;
mod measure;
mod options;
mod report;

pub use closed::{ClosedLoop, Round, closed_loop};
pub use measure::{direct, overhead, routed};
pub use options::{OverheadOptions, overhead_options};
pub use report::{OverheadReport, RoundPair, Single};
