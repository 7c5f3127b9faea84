//! Report of a run.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde::Serialize;

use super::figures::{GenerationFigures, TaskFigures, generations, outcomes, reasons, tasks};
use super::judge::{recoveries, series};
use super::{Record, Recovery, RunPlan, RunResult, Series, Violations};
use crate::bound::{Bound, MixMeans};
use crate::faults::{InjectedFault, Observed};
use crate::machine::build_profile;
use crate::report::Quantiles;
use crate::workload::Arrivals;

/// Busy share of the machine above which the processors, rather than the engines' timers, may have limited
/// the run.
const MAX_BUSY_SHARE: f64 = 0.85;

/// 99th percentile of the sender lag above which the sender was not scheduled in time.
const MAX_LAG_US: u64 = 20_000;

/// Figures of a run.
#[derive(Clone, Debug, Serialize)]
pub struct RunReport {
    /// Name of the scenario.
    pub scenario: &'static str,
    /// Seed of the run.
    pub seed: u64,
    /// Build profile of this program.
    pub profile: &'static str,
    /// Numbers of engines, service endpoints and entries.
    pub sizes: (usize, usize, usize),
    /// Number of teams.
    pub teams: usize,
    /// Duration of the load.
    pub seconds: f64,
    /// Time at the start that is left out of the figures.
    pub warm_up_s: f64,
    /// Variation of the arrival rate.
    pub arrivals: Arrivals,
    /// Offered rate of generations, as a multiple of the bound.
    pub load: f64,
    /// Maximum number of retries of a request.
    pub retries: usize,
    /// Mean lengths of the generations.
    pub mix: MixMeans,
    /// Throughput bound of the complete layout.
    pub bound: Bound,
    /// Number of planned requests.
    pub planned: usize,
    /// Number of requests without a record.
    pub missing: usize,
    /// Number of requests with each outcome.
    pub outcomes: BTreeMap<&'static str, u64>,
    /// Most frequent reasons of outcomes other than right, with their counts.
    pub reasons: Vec<(String, u64)>,
    /// Figures of the generations in the measured time.
    pub generations: GenerationFigures,
    /// Figures of each task of the mix in the measured time.
    pub tasks: Vec<TaskFigures>,
    /// Injected faults.
    pub faults: Vec<InjectedFault>,
    /// Recovery after each fault.
    pub recoveries: Vec<Recovery>,
    /// Counts of the stand-ins and the entries.
    pub observed: Observed,
    /// Violations of guarantees.
    pub violations: Violations,
    /// Lag of the sender behind the intended send times.
    pub lag: Quantiles,
    /// Busy share of all processors during the load, over all programs on the machine.
    pub busy: f64,
    /// Goodput over time.
    pub series: Series,
}

impl RunReport {
    /// Computes the report.
    pub fn new(plan: &RunPlan, result: &RunResult, warm_up: Duration, window: Duration) -> Self {
        let layout = &plan.scenario.layout;
        let warm_up_us = u64::try_from(warm_up.as_micros()).unwrap_or(u64::MAX);
        let window_us = u64::try_from(window.as_micros()).unwrap_or(u64::MAX).max(1);
        let length_us = u64::try_from(plan.length.as_micros()).unwrap_or(u64::MAX);
        let measured: Vec<&Record> =
            result.records.iter().filter(|record| record.planned.at_us >= warm_up_us).collect();
        let ended: Vec<&Record> =
            result.records.iter().filter(|record| (warm_up_us..length_us).contains(&record.end_us)).collect();
        let seconds = plan.length.saturating_sub(warm_up).as_secs_f64();
        let series = series(&result.records, &result.injected, &result.bounds, length_us, window_us);
        Self {
            scenario: plan.scenario.name,
            seed: plan.seed,
            profile: build_profile(),
            sizes: (layout.engines.len(), layout.services.len(), layout.entries.len()),
            teams: plan.scenario.teams.len(),
            seconds: plan.length.as_secs_f64(),
            warm_up_s: warm_up.as_secs_f64(),
            arrivals: plan.arrivals,
            load: plan.load,
            retries: plan.retries,
            mix: result.mix,
            bound: result.bound,
            planned: result.planned,
            missing: result.planned - result.records.len(),
            outcomes: outcomes(&result.records),
            reasons: reasons(&result.records),
            generations: generations(&measured, &ended, layout, result.mix, seconds.max(f64::MIN_POSITIVE)),
            tasks: tasks(&plan.scenario.mix, &measured),
            faults: result.injected.clone(),
            recoveries: recoveries(&series, &result.injected, &result.records),
            observed: result.observed.clone(),
            violations: Violations::count(&result.records, &result.observed),
            lag: Quantiles::of(
                result.records.iter().map(|record| record.sent_us.saturating_sub(record.planned.at_us)),
            ),
            busy: result.busy,
            series,
        }
    }

    /// Returns the ratio of goodput to the smaller of offered load and bound, in requests.
    pub fn goodput_ratio(&self) -> f64 {
        let reference = self.generations.offered_per_s.min(self.bound.requests_per_s);
        self.generations.good_per_s / reference.max(f64::MIN_POSITIVE)
    }

    /// Returns the ratio of goodput to the smaller of offered load and bound, in engine time. Unlike
    /// [`RunReport::goodput_ratio`], it does not improve when only short requests are served.
    pub fn work_ratio(&self) -> f64 {
        let figures = &self.generations;
        let offered = figures.offered_per_s * figures.offered_work;
        figures.good_per_s * figures.good_work / offered.min(self.bound.requests_per_s).max(f64::MIN_POSITIVE)
    }

    /// Returns whether the processors may have limited the run.
    pub fn is_processor_limited(&self) -> bool {
        self.busy > MAX_BUSY_SHARE || self.lag.p99_us > MAX_LAG_US
    }

    fn write_scale(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (engines, services, entries) = self.sizes;
        writeln!(
            formatter,
            "run scenario={} seed={} profile={} seconds={} warm_up={} arrivals={:?} load={} retries={}",
            self.scenario,
            self.seed,
            self.profile,
            self.seconds,
            self.warm_up_s,
            self.arrivals,
            self.load,
            self.retries
        )?;
        writeln!(
            formatter,
            "scale: {engines} engines, {services} service endpoints, {entries} entries, {} teams; batch times, lengths \
             and deadlines are scaled down; mean answer {:.1} tokens, mean prefill {:.1} positions",
            self.teams, self.mix.tokens, self.mix.prefill
        )?;
        writeln!(
            formatter,
            "bound: {:.1} generations/s, {:.0} tokens/s",
            self.bound.requests_per_s, self.bound.tokens_per_s
        )
    }

    fn write_load(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let figures = &self.generations;
        writeln!(
            formatter,
            "generations: offered {:.1}/s, good {:.1}/s; goodput over min(offered, bound): {:.3} in requests, {:.3} in \
             engine time",
            figures.offered_per_s,
            figures.good_per_s,
            self.goodput_ratio(),
            self.work_ratio()
        )?;
        writeln!(formatter, "first token: {}", figures.first)?;
        writeln!(formatter, "between tokens: {}", figures.gaps)?;
        writeln!(formatter, "whole answer: {}", figures.whole)?;
        for task in &self.tasks {
            writeln!(
                formatter,
                "task {}: offered {}, good {}, whole {}",
                task.task, task.offered, task.good, task.whole
            )?;
        }
        let outcomes: Vec<String> =
            self.outcomes.iter().map(|(outcome, count)| format!("{outcome}={count}")).collect();
        writeln!(formatter, "outcomes: {} missing={}", outcomes.join(" "), self.missing)?;
        for (reason, count) in &self.reasons {
            writeln!(formatter, "  {count} {reason}")?;
        }
        Ok(())
    }

    fn write_faults(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (fault, recovery) in self.faults.iter().zip(&self.recoveries) {
            let recovered = match recovery.recovered_us {
                Some(us) => format!("{:.1} s", us as f64 / 1e6),
                None => "not before the next fault or the end".to_owned(),
            };
            writeln!(
                formatter,
                "fault {} at {:.1} s on [{}]: goodput back after {recovered}, lowest share {:.2}, longest stall \
                 {:.0} ms, bound left {:.1}/s",
                fault.kind.name(),
                fault.at_us as f64 / 1e6,
                fault.targets.join(", "),
                recovery.lowest,
                recovery.longest_stall_us as f64 / 1e3,
                fault.bound.requests_per_s,
            )?;
        }
        if !self.faults.is_empty() {
            writeln!(
                formatter,
                "windows of {:.1} s below the recovery threshold by chance, before the first fault: {:.2} \
                 of all",
                self.series.window_us as f64 / 1e6,
                self.series.below_before_faults
            )?;
        }
        Ok(())
    }
}

impl fmt::Display for RunReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write_scale(formatter)?;
        self.write_load(formatter)?;
        self.write_faults(formatter)?;
        let observed = &self.observed;
        writeln!(
            formatter,
            "recoveries counted by entries: {}; counts not read from: [{}]",
            observed.recoveries,
            observed.unread.join(", ")
        )?;
        writeln!(formatter, "violations: {:?}", self.violations)?;
        writeln!(formatter, "sender lag: {}", self.lag)?;
        let limited =
            if self.is_processor_limited() { "may have limited the run" } else { "did not limit the run" };
        write!(formatter, "busy share of the machine: {:.2}; the processors {limited}", self.busy)
    }
}
