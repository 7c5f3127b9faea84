//! Tests of the path search. Paths must not omit, repeat or reorder layers, or use engines that cannot serve
//! the request.

use quickcheck::{Gen, QuickCheck};

use super::fixtures::{World, address, pipeline, pipeline_engine};
use crate::gateway::Endpoint;
use crate::gateway::dispatch::DispatchSettings;
use crate::gateway::dispatch::health::HealthTable;
use crate::gateway::dispatch::paths::{PathSearch, covers};

fn path(engines: &[Endpoint], health: &HealthTable) -> String {
    let pipeline = pipeline();
    let settings = DispatchSettings { zone: "a".to_owned(), ..DispatchSettings::default() };
    let engines: Vec<&Endpoint> = engines.iter().collect();
    let (settings, cache_share) = (&settings, settings.cache_share);
    let search =
        PathSearch { pipeline: &pipeline, engines: &engines, health, settings, cache_share, now_us: 1_000 };
    match search.cheapest(&super::fixtures::request("/write/x"), &[]) {
        None => "none".to_owned(),
        Some(path) => {
            assert!(
                covers(&path.hops, pipeline.layers),
                "layers are not covered once and in order: {:?}",
                path.hops
            );
            path.hops.iter().map(|(to, layers)| format!("{}={layers}", to.ip())).collect::<Vec<_>>().join(" ")
        }
    }
}

#[test]
fn paths_may_use_some_of_the_layers_of_an_engine() {
    let none = HealthTable::default();
    let mut excluded = HealthTable::default();
    excluded.entry(address(12)).suspect(900, 500, 500);
    let mut full = HealthTable::default();
    full.entry(address(11)).own.cache = 1e9;
    let leaving = |mut engine: Endpoint| {
        engine.leaving = true;
        engine
    };
    let fast = vec![pipeline_engine(11, "a", "fast", 0, 4), pipeline_engine(12, "a", "fast", 4, 8)];
    let slow = vec![
        pipeline_engine(13, "a", "slow", 0, 3),
        pipeline_engine(14, "a", "slow", 3, 6),
        pipeline_engine(15, "a", "slow", 6, 8),
    ];
    let all = [fast.clone(), slow.clone()].concat();
    let cases = [
        ("two fast engines", path(&fast, &none)),
        ("fast ones before slow ones", path(&all, &none)),
        ("around an excluded engine", path(&all, &excluded)),
        ("around a full engine", path(&all, &full)),
        (
            "around a leaving engine",
            path(&[vec![leaving(fast[0].clone()), fast[1].clone()], slow.clone()].concat(), &none),
        ),
        ("a gap", path(&fast[..1], &none)),
        (
            "another zone only when there is no other way",
            path(&[fast[0].clone(), pipeline_engine(22, "b", "fast", 4, 8)], &none),
        ),
        ("an unknown accelerator", path(&[pipeline_engine(11, "a", "other", 0, 8)], &none)),
    ];
    let text: Vec<_> = cases.iter().map(|(name, path)| format!("{name}: {path}")).collect();
    insta::assert_snapshot!(text.join("\n"));
}

/// For any layers that engines hold, a path covers every layer once and names no engine twice, and there is
/// one exactly if every layer is held.
#[test]
fn a_path_covers_each_layer_once_and_exists_if_every_layer_is_held() {
    let generator = Gen::from_size_and_seed(40, 1);
    QuickCheck::new().tests(500).rng(generator).quickcheck(path_is_valid as fn(Vec<(u8, u8, bool)>) -> bool);
}

#[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
fn path_is_valid(ranges: Vec<(u8, u8, bool)>) -> bool {
    let engines: Vec<Endpoint> = ranges
        .iter()
        .enumerate()
        .map(|(index, (begin, length, fast))| {
            let begin = u16::from(begin % 8);
            // A slow accelerator has memory for three layers and the KV cache of requests.
            let end = (begin + u16::from(length % 3) + 1).min(8);
            pipeline_engine(index as u8, "a", if *fast { "fast" } else { "slow" }, begin, end)
        })
        .collect();
    let covered = (0..8).all(|layer| {
        engines.iter().any(|engine| engine.layers.is_some_and(|held| held.begin <= layer && layer < held.end))
    });
    let found = path(&engines, &HealthTable::default());
    let hops: Vec<&str> = found.split([' ', '=']).step_by(2).collect();
    let mut unique = hops.clone();
    unique.sort_unstable();
    unique.dedup();
    (found != "none") == covered && unique.len() == hops.len()
}

/// Once a chain is full, requests must go to the next one. Here the slots of the first engine are the limit.
#[test]
fn requests_go_to_the_next_chain_when_one_is_full() {
    let mut world = World::new();
    for _ in 0..60 {
        world.submit("/write/x");
    }
    let mut counts: Vec<(String, usize)> = Vec::new();
    for line in &world.lines {
        let to =
            line.split_once(": ").map_or("", |(_, rest)| rest).split(" within").next().unwrap_or_default();
        match counts.iter_mut().find(|(known, _)| known == to) {
            Some((_, count)) => *count += 1,
            None => counts.push((to.to_owned(), 1)),
        }
    }
    counts.sort();
    insta::assert_debug_snapshot!(counts);
}
