//! Resource use of an entry per additional endpoint, entry, team or configuration change: the slopes behind
//! `docs/CAPACITY.md`.

mod dimension;
mod fleet;
mod measure;
mod options;

pub use dimension::Dimension;
pub use measure::slopes;
pub use options::{SlopesOptions, slopes_options};
