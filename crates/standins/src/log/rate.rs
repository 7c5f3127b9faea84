//! Token bucket that limits the rate of appends.

/// Microtokens in a token. In this unit, the refill of one microsecond is an integer at any integer rate per
/// second.
const MICROTOKENS_PER_TOKEN: u64 = 1_000_000;

/// The bucket's capacity is the rate per second divided by this number, and at least one token.
const CAPACITY_DIVISOR: u64 = 10;

/// A token bucket that starts full.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    microtokens: u64,
    refilled_us: u64,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn full() -> Self {
        Self { microtokens: u64::MAX, refilled_us: 0 }
    }

    /// Takes one token and returns whether there was one. The rate may change between calls; 0 means no
    /// limit.
    pub fn take(&mut self, now_us: u64, rate_per_s: u64) -> bool {
        if rate_per_s == 0 {
            return true;
        }
        let capacity = (rate_per_s / CAPACITY_DIVISOR).max(1) * MICROTOKENS_PER_TOKEN;
        let refill = now_us.saturating_sub(self.refilled_us).saturating_mul(rate_per_s);
        self.microtokens = self.microtokens.saturating_add(refill).min(capacity);
        self.refilled_us = now_us;
        if self.microtokens < MICROTOKENS_PER_TOKEN {
            return false;
        }
        self.microtokens -= MICROTOKENS_PER_TOKEN;
        true
    }
}
