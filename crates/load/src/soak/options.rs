//! Options of the `soak` command.

use bpaf::Bpaf;

use crate::layout::{SiteOptions, site_options};
use crate::scenario::Scenario;

/// Options of a run with random faults under moderate load.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(soak_options))]
pub struct SoakOptions {
    /// Seed of the requests and faults
    #[bpaf(argument("N"))]
    pub seed: u64,
    /// Duration of the load in seconds
    #[bpaf(argument("N"))]
    pub seconds: u64,
    /// Scenario: association, claims or small
    #[bpaf(argument("NAME"), fallback(Scenario::small()))]
    pub scenario: Scenario,
    /// Offered rate of generations, as a multiple of the bound
    #[bpaf(argument("FACTOR"), fallback(0.3), display_fallback)]
    pub load: f64,
    /// Maximum number of retries of a request after "not run" or a broken connection
    #[bpaf(argument("N"), fallback(3), display_fallback)]
    pub retries: usize,
    /// Programs and files
    #[bpaf(external)]
    pub site_options: SiteOptions,
}
