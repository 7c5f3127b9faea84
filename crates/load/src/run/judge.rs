//! Goodput over time, recovery after faults, and violations of guarantees.

use std::collections::BTreeSet;

use serde::Serialize;

use super::Record;
use crate::client::OutcomeKind;
use crate::faults::{InjectedFault, Observed};
use crate::report::Quantiles;
use crate::workload::Work;

/// Time between the ends of two successive windows.
const WINDOW_STEP_US: u64 = 100_000;

/// Share of the reference at which goodput counts as recovered. The reference is the smaller of expected
/// goodput and bound.
const RECOVERED_SHARE: f64 = 0.95;

/// Time after a fault in which a drop of goodput is attributed to it. A fault without a drop in this time
/// counts as having no effect.
const EFFECT_WINDOW_US: u64 = 5_000_000;

/// Counts of generations in one window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Window {
    /// End of the window, since the start of the load.
    pub at_us: u64,
    /// Number of good answers that ended in the window.
    pub good: f64,
    /// Number of answers that would have ended in it at the latency from before the first fault.
    pub expected: f64,
    /// Number of answers that the remaining engines can complete in it at most.
    pub bound: f64,
}

impl Window {
    fn is_below_threshold(&self) -> bool {
        self.good < RECOVERED_SHARE * self.expected.min(self.bound)
    }
}

/// Goodput over time.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Series {
    /// Length of each window.
    pub window_us: u64,
    /// Windows in order of time.
    pub windows: Vec<Window>,
    /// Share of the windows before the first fault, without the first third of that time, in which goodput is
    /// below the recovery threshold by chance.
    pub below_before_faults: f64,
}

/// Recovery of goodput after a fault.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Recovery {
    /// Time of the injection, since the start of the load.
    pub fault_us: u64,
    /// Time from the fault to the end of the first window that reaches the threshold again after goodput fell
    /// below it; 0 if goodput did not fall below it in the 5 s after the fault, `None` if it did not recover
    /// before the next fault or the end of the load.
    pub recovered_us: Option<u64>,
    /// Lowest share of the reference in the 5 s after the fault, up to the next fault.
    pub lowest: f64,
    /// Longest time between consecutive tokens of a good answer that was in progress at the fault.
    pub longest_stall_us: u64,
}

/// Number of violations of each guarantee.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Violations {
    /// Answers that were reported as completed but are incorrect, or that contain an incorrect token.
    pub wrong_answers: u64,
    /// Repeated runs of a layer for the same position of a cache.
    pub doubled_steps: u64,
    /// Steps that used the cache of another request or attempt.
    pub foreign_steps: u64,
    /// Repeated runs of calls with a key.
    pub doubled_calls: u64,
    /// Requests that were reported as not run although part of them ran.
    pub not_run_but_ran: u64,
    /// Invariant violations counted by the entries.
    pub invariants: u64,
}

impl Violations {
    /// Counts the violations in the records and in the observed counts.
    pub fn count(records: &[Record], observed: &Observed) -> Self {
        Self {
            wrong_answers: records.iter().filter(|record| record.kind == OutcomeKind::Wrong).count() as u64,
            doubled_steps: observed.duplicates,
            foreign_steps: observed.foreign,
            doubled_calls: observed.doubled_calls,
            not_run_but_ran: records.iter().filter(|record| is_false_not_run(record, observed)).count()
                as u64,
            invariants: observed.violations,
        }
    }

    /// Returns the sum of all violations.
    pub fn total(&self) -> u64 {
        self.wrong_answers
            + self.doubled_steps
            + self.foreign_steps
            + self.doubled_calls
            + self.not_run_but_ran
            + self.invariants
    }
}

/// Returns whether an attempt was reported as not run although part of it ran. Attempts of a call share its
/// key, so a run may belong to any of them; a call therefore counts only if all its attempts were reported as
/// not run.
fn is_false_not_run(record: &Record, observed: &Observed) -> bool {
    let not_run = |kind: OutcomeKind| kind == OutcomeKind::NotRun;
    match &record.planned.work {
        Work::Call { key: Some(key), .. } => {
            record.attempts.iter().all(|attempt| not_run(attempt.kind)) && observed.keys.contains_key(key)
        }
        Work::Call { key: None, .. } => false,
        Work::Generate { .. } => record.attempts.iter().any(|attempt| {
            not_run(attempt.kind)
                && attempt.request.as_ref().is_some_and(|request| observed.ran.contains(request))
        }),
    }
}

/// Typical latencies of good generations before the first fault.
#[derive(Clone, Copy, Debug, Default)]
struct BaselineLatency {
    first_token_us: u64,
    token_gap_us: u64,
}

/// Computes goodput over time. `bounds` holds the bounds of the working engines in requests per second, each
/// with the time in microseconds from which it applies.
pub fn series(
    records: &[Record],
    faults: &[InjectedFault],
    bounds: &[(u64, f64)],
    length_us: u64,
    window_us: u64,
) -> Series {
    let first_fault_us = faults.first().map_or(length_us, |fault| fault.at_us);
    let generations: Vec<&Record> = records.iter().filter(|record| record.is_generation()).collect();
    let baseline = baseline_latency(&generations, first_fault_us);
    let good: BTreeSet<(u64, usize)> =
        distinct_times(generations.iter().filter(|record| record.is_good()).map(|record| record.end_us));
    let expected = distinct_times(generations.iter().filter_map(|record| match &record.planned.work {
        Work::Generate { max_tokens, .. } => {
            let gaps = u64::from(max_tokens.saturating_sub(1));
            Some(record.planned.at_us + baseline.first_token_us + gaps * baseline.token_gap_us)
        }
        Work::Call { .. } => None,
    }));
    let within = |set: &BTreeSet<(u64, usize)>, end_us: u64| -> f64 {
        set.range((end_us.saturating_sub(window_us), 0)..(end_us, 0)).count() as f64
    };
    let bound_at = |at_us: u64| {
        let last = bounds.iter().rev().find(|(from_us, _)| *from_us <= at_us);
        last.map_or(f64::INFINITY, |(_, bound_per_s)| *bound_per_s)
    };
    let windows: Vec<Window> = (window_us..=length_us)
        .step_by(WINDOW_STEP_US as usize)
        .map(|at_us| Window {
            at_us,
            good: within(&good, at_us),
            expected: within(&expected, at_us),
            bound: bound_at(at_us) * window_us as f64 / 1e6,
        })
        .collect();
    let before: Vec<&Window> = windows
        .iter()
        .filter(|window| window.at_us > first_fault_us / 3 && window.at_us <= first_fault_us)
        .collect();
    let below = before.iter().filter(|window| window.is_below_threshold()).count() as f64;
    Series { window_us, below_before_faults: below / before.len().max(1) as f64, windows }
}

/// Computes the recovery after each fault.
pub fn recoveries(series: &Series, faults: &[InjectedFault], records: &[Record]) -> Vec<Recovery> {
    faults
        .iter()
        .enumerate()
        .map(|(index, fault)| {
            let next_us = faults.get(index + 1).map_or(u64::MAX, |next| next.at_us);
            let after = || {
                series.windows.iter().filter(|window| window.at_us > fault.at_us && window.at_us <= next_us)
            };
            let fell_us = after()
                .find(|window| window.is_below_threshold() && window.at_us <= fault.at_us + EFFECT_WINDOW_US)
                .map(|window| window.at_us);
            let recovered_us = match fell_us {
                None => Some(0),
                Some(fell_us) => after()
                    .find(|window| window.at_us > fell_us && !window.is_below_threshold())
                    .map(|window| window.at_us - fault.at_us),
            };
            let share = |window: &Window| window.good / window.expected.min(window.bound).max(1.0);
            let lowest = after()
                .filter(|window| window.at_us <= fault.at_us + EFFECT_WINDOW_US)
                .map(share)
                .reduce(f64::min)
                .unwrap_or(1.0);
            let longest_stall_us = longest_stall_us(records, fault.at_us);
            Recovery { fault_us: fault.at_us, recovered_us, lowest, longest_stall_us }
        })
        .collect()
}

/// Returns the longest time between consecutive tokens of the good answers that were in progress at a fault.
fn longest_stall_us(records: &[Record], fault_us: u64) -> u64 {
    let in_progress = records
        .iter()
        .filter(|record| record.is_good() && record.sent_us < fault_us && record.end_us > fault_us);
    in_progress.flat_map(token_gaps_us).max().unwrap_or_default()
}

/// Returns the times between consecutive tokens of the last attempt.
pub fn token_gaps_us(record: &Record) -> impl Iterator<Item = u64> + '_ {
    record
        .token_times_us
        .iter()
        .zip(record.token_times_us.iter().skip(1))
        .map(|(before, after)| after - before)
}

fn baseline_latency(generations: &[&Record], first_fault_us: u64) -> BaselineLatency {
    let before: Vec<&&Record> =
        generations.iter().filter(|record| record.is_good() && record.end_us < first_fault_us).collect();
    let first =
        before.iter().filter_map(|record| Some(record.token_times_us.first()? - record.planned.at_us));
    BaselineLatency {
        first_token_us: Quantiles::of(first).p50_us,
        // The mean rather than the median, because the duration of an answer is the sum of its token gaps.
        token_gap_us: Quantiles::of(before.iter().flat_map(|record| token_gaps_us(record))).mean_us,
    }
}

/// Pairs each time with its index, so that the set keeps equal times.
fn distinct_times(times: impl Iterator<Item = u64>) -> BTreeSet<(u64, usize)> {
    times.enumerate().map(|(number, time)| (time, number)).collect()
}
