//! Even load on engines although each gateway knows the load of the others late and in part.
//!
//! Gateways that all take the best chain by the same late reports send their requests to the same engines. A draw spreads
//! the requests without any report, and the reports only correct it. See `docs/design/load-spreading.md`.

mod skew;
#[cfg(test)]
mod tests;

pub use skew::skew;

use crate::random::Random;

/// Highest fill of a chain of the gateway's zone up to which chains of other zones are not considered.
const SPILL_FILL: f64 = 0.6;

/// What a gateway knows of a chain of engines, for one request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ChainState {
    /// Requests that the chain serves each second, reduced by its load and by recent failures.
    pub weight: f64,
    /// Expected time to answer the request, in milliseconds.
    pub cost_ms: f64,
    /// Highest share of the KV cache in use on any engine of the chain.
    pub fill: f64,
    /// Whether an earlier send of the request used an engine of the chain.
    pub is_tried: bool,
}

/// Draws two chains by their weights and returns the index of the one that is less filled. Chains that were tried are drawn only if there is no other.
pub fn draw(chains: &[ChainState], random: &mut Random) -> Option<usize> {
    let all_tried = chains.iter().all(|chain| chain.is_tried);
    let eligible: Vec<(usize, &ChainState)> =
        chains.iter().enumerate().filter(|(_, chain)| all_tried || !chain.is_tried).collect();
    let total: f64 = eligible.iter().map(|(_, chain)| chain.weight).sum();
    let mut draw_one = || {
        let mut drawn = random.unit() * total;
        let found = eligible.iter().find(|(_, chain)| {
            drawn -= chain.weight;
            drawn < 0.0
        });
        found.or(eligible.last()).copied()
    };
    let (first, second) = (draw_one()?, draw_one()?);
    Some(if second.1.fill < first.1.fill { second.0 } else { first.0 })
}

/// Returns whether a chain of the gateway's zone is taken without a look at other zones.
pub fn suffices(local: &ChainState) -> bool {
    local.fill < SPILL_FILL && !local.is_tried
}

/// Returns whether a chain of another zone is preferred to one of the gateway's zone.
pub fn prefers_foreign(local: &ChainState, foreign: &ChainState) -> bool {
    if local.is_tried != foreign.is_tried {
        return local.is_tried;
    }
    foreign.fill < local.fill
}
