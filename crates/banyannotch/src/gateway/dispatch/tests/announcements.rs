//! Guards against requests to endpoints that announced in an answer that they take no more of them.

use super::chains::one_of_many;
use super::fixtures::{World, address, endpoints};
use crate::gateway::dispatch::{Ending, EndpointStart, Event};
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
