//! Placement, replacement and capacity reports in single scenarios.

use insta::assert_snapshot;

use super::fixtures::{
    call, configuration, endpoints_of, engine, generation, lines, reroute, routing, send, service, table,
};
use crate::duty::Duty;
use crate::ids::{EndpointId, ModelVersion, RequestId};
use crate::membership::{Endpoint, Health, Load, Role};
use crate::pipeline::LayerRange;
use crate::routing::{Action, Balance, Event, Need, Observation, Routing};

/// A time at which slow start has ended for the endpoints of the fixtures.
const NOW_US: u64 = 10_000_000;

fn with_health(endpoint: Endpoint, health: Health) -> Endpoint {
    Endpoint { health, ..endpoint }
}

fn with_zone(endpoint: Endpoint, zone: &str) -> Endpoint {
    Endpoint { zone: zone.into(), ..endpoint }
}

fn with_step(endpoint: Endpoint, step_us: u64) -> Endpoint {
    let load = Load { step_us, ..endpoint.load };
    Endpoint { load, ..endpoint }
}

fn observed(endpoint: &str, elapsed_us: u64) -> Event {
    Event::Observed(vec![Observation { endpoint: EndpointId::new(endpoint, 1), positions: 1, elapsed_us }])
}

/// Places requests with different prompts, one at a time, and returns how many use the endpoint.
fn placements_on<B: Balance>(routing: &mut Routing<B>, now_us: u64, endpoint: &str, count: u128) -> usize {
    let wanted = EndpointId::new(endpoint, 1);
    let used = |number| {
        let submission = generation(number, &format!("prompt {number} at {now_us}"), &configuration(1, &[]));
        let actions = send(routing, now_us, Event::Place(submission));
        send(routing, now_us, Event::Finished(RequestId(number)));
        endpoints_of(&actions).expect("a route").contains(&wanted)
    };
    (1_000..1_000 + count).map(used).filter(|used| *used).count()
}

/// Guards against choosing the chain with the fewest stages although a longer one is faster.
#[test]
fn a_chain_of_fast_engines_is_preferred_to_one_slow_engine() {
    let mut routing = routing(1);
    let whole = with_step(engine("whole", 0, 8), 9_000);
    send(&mut routing, NOW_US, table(vec![whole, engine("front", 0, 3), engine("back", 3, 8)]));
    let actions = send(&mut routing, NOW_US, Event::Place(generation(1, "p", &configuration(1, &[]))));
    assert_snapshot!(lines(&actions));
}

/// Guards against routes with a gap, an overlap or another version of the model.
#[test]
fn ranges_that_do_not_fit_give_no_route() {
    let other_version =
        Role::Engine { model: "m".into(), version: ModelVersion(2), layers: LayerRange::new(4, 8) };
    let back = Endpoint { role: other_version, ..engine("back", 4, 8) };
    let tables = [
        vec![],
        vec![engine("a", 0, 3), engine("b", 4, 8)],
        vec![engine("a", 0, 5), engine("b", 4, 8)],
        vec![engine("a", 0, 4), engine("b", 4, 9)],
        vec![engine("a", 0, 4), back],
        vec![engine("a", 0, 4), with_health(engine("b", 4, 8), Health::Leaving)],
    ];
    let place = |endpoints| {
        let mut routing = routing(1);
        send(&mut routing, NOW_US, table(endpoints));
        lines(&send(&mut routing, NOW_US, Event::Place(generation(1, "p", &configuration(1, &[])))))
    };
    let results: Vec<String> = tables.map(place).into();
    assert_snapshot!(results.join("\n"));
}

/// Guards against new work on drained, leaving and suspected endpoints.
#[test]
fn new_work_avoids_drained_leaving_and_suspected_endpoints() {
    let mut routing = routing(1);
    let endpoints = vec![
        engine("drained", 0, 8),
        with_health(engine("leaving", 0, 8), Health::Leaving),
        engine("live", 0, 8),
        with_health(engine("suspected", 0, 8), Health::Suspected),
    ];
    send(&mut routing, NOW_US, table(endpoints));
    send(&mut routing, NOW_US, Event::Configured(configuration(2, &["drained"])));
    // The requests were admitted under an older configuration; the newest one decides what is drained.
    assert_eq!(placements_on(&mut routing, NOW_US, "live", 50), 50);
    let endpoints = vec![engine("drained", 0, 8), with_health(engine("suspected", 0, 8), Health::Suspected)];
    send(&mut routing, NOW_US, table(endpoints));
    assert_eq!(placements_on(&mut routing, NOW_US, "suspected", 50), 50);
}

/// Guards against a substitute that the request has already failed on while another is available, and against
/// returning no substitute while a replica is live.
#[test]
fn a_stage_moves_to_replicas_that_have_not_failed() {
    let mut routing = routing(3);
    let endpoints = vec![engine("a", 0, 4), engine("b", 0, 4), engine("c", 0, 4), engine("z", 4, 8)];
    send(&mut routing, NOW_US, table(endpoints.clone()));
    let mut actions = send(&mut routing, NOW_US, Event::Place(generation(1, "p", &configuration(1, &[]))));
    for _ in 0..4 {
        let failed = endpoints_of(&actions).expect("an endpoint")[0].instance.to_string();
        actions = send(&mut routing, NOW_US, reroute(1, Need::Stage { stage: 0 }, &failed));
    }
    // After three failures, the request has failed on all replicas, so one of them is chosen again.
    let reroute_result = |endpoints, need| {
        let mut routing = super::fixtures::routing(3);
        send(&mut routing, NOW_US, table(vec![engine("a", 0, 8)]));
        send(&mut routing, NOW_US, Event::Place(generation(1, "p", &configuration(1, &[]))));
        send(&mut routing, NOW_US, table(endpoints));
        lines(&send(&mut routing, NOW_US, reroute(1, need, "a")))
    };
    let stage = Need::Stage { stage: 0 };
    let results = [
        lines(&actions),
        reroute_result(vec![engine("a", 0, 8)], stage),
        reroute_result(vec![with_health(engine("a", 0, 8), Health::Suspected)], stage),
        reroute_result(vec![with_health(engine("a", 0, 8), Health::Leaving)], stage),
        reroute_result(vec![with_health(engine("a", 0, 8), Health::Leaving)], Need::Route),
        reroute_result(vec![engine("a", 0, 8), engine("b", 0, 4), engine("c", 4, 8)], Need::Route),
        reroute_result(vec![], Need::Route),
    ];
    assert_snapshot!(results.join("\n"));
}

/// Guards against moving the requests of a failing zone to other endpoints of the same zone.
#[test]
fn substitutes_come_from_another_zone_after_two_failures() {
    let mut routing = routing(1);
    let near = ["a", "b", "c", "d"].map(|name| engine(name, 0, 8));
    let mut endpoints: Vec<Endpoint> = near.into();
    endpoints.push(with_zone(engine("far", 0, 8), "z2"));
    send(&mut routing, NOW_US, table(endpoints));
    for request in 1..=20 {
        send(&mut routing, NOW_US, Event::Place(generation(request, "", &configuration(1, &[]))));
    }
    send(&mut routing, NOW_US, reroute(1, Need::Stage { stage: 0 }, "a"));
    let substitutes = (2..=20).map(|request| {
        let actions = send(&mut routing, NOW_US, reroute(request, Need::Stage { stage: 0 }, "b"));
        endpoints_of(&actions).expect("a substitute")[0].clone()
    });
    let in_other_zone = substitutes.filter(|endpoint| *endpoint == EndpointId::new("far", 1)).count();
    assert_eq!(in_other_zone, 19, "substitutes in the other zone, of 19");
}

/// Guards against one substitute that gets all requests of a failed endpoint.
#[test]
fn substitutes_are_spread_evenly_over_the_other_replicas() {
    let mut routing = routing(1);
    let names = ["a", "b", "c", "d"];
    send(&mut routing, NOW_US, table(names.map(|name| engine(name, 0, 8)).into()));
    for request in 1..=120 {
        let submission = generation(request, &format!("{request}"), &configuration(1, &[]));
        send(&mut routing, NOW_US, Event::Place(submission));
    }
    let mut counts = [0; 4];
    for request in 1..=120 {
        let actions = send(&mut routing, NOW_US, reroute(request, Need::Stage { stage: 0 }, "a"));
        let substitute = &endpoints_of(&actions).expect("a substitute")[0];
        counts[names.iter().position(|name| substitute.instance.as_str() == *name).expect("known")] += 1;
    }
    assert_eq!(counts[0], 0);
    assert!(
        counts[1..].iter().all(|count| (30..=50).contains(count)),
        "substitutes by endpoint: {counts:?}, expected 30 to 50 on each but the first"
    );
}

/// Guards against prefix affinity that overloads the endpoint that holds a popular prefix.
#[test]
fn prefix_holder_is_preferred_until_it_is_loaded() {
    let mut routing = routing(1);
    let names = ["a", "b", "c", "d", "e", "f"];
    send(&mut routing, NOW_US, table(names.map(|name| engine(name, 0, 8)).into()));
    let prompt = "x".repeat(256_000);
    let mut chosen = Vec::new();
    for request in 1..=40 {
        let submission = generation(request, &prompt, &configuration(1, &[]));
        chosen.push(endpoints_of(&send(&mut routing, NOW_US, Event::Place(submission))).expect("a route"));
    }
    assert_eq!(chosen[1], chosen[0], "the second request does not use the cached prefix");
    let counts = names.iter().map(|name| {
        let id = EndpointId::new(*name, 1);
        chosen.iter().filter(|endpoints| endpoints[0] == id).count()
    });
    assert!(counts.max() <= Some(12), "an endpoint got more than 12 of 40 requests");
}

/// Guards against a new endpoint that gets its full share before it has warmed up.
#[test]
fn new_endpoint_gets_less_work_during_slow_start() {
    let mut routing = routing(1);
    let new_endpoint = Endpoint { joined_us: NOW_US, ..engine("new", 0, 8) };
    send(&mut routing, NOW_US, table(vec![engine("a", 0, 8), engine("b", 0, 8), new_endpoint]));
    let first = placements_on(&mut routing, NOW_US + 100_000, "new", 300);
    let later = placements_on(&mut routing, NOW_US + 6_000_000, "new", 300);
    assert!(
        first <= 15,
        "{first} of 300 placements on the new endpoint during slow start, expected at most 15"
    );
    assert!((70..=130).contains(&later), "{later} of 300 placements after slow start, expected 70 to 130");
}

/// Guards against using an endpoint behind a slow link, which load reports do not show, and against never
/// trying it again.
#[test]
fn endpoint_with_a_slow_link_is_avoided_and_tried_again_later() {
    let mut routing = routing(1);
    send(&mut routing, NOW_US, table(vec![engine("a", 0, 8), engine("b", 0, 8), engine("c", 0, 8)]));
    for endpoint in ["a", "b"] {
        send(&mut routing, NOW_US, observed(endpoint, 1_500));
    }
    send(&mut routing, NOW_US, observed("c", 30_000));
    assert_eq!(placements_on(&mut routing, NOW_US, "c", 300), 0);
    assert!(placements_on(&mut routing, NOW_US + 20_000_000, "c", 300) > 20);
}

/// Guards against sending all requests to the endpoint whose old report shows no load.
#[test]
fn own_work_is_added_to_the_load_of_an_old_report() {
    let mut routing = routing(1);
    let busy = |name| {
        let mut endpoint = engine(name, 0, 8);
        endpoint.load.taken_us = NOW_US - 1_000;
        endpoint.load.running = 4;
        endpoint
    };
    let mut idle = engine("idle", 0, 8);
    idle.load.taken_us = NOW_US - 1_000;
    send(&mut routing, NOW_US, table(vec![busy("a"), busy("b"), idle]));
    let place = |request| {
        let submission = generation(request, &format!("{request}"), &configuration(1, &[]));
        endpoints_of(&send(&mut routing, NOW_US, Event::Place(submission))).expect("a route")
    };
    let chosen: Vec<Vec<EndpointId>> = (1..=60).map(place).collect();
    let idle = EndpointId::new("idle", 1);
    let count = chosen.iter().filter(|endpoints| endpoints[0] == idle).count();
    assert!((20..=35).contains(&count), "{count} of 60 requests on the idle endpoint, expected 20 to 35");
}

/// Guards against calls that are placed on engines, and against calls that get no substitute.
#[test]
fn a_call_moves_to_another_endpoint_of_the_service() {
    let mut routing = routing(1);
    send(&mut routing, NOW_US, table(vec![engine("e", 0, 8), service("s1"), service("s2")]));
    let mut actions = send(&mut routing, NOW_US, Event::Place(call(1, &configuration(1, &[]))));
    actions.extend(send(&mut routing, NOW_US, reroute(1, Need::Service, "s1")));
    actions.extend(send(&mut routing, NOW_US, reroute(1, Need::Service, "s2")));
    assert_snapshot!(lines(&actions));
}

/// Guards against capacity reports without a relevant change, and against a timer that stays set without
/// events.
#[test]
fn capacity_is_reported_when_it_changes() {
    let mut routing = routing(1);
    let mut text = Vec::new();
    send(&mut routing, NOW_US, Event::Configured(configuration(1, &[])));
    let halves = vec![engine("a", 0, 4), engine("b", 4, 8), engine("c", 4, 8)];
    send(&mut routing, NOW_US, table(halves.clone()));
    for (step, elapsed_us) in [1_000, 1_010, 1_000, 9_000].into_iter().enumerate() {
        let now_us = NOW_US + step as u64 * 100_000;
        for endpoint in ["a", "b", "c"] {
            send(&mut routing, now_us, observed(endpoint, elapsed_us));
        }
        assert!(routing.next_timer_us().is_some_and(|due_us| due_us <= now_us));
        let mut actions = Vec::new();
        routing.on_timer(now_us, &mut actions);
        text.push(format!("{step}: {}", lines(&actions)));
        assert_eq!(
            routing.next_timer_us(),
            None,
            "the timer is set although nothing happened since the report"
        );
    }
    assert_snapshot!(text.join("\n"));
}

/// Guards against own work that stays counted after a cancelled request has ended, and against losing the
/// counts of an endpoint that left the table.
#[test]
fn own_work_is_counted_until_its_request_ends() {
    let mut routing = routing(1);
    send(&mut routing, NOW_US, table(vec![engine("a", 0, 8)]));
    send(&mut routing, NOW_US, Event::Place(generation(1, "p", &configuration(1, &[]))));
    send(&mut routing, NOW_US, Event::Place(generation(2, "p", &configuration(1, &[]))));
    assert_eq!(routing.totals(), (2, 2));
    let actions = send(&mut routing, NOW_US, Event::Cancel(RequestId(1)));
    assert!(matches!(actions[..], [Action::Cancel(RequestId(1))]));
    send(&mut routing, NOW_US, table(vec![engine("b", 0, 8)]));
    assert_eq!(routing.totals(), (2, 2));
    send(&mut routing, NOW_US, Event::Finished(RequestId(1)));
    send(&mut routing, NOW_US, Event::Finished(RequestId(1)));
    assert_eq!(routing.totals(), (1, 1));
    send(&mut routing, NOW_US, reroute(2, Need::Route, "a"));
    assert_eq!(routing.totals(), (1, 1));
    send(&mut routing, NOW_US, Event::Finished(RequestId(2)));
    assert_eq!(routing.totals(), (0, 0));
}
