//! Guards against an evaluation that counts a late or incorrect answer as good, misses a repeated call, or
//! reports a recovery before goodput has recovered.

use std::rc::Rc;

use super::judge::{recoveries, series};
use super::sender::SendAttempt;
use super::{Balancer, Record, Violations};
use crate::bound::Bound;
use crate::client::OutcomeKind;
use crate::faults::{FaultKind, InjectedFault, Observed};
use crate::workload::{PlannedRequest, Work};

const SECOND_US: u64 = 1_000_000;

fn record(at_us: u64, took_us: u64, kind: OutcomeKind) -> Record {
    let planned = PlannedRequest {
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
        last_attempt_us: at_us,
        token_times_us: vec![at_us + took_us],
        kind,
        reason: String::new(),
        attempts: vec![SendAttempt { request: Some("01".into()), kind }],
    }
}

#[test]
fn answer_is_good_only_when_correct_and_in_time() {
    assert!(record(0, 2 * SECOND_US, OutcomeKind::Right).is_good());
    assert!(!record(0, 2 * SECOND_US + 1, OutcomeKind::Right).is_good());
    for kind in [
        OutcomeKind::Wrong,
        OutcomeKind::NotRun,
        OutcomeKind::Failed,
        OutcomeKind::Unknown,
        OutcomeKind::Broken,
    ] {
        assert!(!record(0, 1, kind).is_good(), "{kind:?}");
    }
}

#[test]
fn recovery_ends_at_the_first_window_with_restored_goodput() {
    // 100 requests/s for 10 s, each taking 100 ms; no request that ends between 4.0 s and 5.5 s is good.
    let records: Vec<Record> = (0..1_000)
        .map(|number| {
            let at_us = number * 10_000;
            let end_us = at_us + 100_000;
            let lost = (4_000_000..5_500_000).contains(&end_us);
            record(at_us, 100_000, if lost { OutcomeKind::Failed } else { OutcomeKind::Right })
        })
        .collect();
    let bound = Bound { requests_per_s: 200.0, tokens_per_s: 200.0 };
    let fault = InjectedFault { kind: FaultKind::Kill, at_us: 4_000_000, targets: Vec::new(), bound };
    let series = series(&records, std::slice::from_ref(&fault), &[(0, 200.0)], 10 * SECOND_US, SECOND_US);
    assert_eq!(series.below_before_faults, 0.0);
    let recovery = recoveries(&series, &[fault], &records)[0];
    // The window of 1 s reaches 95 good answers 0.95 s after the loss ends at 5.5 s; windows end every 0.1 s,
    // so the first such window ends at 6.5 s, 2.5 s after the fault.
    assert_eq!(recovery.recovered_us, Some(2_500_000), "{recovery:?}");
    assert_eq!(recovery.lowest, 0.0);
}

#[test]
fn bound_of_the_remaining_engines_is_the_reference_when_it_is_lower() {
    let records: Vec<Record> = (0..1_000)
        .map(|number| {
            let kept = number < 400 || number % 2 == 0;
            record(number * 10_000, 100_000, if kept { OutcomeKind::Right } else { OutcomeKind::NotRun })
        })
        .collect();
    let bound = Bound { requests_per_s: 50.0, tokens_per_s: 50.0 };
    let fault = InjectedFault { kind: FaultKind::Kill, at_us: 4_000_000, targets: Vec::new(), bound };
    let recovered_us = |bounds: &[(u64, f64)]| {
        let series = series(&records, std::slice::from_ref(&fault), bounds, 10 * SECOND_US, SECOND_US);
        recoveries(&series, std::slice::from_ref(&fault), &records)[0].recovered_us
    };
    assert_eq!(recovered_us(&[(0, 200.0), (4_000_000, 50.0)]), Some(0));
    // Once the bound is back at 200/s, half of the offered requests is below the threshold.
    assert_eq!(recovered_us(&[(0, 200.0), (4_000_000, 50.0), (6_000_000, 200.0)]), None);
}

#[test]
fn violations_are_found() {
    let call = |key: &str, kinds: &[OutcomeKind]| {
        let mut call = record(0, 1, *kinds.last().expect("at least one attempt"));
        let work = Work::Call { operation: "pay", payload: 1.into(), key: Some(key.into()) };
        call.planned = Rc::new(PlannedRequest { work, ..(*call.planned).clone() });
        call.attempts = kinds.iter().map(|kind| SendAttempt { request: None, kind: *kind }).collect();
        call
    };
    let records = [
        record(0, 1, OutcomeKind::Right),
        record(0, 1, OutcomeKind::Wrong),
        // Reported as not run, but its request "01" is in the engines' records.
        record(0, 1, OutcomeKind::NotRun),
        // The key ran in an attempt whose connection broke, which is not a violation.
        call("a", &[OutcomeKind::Broken, OutcomeKind::NotRun]),
        call("b", &[OutcomeKind::NotRun, OutcomeKind::NotRun]),
        call("c", &[OutcomeKind::NotRun]),
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
fn balancer_avoids_the_failed_entry_unless_it_is_the_only_one() {
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
