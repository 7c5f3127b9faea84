//! Tests of retries, refusals and readiness. A request must not run more often than its route allows, and a
//! refusal must not promise that a request did not run when it may have run.

use std::sync::Arc;

use super::fixtures::{World, address, configuration, endpoints, request};
use crate::gateway::dispatch::{
    BrokenBy, CrashFindings, Ending, EndpointsProof, Event, PeerState, ProbeResult, Proof, RefusalReason,
};
use crate::gateway::{EngineReport, StorePosition};

/// Ends the first send and all further ones with each ending in turn, for each kind of route.
#[test]
fn each_ending_leads_to_a_retry_or_the_matching_answer() {
    let endings = [
        Ending::Completed { first_ms: 5 },
        Ending::NotRun { status: 503, fault_at: None },
        Ending::NotRun { status: 421, fault_at: None },
        Ending::Unsent,
        Ending::Outdated,
        Ending::Delayed,
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

/// A gateway that is cut off from the store must not accept a key that may have been revoked.
#[test]
fn keys_are_accepted_only_with_a_fresh_proof() {
    let mut world = World::new();
    world.wait_ms(4_990);
    world.submit("/call/x");
    let valid_until_us = world.last_order.as_ref().map(|order| order.valid_until_us);
    assert_eq!(valid_until_us, Some(1_000_000 + 5_000_000), "the order must expire together with the proof");
    world.wait_ms(10);
    world.submit("/call/x");
    world.submit("/unknown");
    world.submit_request(crate::gateway::RequestInfo { key: Some("wrong".into()), ..request("/call/x") });
    world.event(Event::ConfigurationProof(Proof { version: 5, at_us: 5_500_000 }));
    world.submit("/call/x");
    world.submit("/unknown");
    world.submit_request(crate::gateway::RequestInfo { key: Some("wrong".into()), ..request("/call/x") });
    world.submit_request(crate::gateway::RequestInfo { key: None, ..request("/call/x") });
    insta::assert_snapshot!(world.text());
}

#[test]
fn an_older_configuration_is_ignored() {
    let mut world = World::new();
    let mut older = configuration(4);
    older.routes.clear();
    world.event(Event::Configuration(Arc::new(older)));
    world.submit("/call/x");
    let mut newer = configuration(6);
    newer.routes.clear();
    world.event(Event::Configuration(Arc::new(newer)));
    world.event(Event::ConfigurationProof(Proof { version: 6, at_us: world.now_us }));
    world.submit("/call/x");
    insta::assert_snapshot!(world.text());
}

/// A stream that was admitted under an earlier configuration is continued on the engines of its service, also when a newer
/// configuration has no route to the service any more. It was cut instead.
#[test]
fn a_configuration_without_its_service_does_not_cut_a_running_stream() {
    let mut world = World::new();
    let ticket = world.submit("/write/x");
    let mut moved = configuration(6);
    moved.services.retain(|service| service.pipeline.is_none());
    moved.routes.iter_mut().for_each(|route| route.targets = configuration(6).routes[0].targets.clone());
    world.event(Event::Configuration(Arc::new(moved)));
    world.event(Event::ConfigurationProof(Proof { version: 6, at_us: world.now_us }));
    world.end(ticket, Ending::Broken { by: BrokenBy::Connection });
    world.submit("/write/y");
    insta::assert_snapshot!(world.text());
}

/// A request that crashes every endpoint it reaches must not be sent to a fourth one.
#[test]
fn a_request_that_crashes_endpoints_is_quarantined() {
    let mut world = World::new();
    for born_ms in [2, 3] {
        let ticket = world.submit("/read/x");
        world.end(ticket, Ending::Broken { by: BrokenBy::Connection });
        world.end(ticket, Ending::Broken { by: BrokenBy::Connection });
        world.restart_endpoints(born_ms);
    }
    world.submit("/read/x");
    insta::assert_snapshot!(world.text());
}

/// From the lines alone an operator can tell whether a crash was counted, why, and what a gateway knew when it sent the
/// request again. None of this was logged for whole requests.
#[test]
fn the_log_tells_which_crashes_a_gateway_knows() {
    let mut world = World::new();
    let ticket = world.submit("/write/x");
    world.end(ticket, Ending::Broken { by: BrokenBy::Connection });
    world.event(Event::Report { address: address(11), report: None });
    world.end(ticket, Ending::Broken { by: BrokenBy::Connection });
    world.restart_endpoints(2);
    world.hear_of_crashes(7, &[21], 0);
    world.submit("/write/x");
    insta::assert_snapshot!(world.decisions.join("\n"));
}

/// While the store is away, no entry names the new start of an endpoint. Its crashes counted as one then.
#[test]
fn crashes_between_which_no_entry_names_a_new_start_count_each() {
    let mut world = World::with_small_model(1);
    for _ in 0..4 {
        let ticket = world.submit("/write/x");
        world.end(ticket, Ending::Broken { by: BrokenBy::Connection });
        world.event(Event::Report { address: address(11), report: None });
        world.end(ticket, Ending::Left);
        world.wait_ms(4_000);
        world.confirm_configuration();
    }
    insta::assert_snapshot!(world.text());
}

/// Replicas of a plain service give no reports. Their crashes were counted only when their entries had expired, some seconds
/// later, and until then the request was sent to further ones.
#[test]
fn a_crash_of_a_replica_is_counted_before_its_entry_expires() {
    let mut world = World::new();
    for round in 0..4 {
        let ticket = world.submit("/read/x");
        for _ in 0..2 {
            let Some(order) = world.last_order.take() else { continue };
            world.end(ticket, Ending::Broken { by: BrokenBy::Connection });
            // The replica that this round began with runs on.
            world.event(Event::Probed {
                address: order.address,
                result: if round > 0 { ProbeResult::Refused } else { ProbeResult::Unanswered },
            });
        }
        world.wait_ms(1_000);
        world.confirm_configuration();
    }
    insta::assert_snapshot!(world.text());
}

/// An endpoint may answer with an error or garbage, or say nothing, before it ends under a request.
#[test]
fn a_crash_counts_however_the_send_ended() {
    let endings = [
        Ending::Broken { by: BrokenBy::Connection },
        Ending::Broken { by: BrokenBy::Garbled },
        Ending::Broken { by: BrokenBy::Silence },
        Ending::Failed { status: 500 },
    ];
    let mut counted = Vec::new();
    for ending in endings {
        let mut world = World::with_small_model(2);
        for born_ms in 2..5 {
            let ticket = world.submit("/write/x");
            world.end(ticket, ending);
            world.end(ticket, Ending::Left);
            world.restart_engines(2, born_ms);
        }
        world.submit("/write/x");
        counted.push((ending, world.last_refusal.map(|refusal| refusal.reason)));
    }
    let is_refused = |(_, reason): &(Ending, _)| *reason == Some(RefusalReason::Quarantined);
    assert!(counted.iter().all(is_refused), "{counted:?}");
}

/// A reset of the connections of endpoints that keep running does not show that a request crashes endpoints. Seed 25 of
/// the soak found every gateway refusing equal requests for a minute after some resets.
#[test]
fn resets_of_connections_quarantine_no_request() {
    let mut world = World::new();
    for _ in 0..4 {
        let ticket = world.submit("/read/x");
        world.end(ticket, Ending::Broken { by: BrokenBy::Connection });
        world.end(ticket, Ending::Broken { by: BrokenBy::Connection });
    }
    world.submit("/read/x");
    let published = world.publish_state();
    assert!(!world.text().contains("503"), "a request was refused after resets: {}", world.text());
    assert_eq!(
        published.crash_findings,
        CrashFindings::default(),
        "breaks of endpoints that run were published"
    );
}

/// Two gateways that each sent equal requests to an engine that then crashed counted the crash four times, and refused the
/// sound request for a minute (seed 35 of the soak's run of planned work).
#[test]
fn sends_that_end_with_the_same_crash_count_once() {
    let mut world = World::new();
    let tickets = [world.submit("/write/x"), world.submit("/write/x")];
    for ticket in tickets {
        world.end(ticket, Ending::Broken { by: BrokenBy::Connection });
    }
    world.event(Event::Report { address: address(11), report: None });
    world.hear_of_crashes(7, &[11, 11], 0);
    let reported = world.publish_state().crash_findings.crashes;
    let reported: Vec<_> = reported.iter().map(|crash| (crash.address, crash.features.len())).collect();
    assert_eq!(reported, [(address(11), 1)]);
    world.submit("/write/x");
    assert!(!world.text().contains("3: 503"), "refused after one crash: {}", world.text());
}

/// Gateways repeat the crashes that they know in each message. A repetition must not prolong the quarantine.
#[test]
fn a_repeated_report_of_breaks_does_not_prolong_the_quarantine() {
    let mut world = World::new();
    for round in 0..4 {
        world.hear_of_crashes(7, &[1, 2, 3], round * 20_000);
        world.publish_state();
        world.wait_ms(19_700);
        world.confirm_configuration();
    }
    world.submit("/read/x");
    assert!(world.text().contains("send to"), "refused 80 s after the first report: {}", world.text());
}

/// After a stall the first engine of the path reports which engine is stalled; new paths must avoid that
/// engine.
#[test]
fn paths_avoid_an_engine_that_is_reported_as_stalled() {
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

/// If a gateway published the exclusions that it learned from others, gateways would renew each other's
/// exclusions forever. In a benchmark this refused every request for eight seconds after one engine had
/// crashed.
#[test]
fn an_exclusion_reported_by_another_gateway_is_not_published() {
    let mut world = World::new();
    let state = PeerState { instance: "other".to_owned(), down: vec![address(1)], ..PeerState::default() };
    world.event(Event::Peer { state: Box::new(state), known: 2, zone_known: 1 });
    world.run_timers();
    world.submit("/call/x");
    let published = world.publish_state();
    assert_eq!((world.lines.len(), published.down), (1, vec![]), "actions: {}", world.text());
    assert!(
        world.text().contains("desk-2"),
        "desk-1 is excluded, but desk-2 was not chosen: {}",
        world.text()
    );
}

/// A gateway that has a configuration but no endpoints yet would refuse every request. The process test of
/// store failures found a gateway that was ready too early.
#[test]
fn a_gateway_is_ready_only_when_it_knows_the_endpoints() {
    let mut world = World::unconfigured();
    world.event(Event::Configuration(Arc::new(configuration(5))));
    world.confirm_configuration();
    let before = world.text();
    world.event(Event::EndpointsProof(EndpointsProof {
        position: StorePosition::new(0, 1),
        at_us: world.now_us,
    }));
    assert_eq!((before.as_str(), world.text().as_str()), ("", "ready true"));
}

/// A gateway that took requests from its start on sent those that were known to crash endpoints. If no other one answers,
/// it takes requests after the time for discovery.
#[test]
fn a_starting_gateway_is_ready_when_it_has_heard_of_the_others() {
    let started = || {
        let mut world = World::unconfigured();
        world.configure(|settings| settings.expects_peers = true);
        world.publish_state();
        world.event(Event::Configuration(Arc::new(configuration(5))));
        world.event(Event::Endpoints(endpoints().into()));
        world.event(Event::EndpointsProof(EndpointsProof {
            position: StorePosition::new(0, 1),
            at_us: world.now_us,
        }));
        world.confirm_configuration();
        world
    };
    let mut hearing = started();
    hearing.hear_of_crashes(7, &[1, 2, 3], 20);
    hearing.submit("/read/x");
    let mut alone = started();
    for _ in 0..3 {
        alone.publish_state();
    }
    assert_eq!(alone.text(), "", "0.9 s after the start");
    alone.publish_state();
    let [hearing, alone] = [hearing, alone].map(|world| world.text());
    insta::assert_snapshot!(format!(
        "another gateway answers\n{hearing}\n\nnone answers within a second\n{alone}"
    ));
}

/// A caller that is refused because of an outdated configuration may retry at once if another gateway may
/// have a newer one. It must wait if all gateways have the same version, because the store is then
/// unavailable to all of them. A wait of half a second in both cases made every such answer late.
#[test]
fn an_outdated_gateway_allows_an_early_retry_when_another_may_be_ahead() {
    let retry_after_ms = |version: Option<u64>| {
        let mut world = World::new();
        world.wait_ms(6_000);
        if let Some(version) = version {
            let state = PeerState { instance: "other".to_owned(), version, ..PeerState::default() };
            world.event(Event::Peer { state: Box::new(state), known: 2, zone_known: 1 });
        }
        world.submit("/call/x");
        world.last_refusal.map(|refusal| refusal.retry_after_ms)
    };
    let waits = [None, Some(5), Some(6)].map(retry_after_ms);
    assert_eq!(waits, [Some(Some(20)), Some(Some(500)), Some(Some(20))]);
}

/// A stream whose next event is late ends only if a report shows that its path has stalled. Under load first events took
/// longer than the limit of 1 s, and gateways cut sound streams, whose prompts were then read again elsewhere.
#[test]
fn a_late_stream_ends_only_by_evidence_of_its_path() {
    let report = |stalled| EngineReport { pace: 1.0, stalled, ..EngineReport::default() };
    let cases = [
        ("a sound path", Some(report(vec![]))),
        ("another path has stalled", Some(report(vec![address(15)]))),
        ("the path has stalled", Some(report(vec![address(12), address(12)]))),
        ("no report", None),
    ];
    let mut text = String::new();
    for (name, report) in cases {
        let mut world = World::new();
        let first = world.submit("/write/x");
        let second = world.submit("/write/x");
        world.event(Event::Waiting { ticket: first, report: 1, silent_ms: 600 });
        world.event(Event::Waiting { ticket: second, report: 1, silent_ms: 600 });
        world.event(Event::Report { address: address(11), report: report.clone() });
        world.event(Event::Waiting { ticket: first, report: 1, silent_ms: 600 });
        text.push_str(&format!("{name}\n  {}\n", world.lines.join("\n  ")));
    }
    insta::assert_snapshot!(text);
}

/// A report that arrives after a send has ended must not end the next send of the request.
#[test]
fn a_late_report_does_not_end_the_next_send() {
    let mut world = World::new();
    let ticket = world.submit("/write/x");
    world.event(Event::Waiting { ticket, report: 1, silent_ms: 600 });
    world.end(ticket, Ending::Broken { by: BrokenBy::Connection });
    world.event(Event::Report { address: address(11), report: None });
    assert!(!world.text().contains("abandon"), "{}", world.text());
}

/// Engines reject requests for lack of memory within milliseconds or after they waited for some, and for another engine that
/// is dead after about two seconds. When all were excluded alike and told to others, the chains of full engines stood idle in
/// turn.
#[test]
fn an_engine_without_room_is_not_reported_as_down() {
    let rejected = Ending::NotRun { status: 503, fault_at: Some(address(12)) };
    let down_after = |ms, reports: &[Option<EngineReport>]| {
        let mut world = World::new();
        let ticket = world.submit("/write/x");
        world.wait_ms(ms);
        world.end(ticket, rejected);
        for report in reports {
            assert_eq!(world.inspected, [address(12)]);
            world.event(Event::Report { address: address(12), report: report.clone() });
        }
        let avoids = world
            .last_order
            .as_ref()
            .is_some_and(|order| order.forwarding_info.path.iter().all(|(engine, _)| *engine != address(12)));
        (avoids, world.publish_state().down)
    };
    let cases = [
        down_after(5, &[]),
        down_after(950, &[]),
        down_after(950, &[Some(EngineReport::default())]),
        down_after(950, &[None]),
    ];
    assert_eq!(cases, [(true, vec![]), (true, vec![]), (true, vec![]), (true, vec![address(12)])]);
}
