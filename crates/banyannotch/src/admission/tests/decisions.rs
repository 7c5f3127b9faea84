//! Decisions in single scenarios.

use std::fmt::Write;

use insta::assert_snapshot;

use super::fixtures::{Harness, TOKEN_US, TestRequest, configuration, preset};
use crate::admission::{Capacity, Destination, Event};
use crate::ids::RequestId;
use crate::request::NotRun;

/// Describes what has happened to a request so far.
fn status(harness: &Harness, request: RequestId) -> String {
    match (harness.placed_us.get(&request), harness.refused.get(&request)) {
        (Some(at_us), None) => format!("placed after {} us", at_us - harness.arrived_us[&request]),
        (None, Some((at_us, reason))) => {
            format!("refused after {} us: {reason}", at_us - harness.arrived_us[&request])
        }
        (None, None) => "waits".to_owned(),
        (Some(_), Some(_)) => "placed and refused".to_owned(),
    }
}

/// Completes one request, so that admission has measured that answers use their whole token limit and that
/// the times that routing reports are right.
fn complete_one_request(harness: &mut Harness) {
    harness.submit(TestRequest::default());
    harness.run_until(harness.now_us + 10 * TOKEN_US);
}

/// Guards against queueing requests that cannot finish in time, and against refusing requests that can.
#[test]
fn requests_predicted_to_miss_their_deadline_are_refused() {
    let mut text = String::new();
    let situations = [
        ("free, ample time", 0, 10, 100),
        ("free, too little time", 0, 10, 5),
        ("free, deadline passed", 0, 10, 0),
        ("one ahead, ample time", 2, 10, 100),
        ("four ahead, ample time", 5, 10, 100),
        ("four ahead, time for three", 5, 10, 45),
        ("four ahead, short request", 5, 1, 55),
    ];
    for (name, before, tokens, time_tokens) in situations {
        let configuration = configuration(&[("a", 1)], preset(8, 100));
        let mut harness = Harness::new(&configuration, 1);
        complete_one_request(&mut harness);
        for _ in 0..before {
            harness.submit(TestRequest::default());
        }
        let deadline_us = harness.now_us + time_tokens * TOKEN_US;
        let request = harness.submit(TestRequest { tokens, deadline_us, ..TestRequest::default() });
        let initial_status = status(&harness, request);
        harness.run_until(u64::MAX / 4);
        writeln!(text, "{name}: {initial_status}; {}", status(&harness, request)).expect("written");
    }
    assert_snapshot!(text);
}

/// Guards against requests that stay in the queue although they can no longer finish in time.
#[test]
fn waiting_request_is_refused_when_it_can_no_longer_finish_in_time() {
    let configuration = configuration(&[("a", 1)], preset(8, 100));
    let mut harness = Harness::new(&configuration, 1);
    complete_one_request(&mut harness);
    harness.submit(TestRequest::default());
    let waiting =
        harness.submit(TestRequest { deadline_us: harness.now_us + 50 * TOKEN_US, ..TestRequest::default() });
    // The next request takes 100 times as long as predicted.
    let start_us = harness.now_us;
    harness.slowdown = 100;
    harness.submit(TestRequest { priority: 9, ..TestRequest::default() });
    harness.run_until(start_us + 11 * TOKEN_US);
    assert_eq!(status(&harness, waiting), "waits");
    harness.run_until(start_us + 48 * TOKEN_US);
    let (at_us, reason) = harness.refused[&waiting];
    assert_eq!(reason, NotRun::Deadline);
    let latest_start_us = start_us + 50 * TOKEN_US - 11 * TOKEN_US;
    assert!(
        (latest_start_us..=latest_start_us + 2).contains(&at_us),
        "refused {} us after the latest start time, expected at most 2",
        at_us - latest_start_us
    );
}

/// Guards against an unlimited queue, and against one team that fills the queue for all teams.
#[test]
fn queues_are_limited_for_each_team_and_in_total() {
    let configuration = configuration(&[("a", 1), ("b", 1), ("c", 1), ("d", 1)], preset(1, 150));
    let mut harness = Harness::new(&configuration, 1);
    let mut text = String::new();
    for team in ["a", "b", "c", "d", "a"] {
        let requests: Vec<RequestId> =
            (0..300).map(|_| harness.submit(TestRequest { team, ..TestRequest::default() })).collect();
        let refused = requests.iter().filter(|request| harness.refused.contains_key(request)).count();
        let waiting = harness.admission.counts().1;
        writeln!(text, "{team}: {refused} of 300 refused, {waiting} wait").expect("written");
    }
    assert!(harness.refused.values().all(|(_, reason)| *reason == NotRun::QueueFull));
    assert_snapshot!(text);
}

/// Guards against urgent requests that wait behind others of the same team, and against priorities that give
/// a team an advantage over other teams.
#[test]
fn priorities_apply_only_within_a_team() {
    let configuration = configuration(&[("a", 1), ("b", 1)], preset(8, 100));
    let mut harness = Harness::new(&configuration, 1);
    complete_one_request(&mut harness);
    let mut requests = Vec::new();
    for (team, priority) in [("a", 0), ("a", 0), ("a", 9), ("a", 5), ("b", 0), ("b", 0)] {
        let name = format!("{team}{priority}");
        requests.push((name, harness.submit(TestRequest { team, priority, ..TestRequest::default() })));
    }
    harness.run_until(u64::MAX / 4);
    requests.sort_by_key(|(_, request)| harness.placed_us[request]);
    let order: Vec<String> = requests.into_iter().map(|(name, _)| name).collect();
    assert_snapshot!(order.join(" "));
}

/// Guards against calls that wait for generations, and the reverse.
#[test]
fn calls_and_generations_do_not_block_each_other() {
    let configuration = configuration(&[("a", 1)], preset(4, 100));
    let mut harness = Harness::new(&configuration, 100);
    let generations: Vec<RequestId> = (0..6).map(|_| harness.submit(TestRequest::default())).collect();
    let calls: Vec<RequestId> =
        (0..6).map(|_| harness.submit(TestRequest { call: true, ..TestRequest::default() })).collect();
    let placed = |requests: &[RequestId]| {
        requests.iter().filter(|request| harness.placed_us.contains_key(request)).count()
    };
    assert_eq!((placed(&generations), placed(&calls)), (4, 4));
}

/// Guards against requests that wait for endpoints that do not exist, although routing would answer them at
/// once.
#[test]
fn without_endpoints_requests_are_passed_to_routing_one_at_a_time() {
    let configuration = configuration(&[("a", 1)], preset(4, 100));
    let mut harness = Harness::new(&configuration, 0);
    let first = harness.submit(TestRequest::default());
    let second = harness.submit(TestRequest::default());
    assert_eq!(
        (status(&harness, first), status(&harness, second)),
        ("placed after 0 us".into(), "waits".into())
    );
    harness.run_until(u64::MAX / 4);
    assert!(harness.placed_us.contains_key(&second));
}

/// Guards against placing a waiting request after its caller disconnected.
#[test]
fn cancelled_request_is_removed_from_the_queue() {
    let configuration = configuration(&[("a", 1)], preset(4, 100));
    let mut harness = Harness::new(&configuration, 1);
    harness.submit(TestRequest::default());
    let waiting = harness.submit(TestRequest::default());
    harness.send(Event::Cancel(waiting));
    harness.send(Event::Cancel(waiting));
    assert_eq!(harness.refused[&waiting].1, NotRun::Cancelled);
    harness.run_until(u64::MAX / 4);
    assert_eq!(harness.admission.counts(), (0, 0));
}

/// Guards against running requests late that were queued when routing reported shorter times.
#[test]
fn waiting_request_is_refused_when_the_reported_times_rise() {
    let configuration = configuration(&[("a", 1)], preset(4, 100));
    let mut harness = Harness::new(&configuration, 1);
    complete_one_request(&mut harness);
    harness.submit(TestRequest::default());
    let waiting =
        harness.submit(TestRequest { deadline_us: harness.now_us + 40 * TOKEN_US, ..TestRequest::default() });
    assert_eq!(status(&harness, waiting), "waits");
    let destination = Destination::Model("m".into());
    let capacity = Capacity { destination, token_us: 5 * TOKEN_US, position_us: 10, slots: 1 };
    harness.send(Event::Capacity(vec![capacity]));
    assert_eq!(status(&harness, waiting), "refused after 0 us: deadline");
}

/// Guards against placing requests by the prediction at their arrival although the model has become slower.
#[test]
fn waiting_request_is_refused_if_it_is_predicted_late_at_its_turn() {
    let configuration = configuration(&[("a", 1)], preset(4, 100));
    let mut harness = Harness::new(&configuration, 1);
    complete_one_request(&mut harness);
    harness.slowdown = 4;
    harness.submit(TestRequest::default());
    // The slow request ends 12 token times before the deadline. At arrival the prediction was 11 token times
    // with the margin; after the slow request it is 14.
    let waiting =
        harness.submit(TestRequest { deadline_us: harness.now_us + 52 * TOKEN_US, ..TestRequest::default() });
    harness.run_until(u64::MAX / 4);
    assert_eq!(status(&harness, waiting), "refused after 40000 us: deadline");
}
