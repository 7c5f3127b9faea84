//! Tests of what the findings of some gateways do to the others.

use super::fleet::{Cut, Fleet, Outcome, Run};

/// Share of the first attempts at the other gateways that must be served.
const SERVED_MIN: f64 = 0.9;
/// Seeds that are played for each number of gateways.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=10;

fn play(gateways: usize, seed: u64, cut: Option<Cut>) -> Outcome {
    let run = Run { gateways, seed, load: 0.5, length_ms: 6_000, warm_up_ms: 2_500, cut, ..Run::default() };
    Fleet::new(run, |_| {}).simulate()
}

/// Three in five gateways lost their links to the engines, told the others that all engines were down, and these refused their
/// requests as well.
fn check_that_cut_gateways_take_no_engines(gateways: usize) {
    let mut failed = Vec::new();
    for seed in SEEDS {
        for is_refused in [false, true] {
            // The largest fleet plays one kind for each seed.
            if gateways > 100 && is_refused != (seed % 2 == 0) {
                continue;
            }
            let cut = Cut { share: 0.6, is_one_zone: false, from_ms: 2_000, is_refused };
            let outcome = play(gateways, seed, Some(cut));
            let served = outcome.other_first_tries.served_share();
            if served < SERVED_MIN {
                let line = outcome.line();
                failed.push(format!("seed {seed}, refused {is_refused}: {served:.2} served, {line}"));
            }
        }
    }
    assert!(failed.is_empty(), "{gateways} gateways\n{}", failed.join("\n"));
}

#[test]
fn cut_gateways_take_no_engines_from_the_others_of_6() {
    check_that_cut_gateways_take_no_engines(6);
}

#[test]
fn cut_gateways_take_no_engines_from_the_others_of_74() {
    check_that_cut_gateways_take_no_engines(74);
}

#[test]
fn cut_gateways_take_no_engines_from_the_others_of_1000() {
    check_that_cut_gateways_take_no_engines(1_000);
}
