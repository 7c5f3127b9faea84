//! Guards against a request that crashes more than two endpoints, and against other requests that are
//! quarantined for its crashes.

use super::model::reference;
use super::world::World;
use crate::execution::{Event, ExecutionSettings, Suspicion};
use crate::ids::EndpointId;
use crate::request::{Failure, NotRun, Outcome};

fn poisonable_world(replicas: usize) -> World {
    let mut world = World::new(replicas, ExecutionSettings::default());
    for endpoint in &mut world.endpoints {
        endpoint.crash_on = Some("poison".into());
    }
    world
}

fn crashed_endpoints(world: &World) -> usize {
    world.endpoints.iter().filter(|endpoint| !endpoint.alive).count()
}

#[test]
fn poison_request_crashes_two_endpoints_and_its_resend_none() {
    let mut world = poisonable_world(5);
    world.generate(1, "poison", 5, 20_000);
    world.run();
    assert_eq!(world.outcome(1), &Outcome::Failed(Failure::Quarantined));
    assert_eq!(crashed_endpoints(&world), 2);
    world.generate(2, "poison", 5, 20_000);
    world.run();
    assert_eq!(world.outcome(2), &Outcome::NotRun(NotRun::Quarantined));
    assert_eq!(crashed_endpoints(&world), 2);
    world.check_ended();
    insta::assert_snapshot!(world.trace);
}

#[test]
fn other_requests_on_the_crashed_endpoints_are_completed() {
    for others in 1..=12_u128 {
        let mut world = poisonable_world(5);
        for request in 1..=others {
            world.generate(request, &format!("innocent {request}"), 8, 20_000);
        }
        // The highest number resumes last, when the other requests already run at the substitute.
        world.generate(99, "poison", 5, 20_000);
        world.run();
        world.check_ended();
        assert_eq!(world.outcome(99), &Outcome::Failed(Failure::Quarantined), "{others} other requests");
        assert!(crashed_endpoints(&world) <= 2, "{others} other requests");
        for request in 1..=others {
            assert_eq!(
                world.tokens(request),
                reference(&format!("innocent {request}"), 8),
                "{}",
                world.trace
            );
        }
    }
}

#[test]
fn loss_of_a_zone_quarantines_no_request() {
    let mut world = World::new(3, ExecutionSettings::default());
    for request in 1..=10 {
        world.generate(request, &format!("request {request}"), 30, 20_000);
    }
    let start_us = world.now_us;
    world.run_until(start_us + 100_000);
    for endpoint in 0..world.endpoints.len() {
        if world.endpoints[endpoint].target.zone.as_str() == "z1" {
            world.kill(endpoint);
        }
    }
    world.run();
    world.check_ended();
    for request in 1..=10 {
        assert_eq!(world.tokens(request), reference(&format!("request {request}"), 30));
    }
    assert!(!world.trace.contains("quarantined"), "{}", world.trace);
}

#[test]
fn gradual_loss_of_a_zone_does_not_fail_requests() {
    let mut world = World::new(3, ExecutionSettings::default());
    world.endpoint("e02").target.zone = "z1".into();
    for request in 1..=10 {
        world.generate(request, &format!("request {request}"), 60, 20_000);
        let next_us = world.now_us + 1_100;
        world.run_until(next_us);
    }
    let next_us = world.now_us + 60_000;
    world.run_until(next_us);
    // The zone's endpoints fail one after another. Requests that became suspects when the first one failed
    // have their turn at the last one when it fails.
    for (endpoint, pause_us) in [("e11", 0), ("e21", 0), ("e01", 3_000), ("e02", 3_000)] {
        let index = world.endpoints.iter().position(|e| e.target.endpoint.instance.as_str() == endpoint);
        world.kill(index.expect("an endpoint with this name exists"));
        let next_us = world.now_us + pause_us;
        world.run_until(next_us);
    }
    world.run();
    world.check_ended();
    for request in 1..=10 {
        assert_eq!(world.tokens(request), reference(&format!("request {request}"), 60), "{}", world.trace);
    }
}

#[test]
fn content_that_crashed_two_endpoints_elsewhere_is_refused() {
    let mut world = poisonable_world(3);
    let fingerprint = crate::request::digest(&["m", "poison"]);
    let crashed = ["e91", "e92"].map(|name| Suspicion { fingerprint, endpoint: EndpointId::new(name, 1) });
    world.event(0, Event::Suspected(crashed.to_vec()));
    world.generate(1, "poison", 5, 20_000);
    world.run();
    assert_eq!(world.outcome(1), &Outcome::NotRun(NotRun::Quarantined));
    assert_eq!(crashed_endpoints(&world), 0);
}

#[test]
fn content_that_crashed_one_endpoint_elsewhere_crashes_only_one_more() {
    let mut world = poisonable_world(4);
    let fingerprint = crate::request::digest(&["m", "poison"]);
    let suspicion = Suspicion { fingerprint, endpoint: EndpointId::new("e91", 1) };
    world.event(0, Event::Suspected(vec![suspicion]));
    world.generate(1, "poison", 5, 20_000);
    world.run();
    assert_eq!(world.outcome(1), &Outcome::Failed(Failure::Quarantined));
    assert_eq!(crashed_endpoints(&world), 1);
}

#[test]
fn suspect_content_waits_for_the_retry_at_another_entry() {
    let mut world = poisonable_world(4);
    let fingerprint = crate::request::digest(&["m", "poison"]);
    let crashed =
        |name| Event::Suspected(vec![Suspicion { fingerprint, endpoint: EndpointId::new(name, 1) }]);
    world.event(0, crashed("e91"));
    world.event(100_000, crashed("e92"));
    world.generate(1, "poison", 5, 20_000);
    world.run();
    assert_eq!(world.outcome(1), &Outcome::NotRun(NotRun::Quarantined));
    assert_eq!(crashed_endpoints(&world), 0);
}
