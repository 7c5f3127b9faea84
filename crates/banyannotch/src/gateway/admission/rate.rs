//! Rate at which capacity for requests of a service becomes free, as this gateway has seen it.

/// Time in which a past event loses half of its weight, in microseconds.
const HALF_LIFE_US: f64 = 5_000_000.0;
/// Weight of the past events below which the rate says nothing.
const SAMPLE_WEIGHT: f64 = 2.0;
/// Microseconds in a second.
const US_PER_S: f64 = 1_000_000.0;

/// Exponentially weighted rate of events.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Rate {
    weight: f64,
    /// Time of the last event.
    at_us: u64,
    /// Time of the first event.
    since_us: Option<u64>,
}

impl Rate {
    /// Counts an event.
    pub fn record(&mut self, now_us: u64) {
        self.weight = self.weight_at(now_us) + 1.0;
        self.at_us = now_us;
        self.since_us.get_or_insert(now_us);
    }

    /// Returns the rate, or none if there were too few events lately.
    pub fn per_s(&self, now_us: u64) -> Option<f64> {
        let weight = self.weight_at(now_us);
        let age_us = now_us.saturating_sub(self.since_us?) as f64;
        // While the first event is recent, the weights of the time before it are missing.
        let seen = 1.0 - (-age_us / HALF_LIFE_US).exp2();
        (weight >= SAMPLE_WEIGHT && seen > 0.0)
            .then(|| weight * std::f64::consts::LN_2 / HALF_LIFE_US * US_PER_S / seen)
    }

    fn weight_at(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.at_us) as f64;
        self.weight * (-age_us / HALF_LIFE_US).exp2()
    }
}
