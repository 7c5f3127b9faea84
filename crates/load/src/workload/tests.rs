//! Guards against a load whose rate, lengths or shares differ from those in the report, or that its seed does
//! not reproduce.

use banyannotch::random::Random;

use super::{Arrivals, Lengths, Work, means, schedule};
use crate::scenario::Scenario;

#[test]
fn every_kind_of_arrivals_has_the_mean_rate() {
    for arrivals in [Arrivals::Poisson, Arrivals::Bursts, Arrivals::Step] {
        let times = arrivals.times_us(&mut Random::seeded(3), 100.0, 200.0);
        let rate = times.len() as f64 / 200.0;
        assert!(
            (95.0..105.0).contains(&rate),
            "{arrivals:?}: expected a mean rate of 95 to 105 per second, found {rate}"
        );
        assert!(times.is_sorted(), "the arrival times of {arrivals:?} must be in ascending order");
    }
    let times = Arrivals::Bursts.times_us(&mut Random::seeded(3), 100.0, 200.0);
    let in_bursts = times.iter().filter(|at_us| *at_us % 5_000_000 < 1_000_000).count();
    let share = in_bursts as f64 / times.len() as f64;
    assert!(
        (0.47..0.53).contains(&share),
        "expected half of all requests in bursts, found a share of {share}"
    );
}

#[test]
fn lengths_stay_in_their_range_and_have_a_tail() {
    let lengths = Lengths { least: 4, most: 64, alpha: 1.2 };
    let mut random = Random::seeded(5);
    let drawn: Vec<u32> = (0..10_000).map(|_| lengths.draw(&mut random)).collect();
    assert!(drawn.iter().all(|length| (4..=64).contains(length)));
    let long = drawn.iter().filter(|length| **length >= 40).count();
    assert!(
        (200..1_000).contains(&long),
        "expected 200 to 999 of 10000 lengths to be at least 40, found {long}"
    );
}

#[test]
fn a_seed_repeats_a_schedule_and_the_means_describe_it() {
    for scenario in [Scenario::association(), Scenario::claims()] {
        let draw = |seed| schedule(seed, &scenario.mix, &scenario.teams, Arrivals::Poisson, 200.0, 60.0);
        assert_eq!(draw(1), draw(1), "the same seed must give the same requests");
        assert_ne!(draw(1), draw(2), "another seed must give other requests");
        let (expected, share) = means(&scenario.mix, false);
        let planned = draw(1);
        let generations: Vec<(usize, u32)> = planned
            .iter()
            .filter_map(|planned| match &planned.work {
                Work::Generate { prompt, max_tokens } => {
                    Some((prompt.split_whitespace().count(), *max_tokens))
                }
                Work::Call { .. } => None,
            })
            .collect();
        let count = generations.len() as f64;
        let tokens = generations.iter().map(|(_, tokens)| f64::from(*tokens)).sum::<f64>() / count;
        let prefill = generations.iter().map(|(words, _)| *words as f64 - 1.0).sum::<f64>() / count;
        assert!(
            (tokens / expected.tokens - 1.0).abs() < 0.05,
            "mean of {tokens} tokens, expected {expected:?}"
        );
        assert!(
            (prefill / expected.prefill - 1.0).abs() < 0.05,
            "mean of {prefill} prefill positions, expected {expected:?}"
        );
        assert!(
            (count / planned.len() as f64 - share).abs() < 0.02,
            "expected a share of generations near {share}"
        );
    }
}
