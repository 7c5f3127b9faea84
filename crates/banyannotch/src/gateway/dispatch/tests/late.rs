//! Tests of late answers. An endpoint that is silent for a while may be sound and go on, so its answer must not be given up
//! before another endpoint can take the request.

use super::fixtures::{World, address, endpoints, pipeline_engine};
use crate::clock::US_PER_MS;
use crate::gateway::dispatch::budget::Budget;
use crate::gateway::dispatch::{BrokenBy, Ending, Event, PeerState};
use crate::gateway::{Endpoint, EngineReport};

/// Time without an event after which a stream is continued elsewhere although its engines report nothing wrong, in
/// milliseconds.
const SILENCE_LIMIT_MS: u64 = 1_400;

/// Lets the stream that was sent last be late, and its first engine give no report.
fn wait_without_report(world: &mut World, ticket: u64) {
    let order = world.last_order.clone().expect("the request was sent");
    world.event(Event::Waiting { ticket, report: 1, silent_ms: 600 });
    world.event(Event::Report { address: order.address, report: None });
}

/// One chain of two engines, which no other engine can replace.
fn only_chain() -> Vec<Endpoint> {
    vec![pipeline_engine(11, "a", "fast", 0, 4), pipeline_engine(12, "a", "fast", 4, 8)]
}

/// Gateways ended the sends of an engine that was silent for a second, found nothing else for the requests, and cut streams
/// that the engine would have gone on with.
#[test]
fn a_late_stream_goes_on_while_nothing_else_can_take_it() {
    let mut cases = Vec::new();

    let mut world = World::with(only_chain());
    let ticket = world.submit("/write/x");
    wait_without_report(&mut world, ticket);
    world.event(Event::Waiting { ticket, report: 1, silent_ms: SILENCE_LIMIT_MS });
    cases.push(("no other path", world));

    let mut world = World::new();
    let ticket = world.submit("/write/x");
    world.end(ticket, Ending::Broken { by: BrokenBy::Garbled });
    wait_without_report(&mut world, ticket);
    world.event(Event::Waiting { ticket, report: 1, silent_ms: SILENCE_LIMIT_MS });
    cases.push(("no attempt left", world));

    let mut world = World::new();
    world.dispatch.settings.retry_allowance = 0.0;
    world.dispatch.settings.retry_ratio = 0.0;
    let ticket = world.submit("/write/x");
    wait_without_report(&mut world, ticket);
    world.event(Event::Waiting { ticket, report: 1, silent_ms: SILENCE_LIMIT_MS });
    cases.push(("no retry budget", world));

    let mut world = World::new();
    world.wait_ms(4_200);
    let ticket = world.submit("/write/x");
    world.wait_ms(600);
    wait_without_report(&mut world, ticket);
    world.event(Event::Waiting { ticket, report: 1, silent_ms: SILENCE_LIMIT_MS });
    cases.push(("proof about to expire", world));

    let mut world =
        World::with(endpoints().into_iter().filter(|known| known.address == address(1)).collect());
    let ticket = world.submit("/read/x");
    world.event(Event::Waiting { ticket, report: 1, silent_ms: 450 });
    cases.push(("a single replica", world));

    let lines: Vec<_> = cases.iter().map(|(name, world)| format!("{name}\n{}", world.text())).collect();
    insta::assert_snapshot!(lines.join("\n\n"));
}

/// All streams of a silent engine are late at once. The check of the retry budget admitted each of them before any retry was
/// counted, so most of them were cut after they had been abandoned.
#[test]
fn streams_are_abandoned_only_up_to_the_retry_budget() {
    let mut world = World::new();
    let settings = &mut world.dispatch.settings;
    (settings.retry_allowance, settings.retry_ratio, settings.retry_budget_share) = (2.0, 0.0, 1.0);
    let tickets: Vec<u64> = (0..5).map(|_| world.submit("/write/x")).collect();
    for ticket in &tickets {
        world.event(Event::Waiting { ticket: *ticket, report: 1, silent_ms: 600 });
    }
    world.event(Event::Report { address: address(11), report: None });
    let abandoned: Vec<u64> =
        tickets.into_iter().filter(|ticket| world.lines.contains(&format!("{ticket}: abandon"))).collect();
    assert_eq!(abandoned.len(), 2, "{}", world.text());
    for ticket in abandoned {
        world.end(ticket, Ending::Broken { by: BrokenBy::Silence });
    }
    assert!(!world.text().contains(": 50"), "an abandoned stream was refused: {}", world.text());
}

/// The booking of the next path must be given back when the stream goes on by itself, or load and retry budget leak.
#[test]
fn a_stream_that_goes_on_gives_back_its_booking() {
    let mut world = World::new();
    let settings = &mut world.dispatch.settings;
    (settings.retry_allowance, settings.retry_ratio, settings.retry_budget_share) = (1.0, 0.0, 1.0);
    for round in 0..3 {
        let ticket = world.submit("/write/x");
        let first = world.last_order.as_ref().map(|order| order.address);
        world.event(Event::Waiting { ticket, report: 1, silent_ms: SILENCE_LIMIT_MS });
        assert!(world.lines.contains(&format!("{ticket}: abandon")), "round {round}: {}", world.text());
        world.event(Event::Resumed { ticket });
        world.end(ticket, Ending::Completed { first_ms: 700 });
        assert!(first.is_some());
    }
    let PeerState { zone_loads, other_loads, .. } = world.publish_state();
    assert_eq!((zone_loads, other_loads), (vec![], vec![]), "load in flight without any request");
}

/// A replica that is silent is given up only for another replica.
#[test]
fn a_late_answer_of_a_replica_is_abandoned_for_another_one() {
    let mut world = World::new();
    let ticket = world.submit("/read/x");
    world.event(Event::Waiting { ticket, report: 1, silent_ms: 450 });
    world.end(ticket, Ending::Broken { by: BrokenBy::Silence });
    world.event(Event::Waiting { ticket, report: 1, silent_ms: 450 });
    insta::assert_snapshot!(world.text());
}

/// The stream of an engine that holds the whole model is judged by the engine's report like any other: it continues on
/// another engine if there is no report, and goes on if the report shows nothing wrong.
#[test]
fn a_late_stream_of_a_single_engine_needs_evidence_too() {
    let sound = EngineReport { pace: 1.0, ..EngineReport::default() };
    for (report, engine_count, abandoned) in [(Some(sound), 2, false), (None, 2, true), (None, 1, false)] {
        let mut world = World::with_small_model(engine_count);
        let ticket = world.submit("/write/x");
        let order = world.last_order.clone().expect("an engine has room for the request");
        world.event(Event::Waiting { ticket, report: 1, silent_ms: 600 });
        let before = world.text().contains("abandon");
        world.event(Event::Report { address: order.address, report });
        assert_eq!((before, world.text().contains("abandon")), (false, abandoned), "{}", world.text());
    }
}

/// The engine that a report names as stalled is replaced in the path, which may begin at the same engine as before. Such a
/// path was rejected because of its first engine, and the stream waited for the stalled one.
#[test]
fn a_stalled_engine_is_replaced_behind_the_same_first_engine() {
    let mut engines = only_chain();
    engines.push(pipeline_engine(13, "a", "fast", 4, 8));
    let mut world = World::with(engines);
    let ticket = world.submit("/write/x");
    let stalled = world.last_order.as_ref().and_then(|order| order.forwarding_info.path.last().copied());
    let stalled = stalled.map(|(engine, _)| engine).into_iter().collect();
    world.event(Event::Waiting { ticket, report: 1, silent_ms: 600 });
    let report = EngineReport { pace: 1.0, stalled, ..EngineReport::default() };
    world.event(Event::Report { address: address(11), report: Some(report) });
    world.end(ticket, Ending::Broken { by: BrokenBy::Silence });
    insta::assert_snapshot!(world.text());
}

/// An endpoint that has begun to leave since it was booked must not get the request.
#[test]
fn a_booked_endpoint_that_leaves_is_not_used() {
    let mut world = World::new();
    let ticket = world.submit("/read/x");
    world.event(Event::Waiting { ticket, report: 1, silent_ms: 450 });
    let mut remaining = endpoints();
    remaining.iter_mut().filter(|known| known.address == address(2)).for_each(|known| known.leaving = true);
    world.event(Event::Endpoints(remaining.into()));
    world.end(ticket, Ending::Broken { by: BrokenBy::Connection });
    insta::assert_snapshot!(world.text());
}

/// A retry that is taken back must not be taken from a later slice of the window, or the budget is exceeded when the earlier
/// slice has left the window.
#[test]
fn a_cancelled_retry_is_taken_from_the_slice_that_counted_it() {
    const WINDOW_MS: u64 = 10_000;
    let mut budget = Budget::default();
    let (booked_us, retried_us) = (0, 1_000 * US_PER_MS);
    budget.count_retry(booked_us, WINDOW_MS);
    budget.count_retry(retried_us, WINDOW_MS);
    budget.cancel_retry(booked_us, WINDOW_MS);
    let remaining = budget.remaining(10_600 * US_PER_MS, WINDOW_MS, 0.0, 2.0);
    assert!((remaining - 1.0).abs() < f64::EPSILON, "{remaining}");
}
