//! Schedules restating records, so that a new entry finds the state in the log after older records have
//! expired.
//!
//! A checkpoint is a record from which a new reader can start: a restating record, a reset or the first
//! record.

use crate::clock::US_PER_MS;
use crate::random::Random;

/// Pause before the next append if the last one failed, could not be made, or has not been read back from the
/// log.
const APPEND_RETRY_US: u64 = 5_000_000;

/// Age of the newest checkpoint, in percent of the retention time, at which entries begin to replace it.
const RESTATE_AT_PERCENT: u64 = 50;

/// Maximum random delay after that age, in percent of the retention time. The first entry to append postpones
/// the appends of all others, since they read its record.
const RESTATE_JITTER_PERCENT: u64 = 25;

/// Schedule of the restating records of this entry.
#[derive(Debug)]
pub(super) struct RestateSchedule {
    retention_us: u64,
    random: Random,
    due_us: Option<u64>,
    appending: bool,
}

impl RestateSchedule {
    pub fn new(retention_ms: u64, random: Random) -> Self {
        Self { retention_us: retention_ms * US_PER_MS, random, due_us: None, appending: false }
    }

    /// Records that a checkpoint of this age was read, and schedules the next append from it.
    pub fn note_checkpoint(&mut self, now_us: u64, age_ms: u64) {
        let age_us = age_ms * US_PER_MS;
        let due_us = (self.retention_us * RESTATE_AT_PERCENT / 100).saturating_sub(age_us);
        self.due_us = Some(now_us + due_us + self.restate_jitter_us());
    }

    /// Records that the log was read to its end. If it holds no checkpoint, an append is scheduled after a
    /// random delay.
    pub fn note_end(&mut self, now_us: u64) {
        if self.due_us.is_none() {
            self.due_us = Some(now_us + self.restate_jitter_us());
        }
    }

    /// Returns when the next append is due, or none while an append is in progress.
    pub fn due_us(&self) -> Option<u64> {
        self.due_us.filter(|_| !self.appending)
    }

    /// Begins an append if it is due, and returns whether it is.
    pub fn begin_append(&mut self, now_us: u64) -> bool {
        let is_due = self.due_us().is_some_and(|due_us| due_us <= now_us);
        self.appending |= is_due;
        is_due
    }

    /// Ends an append. Reading the record back schedules the next one; otherwise the append is tried
    /// again.
    pub fn end_append(&mut self, now_us: u64, succeeded: bool) {
        self.appending = false;
        let is_rescheduled = self.due_us.is_some_and(|due_us| due_us > now_us);
        if !(succeeded && is_rescheduled) {
            self.due_us = Some(now_us + APPEND_RETRY_US + self.jitter_us(APPEND_RETRY_US));
        }
    }

    /// Postpones a due append that could not be made.
    pub fn postpone(&mut self, now_us: u64) {
        if self.due_us().is_some_and(|due_us| due_us <= now_us) {
            self.due_us = Some(now_us + APPEND_RETRY_US + self.jitter_us(APPEND_RETRY_US));
        }
    }

    fn restate_jitter_us(&mut self) -> u64 {
        self.jitter_us(self.retention_us * RESTATE_JITTER_PERCENT / 100)
    }

    fn jitter_us(&mut self, span_us: u64) -> u64 {
        self.random.below(usize::try_from(span_us).unwrap_or(usize::MAX)) as u64
    }
}
