//! Keeps short waits right on average although timers have a resolution of one millisecond.

/// Shortest wait that is left to a timer.
const TIMER_RESOLUTION_US: i64 = 1_000;

/// Longest oversleep that is made up for. A process that was stopped must not run a burst of free work afterwards.
const CREDIT_LIMIT_US: i64 = 5_000;

/// Collects waits until they are long enough for a timer, and deducts what the timer overslept.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pacer {
    owed_us: i64,
}

impl Pacer {
    /// Adds a wait and returns how long to wait now; 0 means not yet.
    pub fn plan(&mut self, wait_us: u64) -> u64 {
        self.owed_us = self.owed_us.saturating_add_unsigned(wait_us);
        if self.owed_us < TIMER_RESOLUTION_US {
            return 0;
        }
        std::mem::take(&mut self.owed_us).unsigned_abs()
    }

    /// Records how long a planned wait took.
    pub fn settle(&mut self, planned_us: u64, taken_us: u64) {
        let planned_us = i64::try_from(planned_us).unwrap_or(i64::MAX);
        let taken_us = i64::try_from(taken_us).unwrap_or(i64::MAX);
        let owed_us = self.owed_us.saturating_add(planned_us).saturating_sub(taken_us);
        self.owed_us = owed_us.max(-CREDIT_LIMIT_US);
    }
}
