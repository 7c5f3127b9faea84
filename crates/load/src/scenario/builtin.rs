//! Built-in scenarios.

use std::str::FromStr;

use banyannotch::pipeline::LayerRange;
use serde::Serialize;
use thiserror::Error;

use crate::layout::{EnginePlan, Layout, Speed};
use crate::workload::{Lengths, Mix, Task, TaskKind, Team};

/// Layers of the model.
const LAYERS: u16 = banyannotch_standins::harness::LAYERS;

/// Stages of the pipeline.
const STAGES: u16 = 3;

/// Zones.
const ZONES: u16 = 3;

/// Times of the six kinds of engines, relative to [`BASE`].
const FACTORS: [f64; 6] = [0.6, 0.8, 1.0, 1.25, 1.6, 2.0];

/// Speed of the middle kind: a full batch of four steps through four layers takes 20 ms.
const BASE: Speed = Speed { step_us: 4_000, item_us: 250, prefill_us: 20, batch_limit: 4 };

/// Deadline of a generation. The longest answer takes about half of it at a light load.
const GENERATE_DEADLINE_MS: u64 = 10_000;

/// Deadline of a call.
const CALL_DEADLINE_MS: u64 = 5_000;

/// A deployment and its load.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Scenario {
    /// Name.
    pub name: &'static str,
    /// Processes.
    pub layout: Layout,
    /// Callers.
    pub teams: Vec<Team>,
    /// What they ask for.
    pub mix: Mix,
}

/// A name that is none of the built-in scenarios.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("scenario is {0:?}, expected association, claims or small")]
pub struct UnknownScenario(String);

impl FromStr for Scenario {
    type Err = UnknownScenario;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "association" => Ok(Self::association()),
            "claims" => Ok(Self::claims()),
            "small" => Ok(Self::small()),
            _ => Err(UnknownScenario(text.to_owned())),
        }
    }
}

impl Scenario {
    /// The traders' association: listings, stock answers and supplier summaries; bulk orders and stock reads.
    pub fn association() -> Self {
        let mix = vec![
            generate("listing", 0.40, (16, 96), 16, (4, 48)),
            generate("stock_answer", 0.30, (8, 48), 32, (3, 24)),
            generate("supplier_summary", 0.15, (48, 192), 0, (4, 32)),
            call("bulk_order", 0.08, false),
            call("stock_read", 0.07, true),
        ];
        Self { name: "association", layout: layout(10, 3, 6), teams: teams(), mix }
    }

    /// The claims division: drafts, summaries of evidence and answers; payouts and filings.
    pub fn claims() -> Self {
        let mix = vec![
            generate("draft", 0.40, (24, 128), 16, (6, 64)),
            generate("summary", 0.20, (64, 256), 0, (4, 32)),
            generate("answer", 0.25, (8, 48), 32, (3, 24)),
            call("payout", 0.08, false),
            call("filing", 0.07, false),
        ];
        Self { name: "claims", layout: layout(10, 3, 6), teams: teams(), mix }
    }

    /// The association's load on four engines for each stage and three entries, for soak runs and tests.
    pub fn small() -> Self {
        Self { name: "small", layout: layout(4, 3, 3), ..Self::association() }
    }
}

fn generate(
    name: &'static str,
    share: f64,
    words: (u32, u32),
    shared_words: usize,
    tokens: (u32, u32),
) -> Task {
    let lengths = |(least, most), alpha| Lengths { least, most, alpha };
    let kind = TaskKind::Generate { words: lengths(words, 1.3), shared_words, tokens: lengths(tokens, 1.1) };
    Task { name, share, deadline_ms: GENERATE_DEADLINE_MS, kind }
}

fn call(name: &'static str, share: f64, idempotent: bool) -> Task {
    Task { name, share, deadline_ms: CALL_DEADLINE_MS, kind: TaskKind::Call { idempotent } }
}

/// Ten teams, two of them large.
fn teams() -> Vec<Team> {
    let team = |number: usize| {
        let (share, weight) = match number {
            1 => (0.30, 4),
            2 => (0.20, 3),
            _ => (0.0625, 1),
        };
        Team { name: format!("team-{number}"), share, weight }
    };
    (1..=10).map(team).collect()
}

fn layout(replicas: u16, services: u16, entries: u16) -> Layout {
    let per_stage = LAYERS / STAGES;
    let zone = |number: u16| format!("zone-{}", number % ZONES + 1);
    let engine = |stage: u16, replica: u16| {
        // Each stage has all kinds, and its neighbours have other ones more often.
        let factor = FACTORS.get(usize::from(replica + 2 * stage) % FACTORS.len()).copied().unwrap_or(1.0);
        EnginePlan {
            instance: format!("engine-{stage}-{replica}"),
            zone: zone(replica),
            layers: LayerRange::new(stage * per_stage, (stage + 1) * per_stage),
            speed: BASE.scaled(factor),
        }
    };
    let named = |kind: &str, count: u16| {
        (0..count).map(|number| (format!("{kind}-{}", number + 1), zone(number))).collect()
    };
    Layout {
        engines: (0..STAGES)
            .flat_map(|stage| (0..replicas).map(move |replica| (stage, replica)))
            .map(|(stage, replica)| engine(stage, replica))
            .collect(),
        services: named("desk", services),
        entries: named("entry", entries),
        prefix_cache: 0,
    }
}
