//! Limit of requests in flight, adapted to the measured growth of step times.

/// Growth of the step time, in relation to a step without waiting, above which the limit falls. A batch that is
/// joined while it runs delays a step by up to one batch time, so 2 is normal at full use.
const GROWTH_LIMIT: f64 = 2.5;

/// Factor by which the limit falls.
const DECREASE_FACTOR: f64 = 0.9;

/// Factor by which the limit rises; small, because entries share the endpoints.
const INCREASE_FACTOR: f64 = 1.02;

/// Share of the limit that must be in use before it rises: an unused limit says nothing about the endpoints.
const USED_SHARE: f64 = 0.8;

/// Limit of requests in flight for one model. It rises slowly and falls by a factor, so that entries that share
/// endpoints converge to equal shares without knowing of each other.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Limiter {
    limit: f64,
}

impl Limiter {
    /// Adapts the limit. `least` is one step at each replica's share; `first` is used at the start.
    pub fn adapt(&mut self, growth: Option<f64>, in_flight: u32, least: f64, first: f64) -> u32 {
        if self.limit == 0.0 {
            self.limit = first;
        }
        match growth {
            Some(growth) if growth > GROWTH_LIMIT => self.limit *= DECREASE_FACTOR,
            Some(_) if f64::from(in_flight) >= USED_SHARE * self.limit => {
                self.limit = f64::max(self.limit * INCREASE_FACTOR, self.limit + 1.0);
            }
            // Nothing is measured or the limit is not used: return towards the first limit.
            _ if self.limit < first => self.limit = f64::min(self.limit * INCREASE_FACTOR, first),
            _ => {}
        }
        self.limit = self.limit.max(least).max(1.0);
        self.limit.ceil() as u32
    }
}
