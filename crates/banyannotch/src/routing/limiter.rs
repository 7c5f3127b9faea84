//! Limit of requests in flight, adapted to the measured growth of step times.

/// Growth of the step time, in relation to a step without waiting, that the limit aims at. A batch that is joined while
/// it runs delays a step by up to one batch time, so 2 is normal at full use. With 2.5 and a limit that swung, goodput was
/// 0.91 of the offered load at 0.95 of the bound; a higher target costs longer gaps between tokens.
const GROWTH_TARGET: f64 = 3.5;

/// Relative change of the limit for each report when the growth is off the target by its whole size. Measured growth lags
/// by its averaging period and the length of the requests, about 20 reports; a fall by 0.9 for each report made the
/// requests in flight of an entry swing between 8 and 53.
const GAIN: f64 = 0.03;

/// The same while the growth shows no waiting at all, so that a burst or a lone entry soon gets what is free: the limit
/// grows by 1.8 times in a second.
const FREE_GAIN: f64 = 0.06;

/// Growth below which nothing waits.
const FREE_GROWTH: f64 = 1.0;

/// Share of the way to the first limit that each report goes. Entries that share endpoints see the same growth, so only
/// this makes their limits equal.
const PULL: f64 = 0.005;

/// Share of the limit that must be in use before it rises: an unused limit says nothing about the endpoints.
const USED_SHARE: f64 = 0.8;

/// Limit of requests in flight for one model. It follows the growth of the step times slowly enough not to swing, and is
/// pulled towards an equal share, so that entries that share endpoints converge without knowing of each other.
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
        let used = f64::from(in_flight) >= USED_SHARE * self.limit;
        let change = match growth {
            Some(growth) if growth < FREE_GROWTH && used => FREE_GAIN,
            Some(growth) if growth > GROWTH_TARGET || used => {
                GAIN * (GROWTH_TARGET / growth.max(f64::MIN_POSITIVE) - 1.0).min(1.0)
            }
            // Nothing is measured or the limit is not used.
            _ => 0.0,
        };
        self.limit += change * self.limit + PULL * (first - self.limit);
        self.limit = self.limit.max(least).max(1.0);
        self.limit.ceil() as u32
    }
}
