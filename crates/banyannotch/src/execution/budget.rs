//! Limits retries to a share of the recent first attempts, so that a failure does not cause a retry storm.

/// Budget units of one retry, so that fractions of a retry can be earned.
const MILLI_PER_RETRY: u64 = 1_000;

/// Maximum number of retries that can be saved up, so that as many are available after a time without
/// retries. A new budget starts with this number.
const BURST_RETRIES: u64 = 32;

/// Retry budget that first attempts replenish and retries consume.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct RetryBudget {
    available_milli: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { available_milli: BURST_RETRIES * MILLI_PER_RETRY }
    }
}

impl RetryBudget {
    /// Counts a first attempt, which earns `percent` percent of a retry.
    pub fn count_first_attempt(&mut self, percent: u32) {
        let earned_milli = u64::from(percent) * MILLI_PER_RETRY / 100;
        self.available_milli = (self.available_milli + earned_milli).min(BURST_RETRIES * MILLI_PER_RETRY);
    }

    /// Returns how many retries are left.
    pub fn available(&self) -> f64 {
        self.available_milli as f64 / MILLI_PER_RETRY as f64
    }

    /// Consumes one retry. Returns false if none is left.
    pub fn take(&mut self) -> bool {
        match self.available_milli.checked_sub(MILLI_PER_RETRY) {
            Some(rest) => {
                self.available_milli = rest;
                true
            }
            None => false,
        }
    }
}
