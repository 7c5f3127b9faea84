//! Makes short waits take their configured time on average, although timers have a resolution of one
//! millisecond.

/// Shortest wait for which a timer is used.
const TIMER_RESOLUTION_US: i64 = 1_000;

/// Maximum oversleep that is deducted from later waits. Without this limit, a process that was stopped would
/// then skip the waits of a long burst of work.
const MAX_OVERSLEEP_CREDIT_US: i64 = 5_000;

/// Accumulates waits until they are long enough for a timer, and deducts the time that timers overslept.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pacer {
    /// Time that is still to be waited; negative after a timer overslept.
    owed_us: i64,
}

impl Pacer {
    /// Adds a wait and returns how long to wait now, in microseconds; 0 means that the wait is postponed.
    pub fn plan(&mut self, wait_us: u64) -> u64 {
        self.owed_us = self.owed_us.saturating_add_unsigned(wait_us);
        if self.owed_us < TIMER_RESOLUTION_US {
            return 0;
        }
        std::mem::take(&mut self.owed_us).unsigned_abs()
    }

    /// Records how long a planned wait took, in microseconds.
    pub fn record_elapsed(&mut self, planned_us: u64, elapsed_us: u64) {
        let planned_us = i64::try_from(planned_us).unwrap_or(i64::MAX);
        let elapsed_us = i64::try_from(elapsed_us).unwrap_or(i64::MAX);
        let owed_us = self.owed_us.saturating_add(planned_us).saturating_sub(elapsed_us);
        self.owed_us = owed_us.max(-MAX_OVERSLEEP_CREDIT_US);
    }
}
