//! Tests of the planner and the throughput bound, against exhaustive search for small fleets.

use quickcheck::{Gen, QuickCheck, TestResult};

use super::bound::{throughput, upper_bound};
use super::layout::{Engine, Layout, Part, uncovered_layers};
use super::plan::{plan, repair, token_us};
use crate::configuration::Objective;
use crate::pipeline::LayerRange;
use crate::random::Random;

const SEED: u64 = 1;
const RUNS: u64 = 400;
const HOP_US: u64 = 500;

fn engine(layer_us: u64, max_layers: u16) -> Engine {
    Engine { layer_us, max_layers, zone: "zone-a".into() }
}

fn random_small_fleet(seed: u64) -> (Vec<Engine>, u16) {
    let mut random = Random::seeded(seed);
    let count = 1 + random.below(5);
    let layers = 1 + random.below(5) as u16;
    let engines = (0..count)
        .map(|_| engine(50 * (1 + random.below(8) as u64), 1 + random.below(usize::from(layers)) as u16))
        .collect();
    (engines, layers)
}

/// Returns the best throughput over every split into ranges and every assignment of engines.
fn optimum(engines: &[Engine], layers: u16) -> f64 {
    let mut best = 0.0_f64;
    for cuts in 0..(1_u32 << (layers - 1)) {
        let mut parts = vec![Part { layers: LayerRange::new(0, 1), engines: Vec::new() }];
        for layer in 1..layers {
            if cuts & (1 << (layer - 1)) == 0 {
                parts.last_mut().unwrap().layers.end += 1;
            } else {
                parts.push(Part { layers: LayerRange::new(layer, layer + 1), engines: Vec::new() });
            }
        }
        let choices = parts.len() + 1;
        for number in 0..choices.pow(engines.len() as u32) {
            let mut layout = Layout { parts: parts.clone() };
            let mut rest = number;
            let mut fits = true;
            for (index, engine) in engines.iter().enumerate() {
                if let Some(part) = layout.parts.get_mut(rest % choices) {
                    fits &= part.layers.len() <= engine.max_layers;
                    part.engines.push(index);
                }
                rest /= choices;
            }
            if fits {
                best = best.max(throughput(engines, &layout));
            }
        }
    }
    best
}

fn check_small(seed: u64) -> TestResult {
    let (engines, layers) = random_small_fleet(seed);
    let best = optimum(&engines, layers);
    let bound = upper_bound(&engines, layers);
    if best > bound * (1.0 + 1e-9) {
        return TestResult::error(format!("seed {seed}: best {best} is above the bound {bound}"));
    }
    let Some(layout) = plan(&engines, layers, Objective::Throughput, HOP_US) else {
        return if best > 0.0 {
            TestResult::error(format!("seed {seed}: no plan found, but the optimum is {best}"))
        } else {
            TestResult::passed()
        };
    };
    let held: Vec<LayerRange> = layout.parts.iter().map(|part| part.layers).collect();
    let too_long = layout
        .parts
        .iter()
        .any(|part| part.engines.iter().any(|index| engines[*index].max_layers < part.layers.len()));
    let planned = throughput(&engines, &layout);
    if !uncovered_layers(&held, layers).is_empty() || too_long || planned > best * (1.0 + 1e-9) {
        return TestResult::error(format!("seed {seed}: {layout:?} is not a valid layout of {engines:?}"));
    }
    if planned < 0.95 * best {
        return TestResult::error(format!(
            "seed {seed}: planned {planned}, optimum {best}: {engines:?}, {layers} layers"
        ));
    }
    TestResult::passed()
}

/// Guards against a bound that is too low, against layouts that do not cover the model or exceed what engines
/// can hold, and against plans below 95 percent of the optimum.
#[test]
fn plans_for_small_fleets_reach_95_percent_of_the_optimum() {
    let seeded = Gen::from_size_and_seed(100, SEED);
    QuickCheck::new().rng(seeded).tests(RUNS).quickcheck(check_small as fn(u64) -> TestResult);
}

/// Returns 30 engines: six kinds, five of each.
fn fleet() -> Vec<Engine> {
    let kinds = [(100, 16), (150, 16), (220, 12), (300, 8), (400, 8), (600, 6)];
    kinds.iter().flat_map(|(layer_us, max_layers)| vec![engine(*layer_us, *max_layers); 5]).collect()
}

/// Guards against plans for the fleet of 30 engines that stay below 95 percent of the bound of all layouts.
#[test]
fn plan_for_thirty_engines_reaches_95_percent_of_the_bound() {
    let engines = fleet();
    for layers in [12, 24, 32, 48] {
        let layout = plan(&engines, layers, Objective::Throughput, HOP_US).unwrap();
        let ratio = throughput(&engines, &layout) / upper_bound(&engines, layers);
        assert!(ratio >= 0.95, "{layers} layers: {ratio} of the bound, expected at least 0.95");
    }
}

/// Guards against a layout for latency that takes longer for a token than the layout for throughput.
#[test]
fn layout_for_latency_has_no_longer_token_time_than_for_throughput() {
    let engines = fleet();
    let fast = plan(&engines, 32, Objective::Latency, HOP_US).unwrap();
    let wide = plan(&engines, 32, Objective::Throughput, HOP_US).unwrap();
    assert!(token_us(&engines, &fast, HOP_US) <= token_us(&engines, &wide, HOP_US));
}

/// Guards against a repair that moves many engines when one engine is lost.
#[test]
fn repair_after_one_loss_moves_at_most_a_quarter_of_the_engines() {
    let engines = fleet();
    let before = plan(&engines, 32, Objective::Throughput, HOP_US).unwrap();
    let mut damaged = before.clone();
    damaged.parts[0].engines.remove(0);
    let lost = before.parts[0].engines[0];
    let mut left = engines.clone();
    left[lost].max_layers = 0;
    let best = plan(&left, 32, Objective::Throughput, HOP_US).unwrap();
    let enough = 0.9 * throughput(&left, &best);
    let after = repair(&left, &damaged, enough);
    let stays = |old: &Part, index: usize| {
        after.parts.iter().any(|new| new.layers == old.layers && new.engines.contains(&index))
    };
    let placed = before.parts.iter().flat_map(|part| part.engines.iter().map(move |index| (part, *index)));
    let moved = placed.filter(|(old, index)| *index != lost && !stays(old, *index)).count();
    assert!(
        moved * 4 <= engines.len(),
        "{moved} of {} engines moved, expected at most a quarter",
        engines.len()
    );
    assert!(throughput(&left, &after) >= enough);
}

/// Held layer ranges, and the missing ones that are expected.
type Coverage<'a> = (&'a [(u16, u16)], &'a [(u16, u16)]);

/// Guards against missing layers that are not found, so that a preset would be accepted in spite of them, and
/// against reporting the wrong ones.
#[test]
fn missing_layers_are_found() {
    let cases: [Coverage<'_>; 6] = [
        (&[(0, 4), (4, 8)], &[]),
        (&[(0, 4), (2, 8)], &[(4, 8)]),
        (&[(0, 4), (6, 8)], &[(4, 6)]),
        (&[(4, 8)], &[(0, 4)]),
        (&[], &[(0, 8)]),
        (&[(0, 3), (0, 4), (3, 5), (5, 8)], &[]),
    ];
    for (held, missing) in cases {
        let held: Vec<LayerRange> = held.iter().map(|(begin, end)| LayerRange::new(*begin, *end)).collect();
        let missing: Vec<LayerRange> =
            missing.iter().map(|(begin, end)| LayerRange::new(*begin, *end)).collect();
        assert_eq!(uncovered_layers(&held, 8), missing, "held ranges: {held:?}");
    }
}

/// Prints the time that a plan takes. Run with `--release -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement, not a check"]
fn time_of_a_plan() {
    let engines = fleet();
    let started = std::time::Instant::now();
    for _ in 0..20 {
        assert!(plan(&engines, 32, Objective::Throughput, HOP_US).is_some());
    }
    println!("{:?} for one plan", started.elapsed() / 20);
}
