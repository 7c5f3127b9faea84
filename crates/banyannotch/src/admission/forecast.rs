//! Predicts service times from the capacities that routing reports and from completed requests.

use super::Capacity;
use crate::request::{Submission, Work};

/// Assumed bytes of prompt text per token position, used to estimate the length of a prompt.
const PROMPT_BYTES_PER_POSITION: usize = 4;

/// Minimum weight of a new measurement in a moving average.
const MIN_MEASUREMENT_WEIGHT: f64 = 0.1;

/// Time without measurements in which a moving average loses half of its weight. Without this decay, a
/// prediction that causes every request to be refused would never be corrected.
const MEASUREMENT_HALF_LIFE_US: f64 = 5_000_000.0;

/// Minimum and maximum of the ratio of measured to predicted service time.
const CORRECTION_RANGE: (f64, f64) = (0.25, 4.0);

/// Factor on the predicted service time for the comparison with the deadline, because half of the requests
/// take longer than the mean.
const SAFETY_FACTOR: f64 = 1.1;

/// Ratio of generated tokens to the token limit with which the cost of a request is estimated while none has
/// been measured for its team recently.
const DEFAULT_OUTPUT_RATIO: f64 = 0.5;

/// Service time of a call, or of each token of a generation, with which costs are computed while none is
/// known.
const DEFAULT_UNIT_SERVICE_US: f64 = 10_000.0;

/// Moving average that decays towards a default value while there are no measurements.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayingAverage {
    mean: f64,
    /// Time of the last measurement.
    at_us: Option<u64>,
}

impl DecayingAverage {
    /// Adds a measurement.
    pub fn record(&mut self, now_us: u64, value: f64) {
        // After a pause, a measurement gets the weight that the average has lost by decay. With a fixed
        // weight, it took 40 s until the few requests that a pessimistic prediction admitted had corrected
        // it.
        let weight =
            self.at_us.map_or(1.0, |at_us| MIN_MEASUREMENT_WEIGHT.max(1.0 - remaining_weight(now_us, at_us)));
        self.mean += weight * (value - self.mean);
        self.at_us = Some(now_us);
    }

    /// Returns whether there has been a measurement.
    pub fn has_measurement(&self) -> bool {
        self.at_us.is_some()
    }

    /// Returns the average, decayed towards the given default.
    pub fn value(&self, now_us: u64, default: f64) -> f64 {
        let Some(at_us) = self.at_us else { return default };
        default + (self.mean - default) * remaining_weight(now_us, at_us)
    }
}

/// Returns the weight that an average has left after its last measurement.
fn remaining_weight(now_us: u64, at_us: u64) -> f64 {
    let age_us = now_us.saturating_sub(at_us) as f64;
    (-age_us / MEASUREMENT_HALF_LIFE_US).exp2()
}

/// Size of a request, from which its service time is predicted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Demand {
    /// Estimated positions of the prompt.
    pub positions: f64,
    /// Maximum number of tokens of the answer.
    pub max_tokens: f64,
}

impl Demand {
    /// Returns the demand of a request; a call has no positions and no tokens.
    pub fn of(submission: &Submission) -> Self {
        match &submission.work {
            Work::Call(_) => Self { positions: 0.0, max_tokens: 0.0 },
            Work::Generate(generation) => Self {
                positions: (generation.prompt.len() / PROMPT_BYTES_PER_POSITION) as f64,
                max_tokens: f64::from(generation.max_tokens),
            },
        }
    }

    fn is_call(&self) -> bool {
        self.max_tokens == 0.0
    }
}

/// Predicts the service times of one model or service.
#[derive(Clone, Debug, Default)]
pub(super) struct Forecast {
    /// Time of one token as reported by routing; 0 means unknown.
    token_us: f64,
    /// Time of one prompt position as reported by routing.
    position_us: f64,
    /// Ratio of measured to predicted service time of generations.
    correction: DecayingAverage,
    /// Measured service time of calls, which routing does not report.
    call_us: DecayingAverage,
}

impl Forecast {
    /// Sets the times that routing reported. Returns whether one changed by more than a tenth, so that the
    /// latest start times of waiting requests have to be recomputed.
    pub fn set_capacity(&mut self, capacity: &Capacity) -> bool {
        let (token_us, position_us) = (capacity.token_us as f64, capacity.position_us as f64);
        let differs = |old: f64, new: f64| (old - new).abs() > 0.1 * old.max(new);
        let changed = differs(self.token_us, token_us) || differs(self.position_us, position_us);
        (self.token_us, self.position_us) = (token_us, position_us);
        changed
    }

    /// Returns the predicted service time of a request, with a margin. Unknown times count as 0, because a
    /// request must not be refused without evidence.
    pub fn service_us(&self, now_us: u64, demand: &Demand, output_ratio: &DecayingAverage) -> u64 {
        if demand.is_call() {
            return (SAFETY_FACTOR * self.call_us.value(now_us, 0.0)) as u64;
        }
        let tokens = (demand.max_tokens * output_ratio.value(now_us, 0.0)).max(1.0);
        (SAFETY_FACTOR * self.correction(now_us) * self.uncorrected_service_us(demand, tokens)) as u64
    }

    /// Returns the predicted time to serve the given cost one request at a time. Returns 0 while service
    /// times are unknown, because costs are then computed with defaults that predict nothing.
    pub fn wait_us(&self, now_us: u64, demand: &Demand, cost_us: u64) -> f64 {
        let known = if demand.is_call() { self.call_us.has_measurement() } else { self.token_us > 0.0 };
        if known { cost_us as f64 * self.correction(now_us) } else { 0.0 }
    }

    /// Returns the estimated cost of a request, which its team is charged in advance. The charge is corrected
    /// when the request ends.
    pub fn estimated_cost_us(&self, now_us: u64, demand: &Demand, output_ratio: &DecayingAverage) -> u64 {
        let tokens = demand.max_tokens * output_ratio.value(now_us, DEFAULT_OUTPUT_RATIO);
        self.cost_for_tokens_us(now_us, demand, tokens)
    }

    /// Returns the cost of a request that generated the given number of tokens.
    pub fn cost_for_tokens_us(&self, now_us: u64, demand: &Demand, tokens: f64) -> u64 {
        let cost_us = if demand.is_call() {
            self.call_us.value(now_us, DEFAULT_UNIT_SERVICE_US)
        } else if self.token_us > 0.0 {
            self.uncorrected_service_us(demand, tokens)
        } else {
            DEFAULT_UNIT_SERVICE_US * tokens.max(1.0)
        };
        cost_us.max(1.0) as u64
    }

    /// Adds the measured service time of a completed request.
    pub fn record_completion(&mut self, now_us: u64, demand: &Demand, tokens: f64, elapsed_us: u64) {
        if demand.is_call() {
            self.call_us.record(now_us, elapsed_us as f64);
            return;
        }
        let predicted_us = self.uncorrected_service_us(demand, tokens);
        if predicted_us > 0.0 {
            let (min, max) = CORRECTION_RANGE;
            self.correction.record(now_us, (elapsed_us as f64 / predicted_us).clamp(min, max));
        }
    }

    fn correction(&self, now_us: u64) -> f64 {
        let (min, max) = CORRECTION_RANGE;
        self.correction.value(now_us, 1.0).clamp(min, max)
    }

    /// Returns the service time of a generation according to the times that routing reported.
    fn uncorrected_service_us(&self, demand: &Demand, tokens: f64) -> f64 {
        demand.positions * self.position_us + tokens * self.token_us
    }
}
