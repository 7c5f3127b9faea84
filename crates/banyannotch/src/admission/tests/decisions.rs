//! Decisions in named situations.

use std::fmt::Write;

use insta::assert_snapshot;

use super::fixtures::{Ask, Bench, TOKEN_US, configuration, preset};
use crate::admission::{Capacity, Destination, Event};
use crate::ids::RequestId;
use crate::request::NotRun;

fn fate(bench: &Bench, request: RequestId) -> String {
    match (bench.placed_us.get(&request), bench.refused.get(&request)) {
        (Some(at_us), None) => format!("placed after {} us", at_us - bench.arrived_us[&request]),
        (None, Some((at_us, reason))) => {
            format!("refused after {} us: {reason}", at_us - bench.arrived_us[&request])
        }
        (None, None) => "waits".to_owned(),
        (Some(_), Some(_)) => "placed and refused".to_owned(),
    }
}

/// Teaches admission that answers use their whole limit and that routing's figures are right.
fn learn(bench: &mut Bench) {
    bench.submit(Ask::default());
    bench.run_until(bench.now_us + 10 * TOKEN_US);
}

/// Guards against late answers that could have been refused early, and against refusals without a reason.
#[test]
fn predicted_finish_is_compared_with_the_deadline() {
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
        let mut bench = Bench::new(&configuration, 1);
        learn(&mut bench);
        for _ in 0..before {
            bench.submit(Ask::default());
        }
        let deadline_us = bench.now_us + time_tokens * TOKEN_US;
        let request = bench.submit(Ask { tokens, deadline_us, ..Ask::default() });
        let at_first = fate(&bench, request);
        bench.run_until(u64::MAX / 4);
        writeln!(text, "{name}: {at_first}; {}", fate(&bench, request)).expect("written");
    }
    assert_snapshot!(text);
}

/// Guards against requests that stay queued although they can no longer finish in time.
#[test]
fn a_waiting_request_leaves_when_it_can_no_longer_finish() {
    let configuration = configuration(&[("a", 1)], preset(8, 100));
    let mut bench = Bench::new(&configuration, 1);
    learn(&mut bench);
    bench.submit(Ask::default());
    let late = bench.submit(Ask { deadline_us: bench.now_us + 50 * TOKEN_US, ..Ask::default() });
    // The request in flight takes much longer than predicted.
    let start_us = bench.now_us;
    bench.slowness = 100;
    bench.submit(Ask { priority: 9, ..Ask::default() });
    bench.run_until(start_us + 11 * TOKEN_US);
    assert_eq!(fate(&bench, late), "waits");
    bench.run_until(start_us + 48 * TOKEN_US);
    let (at_us, reason) = bench.refused[&late];
    assert_eq!(reason, NotRun::Deadline);
    let latest_us = start_us + 50 * TOKEN_US - 11 * TOKEN_US;
    assert!(
        (latest_us..=latest_us + 2).contains(&at_us),
        "refused {} us after the latest start",
        at_us - latest_us
    );
}

/// Guards against queues without a limit, and against one team that fills the queue of all.
#[test]
fn queues_are_limited_for_each_team_and_in_total() {
    let configuration = configuration(&[("a", 1), ("b", 1), ("c", 1), ("d", 1)], preset(1, 150));
    let mut bench = Bench::new(&configuration, 1);
    let mut text = String::new();
    for team in ["a", "b", "c", "d", "a"] {
        let requests: Vec<RequestId> =
            (0..300).map(|_| bench.submit(Ask { team, ..Ask::default() })).collect();
        let refused = requests.iter().filter(|request| bench.refused.contains_key(request)).count();
        let waiting = bench.admission.counts().1;
        writeln!(text, "{team}: {refused} of 300 refused, {waiting} wait").expect("written");
    }
    assert!(bench.refused.values().all(|(_, reason)| *reason == NotRun::QueueFull));
    assert_snapshot!(text);
}

/// Guards against urgent requests behind others of the same team, and against priorities that help against other teams.
#[test]
fn priorities_count_within_a_team() {
    let configuration = configuration(&[("a", 1), ("b", 1)], preset(8, 100));
    let mut bench = Bench::new(&configuration, 1);
    learn(&mut bench);
    let mut requests = Vec::new();
    for (team, priority) in [("a", 0), ("a", 0), ("a", 9), ("a", 5), ("b", 0), ("b", 0)] {
        let name = format!("{team}{priority}");
        requests.push((name, bench.submit(Ask { team, priority, ..Ask::default() })));
    }
    bench.run_until(u64::MAX / 4);
    requests.sort_by_key(|(_, request)| bench.placed_us[request]);
    let order: Vec<String> = requests.into_iter().map(|(name, _)| name).collect();
    assert_snapshot!(order.join(" "));
}

/// Guards against calls that wait for generations and the reverse, and against a model that waits for another one.
#[test]
fn calls_and_generations_do_not_block_each_other() {
    let configuration = configuration(&[("a", 1)], preset(4, 100));
    let mut bench = Bench::new(&configuration, 100);
    let generations: Vec<RequestId> = (0..6).map(|_| bench.submit(Ask::default())).collect();
    let calls: Vec<RequestId> = (0..6).map(|_| bench.submit(Ask { call: true, ..Ask::default() })).collect();
    let placed = |requests: &[RequestId]| {
        requests.iter().filter(|request| bench.placed_us.contains_key(request)).count()
    };
    assert_eq!((placed(&generations), placed(&calls)), (4, 4));
}

/// Guards against requests that wait for endpoints that do not exist instead of an answer from routing.
#[test]
fn without_endpoints_requests_go_on_to_routing() {
    let configuration = configuration(&[("a", 1)], preset(4, 100));
    let mut bench = Bench::new(&configuration, 0);
    let first = bench.submit(Ask::default());
    let second = bench.submit(Ask::default());
    assert_eq!((fate(&bench, first), fate(&bench, second)), ("placed after 0 us".into(), "waits".into()));
    bench.run_until(u64::MAX / 4);
    assert!(bench.placed_us.contains_key(&second));
}

/// Guards against a waiting request that is placed after its caller went away.
#[test]
fn a_cancelled_request_leaves_the_queue() {
    let configuration = configuration(&[("a", 1)], preset(4, 100));
    let mut bench = Bench::new(&configuration, 1);
    bench.submit(Ask::default());
    let waiting = bench.submit(Ask::default());
    bench.event(Event::Cancel(waiting));
    bench.event(Event::Cancel(waiting));
    assert_eq!(bench.refused[&waiting].1, NotRun::Cancelled);
    bench.run_until(u64::MAX / 4);
    assert_eq!(bench.admission.counts(), (0, 0));
}

/// Guards against requests that were queued under better figures and run late under the present ones.
#[test]
fn waiting_requests_are_judged_again_when_the_capacity_falls() {
    let configuration = configuration(&[("a", 1)], preset(4, 100));
    let mut bench = Bench::new(&configuration, 1);
    learn(&mut bench);
    bench.submit(Ask::default());
    let waiting = bench.submit(Ask { deadline_us: bench.now_us + 40 * TOKEN_US, ..Ask::default() });
    assert_eq!(fate(&bench, waiting), "waits");
    let target = Destination::Model("m".into());
    let capacity = Capacity { target, token_us: 5 * TOKEN_US, position_us: 10, slots: 1 };
    bench.event(Event::Capacity(vec![capacity]));
    assert_eq!(fate(&bench, waiting), "refused after 0 us: deadline");
}

/// Guards against requests that are placed by the prediction of their arrival although the model became slower.
#[test]
fn a_waiting_request_is_judged_again_when_it_is_placed() {
    let configuration = configuration(&[("a", 1)], preset(4, 100));
    let mut bench = Bench::new(&configuration, 1);
    learn(&mut bench);
    bench.slowness = 4;
    bench.submit(Ask::default());
    // It would end in time after 11 tokens' time; after the slow request 14 are predicted.
    let waiting = bench.submit(Ask { deadline_us: bench.now_us + 52 * TOKEN_US, ..Ask::default() });
    bench.run_until(u64::MAX / 4);
    assert_eq!(fate(&bench, waiting), "refused after 40000 us: deadline");
}
