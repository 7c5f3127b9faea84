//! Estimates the load and speed of one endpoint from this entry's own work, load reports and measured step
//! times.

use std::collections::VecDeque;

use super::Observation;
use crate::membership::Load;

/// Maximum number of changes of the own work that are kept to look up the own work at the time of a report.
const HISTORY_LIMIT: usize = 64;

/// Time constant of the average of measured step times. It is long, so that the average shows the speed of
/// endpoint and link; faster changes show in the load.
const MEASUREMENT_TIME_CONSTANT_US: f64 = 1_000_000.0;

/// Time constant of the average of reports, because one report is a sample of a number that changes with each
/// step.
const REPORT_TIME_CONSTANT_US: f64 = 1_000_000.0;

/// Weight of a new measurement in the average time of a prompt position.
const POSITION_WEIGHT: f64 = 0.1;

/// Time in which a report loses half of its weight.
const REPORT_HALF_LIFE_US: f64 = 500_000.0;

/// Time in which the measured step time loses half of its weight, so that a slow endpoint is tried again.
const MEASUREMENT_HALF_LIFE_US: f64 = 2_000_000.0;

/// Part of a step's time that does not count as waiting: a twentieth of the 41 ms that may pass between two
/// tokens. With stages below a millisecond, delays of timers and connections would otherwise dominate the
/// slowdown; they kept the limit at a fifth of what the engines could run.
const WAITING_TOLERANCE_US: f64 = 2_000.0;

/// Minimum number of positions of a step that counts as prefill, from which the time of a position is
/// derived.
const MIN_PREFILL_POSITIONS: u32 = 8;

/// Step time of an endpoint that has not reported one.
const DEFAULT_STEP_US: f64 = 1_000.0;

/// Relative increase of the base step time per second while the last report shows no queue, so that a lasting
/// change of the link becomes part of the base.
const BASE_RELAXATION_PER_S: f64 = 0.02;

/// Load and speed of one endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct Meter {
    /// Number of this entry's requests that are placed on the endpoint.
    pub own_requests: u32,
    /// Expected number of this entry's steps at the endpoint: each request counts with the share of its time
    /// that it spends here.
    own_steps: f64,
    /// Time of each change of `own_steps` with the new value, oldest first.
    history: VecDeque<(u64, f64)>,
    /// Last load report.
    report: Load,
    /// Estimated steps of other entries: the average over reports, at least 0.
    pub other_steps: f64,
    /// Average over reports before negative values are set to 0, so that samples below 0 are averaged out.
    other_steps_average: f64,
    /// Average measured time of a decode step, with the link.
    measured_step_us: f64,
    /// Average load during the measured steps.
    measured_load: f64,
    /// Time of the last measured decode step.
    measured_at_us: Option<u64>,
    /// Average measured time of a prompt position; 0 until one was measured.
    position_us: f64,
    /// Step time without waiting: the lowest measured one, which rises by [`BASE_RELAXATION_PER_S`].
    base_step_us: f64,
    /// Maximum number of running steps in any report.
    pub max_batch: u32,
}

impl Meter {
    /// Counts a request that spends the given share of its time at the endpoint.
    pub fn add(&mut self, now_us: u64, share: f64) {
        self.own_requests += 1;
        self.own_steps += share;
        self.record_own_steps(now_us);
    }

    /// Removes a request from the count. Returns whether one was counted.
    pub fn subtract(&mut self, now_us: u64, share: f64) -> bool {
        let Some(own_requests) = self.own_requests.checked_sub(1) else { return false };
        self.own_requests = own_requests;
        // Resetting to 0 keeps rounding errors from accumulating over many requests.
        self.own_steps = if own_requests == 0 { 0.0 } else { (self.own_steps - share).max(0.0) };
        self.record_own_steps(now_us);
        true
    }

    /// Adds a load report. It contains this entry's own work at the time of the report, which is subtracted.
    pub fn on_report(&mut self, load: Load) {
        if load.taken_us <= self.report.taken_us && self.report.taken_us > 0 {
            return;
        }
        let at_report = self.history.iter().rev().find(|(at_us, _)| *at_us <= load.taken_us);
        let own_steps = at_report.or(self.history.front()).map_or(0.0, |(_, own_steps)| *own_steps);
        let other_steps = f64::from(load.running + load.queued) - own_steps;
        let elapsed_us = load.taken_us.saturating_sub(self.report.taken_us);
        self.other_steps_average = if self.report.taken_us == 0 {
            other_steps
        } else {
            average(
                self.other_steps_average,
                other_steps,
                smoothing_factor(elapsed_us, REPORT_TIME_CONSTANT_US),
            )
        };
        self.other_steps = self.other_steps_average.max(0.0);
        self.max_batch = self.max_batch.max(load.running);
        self.report = load;
    }

    /// Adds the time of a step. It was measured at this entry, so it contains the link.
    pub fn on_observation(&mut self, now_us: u64, observation: &Observation, mean_other_steps: f64) {
        let elapsed_us = observation.elapsed_us as f64;
        if observation.positions >= MIN_PREFILL_POSITIONS {
            let step_us = if self.measured_at_us.is_some() { self.measured_step_us } else { self.step_us() };
            let position_us = (elapsed_us - step_us).max(0.0) / f64::from(observation.positions);
            let weight = if self.position_us == 0.0 { 1.0 } else { POSITION_WEIGHT };
            self.position_us = average(self.position_us, position_us, weight);
            return;
        }
        let load = self.load(now_us, mean_other_steps);
        self.relax_base_step(now_us);
        let weight = match self.measured_at_us {
            Some(at_us) => {
                self.base_step_us = self.base_step_us.min(elapsed_us);
                smoothing_factor(now_us.saturating_sub(at_us), MEASUREMENT_TIME_CONSTANT_US)
            }
            None => {
                self.base_step_us = elapsed_us;
                1.0
            }
        };
        self.measured_step_us = average(self.measured_step_us, elapsed_us, weight);
        self.measured_load = average(self.measured_load, load, weight);
        self.measured_at_us = Some(now_us);
    }

    /// Returns the expected number of steps that run or wait. As a report ages, the mean over the replicas
    /// replaces it, so that entries with the same old report do not all choose the same endpoint.
    pub fn load(&self, now_us: u64, mean_other_steps: f64) -> f64 {
        let weight = decay(now_us.saturating_sub(self.report.taken_us), REPORT_HALF_LIFE_US);
        self.own_steps + weight * self.other_steps + (1.0 - weight) * mean_other_steps
    }

    /// Returns the expected time of a decode step if one more request is placed on the endpoint.
    pub fn expected_us(&self, now_us: u64, mean_other_steps: f64, link_us: f64) -> f64 {
        let load = self.load(now_us, mean_other_steps);
        let step_us = self.step_us();
        let reported_us = link_us + step_us * (1.0 + load);
        let Some(at_us) = self.measured_at_us else { return reported_us };
        let weight = decay(now_us.saturating_sub(at_us), MEASUREMENT_HALF_LIFE_US);
        // The measured time already contains the load during the measurement, so only the change since then
        // is added.
        let adjusted_us =
            (self.measured_step_us + step_us * (load - self.measured_load)).max(self.base_step_us);
        weight * adjusted_us + (1.0 - weight) * reported_us
    }

    /// Returns the measured time of a prompt position, or the reported one if none was measured.
    pub fn position_us(&self) -> f64 {
        if self.position_us > 0.0 { self.position_us } else { self.report.prefill_us_per_position as f64 }
    }

    /// Returns the step time without waiting, including the link.
    pub fn unloaded_us(&self, link_us: f64) -> f64 {
        if self.measured_at_us.is_some() { self.base_step_us } else { link_us + self.step_us() }
    }

    /// Returns the ratio of the measured step time, less [`WAITING_TOLERANCE_US`], to the step time without
    /// waiting, if a step was measured recently.
    pub fn slowdown(&self, now_us: u64) -> Option<f64> {
        let at_us = self.measured_at_us?;
        let recent = now_us.saturating_sub(at_us) as f64 <= MEASUREMENT_HALF_LIFE_US;
        recent.then(|| (self.measured_step_us - WAITING_TOLERANCE_US).max(0.0) / self.base_step_us.max(1.0))
    }

    /// Returns the number of running and queued steps in the last report.
    pub fn reported_steps(&self) -> u32 {
        self.report.running + self.report.queued
    }

    fn step_us(&self) -> f64 {
        if self.report.step_us > 0 { self.report.step_us as f64 } else { DEFAULT_STEP_US }
    }

    fn relax_base_step(&mut self, now_us: u64) {
        let Some(at_us) = self.measured_at_us else { return };
        if self.report.queued == 0 {
            let elapsed_s = now_us.saturating_sub(at_us) as f64 / 1e6;
            self.base_step_us *= 1.0 + BASE_RELAXATION_PER_S * elapsed_s.min(1.0);
        }
    }

    fn record_own_steps(&mut self, now_us: u64) {
        if self.history.len() >= HISTORY_LIMIT {
            self.history.pop_front();
        }
        self.history.push_back((now_us, self.own_steps));
    }
}

fn average(old: f64, new: f64, weight: f64) -> f64 {
    old + weight * (new - old)
}

/// Returns the weight of a new value in an exponential average.
fn smoothing_factor(elapsed_us: u64, time_constant_us: f64) -> f64 {
    1.0 - (-(elapsed_us as f64) / time_constant_us).exp()
}

/// Returns the weight that a value of the given age has left.
fn decay(age_us: u64, half_life_us: f64) -> f64 {
    (-(age_us as f64) / half_life_us).exp2()
}
