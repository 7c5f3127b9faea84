//! Upper bound of the throughput of a layout, computed from the speeds of its engines.
//!
//! An engine of `L` layers needs `L * (step_us + item_us * n + prefill_us * p)` microseconds for a batch of
//! `n` steps, where `p` is the number of prompt positions beyond the first of each step. A request with `T`
//! tokens and `P` such positions consists of `T` steps on one engine of each stage. In full batches of `B`
//! steps it occupies that engine for
//!
//! `t = L * (T * (step_us / B + item_us) + prefill_us * P)`
//!
//! microseconds. Requests are spread over the engines of a stage, so the throughput of a stage is the sum of
//! `1e6 / t` over its engines, and the throughput of the pipeline is that of its slowest stage. Partially
//! filled batches, queueing and link delays can only lower it. Positions in a prefix cache cost nothing; a
//! mix with a prefix cache counts all shared positions as cached, so that the result remains an upper bound.

#[cfg(test)]
mod tests;

use banyannotch::pipeline::LayerRange;
use serde::Serialize;

use crate::layout::{EnginePlan, Layout, Speed};

/// Mean lengths of the generations of a mix.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct MixMeans {
    /// Number of tokens of an answer.
    pub tokens: f64,
    /// Number of prompt positions beyond the first that no prefix cache can hold.
    pub prefill: f64,
}

/// Upper bound of the throughput of a layout.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Bound {
    /// Generations per second.
    pub requests_per_s: f64,
    /// Tokens per second.
    pub tokens_per_s: f64,
}

/// Returns the time for which one request occupies an engine, in full batches.
pub fn request_us(layers: LayerRange, speed: Speed, mix: MixMeans) -> f64 {
    let batch_limit = speed.batch_limit.max(1) as f64;
    let step_us = speed.step_us as f64 / batch_limit + speed.item_us as f64;
    f64::from(layers.len()) * (mix.tokens * step_us + speed.prefill_us as f64 * mix.prefill)
}

/// Computes the bound of a layout.
pub fn bound(layout: &Layout, mix: MixMeans) -> Bound {
    bound_with(layout, mix, |_, _| 1.0)
}

/// Computes the bound when each engine works at a fraction of its speed, which is 0 for an engine that does
/// not work.
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
