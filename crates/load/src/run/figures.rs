//! Figures computed from the records of a run.

use std::collections::BTreeMap;

use serde::Serialize;

use super::Record;
use super::judge::token_gaps_us;
use crate::bound::{MixMeans, request_us};
use crate::layout::{EnginePlan, Layout};
use crate::report::Quantiles;
use crate::workload::{Mix, Work};

/// Maximum number of reasons in a report.
const MAX_REASONS: usize = 12;

/// Figures of one task of the mix, for the requests of the measured time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TaskFigures {
    /// Name of the task.
    pub task: &'static str,
    /// Number of offered requests.
    pub offered: u64,
    /// Number of good answers: complete, correct and in time.
    pub good: u64,
    /// Time from the intended send time to the complete answer, for good answers.
    pub whole: Quantiles,
}

/// Figures of all generations, for the measured time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct GenerationFigures {
    /// Offered generations per second.
    pub offered_per_s: f64,
    /// Good answers per second that ended in the measured time. Answers that end after the load are left out:
    /// engines then work off their queues, which would make goodput exceed the bound.
    pub good_per_s: f64,
    /// Engine time of the offered generations, relative to the same number of average ones.
    pub offered_work: f64,
    /// Engine time of the generations in `good_per_s`, relative to the same number of average ones.
    pub good_work: f64,
    /// Time from the intended send time to the first token, for good answers.
    pub first: Quantiles,
    /// Time between tokens, for good answers.
    pub gaps: Quantiles,
    /// Time from the intended send time to the complete answer, for good answers.
    pub whole: Quantiles,
}

/// Counts the outcomes of all requests.
pub fn outcomes(records: &[Record]) -> BTreeMap<&'static str, u64> {
    let mut outcomes = BTreeMap::new();
    for record in records {
        *outcomes.entry(record.kind.name()).or_default() += 1;
    }
    let late =
        records.iter().filter(|record| record.kind == crate::client::OutcomeKind::Right && !record.is_good());
    outcomes.insert("right_but_late", late.count() as u64);
    outcomes
}

/// Counts the reasons of the outcomes other than right, the most frequent first.
pub fn reasons(records: &[Record]) -> Vec<(String, u64)> {
    let mut reasons: BTreeMap<String, u64> = BTreeMap::new();
    for record in records.iter().filter(|record| record.kind != crate::client::OutcomeKind::Right) {
        *reasons.entry(format!("{}: {}", record.kind.name(), record.reason)).or_default() += 1;
    }
    let mut reasons: Vec<(String, u64)> = reasons.into_iter().collect();
    reasons.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    reasons.truncate(MAX_REASONS);
    reasons
}

/// Computes the figures of each task of the mix.
pub fn tasks(mix: &Mix, records: &[&Record]) -> Vec<TaskFigures> {
    let figures = mix.iter().enumerate().map(|(index, task)| {
        let own: Vec<&&Record> = records.iter().filter(|record| record.planned.task == index).collect();
        TaskFigures {
            task: task.name,
            offered: own.len() as u64,
            good: own.iter().filter(|record| record.is_good()).count() as u64,
            whole: whole_answer_times(own.iter().map(|record| **record)),
        }
    });
    figures.collect()
}

/// Computes the figures of all generations. `records` holds the requests offered in the measured time,
/// `ended` those that ended in it.
pub fn generations(
    records: &[&Record],
    ended: &[&Record],
    layout: &Layout,
    mean: MixMeans,
    seconds: f64,
) -> GenerationFigures {
    let served: Vec<&Record> =
        ended.iter().copied().filter(|record| record.is_generation() && record.is_good()).collect();
    let offered: Vec<&Record> = records.iter().copied().filter(|record| record.is_generation()).collect();
    let good: Vec<&Record> = offered.iter().copied().filter(|record| record.is_good()).collect();
    let first = good
        .iter()
        .filter_map(|record| Some(record.token_times_us.first()?.saturating_sub(record.planned.at_us)));
    GenerationFigures {
        offered_per_s: offered.len() as f64 / seconds,
        good_per_s: served.len() as f64 / seconds,
        offered_work: relative_work(&offered, layout, mean),
        good_work: relative_work(&served, layout, mean),
        first: Quantiles::of(first),
        gaps: Quantiles::of(good.iter().flat_map(|record| token_gaps_us(record))),
        whole: whole_answer_times(good.iter().copied()),
    }
}

fn whole_answer_times<'a>(records: impl Iterator<Item = &'a Record>) -> Quantiles {
    let good = records.filter(|record| record.is_good());
    Quantiles::of(good.map(|record| record.end_us.saturating_sub(record.planned.at_us)))
}

/// Returns the engine time of generations relative to the same number of average ones, computed with the
/// layers and speed of the first engine; 1 if there are none.
fn relative_work(records: &[&Record], layout: &Layout, mean: MixMeans) -> f64 {
    let Some(EnginePlan { layers, speed, .. }) = layout.engines.first() else { return 1.0 };
    let times = records.iter().filter_map(|record| match &record.planned.work {
        Work::Generate { prompt, max_tokens } => {
            let prefill = prompt.split_whitespace().count().saturating_sub(1) as f64;
            Some(request_us(*layers, *speed, MixMeans { tokens: f64::from(*max_tokens), prefill }))
        }
        Work::Call { .. } => None,
    });
    let average_us = request_us(*layers, *speed, mean);
    if records.is_empty() { 1.0 } else { times.sum::<f64>() / (records.len() as f64 * average_us) }
}
