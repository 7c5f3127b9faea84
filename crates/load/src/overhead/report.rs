//! The report of the comparison.

use std::fmt;

use serde::Serialize;

use super::Round;
use crate::report::{Quantiles, median};

/// Lowest share of the direct requests/s that the routed path should reach.
const RATIO_GOAL: f64 = 0.8;

/// Longest time that an entry should add to a token step at the median.
const ADDED_GOAL_US: i64 = 300;

/// One closed loop on each path.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct RoundPair {
    /// Without an entry.
    pub direct: Round,
    /// Through an entry.
    pub routed: Round,
}

/// Times of single requests on both paths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Single {
    /// Between tokens, without an entry.
    pub direct: Quantiles,
    /// Between tokens, through an entry.
    pub routed: Quantiles,
    /// To the first token, without an entry.
    pub direct_first: Quantiles,
    /// To the first token, through an entry.
    pub routed_first: Quantiles,
}

impl Single {
    /// Returns the time that the entry adds to a token step at the median.
    pub fn added_us(&self) -> i64 {
        self.routed.p50_us as i64 - self.direct.p50_us as i64
    }

    /// Returns the time that the entry adds to a token step in the mean, which the resolution of the engines' timers
    /// affects less.
    pub fn added_mean_us(&self) -> i64 {
        self.routed.mean_us as i64 - self.direct.mean_us as i64
    }
}

/// Result of the comparison.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct OverheadReport {
    /// Seed.
    pub seed: u64,
    /// Build profile of this program; the others are beside it.
    pub profile: &'static str,
    /// Requests at one time.
    pub concurrency: usize,
    /// Threads of the client.
    pub threads: usize,
    /// Engine time of a stage with one step.
    pub stage_us: u64,
    /// Closed loops.
    pub rounds: Vec<RoundPair>,
    /// Single requests.
    pub single: Single,
    /// Busy share of all processors during the measurement, by all programs of the machine.
    pub busy: f64,
}

impl OverheadReport {
    /// Returns the median over the rounds of requests/s routed over direct.
    pub fn ratio(&self) -> f64 {
        let ratio = |pair: &RoundPair| {
            pair.routed.requests_per_s() / pair.direct.requests_per_s().max(f64::MIN_POSITIVE)
        };
        median(&self.rounds.iter().map(ratio).collect::<Vec<f64>>())
    }
}

impl fmt::Display for OverheadReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "overhead seed={} profile={} concurrency={} client_threads={} stage_us={} busy={:.2}",
            self.seed, self.profile, self.concurrency, self.threads, self.stage_us, self.busy
        )?;
        for (number, RoundPair { direct, routed }) in self.rounds.iter().enumerate() {
            writeln!(
                formatter,
                "round {number}: direct {:.1} requests/s ({} other), routed {:.1} requests/s ({} other), ratio {:.3}",
                direct.requests_per_s(),
                direct.other,
                routed.requests_per_s(),
                routed.other,
                routed.requests_per_s() / direct.requests_per_s().max(f64::MIN_POSITIVE),
            )?;
        }
        let met = |met: bool| if met { "met" } else { "missed" };
        let ratio = self.ratio();
        writeln!(
            formatter,
            "requests/s routed over direct, median of the rounds: {ratio:.3} (goal at least {RATIO_GOAL}, {})",
            met(ratio >= RATIO_GOAL)
        )?;
        let added_us = self.single.added_us();
        writeln!(formatter, "between tokens, direct: {}", self.single.direct)?;
        writeln!(formatter, "between tokens, routed: {}", self.single.routed)?;
        writeln!(formatter, "first token, direct: {}", self.single.direct_first)?;
        writeln!(formatter, "first token, routed: {}", self.single.routed_first)?;
        write!(
            formatter,
            "added to a token step at the median: {added_us} us (goal at most {ADDED_GOAL_US}, {}), in the mean: {} us",
            met(added_us <= ADDED_GOAL_US),
            self.single.added_mean_us()
        )
    }
}
