//! Goodput over time, recovery after faults, and what must never happen.

use std::collections::BTreeSet;

use serde::Serialize;

use super::Record;
use crate::client::Kind;
use crate::faults::{Injected, Observed};
use crate::report::Quantiles;
use crate::workload::Work;

/// Distance between two windows.
const STEP_US: u64 = 100_000;

/// Share of the reference at which goodput counts as back.
const RECOVERED_SHARE: f64 = 0.95;

/// A fault whose effect does not show within this time has none.
const EFFECT_US: u64 = 5_000_000;

/// One window that ends at `at_us`; counts of generations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Window {
    /// End of the window.
    pub at_us: u64,
    /// Good answers that ended in it.
    pub good: f64,
    /// Answers that would have ended in it at the pace before the first fault.
    pub expected: f64,
    /// Most that the remaining engines can do in it.
    pub bound: f64,
}

impl Window {
    fn is_below(&self) -> bool {
        self.good < RECOVERED_SHARE * self.expected.min(self.bound)
    }
}

/// Goodput over time.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Series {
    /// Length of each window.
    pub window_us: u64,
    /// Windows in order.
    pub windows: Vec<Window>,
    /// Share of the windows before the first fault that are below the mark only by chance.
    pub below_before_faults: f64,
}

/// How goodput came back after a fault.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Recovery {
    /// When the fault was injected.
    pub fault_us: u64,
    /// Time until the first window after it at the mark, once goodput had fallen below; 0 when it never fell, none when
    /// it did not come back before the next fault or the end of the load.
    pub recovered_us: Option<u64>,
    /// Lowest share of the reference after the fault.
    pub lowest: f64,
    /// Longest time without a token in a good answer that was in progress at the fault.
    pub longest_stall_us: u64,
}

/// What must not happen, counted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Violations {
    /// Answers reported as completed that are not right, or tokens that are not right.
    pub wrong_answers: u64,
    /// Layers that ran twice for a position in a cache.
    pub doubled_steps: u64,
    /// Steps on another request's cache.
    pub foreign_steps: u64,
    /// Calls with a key that ran more than once.
    pub doubled_calls: u64,
    /// Requests reported as not run of which something ran.
    pub not_run_but_ran: u64,
    /// Invariants that an entry found broken.
    pub invariants: u64,
}

impl Violations {
    /// Counts them.
    pub fn count(records: &[Record], observed: &Observed) -> Self {
        Self {
            wrong_answers: records.iter().filter(|record| record.kind == Kind::Wrong).count() as u64,
            doubled_steps: observed.duplicates,
            foreign_steps: observed.foreign,
            doubled_calls: observed.doubled_calls,
            not_run_but_ran: records.iter().filter(|record| ran_although_not(record, observed)).count()
                as u64,
            invariants: observed.violations,
        }
    }

    /// Returns the number of all violations.
    pub fn total(&self) -> u64 {
        self.wrong_answers
            + self.doubled_steps
            + self.foreign_steps
            + self.doubled_calls
            + self.not_run_but_ran
            + self.invariants
    }
}

/// Returns whether a try was reported as not run and yet something of it ran. A key may have run in another try, so calls
/// count only when all tries were reported as not run.
fn ran_although_not(record: &Record, observed: &Observed) -> bool {
    let not_run = |kind: Kind| kind == Kind::NotRun;
    match &record.planned.work {
        Work::Call { key: Some(key), .. } => {
            record.tries.iter().all(|attempt| not_run(attempt.kind)) && observed.keys.contains_key(key)
        }
        Work::Call { key: None, .. } => false,
        Work::Generate { .. } => record.tries.iter().any(|attempt| {
            not_run(attempt.kind)
                && attempt.request.as_ref().is_some_and(|request| observed.ran.contains(request))
        }),
    }
}

/// Typical times of generations before the first fault.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    first_us: u64,
    gap_us: u64,
}

/// Computes goodput over time. `bounds` are what the working engines can do in a second, each from its time on.
pub fn series(
    records: &[Record],
    faults: &[Injected],
    bounds: &[(u64, f64)],
    length_us: u64,
    window_us: u64,
) -> Series {
    let first_fault_us = faults.first().map_or(length_us, |fault| fault.at_us);
    let generations: Vec<&Record> = records.iter().filter(|record| record.is_generation()).collect();
    let pace = pace(&generations, first_fault_us);
    let good: BTreeSet<(u64, usize)> =
        numbered(generations.iter().filter(|record| record.is_good()).map(|record| record.end_us));
    let expected = numbered(generations.iter().filter_map(|record| match &record.planned.work {
        Work::Generate { max_tokens, .. } => {
            let gaps = u64::from(max_tokens.saturating_sub(1));
            Some(record.planned.at_us + pace.first_us + gaps * pace.gap_us)
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
        .step_by(STEP_US as usize)
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
    let below = before.iter().filter(|window| window.is_below()).count() as f64;
    Series { window_us, below_before_faults: below / before.len().max(1) as f64, windows }
}

/// Computes the recovery after each fault.
pub fn recoveries(series: &Series, faults: &[Injected], records: &[Record]) -> Vec<Recovery> {
    faults
        .iter()
        .enumerate()
        .map(|(index, fault)| {
            let next_us = faults.get(index + 1).map_or(u64::MAX, |next| next.at_us);
            let after = || {
                series.windows.iter().filter(|window| window.at_us > fault.at_us && window.at_us <= next_us)
            };
            let fell = after()
                .find(|window| window.is_below() && window.at_us <= fault.at_us + EFFECT_US)
                .map(|window| window.at_us);
            let recovered_us = match fell {
                None => Some(0),
                Some(fell_us) => after()
                    .find(|window| window.at_us > fell_us && !window.is_below())
                    .map(|window| window.at_us - fault.at_us),
            };
            let share = |window: &Window| window.good / window.expected.min(window.bound).max(1.0);
            let lowest = after()
                .filter(|window| window.at_us <= fault.at_us + EFFECT_US)
                .map(share)
                .reduce(f64::min)
                .unwrap_or(1.0);
            let longest_stall_us = longest_stall_us(records, fault.at_us);
            Recovery { fault_us: fault.at_us, recovered_us, lowest, longest_stall_us }
        })
        .collect()
}

/// Returns the longest gap between two tokens that a fault falls into, or that follows it directly.
fn longest_stall_us(records: &[Record], fault_us: u64) -> u64 {
    let in_progress = records
        .iter()
        .filter(|record| record.is_good() && record.sent_us < fault_us && record.end_us > fault_us);
    in_progress.flat_map(gaps_us).max().unwrap_or_default()
}

/// Returns the times between the tokens of the last try.
pub fn gaps_us(record: &Record) -> impl Iterator<Item = u64> + '_ {
    record.token_us.iter().zip(record.token_us.iter().skip(1)).map(|(before, after)| after - before)
}

fn pace(generations: &[&Record], first_fault_us: u64) -> Pace {
    let before: Vec<&&Record> =
        generations.iter().filter(|record| record.is_good() && record.end_us < first_fault_us).collect();
    let first = before.iter().filter_map(|record| Some(record.token_us.first()? - record.planned.at_us));
    Pace {
        first_us: Quantiles::of(first).p50_us,
        // The mean, because a long answer takes the sum of its gaps.
        gap_us: Quantiles::of(before.iter().flat_map(|record| gaps_us(record))).mean_us,
    }
}

/// Makes equal times distinct, so that a set keeps them all.
fn numbered(times: impl Iterator<Item = u64>) -> BTreeSet<(u64, usize)> {
    times.enumerate().map(|(number, time)| (time, number)).collect()
}
