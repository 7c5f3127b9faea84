//! Other policies for the choice of a path, with which the simulation compares the draw of chains.

use crate::gateway::dispatch::health::{HealthTable, Load};
use crate::gateway::dispatch::paths::{Path, PathSearch};
use crate::gateway::{Endpoint, RequestInfo};
use crate::pipeline::Address;
use crate::random::Random;

/// Mean age of the known loads of other gateways, in milliseconds.
const AGE_MS: f64 = 700.0;

/// A policy for the choice of a path.
#[derive(Clone, Copy, Debug, Default)]
pub enum Candidate {
    /// The policy of the product.
    #[default]
    Product,
    /// The cheapest path by the known loads.
    Cheapest,
    /// The cheapest path among a random half of the engines.
    CheapestOfHalf,
    /// The cheapest path, with a random part of the load that other gateways are expected to have added.
    CheapestWithExpectedLoad,
}

impl Candidate {
    pub fn named(name: &str) -> Self {
        match name {
            "cheapest" => Self::Cheapest,
            "half" => Self::CheapestOfHalf,
            "expected" => Self::CheapestWithExpectedLoad,
            _ => Self::Product,
        }
    }

    /// Returns the path that the policy chooses, or the one that the product has chosen.
    pub fn choose(
        self,
        search: &PathSearch<'_>,
        request: &RequestInfo,
        tried: &[Address],
        random: &mut Random,
        product: Option<Path>,
    ) -> Option<Path> {
        match self {
            Self::Product => product,
            Self::Cheapest => search.cheapest(request, tried),
            Self::CheapestOfHalf => {
                let half: Vec<&Endpoint> =
                    search.engines.iter().filter(|_| random.below(2) == 0).copied().collect();
                PathSearch { engines: &half, ..*search }.cheapest(request, tried)
            }
            Self::CheapestWithExpectedLoad => {
                let health = with_expected_load(search, random);
                PathSearch { health: &health, ..*search }.cheapest(request, tried)
            }
        }
    }
}

/// Adds to each engine a random part of the requests that the others have sent to its zone since their last states.
fn with_expected_load(search: &PathSearch<'_>, random: &mut Random) -> HealthTable {
    let pipeline = search.pipeline;
    let tokens = pipeline.usual_prompt_tokens + pipeline.usual_answer_tokens;
    let mut health = search.health.clone();
    for engine in search.engines {
        let expected: f64 = search
            .engines
            .iter()
            .filter(|first| first.zone == engine.zone && first.layers.is_some_and(|layers| layers.begin == 0))
            .filter_map(|first| {
                let kind = pipeline.accelerator(first.accelerator.as_deref()?)?;
                let answer_ms = pipeline.step_ms * kind.step_factor * pipeline.usual_answer_tokens;
                let running = search.health.get(&first.address)?.peers.requests;
                Some(f64::from(running) * AGE_MS / answer_ms)
            })
            .sum();
        let kind = engine.accelerator.as_deref().and_then(|name| pipeline.accelerator(name));
        let (Some(kind), Some(layers)) = (kind, engine.layers) else { continue };
        let size = pipeline.cache_size(kind.memory_mb, layers.len());
        let health = health.entry(engine.address);
        let free = (size * search.settings.cache_share - health.load().cache).max(0.0);
        // An engine with room by the known loads stays a candidate.
        let cache = (expected * random.unit() * tokens * f64::from(layers.len())).min(free * 0.9);
        let sequences = (cache / (tokens * f64::from(layers.len()))) as u32;
        health.peers.add(&Load { sequences, cache, ..Load::default() });
    }
    health
}
