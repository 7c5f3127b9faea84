//! Guards against paths that miss, repeat or reorder layers, and against paths over what cannot serve.

use quickcheck::{Gen, QuickCheck};

use super::fixtures::{World, address, part, pipeline};
use crate::gateway::Endpoint;
use crate::gateway::dispatch::DispatchSettings;
use crate::gateway::dispatch::health::HealthTable;
use crate::gateway::dispatch::paths::{Surroundings, covers};

fn path(engines: &[Endpoint], health: &HealthTable) -> String {
    let pipeline = pipeline();
    let settings = DispatchSettings { zone: "a".to_owned(), ..DispatchSettings::default() };
    let engines: Vec<&Endpoint> = engines.iter().collect();
    let surroundings =
        Surroundings { pipeline: &pipeline, engines: &engines, health, settings: &settings, now_us: 1_000 };
    match surroundings.cheapest(&super::fixtures::ask("/write/x"), &[]) {
        None => "none".to_owned(),
        Some(path) => {
            assert!(covers(&path.hops, pipeline.layers), "{:?}", path.hops);
            path.hops.iter().map(|(to, layers)| format!("{}={layers}", to.ip())).collect::<Vec<_>>().join(" ")
        }
    }
}

#[test]
fn paths_use_parts_of_what_engines_hold() {
    let none = HealthTable::default();
    let mut excluded = HealthTable::default();
    excluded.entry(address(12)).exclude(900, 500, 500);
    let mut full = HealthTable::default();
    full.entry(address(11)).own.cache = 1e9;
    let leaving = |mut engine: Endpoint| {
        engine.leaving = true;
        engine
    };
    let fast = vec![part(11, "a", "fast", 0, 4), part(12, "a", "fast", 4, 8)];
    let slow = vec![part(13, "a", "slow", 0, 3), part(14, "a", "slow", 3, 6), part(15, "a", "slow", 6, 8)];
    let all = [fast.clone(), slow.clone()].concat();
    let cases = [
        ("two fast engines", path(&fast, &none)),
        ("fast ones before slow ones", path(&all, &none)),
        ("around an engine that is left out", path(&all, &excluded)),
        ("around a full engine", path(&all, &full)),
        (
            "around a leaving engine",
            path(&[vec![leaving(fast[0].clone()), fast[1].clone()], slow.clone()].concat(), &none),
        ),
        ("a gap", path(&fast[..1], &none)),
        (
            "another zone only when there is no other way",
            path(&[fast[0].clone(), part(22, "b", "fast", 4, 8)], &none),
        ),
        ("an unknown card", path(&[part(11, "a", "other", 0, 8)], &none)),
    ];
    let text: Vec<_> = cases.iter().map(|(name, path)| format!("{name}: {path}")).collect();
    insta::assert_snapshot!(text.join("\n"));
}

/// Whatever engines hold, a path covers every layer once, names no engine twice, and exists if every layer is held.
#[test]
fn any_path_is_exact() {
    let generator = Gen::from_size_and_seed(40, 1);
    QuickCheck::new().tests(500).rng(generator).quickcheck(is_exact as fn(Vec<(u8, u8, bool)>) -> bool);
}

#[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
fn is_exact(ranges: Vec<(u8, u8, bool)>) -> bool {
    let engines: Vec<Endpoint> = ranges
        .iter()
        .enumerate()
        .map(|(index, (begin, length, fast))| {
            let begin = u16::from(begin % 8);
            // A slow card has room for three layers and requests.
            let end = (begin + u16::from(length % 3) + 1).min(8);
            part(index as u8, "a", if *fast { "fast" } else { "slow" }, begin, end)
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

/// A full chain is passed over for the next one before its engines run out of memory.
#[test]
fn load_spreads_over_chains_before_memory_runs_out() {
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
