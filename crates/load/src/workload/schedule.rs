//! The requests of a run with their intended send times.

use banyannotch::random::Random;
use serde::Serialize;
use serde_json::{Value, json};

use super::{Arrivals, Lengths, prompt, shared_prefix};
use crate::bound::MixMeans;

/// Seed of the sample from which the means of a mix are computed; the run's seed must not change the bound.
const SAMPLE_SEED: u64 = 1;

/// Requests in that sample.
const SAMPLE: usize = 20_000;

/// A team and its share of the requests.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Team {
    /// Name.
    pub name: String,
    /// Share of the requests in relation to the other teams.
    pub share: f64,
    /// Weight in the configuration.
    pub weight: u32,
}

impl Team {
    /// Returns the token of the team.
    pub fn token(&self) -> String {
        format!("{}-secret", self.name)
    }
}

/// What one kind of task looks like.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskKind {
    /// A generation.
    Generate {
        /// Words of the prompt after the shared ones.
        words: Lengths,
        /// Words that all prompts of this kind begin with.
        shared_words: usize,
        /// Tokens of the answer.
        tokens: Lengths,
    },
    /// A call of the plain service.
    Call {
        /// Whether it may run twice.
        idempotent: bool,
    },
}

/// A kind of task in a mix.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Task {
    /// Name in reports.
    pub name: &'static str,
    /// Share of the requests in relation to the other tasks.
    pub share: f64,
    /// Deadline.
    pub deadline_ms: u64,
    /// What it looks like.
    pub kind: TaskKind,
}

/// The tasks of the callers.
pub type Mix = Vec<Task>;

/// What a planned request sends.
#[derive(Clone, Debug, PartialEq)]
pub enum Work {
    /// A generation.
    Generate {
        /// Prompt.
        prompt: String,
        /// Tokens.
        max_tokens: u32,
    },
    /// A call.
    Call {
        /// Operation.
        operation: &'static str,
        /// Argument.
        payload: Value,
        /// Key of a call that must not run twice.
        key: Option<String>,
    },
}

/// One request of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// Intended send time.
    pub at_us: u64,
    /// Index of the team.
    pub team: usize,
    /// Index of the task in the mix.
    pub task: usize,
    /// Time to the deadline, from the intended send time.
    pub deadline_ms: u64,
    /// What it sends.
    pub work: Work,
}

/// Returns the means of the generations of a mix, and their share of all requests.
pub fn means(mix: &Mix, prefix_cached: bool) -> (MixMeans, f64) {
    let mut random = Random::seeded(SAMPLE_SEED);
    let (mut generations, mut tokens, mut prefill) = (0.0, 0.0, 0.0);
    for _ in 0..SAMPLE {
        let index = choose(&mut random, mix.iter().map(|task| task.share));
        let Some(TaskKind::Generate { words, shared_words, tokens: lengths }) =
            mix.get(index).map(|task| &task.kind)
        else {
            continue;
        };
        let own = words.draw(&mut random) as usize;
        let positions = if prefix_cached { own } else { own + shared_words };
        generations += 1.0;
        tokens += f64::from(lengths.draw(&mut random));
        prefill += positions.saturating_sub(1) as f64;
    }
    let divisor = if generations > 0.0 { generations } else { 1.0 };
    (MixMeans { tokens: tokens / divisor, prefill: prefill / divisor }, generations / SAMPLE as f64)
}

/// Draws the requests of a run. `rate_per_s` counts all requests, calls included.
pub fn schedule(
    seed: u64,
    mix: &Mix,
    teams: &[Team],
    arrivals: Arrivals,
    rate_per_s: f64,
    length_s: f64,
) -> Vec<Planned> {
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
        let team = choose(&mut random, teams.iter().map(|team| team.share));
        let index = choose(&mut random, mix.iter().map(|task| task.share));
        let task = mix.get(index)?;
        let work = match &task.kind {
            TaskKind::Generate { words, tokens, .. } => {
                let own = words.draw(&mut random) as usize;
                let prefix = prefixes.get(index).map(String::as_str).unwrap_or_default();
                let prompt = format!("{prefix}{}", prompt(&mut random, own));
                Work::Generate { prompt, max_tokens: tokens.draw(&mut random) }
            }
            TaskKind::Call { idempotent } => Work::Call {
                operation: task.name,
                payload: json!({ "number": number, "amount": random.below(10_000) }),
                key: (!idempotent).then(|| format!("{}-{:032x}", task.name, random.bits())),
            },
        };
        Some(Planned { at_us, team, task: index, deadline_ms: task.deadline_ms, work })
    });
    planned.collect()
}

/// Draws an index by shares.
fn choose(random: &mut Random, shares: impl Iterator<Item = f64> + Clone) -> usize {
    let mut left = random.unit() * shares.clone().sum::<f64>();
    for (index, share) in shares.enumerate() {
        if left < share {
            return index;
        }
        left -= share;
    }
    0
}
