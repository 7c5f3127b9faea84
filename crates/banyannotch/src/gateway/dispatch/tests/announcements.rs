//! Guards against requests to endpoints that announced in an answer that they take no more of them.

use super::chains::one_of_many;
use super::fixtures::{World, address, endpoints};
use crate::gateway::dispatch::{BrokenBy, Ending, EndpointStart, Event};
use crate::pipeline::Address;

/// Submits requests and returns the endpoints that they use.
fn used_by(world: &mut World, path: &str, count: usize) -> Vec<Address> {
    let mut used = Vec::new();
    for _ in 0..count {
        world.last_order = None;
        let ticket = world.submit(path);
        used.extend(world.used());
        world.end(ticket, Ending::Left);
    }
    used.sort_unstable();
    used.dedup();
    used
}

/// An endpoint that announced its departure is no part of any path, whatever late entries say, until it starts anew.
#[test]
fn a_leaving_endpoint_is_not_used_until_it_has_started_anew() {
    for many in [false, true] {
        for (path, host) in [("/read/x", 1), ("/write/x", 11), ("/write/x", 12)] {
            let mut world = if many { one_of_many(World::new()) } else { World::new() };
            let leaving = address(host);
            assert!(used_by(&mut world, path, 50).contains(&leaving), "{host} is not used at first");
            let start = world.start_at(leaving);
            world.event(Event::Leaving(EndpointStart { born_ms: 0, ..start.clone() }));
            assert!(used_by(&mut world, path, 50).contains(&leaving), "{host}: an earlier start left");
            world.event(Event::Leaving(start));
            world.event(Event::Endpoints(endpoints().into()));
            let used = used_by(&mut world, path, 50);
            assert!(!used.is_empty() && !used.contains(&leaving), "{host}, many {many}: {used:?}");
            world.restart_endpoints(2);
            assert!(used_by(&mut world, path, 50).contains(&leaving), "{host} is not used after its restart");
        }
    }
}

/// A retry must not choose a leaving replica as its last resort.
#[test]
fn a_retry_does_not_choose_a_leaving_replica() {
    let mut world = World::new();
    for host in [2, 3] {
        let start = world.start_at(address(host));
        world.event(Event::Leaving(start));
    }
    let ticket = world.submit("/read/x");
    assert_eq!(world.used(), [address(1)]);
    let start = world.start_at(address(1));
    world.event(Event::Leaving(start));
    world.end(ticket, Ending::NotRun { status: 503, fault_at: None });
    assert!(world.text().ends_with("503 no endpoint can take the request"), "{}", world.text());
}

fn hold_off(world: &mut World, host: u8, fault_at: Option<u8>, for_ms: u64) {
    let start = world.start_at(address(host));
    world.event(Event::HoldOff { start, fault_at: fault_at.map(address), for_ms });
}

/// An endpoint that asked for no requests is no part of any path until the end of that time, nor is the engine that the
/// rejection names. A shorter later time, and an entry that lapses and returns, do not cut it short.
#[test]
fn a_held_off_endpoint_is_not_used_before_the_end_of_its_hold_off() {
    for many in [false, true] {
        for (path, host, fault_at) in
            [("/read/x", 1, None), ("/write/x", 11, None), ("/write/x", 12, None), ("/write/x", 13, Some(11))]
        {
            let mut world = if many { one_of_many(World::new()) } else { World::new() };
            let held_off = address(fault_at.unwrap_or(host));
            hold_off(&mut world, host, fault_at, 700);
            hold_off(&mut world, host, fault_at, 100);
            let mut lapsed = endpoints();
            lapsed.retain(|endpoint| endpoint.address != held_off);
            world.event(Event::Endpoints(lapsed.into()));
            world.event(Event::Endpoints(endpoints().into()));
            world.wait_ms(699);
            let used = used_by(&mut world, path, 50);
            assert!(!used.is_empty() && !used.contains(&held_off), "{host}, many {many}: {used:?}");
            world.wait_ms(1);
            assert!(used_by(&mut world, path, 50).contains(&held_off), "{host} is not used after the time");
            hold_off(&mut world, host, fault_at, u64::MAX);
            world.restart_endpoints(2);
            assert!(
                used_by(&mut world, path, 50).contains(&held_off),
                "{host} is not used after its restart"
            );
        }
    }
}

/// An absurd time must not take an endpoint out of use for as long as it runs.
#[test]
fn a_hold_off_without_end_is_limited() {
    let mut world = World::with(vec![super::fixtures::plain_endpoint(1, "a")]);
    hold_off(&mut world, 1, None, u64::MAX);
    assert_eq!(used_by(&mut world, "/read/x", 5), []);
    world.wait_ms(3_600_000);
    world.confirm_configuration();
    assert_eq!(used_by(&mut world, "/read/x", 5), [address(1)]);
}

/// A caller whose request cannot be sent anywhere is refused at once and told when an endpoint takes requests again, at
/// most a third of the time that it has left.
#[test]
fn a_refusal_tells_when_the_first_endpoint_takes_requests_again() {
    let retry_after_ms = |path: &str, held_off: &[(u8, u64)], leaving: &[u8]| {
        let mut world = World::new();
        for (host, for_ms) in held_off {
            hold_off(&mut world, *host, None, *for_ms);
        }
        for host in leaving {
            let start = world.start_at(address(*host));
            world.event(Event::Leaving(start));
        }
        world.submit(path);
        world.last_refusal.map(|refusal| (refusal.reason.status(), refusal.retry_after_ms))
    };
    let plain = |held_off: &[(u8, u64)], leaving: &[u8]| retry_after_ms("/read/x", held_off, leaving);
    assert_eq!(plain(&[(1, 200), (2, 120)], &[]), None, "a replica takes requests");
    assert_eq!(plain(&[(1, 200), (2, 120), (3, 300)], &[]), Some((503, Some(120))));
    assert_eq!(plain(&[(1, 200), (2, 120)], &[2, 3]), Some((503, Some(200))), "replica 2 leaves");
    assert_eq!(plain(&[(1, 5_000), (2, 5_000), (3, 5_000)], &[]), Some((503, Some(334))), "of 1,000 ms");
    assert_eq!(plain(&[], &[1, 2, 3]), Some((503, Some(500))), "nobody takes requests again");
    let first_engines = [(11, 100), (13, 250), (21, 300)];
    assert_eq!(retry_after_ms("/write/x", &first_engines, &[]), Some((503, Some(100))));
    assert_eq!(
        retry_after_ms("/write/x", &first_engines, &[12, 22]),
        Some((503, Some(100))),
        "11, 15 and 16"
    );
    assert_eq!(
        retry_after_ms("/write/x", &first_engines, &[11, 14]),
        Some((503, Some(300))),
        "only 21 and 22"
    );
}

/// A report that is requested from an engine is a request that reaches it.
#[test]
fn a_held_off_engine_is_not_inspected() {
    let mut world =
        World::with(endpoints().into_iter().filter(|endpoint| endpoint.zone.as_str() == "b").collect());
    let [late, broken] = [(); 2].map(|()| world.submit("/write/x"));
    hold_off(&mut world, 21, None, 300);
    world.event(Event::Waiting { ticket: late, report: 1, silent_ms: 600 });
    world.end(broken, Ending::Broken { by: BrokenBy::Silence });
    assert!(!world.text().contains("inspect"), "{}", world.text());
    world.wait_ms(300);
    world.event(Event::Waiting { ticket: late, report: 1, silent_ms: 600 });
    assert!(world.text().ends_with("inspect 10.0.0.21"), "{}", world.text());
}

/// A request that waits long for a connection must not be sent after the endpoint has asked for no requests. The endpoint
/// did not see it, so it is decided on again and no retry.
#[test]
fn an_order_that_was_delayed_is_not_carried_out() {
    let mut world = World::new();
    let ticket = world.submit("/call/x");
    let order = world.last_order.take().expect("the request is sent");
    let ending_after = |us: u64| order.late_ending(world.now_us + us);
    assert_eq!((ending_after(399_999), ending_after(400_000)), (None, Some(Ending::Delayed)));
    assert_eq!(ending_after(5_000_000), Some(Ending::Outdated));
    for _ in 0..6 {
        world.last_order = None;
        world.wait_ms(100);
        world.end(ticket, Ending::Delayed);
        assert!(world.last_order.is_some(), "{}", world.text());
    }
}
