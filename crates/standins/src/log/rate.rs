//! The rate limit: a token bucket.

/// Millionths of a token, so that one microsecond at any whole rate refills a whole number.
const MICROTOKENS: u64 = 1_000_000;

/// The bucket holds the appends of this part of a second, at least one.
const BURSTS_PER_S: u64 = 10;

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

    /// Takes one token if there is one. The rate may change between calls; 0 means no limit.
    pub fn take(&mut self, now_us: u64, rate_per_s: u64) -> bool {
        if rate_per_s == 0 {
            return true;
        }
        let capacity = (rate_per_s / BURSTS_PER_S).max(1) * MICROTOKENS;
        let gained = now_us.saturating_sub(self.refilled_us).saturating_mul(rate_per_s);
        self.microtokens = self.microtokens.saturating_add(gained).min(capacity);
        self.refilled_us = now_us;
        if self.microtokens < MICROTOKENS {
            return false;
        }
        self.microtokens -= MICROTOKENS;
        true
    }
}
