//! Arrival times of an open loop whose rate may vary.

use std::str::FromStr;

use banyannotch::random::Random;
use serde::Serialize;
use thiserror::Error;

/// Time from the start of one burst to the start of the next.
const BURST_PERIOD_S: f64 = 5.0;

/// Duration of a burst.
const BURST_S: f64 = 1.0;

/// Rate in a burst, relative to the mean.
const BURST_FACTOR: f64 = 2.5;

/// Rate before and after the step, relative to the mean.
const STEP_FACTORS: [f64; 2] = [0.6, 1.4];

/// How the rate varies around its mean. Arrivals are always a Poisson process at the current rate.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Arrivals {
    /// A constant rate.
    Poisson,
    /// Bursts at regular intervals.
    Bursts,
    /// A lower rate in the first half and a higher one in the second.
    Step,
}

/// Error for a name that is not a variation of the arrival rate.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("arrivals are {0:?}, expected poisson, bursts or step")]
pub struct UnknownArrivals(String);

impl FromStr for Arrivals {
    type Err = UnknownArrivals;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "poisson" => Ok(Self::Poisson),
            "bursts" => Ok(Self::Bursts),
            "step" => Ok(Self::Step),
            _ => Err(UnknownArrivals(text.to_owned())),
        }
    }
}

impl Arrivals {
    /// Returns the rate at a given time, relative to the mean.
    fn factor(self, at_s: f64, length_s: f64) -> f64 {
        match self {
            Self::Poisson => 1.0,
            Self::Bursts if at_s.rem_euclid(BURST_PERIOD_S) < BURST_S => BURST_FACTOR,
            Self::Bursts => (BURST_PERIOD_S - BURST_FACTOR * BURST_S) / (BURST_PERIOD_S - BURST_S),
            Self::Step => {
                let [before, after] = STEP_FACTORS;
                if at_s < length_s / 2.0 { before } else { after }
            }
        }
    }

    /// Draws the arrival times in ascending order.
    pub fn times_us(self, random: &mut Random, mean_per_s: f64, length_s: f64) -> Vec<u64> {
        let max_factor = BURST_FACTOR.max(STEP_FACTORS[1]);
        let (mut times, mut at_s) = (Vec::new(), 0.0);
        if mean_per_s <= 0.0 {
            return times;
        }
        // Thinning: draws arrivals at the highest rate and keeps each with the probability of the current
        // rate.
        loop {
            at_s -= (1.0 - random.unit()).ln() / (mean_per_s * max_factor);
            if at_s >= length_s {
                return times;
            }
            if random.unit() * max_factor < self.factor(at_s, length_s) {
                times.push((at_s * 1e6) as u64);
            }
        }
    }
}
