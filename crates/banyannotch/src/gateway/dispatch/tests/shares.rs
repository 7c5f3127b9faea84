//! Tests of what teams and request sizes get under a lasting overload.

use std::collections::BTreeMap;

use super::admission::{PATHS, classed_world, sized_request};
use super::fixtures::World;
use crate::clock::US_PER_MS;
use crate::gateway::RequestInfo;
use crate::gateway::dispatch::Ending;
use crate::random::Random;

/// Numbers of requests that were offered and sent, by label.
type Counts = BTreeMap<String, (usize, usize)>;

/// Offers requests at a rate for 40 s, each of which runs for 400 ms, and counts them by each of their labels.
fn play(
    world: &mut World,
    rate_per_s: f64,
    seed: u64,
    draw: impl Fn(&mut Random) -> (RequestInfo, Vec<String>),
) -> Counts {
    let mut random = Random::seeded(seed);
    let mut counts = Counts::new();
    let mut open: BTreeMap<u64, Vec<String>> = BTreeMap::new();
    let mut running: Vec<(u64, u64)> = Vec::new();
    for _ in 0..8_000 {
        world.wait_ms(5);
        world.confirm_configuration();
        let before = world.lines.len();
        world.run_timers();
        let now_us = world.now_us;
        for (_, ticket) in running.extract_if(.., |(end_us, _)| *end_us <= now_us) {
            world.end(ticket, Ending::Completed { first_ms: 100 });
        }
        if random.unit() < rate_per_s / 200.0 {
            let (request, mut labels) = draw(&mut random);
            labels.push("all".to_owned());
            for label in &labels {
                counts.entry(label.clone()).or_default().0 += 1;
            }
            open.insert(world.submit_request(request), labels);
        }
        for line in &world.lines[before..] {
            let (ticket, verdict) = line.split_once(": ").expect("a line of a ticket");
            let ticket = ticket.parse().expect("a number");
            let labels = open.remove(&ticket).expect("one verdict for each request");
            if verdict.starts_with("send") {
                running.push((world.now_us + 400 * US_PER_MS, ticket));
                for label in labels {
                    counts.entry(label).or_default().1 += 1;
                }
            }
        }
    }
    counts
}

/// Checks that each label is served at a quarter of the rate of all requests.
fn check_shares(counts: &Counts) {
    let rate = |label: &str| counts.get(label).map_or(0.0, |(offered, sent)| *sent as f64 / *offered as f64);
    for label in counts.keys() {
        assert!(rate(label) >= rate("all") / 4.0, "{label}: {counts:?}");
    }
}

/// A team that sends most of the requests must not take the places of the others.
#[test]
fn a_small_team_is_served_beside_one_that_floods() {
    for load in [2.0, 4.0] {
        let counts = play(&mut classed_world(1), load * 22.5, 7, |random| {
            let team = if random.below(10) == 0 { "small" } else { "flooding" };
            let key = if team == "small" { "spare" } else { "secret" };
            let request = RequestInfo { key: Some(key.into()), ..sized_request(PATHS[1]) };
            (request, vec![team.to_owned()])
        });
        check_shares(&counts);
        let rate = |team: &str| counts[team].1 as f64 / counts[team].0 as f64;
        assert!(rate("small") >= rate("flooding") * 1.5, "load {load}: {counts:?}");
    }
}

/// Large requests need memory that several small ones give back, and must not wait in vain while small ones go on.
#[test]
fn large_requests_are_served_beside_small_ones() {
    for load in [1.5, 3.0] {
        let counts = play(&mut classed_world(1), load * 15.0, 9, |random| {
            let class = random.below(3);
            let (size, answer_tokens) = if random.below(5) == 0 { ("large", 1_400) } else { ("small", 100) };
            let request = RequestInfo { answer_tokens, ..sized_request(PATHS[class]) };
            let mut labels = vec![size.to_owned(), format!("class {class}")];
            // At three times the load the engine has too little memory for the most urgent class alone.
            if load < 2.0 {
                labels.push(format!("{size} of class {class}"));
            }
            (request, labels)
        });
        check_shares(&counts);
    }
}
