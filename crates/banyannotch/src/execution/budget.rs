//! Limits retries to a share of recent first attempts, so that a failure is not answered by an avalanche.

/// Thousandths of a retry, so that shares below one count.
const MILLI: u64 = 1_000;

/// Retries that are always possible after a quiet time.
const BURST_RETRIES: u64 = 32;

/// Counts first attempts up and retries down.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct RetryBudget {
    available_milli: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { available_milli: BURST_RETRIES * MILLI }
    }
}

impl RetryBudget {
    /// Counts a first attempt, which allows `percent` of a retry.
    pub fn count_first_attempt(&mut self, percent: u32) {
        let earned_milli = u64::from(percent) * MILLI / 100;
        self.available_milli = (self.available_milli + earned_milli).min(BURST_RETRIES * MILLI);
    }

    /// Returns how many retries are left.
    pub fn available(&self) -> f64 {
        self.available_milli as f64 / MILLI as f64
    }

    /// Takes one retry, or returns false when none is left.
    pub fn take(&mut self) -> bool {
        match self.available_milli.checked_sub(MILLI) {
            Some(rest) => {
                self.available_milli = rest;
                true
            }
            None => false,
        }
    }
}
