//! Options of the `slopes` command.

use bpaf::Bpaf;

use super::Dimension;
use crate::layout::{SiteOptions, site_options};

/// Options of the measurement of an idle entry at growing sizes.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(slopes_options))]
pub struct SlopesOptions {
    /// Dimension to measure: endpoints, entries, teams or changes; may be repeated; by default all in turn
    #[bpaf(argument("NAME"))]
    pub dimension: Vec<Dimension>,
    /// Measured time at each size in seconds
    #[bpaf(argument("N"), fallback(10), display_fallback)]
    pub seconds: u64,
    /// Programs and files
    #[bpaf(external)]
    pub site_options: SiteOptions,
}
