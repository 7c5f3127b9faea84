//! Health of each endpoint: load in flight, failures, exclusions and reported speed.

use serde::{Deserialize, Serialize};

use crate::clock::US_PER_MS;
use crate::pipeline::Address;
use crate::table::Table;

/// Load in flight at an endpoint.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// Number of requests that were sent to the endpoint.
    pub requests: u32,
    /// Number of requests whose path includes the endpoint.
    pub sequences: u32,
    /// KV cache that these requests need, in tokens times layers.
    pub cache: f64,
    /// Prompts that the endpoint has still to process, in tokens times layers.
    pub reading: f64,
}

impl Load {
    /// Adds another load. Counts that other gateways report may be anything.
    pub fn add(&mut self, other: &Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.sequences = self.sequences.saturating_add(other.sequences);
        self.cache += other.cache;
        self.reading += other.reading;
    }

    /// Returns the load multiplied by a factor, with counts rounded.
    pub fn scaled(&self, factor: f64) -> Self {
        let count = |number: u32| (f64::from(number) * factor).round() as u32;
        Self {
            requests: count(self.requests),
            sequences: count(self.sequences),
            cache: self.cache * factor,
            reading: self.reading * factor,
        }
    }

    /// Subtracts another load, down to zero.
    pub fn remove(&mut self, other: &Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.sequences = self.sequences.saturating_sub(other.sequences);
        self.cache = (self.cache - other.cache).max(0.0);
        self.reading = (self.reading - other.reading).max(0.0);
    }

    /// Returns whether no request is in flight.
    pub fn is_idle(&self) -> bool {
        self.requests == 0 && self.sequences == 0
    }
}

/// Why an endpoint is excluded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Exclusion {
    /// This gateway observed failures.
    Failed,
    /// Another gateway reports it as down.
    Reported,
    /// It rejected a request for lack of room.
    Full,
}

/// Health of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Health {
    /// Load of this gateway.
    pub own: Load,
    /// Load of the other gateways, estimated from the states that they publish.
    pub peers: Load,
    /// End of the exclusion that follows a suspicion, while the endpoint is asked for a sign of life.
    suspected_until_us: u64,
    /// Until when the endpoint counts as down, because it was asked for a sign of life and has not given one since. It is
    /// tried again after that time, because it may answer requests although it gives no reports.
    down_until_us: u64,
    /// When an endpoint that is down is asked again.
    next_check_us: u64,
    /// Last sign of life that this gateway observed.
    last_answer_us: Option<u64>,
    /// End of the exclusion that follows another gateway's. It is not published, or gateways would renew each other's
    /// exclusions forever.
    reported_until_us: u64,
    /// End of the exclusion that follows a lack of room, which is not published either.
    full_until_us: u64,
    /// Suspicions since the last complete answer.
    consecutive_suspicions: u32,
    /// Share of recent requests that failed, as of `last_result_us`.
    last_failure_share: f64,
    last_result_us: u64,
    /// Slowdown that the engine last reported, as a factor on the times of its kind of accelerator.
    pub reported_slowdown: f64,
    slowdown_valid_until_us: u64,
}

/// Weight of one result in the moving average of the failure share.
const FAILURE_SHARE_SMOOTHING: f64 = 0.3;
/// Maximum number of doublings of the exclusion time.
const MAX_EXCLUSION_DOUBLINGS: u32 = 4;
/// Validity of a reported slowdown, in microseconds. Reports are requested only after a broken connection or
/// a time-out, so no later report corrects an outdated value.
const SLOWDOWN_VALIDITY_US: u64 = 3_000_000;

impl Health {
    /// Returns the load of all gateways.
    pub fn load(&self) -> Load {
        let mut load = self.own;
        load.add(&self.peers);
        load
    }

    /// Returns whether the endpoint is excluded, by this or another gateway.
    pub fn is_excluded(&self, now_us: u64) -> bool {
        self.exclusion(now_us).is_some()
    }

    /// Returns why the endpoint is excluded.
    pub fn exclusion(&self, now_us: u64) -> Option<Exclusion> {
        if self.is_down(now_us) || now_us < self.suspected_until_us {
            Some(Exclusion::Failed)
        } else if now_us < self.reported_until_us {
            Some(Exclusion::Reported)
        } else {
            (now_us < self.full_until_us).then_some(Exclusion::Full)
        }
    }

    /// Returns whether the endpoint gave no sign of life when this gateway asked for one.
    pub fn is_down(&self, now_us: u64) -> bool {
        now_us < self.down_until_us
    }

    /// Returns whether this gateway observed a sign of life of the endpoint within the given time.
    pub fn has_answered_within(&self, now_us: u64, within_ms: u64) -> bool {
        self.last_answer_us.is_some_and(|answer_us| now_us < answer_us + within_ms * US_PER_MS)
    }

    /// Records a sign of life. Returns whether the endpoint was down.
    pub fn record_answer(&mut self, now_us: u64) -> bool {
        self.last_answer_us = Some(now_us);
        std::mem::take(&mut self.down_until_us) > now_us
    }

    /// Records that the endpoint gave no sign of life when it was asked for one. It is asked again after `interval_ms`, and
    /// counts as down for `limit_ms`. Returns whether that is new.
    pub fn record_no_answer(&mut self, now_us: u64, interval_ms: u64, limit_ms: u64) -> bool {
        self.next_check_us = now_us + interval_ms * US_PER_MS;
        let is_new = !self.is_down(now_us);
        if is_new {
            self.down_until_us = now_us + limit_ms * US_PER_MS;
        }
        is_new
    }

    /// Returns whether an endpoint that is down must be asked again, and notes that it is.
    pub fn take_due_check(&mut self, now_us: u64, interval_ms: u64) -> bool {
        let is_due = self.is_down(now_us) && now_us >= self.next_check_us;
        if is_due {
            self.next_check_us = now_us + interval_ms * US_PER_MS;
        }
        is_due
    }

    /// Excludes the endpoint because another gateway has reported it as down. Returns whether it was not excluded for that
    /// before.
    pub fn exclude_reported(&mut self, now_us: u64, for_ms: u64) -> bool {
        let is_new = self.reported_until_us <= now_us;
        self.reported_until_us = self.reported_until_us.max(now_us + for_ms * US_PER_MS);
        is_new
    }

    /// Excludes the endpoint because it lacks room.
    pub fn exclude_full(&mut self, now_us: u64, for_ms: u64) {
        self.full_until_us = self.full_until_us.max(now_us + for_ms * US_PER_MS);
    }

    /// Returns the share of recent requests that failed; it halves with each half-life without a result.
    pub fn failure_share(&self, now_us: u64, half_life_ms: f64) -> f64 {
        let age_ms = now_us.saturating_sub(self.last_result_us) as f64 / US_PER_MS as f64;
        self.last_failure_share * (-age_ms / half_life_ms).exp2()
    }

    /// Returns the factor by which the endpoint is slower than its kind of accelerator, at least 1.
    pub fn slowdown(&self, now_us: u64) -> f64 {
        if now_us < self.slowdown_valid_until_us { self.reported_slowdown.max(1.0) } else { 1.0 }
    }

    /// Records a reported slowdown.
    pub fn record_slowdown(&mut self, now_us: u64, slowdown: f64) {
        self.reported_slowdown = slowdown;
        self.slowdown_valid_until_us = now_us + SLOWDOWN_VALIDITY_US;
    }

    /// Records a complete answer.
    pub fn record_success(&mut self, now_us: u64, half_life_ms: f64) {
        self.last_failure_share = self.failure_share(now_us, half_life_ms) * (1.0 - FAILURE_SHARE_SMOOTHING);
        self.last_result_us = now_us;
        self.consecutive_suspicions = 0;
    }

    /// Records a failure. The weight is below 1 when the endpoint may not be the cause.
    pub fn record_failure(&mut self, now_us: u64, half_life_ms: f64, weight: f64) {
        let share = self.failure_share(now_us, half_life_ms);
        self.last_failure_share = share + (1.0 - share) * FAILURE_SHARE_SMOOTHING * weight;
        self.last_result_us = now_us;
    }

    /// Excludes the endpoint because of a suspicion and returns for how long, in milliseconds, or none if it is excluded for
    /// one already: many requests observe the same failure, and together they must not prolong the exclusion. The time
    /// doubles with each suspicion in a row.
    pub fn suspect(&mut self, now_us: u64, initial_ms: u64, max_ms: u64) -> Option<u64> {
        if self.exclusion(now_us) == Some(Exclusion::Failed) {
            return None;
        }
        let for_ms = (initial_ms << self.consecutive_suspicions.min(MAX_EXCLUSION_DOUBLINGS)).min(max_ms);
        self.consecutive_suspicions += 1;
        self.suspected_until_us = now_us + for_ms * US_PER_MS;
        Some(for_ms)
    }

    /// Clears failures and exclusions that were not the endpoint's fault.
    pub fn forget_failures(&mut self) {
        *self = Self {
            own: self.own,
            peers: self.peers,
            reported_slowdown: self.reported_slowdown,
            slowdown_valid_until_us: self.slowdown_valid_until_us,
            last_answer_us: self.last_answer_us,
            ..Self::default()
        };
    }

    /// Clears failures, exclusions and slowdown after a restart, which shows that the endpoint answers again.
    pub fn reset(&mut self) {
        *self = Self { own: self.own, peers: self.peers, ..Self::default() };
    }
}

/// Health of all endpoints by address.
pub(super) type HealthTable = Table<Address, Health>;
