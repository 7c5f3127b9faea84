//! What one more endpoint, entry, team or configuration change costs an entry: the slopes behind `docs/CAPACITY.md`.

mod dimension;
mod fleet;
mod measure;
mod options;

pub use dimension::Dimension;
pub use measure::slopes;
pub use options::{SlopesOptions, slopes_options};
