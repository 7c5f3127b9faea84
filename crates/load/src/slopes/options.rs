//! Options of the slopes.

use bpaf::Bpaf;

use super::Dimension;
use crate::layout::{SiteOptions, site_options};

/// One entry without requests, at growing sizes.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(slopes_options))]
pub struct SlopesOptions {
    /// What grows: endpoints, entries, teams or changes; without it each in turn
    #[bpaf(argument("NAME"))]
    pub dimension: Vec<Dimension>,
    /// Measured time at each size
    #[bpaf(argument("N"), fallback(10), display_fallback)]
    pub seconds: u64,
    /// Programs and files
    #[bpaf(external)]
    pub site_options: SiteOptions,
}
