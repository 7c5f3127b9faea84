//! When callers that were refused for lack of capacity are told to return.
//!
//! With a constant time, callers that were refused together returned together, and most of them were refused again.

use super::classes::RANK_LIMIT;

/// Time in which a refusal loses half of its weight, in microseconds. Most callers have returned by then.
const HALF_LIFE_US: f64 = 1_000_000.0;
/// Shortest time after which a caller is told to return, in milliseconds.
const SHORTEST_MS: f64 = 50.0;
/// A caller is told to return within the remaining time divided by this number, so that it can be served then.
const REMAINING_DIVISOR: f64 = 3.0;

/// What the time of a return depends on.
#[derive(Clone, Copy, Debug)]
pub(super) struct Prospect {
    /// Rank of the refused request.
    pub rank: u8,
    /// Number of requests that wait and precede a request of the rank.
    pub ahead: usize,
    /// Number of requests that wait.
    pub waiting: usize,
    /// Expected time between two requests that can be sent, in milliseconds.
    pub interval_ms: f64,
    /// Remaining time of the caller, in milliseconds.
    pub remaining_ms: f64,
}

/// Callers of one service that were refused lately and are expected to return, by rank.
#[derive(Clone, Debug, Default)]
pub(super) struct Returns {
    weights: [f64; RANK_LIMIT],
    at_us: u64,
}

impl Returns {
    /// Counts a refused request. Returns after which time its caller is to return, in milliseconds. `position` in `[0, 1)`
    /// is its random place among the callers of its rank, who return one after another once those of more urgent ranks have.
    pub fn schedule(&mut self, now_us: u64, prospect: &Prospect, position: f64) -> u64 {
        let age_us = now_us.saturating_sub(self.at_us) as f64;
        let factor = (-age_us / HALF_LIFE_US).exp2();
        self.weights.iter_mut().for_each(|weight| *weight *= factor);
        self.at_us = now_us;
        let rank = usize::from(prospect.rank);
        if let Some(weight) = self.weights.get_mut(rank) {
            *weight += 1.0;
        }
        let before: f64 = self.weights.iter().take(rank).sum();
        let own = self.weights.get(rank).copied().unwrap_or_default();
        let all: f64 = self.weights.iter().sum();
        let turn = prospect.ahead as f64 + before + own * position;
        let last_turn = prospect.waiting as f64 + all;
        let longest_ms = prospect.remaining_ms / REMAINING_DIVISOR;
        // If the last caller would return too late, all return sooner, in the same order.
        let interval_ms = prospect.interval_ms.min(longest_ms / last_turn.max(1.0));
        (turn * interval_ms).max(SHORTEST_MS) as u64
    }
}
