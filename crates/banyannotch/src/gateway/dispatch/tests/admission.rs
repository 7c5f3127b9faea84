//! Tests of priority admission control under load: what callers get by class and team.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::fixtures::{World, configuration, request};
use crate::clock::US_PER_MS;
use crate::gateway::dispatch::{BrokenBy, Ending, Event, Proof};
use crate::gateway::{Configuration, Credential, RequestInfo, Route, Team};
use crate::ids::TeamId;
use crate::random::Random;

/// Paths of the routes with the priorities 0, 1 and 2.
pub const PATHS: [&str; 3] = ["/urgent/x", "/usual/x", "/patient/x"];

/// Returns a configuration in which three routes with different priorities lead to the model, and the team has none.
pub fn classed_configuration(version: u64) -> Configuration {
    let usual = configuration(version);
    let model_route = usual.routes.last().cloned().expect("a route to the model");
    let prefixes = [("/patient/", 2), ("/urgent/", 0), ("/usual/", 1)];
    let routes = prefixes.map(|(prefix, priority)| Route {
        prefix: prefix.into(),
        name: prefix.trim_matches('/').into(),
        priority,
        timeout_ms: 20_000,
        objective_ms: 500,
        ..model_route.clone()
    });
    let mut classed = Configuration { routes: routes.into(), ..usual };
    classed.teams = ["shop", "lab"].map(|id| Team { id: TeamId::from(id), priority: None }).into();
    classed.credentials.push(Credential { key: "spare".into(), team: 1 });
    classed
}

/// Returns a gateway before engines that each hold a small model, which requests of three classes use. An engine has
/// memory for nine requests of [`sized_request`] up to the usual limit.
pub fn classed_world(engine_count: u8) -> World {
    let mut world = World::with_small_model(engine_count);
    let services = world.dispatch.configuration.as_ref().map(|known| known.services.clone());
    let configuration =
        Configuration { services: services.expect("a configuration"), ..classed_configuration(7) };
    world.event(Event::Configuration(Arc::new(configuration)));
    world.event(Event::ConfigurationProof(Proof { version: 7, at_us: world.now_us }));
    world.lines.clear();
    world
}

/// Returns a request for 500 tokens.
pub fn sized_request(path: &str) -> RequestInfo {
    RequestInfo { prompt_tokens: 400, answer_tokens: 100, deadline_ms: Some(10_000), ..request(path) }
}

/// Submits requests of a class until one is not sent, and returns how many were.
pub fn fill(world: &mut World, path: &str) -> usize {
    let mut sent = 0;
    while sent < 100 {
        world.last_order = None;
        world.submit_request(sized_request(path));
        if world.last_order.is_none() {
            break;
        }
        sent += 1;
    }
    sent
}

/// Urgent requests must find memory although patient ones have taken all they may. Before, requests were admitted in the
/// order of their arrival, and on the heaviest day the most urgent class earned less than the least urgent one.
#[test]
fn less_urgent_requests_leave_memory_to_more_urgent_ones() {
    let mut world = classed_world(1);
    let admitted = [PATHS[2], PATHS[1], PATHS[0]].map(|path| fill(&mut world, path));
    assert_eq!(admitted, [6, 1, 2]);
}

/// Offers requests of each class at a rate, each of which runs for 400 ms, and returns how many of each were offered and
/// sent, by class.
fn play(world: &mut World, seconds: u64, rates_per_s: [f64; 3], seed: u64) -> [(usize, usize); 3] {
    let mut random = Random::seeded(seed);
    let mut counts = [(0, 0); 3];
    let mut open: BTreeMap<u64, usize> = BTreeMap::new();
    let mut running: Vec<(u64, u64)> = Vec::new();
    for _ in 0..seconds * 200 {
        world.wait_ms(5);
        world.confirm_configuration();
        let before = world.lines.len();
        world.run_timers();
        let now_us = world.now_us;
        for (_, ticket) in running.extract_if(.., |(end_us, _)| *end_us <= now_us) {
            world.end(ticket, Ending::Completed { first_ms: 100 });
        }
        for (class, rate_per_s) in rates_per_s.into_iter().enumerate() {
            if random.unit() < rate_per_s / 200.0 {
                counts[class].0 += 1;
                let ticket = world.submit_request(sized_request(PATHS[class]));
                open.insert(ticket, class);
            }
        }
        for line in &world.lines[before..] {
            let (ticket, verdict) = line.split_once(": ").expect("a line of a ticket");
            let ticket = ticket.parse().expect("a number");
            let class = open.remove(&ticket).expect("one verdict for each request");
            if verdict.starts_with("send") {
                counts[class].1 += 1;
                running.push((world.now_us + 400 * US_PER_MS, ticket));
            }
        }
    }
    counts
}

/// With three times the load that the engines can serve, the most urgent class keeps what it alone would get, and the
/// others are still served at a quarter of the overall rate. Without a guard against starvation the least urgent class got
/// nothing.
#[test]
fn no_class_starves_under_a_lasting_overload() {
    for (rates_per_s, urgent_limit) in [([10.0, 30.0, 30.0], 0.5), ([45.0, 15.0, 5.0], 0.0)] {
        let counts = play(&mut classed_world(1), 40, rates_per_s, 3);
        let rate = |(offered, sent): (usize, usize)| sent as f64 / offered as f64;
        let all = counts.iter().fold((0, 0), |all, class| (all.0 + class.0, all.1 + class.1));
        for class in counts {
            assert!(rate(class) >= rate(all) / 4.0, "{rates_per_s:?}: {counts:?}");
        }
        assert!(rate(counts[0]) >= urgent_limit, "{rates_per_s:?}: {counts:?}");
        assert!(rate(counts[0]) > rate(counts[2]), "{rates_per_s:?}: {counts:?}");
    }
}

/// Engines must process the prompts of urgent requests first. Without the header they treat all alike, and on the heaviest
/// day 1.08 million prompt tokens of preempted requests were processed twice.
#[test]
fn only_sends_of_classed_services_tell_engines_their_priority() {
    let priority = |world: &mut World, path: &str| {
        world.submit(path);
        world.last_order.take().map(|order| order.forwarding_info.priority)
    };
    let mut classed = classed_world(2);
    let priorities = PATHS.map(|path| priority(&mut classed, path));
    assert_eq!(priorities, [Some(Some(1)), Some(Some(3)), Some(Some(5))]);
    let mut other = World::new();
    let priorities = ["/call/x", "/read/x", "/write/x"].map(|path| priority(&mut other, path));
    assert_eq!(priorities, [Some(None); 3]);
}

/// A stream that goes on elsewhere has a caller who has read its beginning, so it precedes new requests of its rank.
#[test]
fn a_continued_stream_precedes_new_requests_of_its_rank() {
    let mut world = classed_world(2);
    let ticket = world.submit(PATHS[1]);
    world.event(Event::StreamStarted { ticket });
    world.end(ticket, Ending::Broken { by: BrokenBy::Connection });
    let priority = world.last_order.take().and_then(|order| order.forwarding_info.priority);
    assert_eq!(priority, Some(2));
}

/// Requests per second that the engine of [`classed_world`] serves: nine places for 400 ms each.
const CAPACITY_PER_S: f64 = 22.5;

/// At several times the load that the engines can serve, as many requests must be served as at the best load, and the most
/// urgent class must keep its own share. On the heaviest day it earned 0.453 of its credit, the least urgent one 0.620.
#[test]
fn goodput_holds_and_the_urgent_class_keeps_its_share_under_overload() {
    const SECONDS: u64 = 40;
    let mut outcomes = Vec::new();
    for load in [0.5, 0.8, 1.0, 1.5, 2.0, 3.0] {
        // The urgent class takes three tenths of the capacity at each load above it.
        let urgent = 0.3 * f64::min(load, 1.0);
        let other = (load - urgent) / 2.0;
        let rates_per_s = [urgent, other, other].map(|share| share * CAPACITY_PER_S);
        let counts = play(&mut classed_world(1), SECONDS, rates_per_s, 11);
        let served: usize = counts.iter().map(|(_, sent)| sent).sum();
        let shares = counts.map(|(offered, sent)| sent as f64 / offered.max(1) as f64);
        outcomes.push((load, served as f64 / SECONDS as f64 / CAPACITY_PER_S, shares));
    }
    let best = outcomes.iter().map(|(_, goodput, _)| *goodput).fold(0.0, f64::max);
    for (load, goodput, shares) in &outcomes {
        assert!(*load < 1.5 || *goodput >= best * 0.8, "load {load}: {outcomes:.2?}");
        assert!(shares[0] >= 0.9, "load {load}: {outcomes:.2?}");
    }
}

/// A search is the most expensive step of a decision, and a gateway under overload has the least time for it. Before, each
/// request was searched for once.
#[test]
fn an_overload_does_not_multiply_the_searches() {
    let mut ratios = Vec::new();
    for load in [0.5, 1.0, 2.0, 3.0] {
        let mut world = classed_world(1);
        let before = world.dispatch.searches;
        let rate_per_s = load * CAPACITY_PER_S / 3.0;
        let counts = play(&mut world, 20, [rate_per_s; 3], 4);
        let offered: usize = counts.iter().map(|(offered, _)| offered).sum();
        ratios.push((load, (world.dispatch.searches - before) as f64 / offered as f64));
    }
    let is_bounded = |(load, ratio): &(f64, f64)| *ratio <= if *load < 2.0 { 2.0 } else { 1.2 };
    assert!(ratios.iter().all(is_bounded), "searches for each request: {ratios:.2?}");
}

/// A priority that is out of range must be noticed, but not once for each request.
#[test]
fn a_clamped_priority_is_logged_once_for_a_version() {
    let mut world = classed_world(1);
    world.decisions.clear();
    for version in [8, 8, 9] {
        let mut next = classed_configuration(version);
        next.routes[0].priority = 12;
        world.event(Event::Configuration(Arc::new(next)));
        world.submit(PATHS[0]);
    }
    let clamped = world.decisions.iter().filter(|line| line.starts_with("event=priority_clamped"));
    let expected = [8, 9].map(|version| format!("event=priority_clamped version={version} priority=12"));
    assert_eq!(clamped.cloned().collect::<Vec<_>>(), expected);
}
