//! Options of the `direct`, `routed` and `overhead` commands.

use bpaf::Bpaf;

use crate::layout::{Layout, SiteOptions, Speed, site_options};

/// Number of layers of the model.
const LAYERS: u16 = banyannotch_standins::harness::LAYERS;

/// Number of stages of the pipeline.
const STAGES: u16 = 3;

/// Options of a closed loop against engines that are fast enough for the overhead of an entry to show.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(overhead_options))]
pub struct OverheadOptions {
    /// Seed of the prompts and of the identifiers of requests and caches
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Number of engines in each of the three stages
    #[bpaf(argument("N"), fallback(2), display_fallback)]
    pub replicas: u16,
    /// Fixed engine time per layer of a batch; a stage has 4 layers
    #[bpaf(argument("US"), fallback(100), display_fallback)]
    pub step_us: u64,
    /// Additional engine time per layer for each step of a batch
    #[bpaf(argument("US"), fallback(2), display_fallback)]
    pub item_us: u64,
    /// Additional engine time per layer for each position of a step after its first
    #[bpaf(argument("US"), fallback(1), display_fallback)]
    pub prefill_us: u64,
    /// Maximum number of steps in a batch
    #[bpaf(argument("N"), fallback(32), display_fallback)]
    pub batch_limit: u64,
    /// Number of concurrent requests
    #[bpaf(argument("N"), fallback(32), display_fallback)]
    pub concurrency: usize,
    /// Number of client threads
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    pub threads: usize,
    /// Number of words of a prompt
    #[bpaf(argument("N"), fallback(16), display_fallback)]
    pub words: usize,
    /// Maximum number of tokens of an answer
    #[bpaf(argument("N"), fallback(16), display_fallback)]
    pub tokens: u32,
    /// Number of rounds; each runs both paths in turn
    #[bpaf(argument("N"), fallback(3), display_fallback)]
    pub rounds: usize,
    /// Duration of the measurement in each round
    #[bpaf(argument("MS"), fallback(3_000), display_fallback)]
    pub round_ms: u64,
    /// Maximum number of tokens of a single request; there is one for each path and round
    #[bpaf(argument("N"), fallback(400), display_fallback)]
    pub single_tokens: u32,
    /// Programs and files
    #[bpaf(external)]
    pub site_options: SiteOptions,
}

impl OverheadOptions {
    /// Returns the speed of the engines.
    pub fn speed(&self) -> Speed {
        Speed {
            step_us: self.step_us,
            item_us: self.item_us,
            prefill_us: self.prefill_us,
            batch_limit: self.batch_limit,
        }
    }

    /// Returns the layout of the deployment.
    pub fn layout(&self) -> Layout {
        Layout::uniform(LAYERS, STAGES, self.replicas, self.speed())
    }
}
