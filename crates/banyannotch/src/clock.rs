//! Clocks. Times are plain microseconds, so that tests can run policies with simulated times.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Microseconds in a millisecond.
pub const US_PER_MS: u64 = 1_000;

/// Source of time for the threads; policies receive the time as an argument instead.
pub trait Clock: Clone + Send + 'static {
    /// Returns the microseconds since the clock's origin; never decreases.
    fn now_us(&self) -> u64;

    /// Returns the milliseconds since the Unix epoch, for times that are exchanged between processes.
    fn unix_ms(&self) -> u64;
}

/// Monotonic and wall clock of the machine. All copies share one origin, so threads can exchange times.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    origin: Instant,
}

impl SystemClock {
    /// Creates a clock whose origin is now.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }
}

impl Clock for SystemClock {
    fn now_us(&self) -> u64 {
        u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    fn unix_ms(&self) -> u64 {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
    }
}

/// Time since the machine booted, including the time that it was suspended. Data that expires during a suspension must
/// be recognised as expired; the monotonic clock does not count suspended time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BootClock;

impl Clock for BootClock {
    fn now_us(&self) -> u64 {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
        seconds * 1_000_000 + nanos / 1_000
    }

    fn unix_ms(&self) -> u64 {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
    }
}
