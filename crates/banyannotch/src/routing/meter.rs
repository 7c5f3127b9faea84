//! What is known of one endpoint's load and speed: own work, the last report, and measured steps.

use std::collections::VecDeque;

use super::Observation;
use crate::membership::Load;

/// Own changes that are remembered to find the own work at the time of a report.
const HISTORY_LIMIT: usize = 64;

/// Time over which measured steps are averaged. It is long, so that it shows the speed of endpoint and link; what
/// changes faster is seen in the load.
const MEASURED_PERIOD_US: f64 = 1_000_000.0;

/// Time over which reports are averaged, because one report is a sample of a number that changes with each step.
const REPORT_PERIOD_US: f64 = 1_000_000.0;

/// Share of a new measurement in the average time of a position.
const POSITION_WEIGHT: f64 = 0.1;

/// A report loses half of its weight in this time.
const REPORT_HALF_LIFE_US: f64 = 500_000.0;

/// Measured times lose half of their weight in this time, so that a slow endpoint is tried again.
const MEASURED_HALF_LIFE_US: f64 = 2_000_000.0;

/// Part of a step's time that does not count as waiting: a twentieth of the 41 ms that may pass between two tokens. For
/// stages below a millisecond the growth is otherwise that of timers and connections, and kept the limit at a fifth of
/// what the engines carried.
const UNNOTICED_US: f64 = 2_000.0;

/// Fewest positions of a step from which the time of a position is derived.
const PREFILL_POSITIONS: u32 = 8;

/// Step time of an endpoint that has neither reported nor been measured.
const UNKNOWN_STEP_US: f64 = 1_000.0;

/// The least step time relaxes upwards by this factor per second while nothing queues, so that a lasting change of
/// the link becomes the new base.
const BASE_RELAXATION: f64 = 0.02;

/// Load and speed of one endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct Meter {
    /// Requests of this entry that are placed here.
    pub own: u32,
    /// Expected number of own steps in progress: each request counts with the share of its time that it spends here.
    own_steps: f64,
    history: VecDeque<(u64, f64)>,
    report: Load,
    /// Steps of other entries according to the last report.
    pub others: f64,
    others_mean: f64,
    measured_us: f64,
    measured_load: f64,
    measured_at_us: Option<u64>,
    position_us: f64,
    base_us: f64,
    /// Most steps that ran at once in a report.
    pub batch: u32,
}

impl Meter {
    /// Counts a request that spends the given share of its time here.
    pub fn add(&mut self, now_us: u64, share: f64) {
        self.own += 1;
        self.own_steps += share;
        self.remember(now_us);
    }

    /// Takes a request off again. Returns whether there was one.
    pub fn subtract(&mut self, now_us: u64, share: f64) -> bool {
        let Some(own) = self.own.checked_sub(1) else { return false };
        self.own = own;
        // Rounding errors must not add up over many requests.
        self.own_steps = if own == 0 { 0.0 } else { (self.own_steps - share).max(0.0) };
        self.remember(now_us);
        true
    }

    /// Takes a load report, which shows the own work of the time at which it was taken.
    pub fn on_report(&mut self, load: Load) {
        if load.taken_us <= self.report.taken_us && self.report.taken_us > 0 {
            return;
        }
        let known = self.history.iter().rev().find(|(at_us, _)| *at_us <= load.taken_us);
        let own = known.or(self.history.front()).map_or(0.0, |(_, own)| *own);
        let others = f64::from(load.running + load.queued) - own;
        let passed_us = load.taken_us.saturating_sub(self.report.taken_us);
        self.others_mean = if self.report.taken_us == 0 {
            others
        } else {
            average(self.others_mean, others, weight(passed_us, REPORT_PERIOD_US))
        };
        self.others = self.others_mean.max(0.0);
        self.batch = self.batch.max(load.running);
        self.report = load;
    }

    /// Takes the time of a step, measured here and therefore with the link.
    pub fn on_observation(&mut self, now_us: u64, observation: &Observation, mean_others: f64) {
        let elapsed_us = observation.elapsed_us as f64;
        if observation.positions >= PREFILL_POSITIONS {
            let step_us = if self.measured_at_us.is_some() { self.measured_us } else { self.step_us() };
            let position_us = (elapsed_us - step_us).max(0.0) / f64::from(observation.positions);
            let share = if self.position_us == 0.0 { 1.0 } else { POSITION_WEIGHT };
            self.position_us = average(self.position_us, position_us, share);
            return;
        }
        let load = self.load(now_us, mean_others);
        self.relax_base(now_us);
        let share = match self.measured_at_us {
            Some(at_us) => {
                self.base_us = self.base_us.min(elapsed_us);
                weight(now_us.saturating_sub(at_us), MEASURED_PERIOD_US)
            }
            None => {
                self.base_us = elapsed_us;
                1.0
            }
        };
        self.measured_us = average(self.measured_us, elapsed_us, share);
        self.measured_load = average(self.measured_load, load, share);
        self.measured_at_us = Some(now_us);
    }

    /// Returns the expected number of steps in progress or waiting. An old report counts less and the mean of the
    /// other replicas counts in its place, so that entries with the same old report do not all choose one endpoint.
    pub fn load(&self, now_us: u64, mean_others: f64) -> f64 {
        let weight = decay(now_us.saturating_sub(self.report.taken_us), REPORT_HALF_LIFE_US);
        self.own_steps + weight * self.others + (1.0 - weight) * mean_others
    }

    /// Returns the expected time of a decode step if one more request is placed here.
    pub fn expected_us(&self, now_us: u64, mean_others: f64, link_us: f64) -> f64 {
        let load = self.load(now_us, mean_others);
        let step_us = self.step_us();
        let reported_us = link_us + step_us * (1.0 + load);
        let Some(at_us) = self.measured_at_us else { return reported_us };
        let weight = decay(now_us.saturating_sub(at_us), MEASURED_HALF_LIFE_US);
        // The measured time contains the load of its own period; only the difference to the present load is added.
        let measured_us = (self.measured_us + step_us * (load - self.measured_load)).max(self.base_us);
        weight * measured_us + (1.0 - weight) * reported_us
    }

    /// Returns the time of one prompt position.
    pub fn position_us(&self) -> f64 {
        if self.position_us > 0.0 { self.position_us } else { self.report.prefill_us_per_position as f64 }
    }

    /// Returns the step time without waiting, with the link.
    pub fn unloaded_us(&self, link_us: f64) -> f64 {
        if self.measured_at_us.is_some() { self.base_us } else { link_us + self.step_us() }
    }

    /// Returns the measured step time, less what nobody notices, in relation to the step time without waiting, if it was
    /// measured recently.
    pub fn growth(&self, now_us: u64) -> Option<f64> {
        let at_us = self.measured_at_us?;
        let recent = now_us.saturating_sub(at_us) as f64 <= MEASURED_HALF_LIFE_US;
        recent.then(|| (self.measured_us - UNNOTICED_US).max(0.0) / self.base_us.max(1.0))
    }

    /// Returns what the last report says.
    pub fn reported(&self) -> u32 {
        self.report.running + self.report.queued
    }

    fn step_us(&self) -> f64 {
        if self.report.step_us > 0 { self.report.step_us as f64 } else { UNKNOWN_STEP_US }
    }

    fn relax_base(&mut self, now_us: u64) {
        let Some(at_us) = self.measured_at_us else { return };
        if self.report.queued == 0 {
            let elapsed_s = now_us.saturating_sub(at_us) as f64 / 1e6;
            self.base_us *= 1.0 + BASE_RELAXATION * elapsed_s.min(1.0);
        }
    }

    fn remember(&mut self, now_us: u64) {
        if self.history.len() >= HISTORY_LIMIT {
            self.history.pop_front();
        }
        self.history.push_back((now_us, self.own_steps));
    }
}

fn average(old: f64, new: f64, share: f64) -> f64 {
    old + share * (new - old)
}

/// Returns the share of a new value in an average over a period.
fn weight(passed_us: u64, period_us: f64) -> f64 {
    1.0 - (-(passed_us as f64) / period_us).exp()
}

fn decay(age_us: u64, half_life_us: f64) -> f64 {
    (-(age_us as f64) / half_life_us).exp2()
}
