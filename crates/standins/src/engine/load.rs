//! Load reports that lag behind the current load.

use std::collections::VecDeque;

use banyannotch::clock::US_PER_MS;
use banyannotch::engine::EngineLoad;

/// Number of intervals per lag. Changes within one interval are merged into one sample, which bounds their
/// number.
const SAMPLES_PER_LAG: u64 = 16;

/// Samples of the load with their times in microseconds, oldest first.
#[derive(Debug)]
pub struct LoadHistory {
    lag_us: u64,
    samples: VecDeque<(u64, EngineLoad)>,
}

impl LoadHistory {
    /// Creates a history whose reports are delayed by `lag_ms`.
    pub fn new(lag_ms: u64) -> Self {
        Self { lag_us: lag_ms * US_PER_MS, samples: VecDeque::new() }
    }

    /// Records the load at time `now_us`.
    pub fn record(&mut self, now_us: u64, load: EngineLoad) {
        let merge_us = self.lag_us / SAMPLES_PER_LAG;
        match self.samples.back_mut() {
            Some((time_us, last)) if now_us.saturating_sub(*time_us) <= merge_us => *last = load,
            _ => self.samples.push_back((now_us, load)),
        }
        self.expire(now_us);
    }

    /// Returns the load as of one lag ago, or the oldest sample if none is that old.
    pub fn report(&mut self, now_us: u64) -> Option<EngineLoad> {
        self.expire(now_us);
        let (time_us, load) = self.samples.front()?;
        let age_us = now_us.saturating_sub(*time_us).min(self.lag_us);
        Some(EngineLoad { age_ms: age_us / US_PER_MS, ..load.clone() })
    }

    /// Drops the samples that are superseded by a newer sample that is at least one lag old.
    fn expire(&mut self, now_us: u64) {
        let cutoff_us = now_us.saturating_sub(self.lag_us);
        while self.samples.get(1).is_some_and(|(time_us, _)| *time_us <= cutoff_us) {
            self.samples.pop_front();
        }
    }
}
