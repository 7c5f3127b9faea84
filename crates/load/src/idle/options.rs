//! Options of the idle measurement.

use bpaf::Bpaf;

use crate::layout::{SiteOptions, site_options};

/// An entry without requests.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(idle_options))]
pub struct IdleOptions {
    /// Engines of each of the three stages
    #[bpaf(argument("N"), fallback(10), display_fallback)]
    pub replicas: u16,
    /// Service endpoints
    #[bpaf(argument("N"), fallback(3), display_fallback)]
    pub services: u16,
    /// Entries
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    pub entries: u16,
    /// Measured time
    #[bpaf(argument("N"), fallback(10), display_fallback)]
    pub seconds: u64,
    /// Programs and files
    #[bpaf(external)]
    pub site_options: SiteOptions,
}
