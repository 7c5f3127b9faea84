//! Tests of gateways that lose their links to all engines while callers and the other gateways still reach them.

use super::fleet::{Cut, Fleet, Run};

/// Time from the loss of the links until callers must be served, in milliseconds.
const CONTACT_MS: u64 = 3_000;
/// Share of what the others serve that gateways without links must serve.
const SERVED_SHARE: f64 = 2.0 / 3.0;
/// Seeds that are played for each number of gateways.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=10;

/// Number of gateways from which on a seed plays one kind of cut only.
const MANY_GATEWAYS: usize = 100;

/// Returns the share of the gateways that lose their links, whether these are those of one zone, and whether connections are
/// refused.
fn kinds_of_cuts(gateways: usize, seed: u64) -> Vec<(f64, bool, bool)> {
    let parts = [(0.6, false), (0.9, false), (1.0, true)];
    let mut kinds: Vec<_> = parts
        .into_iter()
        .flat_map(|(share, is_one_zone)| [false, true].map(|is_refused| (share, is_one_zone, is_refused)))
        .collect();
    if gateways >= MANY_GATEWAYS {
        kinds = vec![kinds[seed as usize % kinds.len()]];
    }
    kinds
}

/// Callers of gateways that had lost their links were refused, although other gateways reached the engines.
fn check_that_callers_are_served(gateways: usize) {
    let mut failed = Vec::new();
    for seed in SEEDS {
        for (share, is_one_zone, is_refused) in kinds_of_cuts(gateways, seed) {
            let cut = Cut { share, is_one_zone, from_ms: 2_000, is_refused };
            let warm_up_ms = cut.from_ms + CONTACT_MS;
            let cut = Some(cut);
            let run = Run { gateways, seed, load: 0.5, length_ms: 8_000, warm_up_ms, cut, ..Run::default() };
            let outcome = Fleet::new(run, |_| {}).simulate();
            let (served, elsewhere) =
                (outcome.cut_first_tries.served_share(), outcome.other_first_tries.served_share());
            if served < SERVED_SHARE * elsewhere.max(0.9) {
                failed.push(format!(
                    "seed {seed}, share {share}, one zone {is_one_zone}, refused {is_refused}: {served:.2} of {} \
                     and {elsewhere:.2} of {} served, {} handed on, {}",
                    outcome.cut_first_tries.arrived,
                    outcome.other_first_tries.arrived,
                    outcome.handoffs,
                    outcome.line()
                ));
            }
        }
    }
    assert!(failed.is_empty(), "{gateways} gateways\n{}", failed.join("\n"));
}

#[test]
fn callers_of_gateways_without_links_to_engines_are_served_by_6() {
    check_that_callers_are_served(6);
}

#[test]
fn callers_of_gateways_without_links_to_engines_are_served_by_74() {
    check_that_callers_are_served(74);
}

#[test]
fn callers_of_gateways_without_links_to_engines_are_served_by_300() {
    check_that_callers_are_served(300);
}

#[test]
fn callers_of_gateways_without_links_to_engines_are_served_by_1000() {
    check_that_callers_are_served(1_000);
}
