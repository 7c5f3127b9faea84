//! Built-in scenarios.

use std::str::FromStr;

use banyannotch::pipeline::LayerRange;
use serde::Serialize;
use thiserror::Error;

use crate::layout::{EnginePlan, Layout, Speed};
use crate::workload::{Lengths, Mix, Task, TaskKind, Team};

/// Number of layers of the model.
const LAYERS: u16 = banyannotch_standins::harness::LAYERS;

/// Number of stages of the pipeline.
const STAGES: u16 = 3;

/// Number of zones.
const ZONES: u16 = 3;

/// Factors on the times of [`BASE_SPEED`] for the six kinds of engines.
const TIME_FACTORS: [f64; 6] = [0.6, 0.8, 1.0, 1.25, 1.6, 2.0];

/// Speed of the engine kind with factor 1: a full batch of four steps through four layers takes 20 ms.
const BASE_SPEED: Speed = Speed { step_us: 4_000, item_us: 250, prefill_us: 20, batch_limit: 4 };

/// Deadline of a generation; the longest answer takes about half of it at light load.
const GENERATE_DEADLINE_MS: u64 = 10_000;

/// Deadline of a call.
const CALL_DEADLINE_MS: u64 = 5_000;

/// A deployment and its load.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Scenario {
    /// Name of the scenario.
    pub name: &'static str,
    /// Processes of the deployment.
    pub layout: Layout,
    /// Teams that send requests.
    pub teams: Vec<Team>,
    /// Mix of the requests.
    pub mix: Mix,
}

/// Error for a name that is not a built-in scenario.
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
    /// Returns the scenario of the traders' association: generations of listings, stock answers and supplier
    /// summaries; calls for bulk orders and stock reads.
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

    /// Returns the scenario of the claims division: generations of drafts, summaries of evidence and answers;
    /// calls for payouts and filings.
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

    /// Returns the association's load on four engines per stage and three entries, for soak runs and tests.
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
    let lengths = |(min, max), alpha| Lengths { least: min, most: max, alpha };
    let kind = TaskKind::Generate { words: lengths(words, 1.3), shared_words, tokens: lengths(tokens, 1.1) };
    Task { name, share, deadline_ms: GENERATE_DEADLINE_MS, kind }
}

fn call(name: &'static str, share: f64, idempotent: bool) -> Task {
    Task { name, share, deadline_ms: CALL_DEADLINE_MS, kind: TaskKind::Call { idempotent } }
}

/// Returns ten teams, two of them large.
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
        // With at least six replicas each stage has all kinds; the shift by stage gives the stages different
        // mixes of them.
        let factor =
            TIME_FACTORS.get(usize::from(replica + 2 * stage) % TIME_FACTORS.len()).copied().unwrap_or(1.0);
        EnginePlan {
            instance: format!("engine-{stage}-{replica}"),
            zone: zone(replica),
            layers: LayerRange::new(stage * per_stage, (stage + 1) * per_stage),
            speed: BASE_SPEED.scaled(factor),
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
