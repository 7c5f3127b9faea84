//! Report of the comparison of both paths.

use std::fmt;

use serde::Serialize;

use super::Round;
use crate::report::{Quantiles, median};

/// Goal for the ratio of routed to direct requests/s.
const RATIO_GOAL: f64 = 0.8;

/// Goal for the time that an entry adds to a token step at the median.
const ADDED_GOAL_US: i64 = 300;

/// Results of one closed loop on each path.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct RoundPair {
    /// Without an entry.
    pub direct: Round,
    /// Through an entry.
    pub routed: Round,
}

/// Token latencies of single requests on both paths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Single {
    /// Time between tokens, without an entry.
    pub direct: Quantiles,
    /// Time between tokens, through an entry.
    pub routed: Quantiles,
    /// Time to the first token, without an entry.
    pub direct_first: Quantiles,
    /// Time to the first token, through an entry.
    pub routed_first: Quantiles,
}

impl Single {
    /// Returns the time that the entry adds to a token step at the median.
    pub fn added_us(&self) -> i64 {
        self.routed.p50_us as i64 - self.direct.p50_us as i64
    }

    /// Returns the mean time that the entry adds to a token step, which depends less on the resolution of the
    /// engines' timers than the median.
    pub fn added_mean_us(&self) -> i64 {
        self.routed.mean_us as i64 - self.direct.mean_us as i64
    }
}

/// Result of the comparison.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct OverheadReport {
    /// Seed of the run.
    pub seed: u64,
    /// Build profile of this program. The other programs are normally in the same directory, so they have the
    /// same one.
    pub profile: &'static str,
    /// Number of concurrent requests.
    pub concurrency: usize,
    /// Number of client threads.
    pub threads: usize,
    /// Engine time of a stage for a batch of one step.
    pub stage_us: u64,
    /// Results of the rounds of closed loops.
    pub rounds: Vec<RoundPair>,
    /// Token latencies of the single requests.
    pub single: Single,
    /// Busy share of all processors during the measurement, over all programs on the machine.
    pub busy: f64,
}

impl OverheadReport {
    /// Returns the median over the rounds of the ratio of routed to direct requests/s.
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
