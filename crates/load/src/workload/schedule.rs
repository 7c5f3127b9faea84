//! Requests of a run, with their intended send times.

use banyannotch::random::Random;
use serde::Serialize;
use serde_json::{Value, json};

use super::{Arrivals, Lengths, prompt, shared_prefix};
use crate::bound::MixMeans;

/// Seed of the sample from which the means of a mix are computed. It is fixed, so that the seed of a run does
/// not change the bound.
const SAMPLE_SEED: u64 = 1;

/// Number of requests in the sample from which the means of a mix are computed.
const SAMPLE_REQUESTS: usize = 20_000;

/// A team with its share of the requests.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Share of the requests, relative to the other teams.
    pub share: f64,
    /// Weight of the team in the configuration.
    pub weight: u32,
}

impl Team {
    /// Returns the authorization token of the team.
    pub fn token(&self) -> String {
        format!("{}-secret", self.name)
    }
}

/// Type of the requests of a task.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskKind {
    /// A generation.
    Generate {
        /// Number of words of the prompt after the shared ones.
        words: Lengths,
        /// Number of words with which all prompts of this task begin.
        shared_words: usize,
        /// Maximum number of tokens of the answer.
        tokens: Lengths,
    },
    /// A call of the plain service.
    Call {
        /// Whether the call may run more than once.
        idempotent: bool,
    },
}

/// Kind of requests in a mix.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Task {
    /// Name in reports; also the operation of a call.
    pub name: &'static str,
    /// Share of the requests, relative to the other tasks.
    pub share: f64,
    /// Time from the intended send time to the deadline.
    pub deadline_ms: u64,
    /// Type of the requests.
    pub kind: TaskKind,
}

/// Tasks from which the requests of a run are drawn.
pub type Mix = Vec<Task>;

/// Content of a planned request.
#[derive(Clone, Debug, PartialEq)]
pub enum Work {
    /// A generation.
    Generate {
        /// Prompt text.
        prompt: String,
        /// Maximum number of tokens of the answer.
        max_tokens: u32,
    },
    /// A call.
    Call {
        /// Operation of the service.
        operation: &'static str,
        /// Argument of the operation.
        payload: Value,
        /// Key of a call that must not run twice.
        key: Option<String>,
    },
}

/// One planned request of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedRequest {
    /// Intended send time, since the start of the load.
    pub at_us: u64,
    /// Index of the team.
    pub team: usize,
    /// Index of the task in the mix.
    pub task: usize,
    /// Time from the intended send time to the deadline.
    pub deadline_ms: u64,
    /// Content of the request.
    pub work: Work,
}

/// Returns the mean lengths of the generations of a mix, and the share of generations in all requests. If
/// `prefix_cached` is set, the shared words of a prompt do not count as prefill.
pub fn means(mix: &Mix, prefix_cached: bool) -> (MixMeans, f64) {
    let mut random = Random::seeded(SAMPLE_SEED);
    let (mut generations, mut tokens, mut prefill) = (0.0, 0.0, 0.0);
    for _ in 0..SAMPLE_REQUESTS {
        let index = draw_index(&mut random, mix.iter().map(|task| task.share));
        let Some(TaskKind::Generate { words, shared_words, tokens: lengths }) =
            mix.get(index).map(|task| &task.kind)
        else {
            continue;
        };
        let own_words = words.draw(&mut random) as usize;
        let positions = if prefix_cached { own_words } else { own_words + shared_words };
        generations += 1.0;
        tokens += f64::from(lengths.draw(&mut random));
        prefill += positions.saturating_sub(1) as f64;
    }
    let divisor = if generations > 0.0 { generations } else { 1.0 };
    (MixMeans { tokens: tokens / divisor, prefill: prefill / divisor }, generations / SAMPLE_REQUESTS as f64)
}

/// Draws the requests of a run. `rate_per_s` is the mean rate of all requests, including calls.
pub fn schedule(
    seed: u64,
    mix: &Mix,
    teams: &[Team],
    arrivals: Arrivals,
    rate_per_s: f64,
    length_s: f64,
) -> Vec<PlannedRequest> {
    let mut random = Random::seeded(seed);
    let prefixes: Vec<String> = mix
        .iter()
        .map(|task| match task.kind {
            TaskKind::Generate { shared_words, .. } if shared_words > 0 => {
                shared_prefix(&mut random, shared_words) + " "
            }
            TaskKind::Generate { .. } | TaskKind::Call { .. } => String::new(),
        })
        .collect();
    let times_us = arrivals.times_us(&mut random, rate_per_s, length_s);
    let planned = times_us.into_iter().enumerate().filter_map(|(number, at_us)| {
        let team = draw_index(&mut random, teams.iter().map(|team| team.share));
        let index = draw_index(&mut random, mix.iter().map(|task| task.share));
        let task = mix.get(index)?;
        let work = match &task.kind {
            TaskKind::Generate { words, tokens, .. } => {
                let own_words = words.draw(&mut random) as usize;
                let prefix = prefixes.get(index).map(String::as_str).unwrap_or_default();
                let prompt = format!("{prefix}{}", prompt(&mut random, own_words));
                Work::Generate { prompt, max_tokens: tokens.draw(&mut random) }
            }
            TaskKind::Call { idempotent } => Work::Call {
                operation: task.name,
                payload: json!({ "number": number, "amount": random.below(10_000) }),
                key: (!idempotent).then(|| format!("{}-{:032x}", task.name, random.bits())),
            },
        };
        Some(PlannedRequest { at_us, team, task: index, deadline_ms: task.deadline_ms, work })
    });
    planned.collect()
}

/// Draws an index with probabilities proportional to the shares.
fn draw_index(random: &mut Random, shares: impl Iterator<Item = f64> + Clone) -> usize {
    let mut remainder = random.unit() * shares.clone().sum::<f64>();
    for (index, share) in shares.enumerate() {
        if remainder < share {
            return index;
        }
        remainder -= share;
    }
    0
}
