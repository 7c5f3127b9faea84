//! Options of a soak run.

use bpaf::Bpaf;

use crate::layout::{SiteOptions, site_options};
use crate::scenario::Scenario;

/// Random faults under moderate load.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(soak_options))]
pub struct SoakOptions {
    /// Seed of requests and faults
    #[bpaf(argument("N"))]
    pub seed: u64,
    /// Length of the load
    #[bpaf(argument("N"))]
    pub seconds: u64,
    /// association, claims or small
    #[bpaf(argument("NAME"), fallback(Scenario::small()))]
    pub scenario: Scenario,
    /// Generations offered, as a multiple of the bound
    #[bpaf(argument("FACTOR"), fallback(0.3), display_fallback)]
    pub load: f64,
    /// Further tries of a caller after "not run" or a broken connection
    #[bpaf(argument("N"), fallback(3), display_fallback)]
    pub retries: usize,
    /// Programs and files
    #[bpaf(external)]
    pub site_options: SiteOptions,
}
