//! Options of the `run` command.

use std::path::PathBuf;

use bpaf::Bpaf;

use crate::faults::FaultPlan;
use crate::layout::{SiteOptions, site_options};
use crate::scenario::Scenario;
use crate::workload::Arrivals;

/// Options of an open-loop run of a scenario.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(run_options))]
pub struct RunOptions {
    /// Seed of the requests, arrivals and fault targets
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Duration of the load in seconds
    #[bpaf(argument("N"), fallback(20), display_fallback)]
    pub seconds: u64,
    /// Seconds at the start that are left out of the figures
    #[bpaf(argument("N"), fallback(4), display_fallback)]
    pub warm_up_seconds: u64,
    /// Sliding window for goodput over time; a longer window has less noise but shows recovery later
    #[bpaf(argument("MS"), fallback(1_000), display_fallback)]
    pub window_ms: u64,
    /// Offered rate of generations, as a multiple of the bound
    #[bpaf(argument("FACTOR"), fallback(0.5), display_fallback)]
    pub load: f64,
    /// Variation of the arrival rate: poisson, bursts or step
    #[bpaf(argument("KIND"), fallback(Arrivals::Poisson))]
    pub arrivals: Arrivals,
    /// Maximum number of retries of a request after "not run" or a broken connection
    #[bpaf(argument("N"), fallback(2), display_fallback)]
    pub retries: usize,
    /// Fault as KIND@SECONDS[xCOUNT][+SECONDS][:TARGET]; may be repeated. Kinds: kill, kill-service, freeze,
    /// slow, link, suspend-entry, kill-entry, log-down, list-down, zone-loss
    #[bpaf(long("fault"), argument("FAULT"), many)]
    pub faults: Vec<FaultPlan>,
    /// Replace killed instances after 3 s
    pub replace: bool,
    /// Capacity of the prefix cache of each engine, in positions
    #[bpaf(argument("N"), fallback(0), display_fallback)]
    pub prefix_cache: u64,
    /// File for a plot of goodput over time, in SVG
    #[bpaf(argument("FILE"), optional)]
    pub plot: Option<PathBuf>,
    /// Programs and files
    #[bpaf(external)]
    pub site_options: SiteOptions,
    /// Scenario: association, claims or small
    #[bpaf(positional("SCENARIO"))]
    pub scenario: Scenario,
}
