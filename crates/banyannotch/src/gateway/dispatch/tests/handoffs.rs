//! Tests of requests that gateways hand on to each other.

use super::fixtures::{World, address, request};
use crate::gateway::dispatch::{
    BrokenBy, Ending, Event, Helper, PeerState, ProbeResult, RefusalReason, Sections, Submission,
};
use crate::ids::Zone;

/// Tells the gateway of others that take requests, each with its number, zone and requests in flight.
fn hear_of_helpers(world: &mut World, helpers: &[(u8, &str, u32)]) {
    for (number, zone, requests) in helpers {
        let helper = Helper {
            address: address(*number),
            is_available: true,
            is_proven: true,
            size_mb: 100,
            requests: *requests,
        };
        let state = PeerState {
            instance: format!("gateway-{number}"),
            zone: Zone::from(*zone),
            version: 5,
            sections: Sections { helper: Some(helper), ..Sections::default() },
            ..PeerState::default()
        };
        world.event(Event::Peer { state: Box::new(state), known: 3, zone_known: 1 });
    }
}

/// Returns a gateway whose links to all endpoints are lost.
fn cut_off() -> World {
    let mut world = World::new();
    world.links_are_lost = true;
    world.wait_ms(1_000);
    for _ in 0..2 {
        let ticket = world.submit("/read/x");
        world.end(ticket, Ending::Unsent);
        world.end(ticket, Ending::Unsent);
    }
    for address in world.take_probed_engines() {
        world.event(Event::Probed { address, result: ProbeResult::Unanswered });
    }
    world.confirm_configuration();
    world.lines.clear();
    world
}

/// Requests went to endpoints that the gateway could not reach.
#[test]
fn a_gateway_without_links_hands_requests_on() {
    let mut world = cut_off();
    hear_of_helpers(&mut world, &[(101, "a", 2), (102, "b", 1)]);
    world.submit("/write/x");
    world.submit("/call/x");
    world.submit("/read/x");
    insta::assert_snapshot!(world.text());
}

/// A helper far away is used only if those of the own zone have more than twice its load.
#[test]
fn a_busy_helper_of_the_own_zone_is_left_for_an_idle_one_elsewhere() {
    let mut world = cut_off();
    hear_of_helpers(&mut world, &[(101, "a", 9), (102, "b", 1)]);
    world.submit("/write/x");
    insta::assert_snapshot!(world.text());
}

/// A request that was handed on in a circle would never be answered.
#[test]
fn a_request_is_handed_on_only_once() {
    let mut world = cut_off();
    hear_of_helpers(&mut world, &[(101, "a", 0)]);
    let submission = Submission { ticket: 900, request: request("/write/x"), is_handed_on: true };
    world.event(Event::Submit(Box::new(submission)));
    assert_eq!(world.last_refusal.map(|refusal| refusal.reason), Some(RefusalReason::NoCapacity));
}

/// The gateway of the caller counts the endpoints that may have run a request, so that a helper must not resume a stream.
#[test]
fn a_request_that_was_handed_on_runs_once_at_the_helper() {
    for (ending, resends) in [
        (Ending::Broken { by: BrokenBy::Connection }, false),
        (Ending::NotRun { status: 503, fault_at: None }, true),
    ] {
        let mut world = World::new();
        let submission = Submission { ticket: 900, request: request("/write/x"), is_handed_on: true };
        world.event(Event::Submit(Box::new(submission)));
        world.last_order = None;
        world.end(900, ending);
        assert_eq!(world.last_order.is_some(), resends, "{ending:?}: {}", world.text());
    }
}

/// A helper that fails may have run the request, and one that refuses has not.
#[test]
fn the_end_of_a_handoff_decides_whether_the_request_is_handed_on_again() {
    let mut text = String::new();
    for path in ["/call/x", "/read/x", "/write/x"] {
        for ending in [
            Ending::Unsent,
            Ending::NotRun { status: 503, fault_at: None },
            Ending::Broken { by: BrokenBy::Connection },
        ] {
            let mut world = cut_off();
            hear_of_helpers(&mut world, &[(101, "a", 0), (102, "b", 0)]);
            let ticket = world.submit(path);
            world.end(ticket, ending);
            text.push_str(&format!("{path} {ending:?}\n{}\n", world.text()));
        }
    }
    insta::assert_snapshot!(text);
}

/// A gateway that lost its links told the others that engines had crashed under sound requests, and all refused them.
#[test]
fn lost_links_count_as_no_crash() {
    let mut world = World::new();
    world.links_are_lost = true;
    world.wait_ms(1_000);
    let tickets: Vec<u64> = (0..4).map(|_| world.submit("/write/x")).collect();
    for ticket in tickets {
        world.end(ticket, Ending::Broken { by: BrokenBy::Connection });
        world.end(ticket, Ending::Broken { by: BrokenBy::Connection });
    }
    for address in world.inspected.clone() {
        world.event(Event::Report { address, report: None });
    }
    for address in world.take_probed_engines() {
        world.event(Event::Probed { address, result: ProbeResult::Unanswered });
    }
    let counted = world.decisions.iter().filter(|line| line.contains("crash_counted")).count();
    let published = world.publish_state();
    assert_eq!((counted, published.down), (0, vec![]), "{:#?}", world.decisions);
}
