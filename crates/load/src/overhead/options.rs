//! Options of the comparison.

use bpaf::Bpaf;

use crate::layout::{Layout, SiteOptions, Speed, site_options};

/// Layers of the model.
const LAYERS: u16 = banyannotch_standins::harness::LAYERS;

/// Stages of the pipeline.
const STAGES: u16 = 3;

/// A closed loop against engines that are fast enough for the entry to matter.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(overhead_options))]
pub struct OverheadOptions {
    /// Seed of prompts and names
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Engines of each of the three stages
    #[bpaf(argument("N"), fallback(2), display_fallback)]
    pub replicas: u16,
    /// Engine time per layer of any batch; a stage has 4 layers
    #[bpaf(argument("US"), fallback(100), display_fallback)]
    pub step_us: u64,
    /// Engine time per layer for each step of a batch
    #[bpaf(argument("US"), fallback(2), display_fallback)]
    pub item_us: u64,
    /// Engine time per layer for each further position of a step
    #[bpaf(argument("US"), fallback(1), display_fallback)]
    pub prefill_us: u64,
    /// Most steps in a batch
    #[bpaf(argument("N"), fallback(32), display_fallback)]
    pub batch_limit: u64,
    /// Requests at one time
    #[bpaf(argument("N"), fallback(32), display_fallback)]
    pub concurrency: usize,
    /// Threads of the client
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    pub threads: usize,
    /// Words of a prompt
    #[bpaf(argument("N"), fallback(16), display_fallback)]
    pub words: usize,
    /// Tokens of an answer
    #[bpaf(argument("N"), fallback(16), display_fallback)]
    pub tokens: u32,
    /// Rounds of each path, in turn
    #[bpaf(argument("N"), fallback(3), display_fallback)]
    pub rounds: usize,
    /// Measured time of a round
    #[bpaf(argument("MS"), fallback(3_000), display_fallback)]
    pub round_ms: u64,
    /// Tokens of each single request, of which there is one for each path and round
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

    /// Returns the deployment.
    pub fn layout(&self) -> Layout {
        Layout::uniform(LAYERS, STAGES, self.replicas, self.speed())
    }
}
