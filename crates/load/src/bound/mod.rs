//! The most that a layout can do, computed from the engines' speeds.
//!
//! An engine of `L` layers needs `L * (step_us + item_us * n + prefill_us * p)` for a batch of `n` steps with `p` prompt
//! positions after the first of each step. A request with `T` tokens and `P` such positions is `T` steps on one engine of
//! each stage. In full batches of `B` steps it therefore occupies that engine for
//!
//! `t = L * (T * (step_us / B + item_us) + prefill_us * P)`
//!
//! microseconds. The engines of a stage share its requests, so a stage does the sum of `1e6 / t` over them, and the
//! pipeline does what its slowest stage does. Batches that are not full, waiting, and links can only lower this.
//! Positions that a prefix cache holds cost nothing; a mix counts them as cached, which keeps the bound an upper one.

#[cfg(test)]
mod tests;

use banyannotch::pipeline::LayerRange;
use serde::Serialize;

use crate::layout::{EnginePlan, Layout, Speed};

/// Means over the requests of a mix.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct MixMeans {
    /// Tokens of an answer.
    pub tokens: f64,
    /// Positions of a prompt after the first that no prefix cache can hold.
    pub prefill: f64,
}

/// What a layout can do at most.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Bound {
    /// Requests in a second.
    pub requests_per_s: f64,
    /// Tokens in a second.
    pub tokens_per_s: f64,
}

/// Returns for how long one request occupies an engine.
pub fn request_us(layers: LayerRange, speed: Speed, mix: MixMeans) -> f64 {
    let batch_limit = speed.batch_limit.max(1) as f64;
    let step_us = speed.step_us as f64 / batch_limit + speed.item_us as f64;
    f64::from(layers.len()) * (mix.tokens * step_us + speed.prefill_us as f64 * mix.prefill)
}

/// Computes the bound of a layout.
pub fn bound(layout: &Layout, mix: MixMeans) -> Bound {
    bound_with(layout, mix, |_, _| 1.0)
}

/// Computes the bound when each engine works at a share of its speed; 0 for an engine that does not work.
pub fn bound_with(layout: &Layout, mix: MixMeans, share: impl Fn(usize, &EnginePlan) -> f64) -> Bound {
    let capacity = |layers: LayerRange| -> f64 {
        let engines = layout.engines.iter().enumerate().filter(|(_, engine)| engine.layers == layers);
        engines
            .map(|(index, engine)| share(index, engine) * 1e6 / request_us(layers, engine.speed, mix))
            .sum()
    };
    let requests_per_s = layout.stages().into_iter().map(capacity).reduce(f64::min).unwrap_or_default();
    Bound { requests_per_s, tokens_per_s: requests_per_s * mix.tokens }
}
