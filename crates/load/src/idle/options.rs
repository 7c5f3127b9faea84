//! Options of the `idle` command.

use bpaf::Bpaf;

use crate::layout::{SiteOptions, site_options};

/// Options of the measurement of idle entries.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(idle_options))]
pub struct IdleOptions {
    /// Number of engines in each of the three stages
    #[bpaf(argument("N"), fallback(10), display_fallback)]
    pub replicas: u16,
    /// Number of service endpoints
    #[bpaf(argument("N"), fallback(3), display_fallback)]
    pub services: u16,
    /// Number of entries
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    pub entries: u16,
    /// Measured time in seconds
    #[bpaf(argument("N"), fallback(10), display_fallback)]
    pub seconds: u64,
    /// Programs and files
    #[bpaf(external)]
    pub site_options: SiteOptions,
}
