//! Tests of the draw of chains.

use super::{ChainState, draw, prefers_foreign, skew, suffices};
use crate::random::Random;

fn chain(weight: f64, cost_ms: f64, fill: f64) -> ChainState {
    ChainState { weight, cost_ms, fill, is_tried: false }
}

fn counts(chains: &[ChainState]) -> Vec<usize> {
    let mut random = Random::seeded(1);
    let mut counts = vec![0; chains.len()];
    for _ in 0..1_000 {
        if let Some(index) = draw(chains, &mut random) {
            counts[index] += 1;
        }
    }
    counts
}

/// A draw that ignores the capacity overloads small chains, and one that ignores the fill overloads full ones.
#[test]
fn chains_are_drawn_by_their_capacity_and_the_less_filled_of_two_is_taken() {
    let by_capacity = counts(&[chain(30.0, 1.0, 0.3), chain(10.0, 1.0, 0.3)]);
    assert!((720..780).contains(&by_capacity[0]), "{by_capacity:?}");
    let by_fill = counts(&[chain(10.0, 1.0, 0.5), chain(10.0, 1.0, 0.3)]);
    assert!((720..780).contains(&by_fill[1]), "{by_fill:?}");
}

/// A retry that returns to a chain that rejected the request is likely to be rejected again.
#[test]
fn tried_chains_are_the_last_resort() {
    let tried = ChainState { is_tried: true, ..chain(100.0, 1.0, 0.1) };
    assert_eq!(counts(&[tried, chain(1.0, 500.0, 0.9)]), [0, 1_000]);
    assert_eq!(counts(&[tried]), [1_000]);
    assert!(!suffices(&tried));
    assert!(prefers_foreign(&tried, &chain(1.0, 900.0, 0.9)));
    assert_eq!(draw(&[], &mut Random::seeded(1)), None);
}

/// Paths through other zones cost expensive bytes.
#[test]
fn other_zones_are_used_only_if_they_are_less_filled() {
    assert!(suffices(&chain(1.0, 1.0, 0.59)) && !suffices(&chain(1.0, 1.0, 0.61)));
    let local = chain(1.0, 1_000.0, 0.9);
    assert!(prefers_foreign(&local, &chain(1.0, 1_000.0, 0.8)));
    assert!(!prefers_foreign(&local, &chain(1.0, 100.0, 0.9)));
}

/// A fault in the numbers of a load report must not stop the choice.
#[test]
fn any_numbers_give_a_choice() {
    for number in [0.0, -1.0, f64::INFINITY, f64::NEG_INFINITY, f64::NAN] {
        let chains = [chain(number, number, number), chain(1.0, 1.0, number)];
        assert!(draw(&chains, &mut Random::seeded(1)).is_some(), "{number}");
    }
}

#[test]
fn skew_is_the_busiest_over_the_mean() {
    assert!((skew([0.2, 0.4, 0.6]) - 1.5).abs() < 1e-9);
    assert!((skew([0.0, 0.01]) - 1.0).abs() < 1e-9);
    assert!((skew([]) - 1.0).abs() < 1e-9);
}
