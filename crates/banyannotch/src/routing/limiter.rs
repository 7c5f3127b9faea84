//! Limit of requests in flight, adapted to the measured slowdown of steps.

/// Ratio of the step time to a step time without waiting that the limit is regulated to. A step that arrives
/// while a batch runs waits for up to one batch time, so 2 is normal at full use. At a load of 0.95 of the
/// capacity bound, a target of 2.5 with a limit that oscillated gave a goodput of 0.91 of the offered load. A
/// higher target lengthens the gaps between tokens.
const TARGET_SLOWDOWN: f64 = 3.5;

/// Gain of the regulation per report: the limit changes by this times the relative deviation from the target
/// slowdown. The measured slowdown lags by its averaging period and the length of the requests, about 20
/// reports. A decrease to 0.9 of the limit per report made the requests in flight of an entry oscillate
/// between 8 and 53.
const GAIN: f64 = 0.03;

/// Relative increase of the limit per report while no step waits, so that a burst or a single entry soon uses
/// free capacity: the limit grows 1.8-fold in a second.
const NO_WAITING_GAIN: f64 = 0.06;

/// Slowdown below which no step waits.
const NO_WAITING_SLOWDOWN: f64 = 1.0;

/// Share of the distance to the initial limit by which the limit moves per report. Entries that share
/// endpoints measure the same slowdown, so only this makes their limits equal.
const CONVERGENCE_SHARE: f64 = 0.005;

/// Share of the limit that must be in use for the slowdown to raise it; while it is not in use, the
/// slowdown does not show whether the endpoints have capacity for more requests.
const USED_SHARE: f64 = 0.8;

/// Limit of requests in flight for one model. It follows the slowdown slowly enough not to oscillate, and
/// drifts towards an equal share, so that the limits of entries that share endpoints converge without
/// communication.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Limiter {
    limit: f64,
}

impl Limiter {
    /// Adapts the limit to the latest figures and returns it. `min_limit` is this entry's share of the
    /// requests that keep each replica of the bottleneck busy with one step. `initial_limit` is the limit at
    /// the start, towards which the limit drifts.
    pub fn adapt(
        &mut self,
        slowdown: Option<f64>,
        in_flight: u32,
        min_limit: f64,
        initial_limit: f64,
    ) -> u32 {
        if self.limit == 0.0 {
            self.limit = initial_limit;
        }
        let used = f64::from(in_flight) >= USED_SHARE * self.limit;
        let change = match slowdown {
            Some(slowdown) if slowdown < NO_WAITING_SLOWDOWN && used => NO_WAITING_GAIN,
            Some(slowdown) if slowdown > TARGET_SLOWDOWN || used => {
                GAIN * (TARGET_SLOWDOWN / slowdown.max(f64::MIN_POSITIVE) - 1.0).min(1.0)
            }
            // The slowdown is unknown, or it is within the target and the limit is not in use.
            _ => 0.0,
        };
        self.limit += change * self.limit + CONVERGENCE_SHARE * (initial_limit - self.limit);
        self.limit = self.limit.max(min_limit).max(1.0);
        self.limit.ceil() as u32
    }
}
