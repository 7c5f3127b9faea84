//! Predicts how long a request takes, from routing's figures and from requests that ended.

use super::Capacity;
use crate::request::{Submission, Work};

/// Bytes of a prompt for each position, to estimate its positions.
const PROMPT_BYTES_PER_POSITION: usize = 4;

/// Share of a new measurement in a moving average.
const LEARNED_WEIGHT: f64 = 0.1;

/// What was learned loses half of its effect in this time without new measurements. Otherwise a prediction that
/// refuses every request would never be corrected.
const LEARNED_HALF_LIFE_US: f64 = 5_000_000.0;

/// Bounds of the ratio of measured to predicted time.
const CORRECTION_RANGE: (f64, f64) = (0.25, 4.0);

/// Factor on the predicted time that is compared with the deadline, because half of the requests take longer than
/// the mean.
const SAFETY_FACTOR: f64 = 1.1;

/// Share of the token limit that fair shares are computed with while a team's answers are not known.
const UNKNOWN_TOKENS_SHARE: f64 = 0.5;

/// Service time that fair shares are computed with while nothing is known.
const UNKNOWN_SERVICE_US: f64 = 10_000.0;

/// A moving average that fades without measurements.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Learned {
    mean: f64,
    at_us: Option<u64>,
}

impl Learned {
    /// Takes a measurement.
    pub fn learn(&mut self, now_us: u64, value: f64) {
        // The first measurement after a pause counts in place of what has faded meanwhile. With a fixed weight, the few
        // requests that a pessimistic prediction let through took 40 s to correct it.
        let weight = self.at_us.map_or(1.0, |at_us| LEARNED_WEIGHT.max(1.0 - remaining(now_us, at_us)));
        self.mean += weight * (value - self.mean);
        self.at_us = Some(now_us);
    }

    /// Returns whether there was a measurement.
    pub fn is_known(&self) -> bool {
        self.at_us.is_some()
    }

    /// Returns the average, which fades towards the given value.
    pub fn value(&self, now_us: u64, towards: f64) -> f64 {
        let Some(at_us) = self.at_us else { return towards };
        towards + (self.mean - towards) * remaining(now_us, at_us)
    }
}

/// Returns the share of a measurement's effect that is left.
fn remaining(now_us: u64, at_us: u64) -> f64 {
    let age_us = now_us.saturating_sub(at_us) as f64;
    (-age_us / LEARNED_HALF_LIFE_US).exp2()
}

/// What a request asks for, in the units of the prediction.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Demand {
    pub positions: f64,
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

/// Predicts the times of one model or service.
#[derive(Clone, Debug, Default)]
pub(super) struct Forecast {
    token_us: f64,
    position_us: f64,
    /// Ratio of measured to predicted time of generations.
    correction: Learned,
    /// Time of calls, which routing does not measure.
    call_us: Learned,
}

impl Forecast {
    /// Takes routing's figures. Returns whether they changed enough to judge waiting requests again.
    pub fn set_capacity(&mut self, capacity: &Capacity) -> bool {
        let (token_us, position_us) = (capacity.token_us as f64, capacity.position_us as f64);
        let differs = |old: f64, new: f64| (old - new).abs() > 0.1 * old.max(new);
        let changed = differs(self.token_us, token_us) || differs(self.position_us, position_us);
        (self.token_us, self.position_us) = (token_us, position_us);
        changed
    }

    /// Returns the predicted time until the request has ended, with a margin. Nothing known counts as no time, because
    /// a request is refused only for a reason.
    pub fn service_us(&self, now_us: u64, demand: &Demand, tokens_share: &Learned) -> u64 {
        if demand.is_call() {
            return (SAFETY_FACTOR * self.call_us.value(now_us, 0.0)) as u64;
        }
        let tokens = (demand.max_tokens * tokens_share.value(now_us, 0.0)).max(1.0);
        (SAFETY_FACTOR * self.correction(now_us) * self.time_us(demand, tokens)) as u64
    }

    /// Returns the predicted time in which the given cost is served one request at a time. Costs that were set before
    /// anything was known predict nothing.
    pub fn wait_us(&self, now_us: u64, demand: &Demand, cost_us: u64) -> f64 {
        let known = if demand.is_call() { self.call_us.is_known() } else { self.token_us > 0.0 };
        if known { cost_us as f64 * self.correction(now_us) } else { 0.0 }
    }

    /// Returns the cost that the team is charged in advance; the end of the request corrects it.
    pub fn cost_us(&self, now_us: u64, demand: &Demand, tokens_share: &Learned) -> u64 {
        let tokens = demand.max_tokens * tokens_share.value(now_us, UNKNOWN_TOKENS_SHARE);
        self.charge_us(now_us, demand, tokens)
    }

    /// Returns the cost of a request that generated the given number of tokens.
    pub fn charge_us(&self, now_us: u64, demand: &Demand, tokens: f64) -> u64 {
        let known_us = if demand.is_call() {
            self.call_us.value(now_us, UNKNOWN_SERVICE_US)
        } else if self.token_us > 0.0 {
            self.time_us(demand, tokens)
        } else {
            UNKNOWN_SERVICE_US * tokens.max(1.0)
        };
        known_us.max(1.0) as u64
    }

    /// Takes the time of a request that was completed.
    pub fn learn(&mut self, now_us: u64, demand: &Demand, tokens: f64, elapsed_us: u64) {
        if demand.is_call() {
            self.call_us.learn(now_us, elapsed_us as f64);
            return;
        }
        let predicted_us = self.time_us(demand, tokens);
        if predicted_us > 0.0 {
            let (least, most) = CORRECTION_RANGE;
            self.correction.learn(now_us, (elapsed_us as f64 / predicted_us).clamp(least, most));
        }
    }

    fn correction(&self, now_us: u64) -> f64 {
        let (least, most) = CORRECTION_RANGE;
        self.correction.value(now_us, 1.0).clamp(least, most)
    }

    fn time_us(&self, demand: &Demand, tokens: f64) -> f64 {
        demand.positions * self.position_us + tokens * self.token_us
    }
}
