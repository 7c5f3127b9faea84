//! When this entry appends the state again, so that a new entry finds it in the log after older records have expired.

use crate::clock::US_PER_MS;
use crate::random::Random;

/// Pause before another try, and the wait for the own record to come back from the log.
const RETRY_US: u64 = 5_000_000;

/// The newest record that a reader can start from is replaced when it is this old.
const RESTATE_AT_PERCENT: u64 = 50;

/// Entries draw their turn from a span of this length after that. The first one to append puts all others off.
const SPREAD_PERCENT: u64 = 25;

/// The next turn of this entry.
#[derive(Debug)]
pub(super) struct Restating {
    retention_us: u64,
    random: Random,
    due_us: Option<u64>,
    appending: bool,
}

impl Restating {
    pub fn new(retention_ms: u64, random: Random) -> Self {
        Self { retention_us: retention_ms * US_PER_MS, random, due_us: None, appending: false }
    }

    /// Notes a record that a new reader can start from.
    pub fn note_anchor(&mut self, now_us: u64, age_ms: u64) {
        let age_us = age_ms * US_PER_MS;
        let due_us = (self.retention_us * RESTATE_AT_PERCENT / 100).saturating_sub(age_us);
        self.due_us = Some(now_us + due_us + self.spread_us());
    }

    /// Notes that the log was read to its end. Without any record to start from the turn comes soon.
    pub fn note_end(&mut self, now_us: u64) {
        if self.due_us.is_none() {
            self.due_us = Some(now_us + self.spread_us());
        }
    }

    /// Returns when the turn comes.
    pub fn due_us(&self) -> Option<u64> {
        self.due_us.filter(|_| !self.appending)
    }

    /// Begins an append if it is time.
    pub fn begin(&mut self, now_us: u64) -> bool {
        let is_due = self.due_us().is_some_and(|due_us| due_us <= now_us);
        self.appending |= is_due;
        is_due
    }

    /// Ends an append. Reading the record back sets the next turn; until then it is tried again.
    pub fn end(&mut self, now_us: u64, taken: bool) {
        self.appending = false;
        let is_reset = self.due_us.is_some_and(|due_us| due_us > now_us);
        if !(taken && is_reset) {
            self.due_us = Some(now_us + RETRY_US + self.jitter_us(RETRY_US));
        }
    }

    /// Puts off a turn that could not be taken.
    pub fn put_off(&mut self, now_us: u64) {
        if self.due_us().is_some_and(|due_us| due_us <= now_us) {
            self.due_us = Some(now_us + RETRY_US + self.jitter_us(RETRY_US));
        }
    }

    fn spread_us(&mut self) -> u64 {
        self.jitter_us(self.retention_us * SPREAD_PERCENT / 100)
    }

    fn jitter_us(&mut self, span_us: u64) -> u64 {
        self.random.below(usize::try_from(span_us).unwrap_or(usize::MAX)) as u64
    }
}
