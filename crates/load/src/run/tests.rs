//! Guards against a judgement that counts a late or wrong answer as good, misses a doubled call, or reports a recovery
//! before goodput is back.

use std::rc::Rc;

use super::judge::{recoveries, series};
use super::sender::Try;
use super::{Balancer, Record, Violations};
use crate::bound::Bound;
use crate::client::Kind;
use crate::faults::{FaultKind, Injected, Observed};
use crate::workload::{Planned, Work};

const SECOND_US: u64 = 1_000_000;

fn record(at_us: u64, took_us: u64, kind: Kind) -> Record {
    let planned = Planned {
        at_us,
        team: 0,
        task: 0,
        deadline_ms: 2_000,
        work: Work::Generate { prompt: "one".into(), max_tokens: 1 },
    };
    Record {
        planned: Rc::new(planned),
        sent_us: at_us,
        end_us: at_us + took_us,
        last_try_us: at_us,
        token_us: vec![at_us + took_us],
        kind,
        reason: String::new(),
        tries: vec![Try { request: Some("01".into()), kind }],
    }
}

#[test]
fn an_answer_is_good_only_when_right_and_in_time() {
    assert!(record(0, 2 * SECOND_US, Kind::Right).is_good());
    assert!(!record(0, 2 * SECOND_US + 1, Kind::Right).is_good());
    for kind in [Kind::Wrong, Kind::NotRun, Kind::Failed, Kind::Unknown, Kind::Broken] {
        assert!(!record(0, 1, kind).is_good(), "{kind:?}");
    }
}

#[test]
fn recovery_ends_when_a_whole_window_is_back() {
    // 100 requests/s for 10 s, each of 100 ms; nothing that ends from 4.0 s to 5.5 s is good.
    let records: Vec<Record> = (0..1_000)
        .map(|number| {
            let at_us = number * 10_000;
            let end_us = at_us + 100_000;
            let lost = (4_000_000..5_500_000).contains(&end_us);
            record(at_us, 100_000, if lost { Kind::Failed } else { Kind::Right })
        })
        .collect();
    let bound = Bound { requests_per_s: 200.0, tokens_per_s: 200.0 };
    let fault = Injected { kind: FaultKind::Kill, at_us: 4_000_000, targets: Vec::new(), bound };
    let series = series(&records, std::slice::from_ref(&fault), &[(0, 200.0)], 10 * SECOND_US, SECOND_US);
    assert_eq!(series.below_before_faults, 0.0);
    let recovery = recoveries(&series, &[fault], &records)[0];
    // The window of one second has 95 good answers again 0.95 s after the loss ends; windows end every 0.1 s.
    assert_eq!(recovery.recovered_us, Some(2_500_000), "{recovery:?}");
    assert_eq!(recovery.lowest, 0.0);
}

#[test]
fn a_lower_bound_of_the_remaining_engines_is_the_reference() {
    let records: Vec<Record> = (0..1_000)
        .map(|number| {
            let kept = number < 400 || number % 2 == 0;
            record(number * 10_000, 100_000, if kept { Kind::Right } else { Kind::NotRun })
        })
        .collect();
    let bound = Bound { requests_per_s: 50.0, tokens_per_s: 50.0 };
    let fault = Injected { kind: FaultKind::Kill, at_us: 4_000_000, targets: Vec::new(), bound };
    let judged = |bounds: &[(u64, f64)]| {
        let series = series(&records, std::slice::from_ref(&fault), bounds, 10 * SECOND_US, SECOND_US);
        recoveries(&series, std::slice::from_ref(&fault), &records)[0].recovered_us
    };
    assert_eq!(judged(&[(0, 200.0), (4_000_000, 50.0)]), Some(0));
    // Once the fault is cleared, half of what is offered is no longer enough.
    assert_eq!(judged(&[(0, 200.0), (4_000_000, 50.0), (6_000_000, 200.0)]), None);
}

#[test]
fn violations_are_found() {
    let call = |key: &str, kinds: &[Kind]| {
        let mut call = record(0, 1, *kinds.last().expect("a try"));
        let work = Work::Call { operation: "pay", payload: 1.into(), key: Some(key.into()) };
        call.planned = Rc::new(Planned { work, ..(*call.planned).clone() });
        call.tries = kinds.iter().map(|kind| Try { request: None, kind: *kind }).collect();
        call
    };
    let records = [
        record(0, 1, Kind::Right),
        record(0, 1, Kind::Wrong),
        // Its request "01" is in the engines' records.
        record(0, 1, Kind::NotRun),
        // A key that ran in a try whose connection broke is no violation.
        call("a", &[Kind::Broken, Kind::NotRun]),
        call("b", &[Kind::NotRun, Kind::NotRun]),
        call("c", &[Kind::NotRun]),
    ];
    let observed = Observed {
        duplicates: 3,
        doubled_calls: 1,
        keys: [("a".into(), 2), ("b".into(), 1)].into(),
        ran: ["01".into()].into(),
        ..Observed::default()
    };
    insta::assert_debug_snapshot!(Violations::count(&records, &observed));
}

#[test]
fn the_balancer_avoids_what_failed_but_never_stops() {
    let addresses = ["127.0.0.1:1", "127.0.0.1:2"].map(|text| text.parse().expect("an address"));
    let balancer = Balancer::new(addresses);
    let picked: Vec<_> = (0..4).filter_map(|_| balancer.pick(None)).collect();
    assert_eq!(picked, [addresses[0], addresses[1], addresses[0], addresses[1]]);
    for _ in 0..3 {
        assert_eq!(balancer.pick(Some(addresses[0])), Some(addresses[1]));
    }
    assert_eq!(Balancer::new([addresses[0]]).pick(Some(addresses[0])), Some(addresses[0]));
    assert_eq!(Balancer::new([]).pick(None), None);
}
