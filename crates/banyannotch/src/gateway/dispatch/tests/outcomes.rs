//! Guards against requests that run twice, refusals that are not true, and retries of what must not be repeated.

use std::sync::Arc;

use super::fixtures::{World, address, ask, deployment};
use crate::gateway::EngineReport;
use crate::gateway::dispatch::{BrokenBy, Ending, Event, PeerState, Proof};

/// Every ending of the first send, for each kind of route: what follows, and what follows if it happens again.
#[test]
fn each_ending_leads_to_the_answer_that_is_true() {
    let endings = [
        Ending::Completed { first_ms: 5 },
        Ending::NotRun { status: 503, fault_at: None },
        Ending::NotRun { status: 421, fault_at: None },
        Ending::Unsent,
        Ending::Outdated,
        Ending::Failed { status: 500 },
        Ending::Broken { by: BrokenBy::Connection },
        Ending::Broken { by: BrokenBy::Garbled },
        Ending::Broken { by: BrokenBy::Silence },
        Ending::Expired,
        Ending::Left,
    ];
    let mut text = String::new();
    for path in ["/call/x", "/read/x", "/write/x"] {
        for ending in endings {
            let mut world = World::new();
            let ticket = world.submit(path);
            for _ in 0..5 {
                world.wait_ms(10);
                world.end(ticket, ending);
            }
            text.push_str(&format!("{path} {ending:?}\n  {}\n", world.lines.join("\n  ")));
        }
    }
    insta::assert_snapshot!(text);
}

#[test]
fn a_request_that_may_have_run_is_never_refused_as_not_run() {
    let mut world = World::new();
    let ticket = world.submit("/read/x");
    world.end(ticket, Ending::Broken { by: BrokenBy::Connection });
    for _ in 0..4 {
        world.end(ticket, Ending::NotRun { status: 503, fault_at: None });
    }
    insta::assert_snapshot!(world.text());
}

/// A machine that is cut off from the store must not accept a key that may have been taken away.
#[test]
fn keys_are_accepted_only_with_a_fresh_proof() {
    let mut world = World::new();
    world.wait_ms(4_990);
    world.submit("/call/x");
    let valid_us = world.last.as_ref().map(|order| order.valid_until_us);
    assert_eq!(valid_us, Some(1_000_000 + 5_000_000), "the send must leave before the proof is too old");
    world.wait_ms(10);
    world.submit("/call/x");
    world.submit("/unknown");
    world.submit_ask(crate::gateway::RequestInfo { key: Some("wrong".into()), ..ask("/call/x") });
    world.event(Event::Proof(Proof { version: 5, at_us: 5_500_000 }));
    world.submit("/call/x");
    world.submit("/unknown");
    world.submit_ask(crate::gateway::RequestInfo { key: Some("wrong".into()), ..ask("/call/x") });
    world.submit_ask(crate::gateway::RequestInfo { key: None, ..ask("/call/x") });
    insta::assert_snapshot!(world.text());
}

#[test]
fn a_configuration_never_goes_back() {
    let mut world = World::new();
    let mut older = deployment(4);
    older.routes.clear();
    world.event(Event::Deployment(Arc::new(older)));
    world.submit("/call/x");
    let mut newer = deployment(6);
    newer.routes.clear();
    world.event(Event::Deployment(Arc::new(newer)));
    world.event(Event::Proof(Proof { version: 6, at_us: world.now_us }));
    world.submit("/call/x");
    insta::assert_snapshot!(world.text());
}

/// A request that breaks each endpoint must not reach a fourth one.
#[test]
fn a_request_that_breaks_endpoints_is_quarantined() {
    let mut world = World::new();
    for _ in 0..3 {
        let ticket = world.submit("/read/x");
        world.end(ticket, Ending::Broken { by: BrokenBy::Connection });
        world.end(ticket, Ending::Broken { by: BrokenBy::Connection });
    }
    insta::assert_snapshot!(world.text());
}

/// After a stall the engine that reports name is left out, and a path around it is found.
#[test]
fn a_stalled_part_is_replaced_by_others_that_hold_its_layers() {
    let mut world = World::new();
    let ticket = world.submit("/write/x");
    world.end(ticket, Ending::Broken { by: BrokenBy::Silence });
    let report = EngineReport { pace: 1.0, stalled: vec![address(12)], ..EngineReport::default() };
    world.event(Event::Report { address: address(11), report: Some(report) });
    world.submit("/write/x");
    insta::assert_snapshot!(world.text());
}

#[test]
fn a_stopping_gateway_is_not_ready() {
    let mut world = World::new();
    world.event(Event::Draining);
    world.submit("/call/x");
    insta::assert_snapshot!(world.text());
}

/// What one gateway tells must not come back to it through another one, or an endpoint is left out for ever. On the
/// bench this refused every request for eight seconds after one engine had crashed.
#[test]
fn an_exclusion_that_was_heard_is_not_passed_on() {
    let mut world = World::new();
    let told = PeerState { instance: "other".to_owned(), down: vec![address(1)], ..PeerState::default() };
    world.event(Event::Peer { state: Box::new(told), known: 2 });
    world.submit("/call/x");
    let shared = world.share();
    assert_eq!((world.lines.len(), shared.down), (1, vec![]), "{}", world.text());
    assert!(world.text().contains("desk-2"), "the endpoint is left out here: {}", world.text());
}

/// A gateway that knows its configuration and no endpoint yet would refuse every request; the process test of the store's
/// faults met one that was ready too early.
#[test]
fn a_gateway_is_ready_only_when_it_knows_the_endpoints() {
    let mut world = World::unstarted();
    world.event(Event::Deployment(Arc::new(deployment(5))));
    world.prove();
    let before = world.text();
    world.event(Event::EndpointsProof(Proof { version: 1, at_us: world.now_us }));
    assert_eq!((before.as_str(), world.text().as_str()), ("", "ready true"));
}

/// A caller that is refused for an outdated configuration comes again at once if another gateway knows more, and later if
/// all know the same, because the store is away for all of them. Half a second made every such answer late.
#[test]
fn callers_of_an_outdated_gateway_come_again_at_once_when_others_know_more() {
    let refused = |version: Option<u64>| {
        let mut world = World::new();
        world.wait_ms(6_000);
        if let Some(version) = version {
            let told = PeerState { instance: "other".to_owned(), version, ..PeerState::default() };
            world.event(Event::Peer { state: Box::new(told), known: 2 });
        }
        world.submit("/call/x");
        world.refused.map(|refusal| refusal.retry_after_ms)
    };
    let waits = [None, Some(5), Some(6)].map(refused);
    assert_eq!(waits, [Some(Some(20)), Some(Some(500)), Some(Some(20))]);
}
