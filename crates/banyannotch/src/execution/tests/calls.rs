//! Guards against a call that runs twice, and against reporting a call as not run that may have run.

use std::fmt::Write;

use super::world::{Fault, World};
use crate::execution::{Event, ExecutionSettings};
use crate::ids::RequestId;
use crate::ledger::{Answer, Nonce, RecordedOutcome, Verdict};
use crate::request::{IdempotencyKey, NotRun, Repeat, UnknownReason};

const FAULTS: [Option<Fault>; 7] = [
    None,
    Some(Fault::Kill),
    Some(Fault::BreakBefore),
    Some(Fault::BreakAfter),
    Some(Fault::Freeze),
    Some(Fault::Late),
    Some(Fault::Refuse),
];

fn at_most_once() -> Repeat {
    Repeat::AtMostOnce(IdempotencyKey { team: "t".into(), key: "k".into(), made_ms: 1 })
}

fn answer(verdict: Verdict) -> Event {
    Event::Claimed(Answer { request: RequestId(1), verdict })
}

#[test]
fn each_fault_of_a_call_gives_the_expected_outcome() {
    let mut report = String::new();
    for (name, repeat) in [("idempotent", Repeat::Idempotent), ("at most once", at_most_once())] {
        for fault in FAULTS {
            let mut world = World::new(2, ExecutionSettings::default());
            world.faults = fault.map(|fault| (1, fault)).into_iter().collect();
            world.call(1, repeat.clone(), 5_000);
            if repeat != Repeat::Idempotent {
                world.event(1_000, answer(Verdict::Granted(Nonce(RequestId(9)))));
            }
            world.run();
            world.check_ended();
            writeln!(report, "{name}, {fault:?}: {:?} recorded {:?}", world.outcome(1), world.recorded)
                .expect("writing to a string succeeds");
        }
    }
    insta::assert_snapshot!(report);
}

#[test]
fn call_is_not_sent_unless_the_ledger_grants_the_claim() {
    let verdicts = [
        Verdict::Refused(NotRun::KeyConflict),
        Verdict::Recorded(RecordedOutcome::Completed { result: "7".into() }),
        Verdict::Recorded(RecordedOutcome::Unknown(UnknownReason::NoAnswer)),
        Verdict::Unknown(UnknownReason::HolderLost),
    ];
    let mut report = String::new();
    for verdict in verdicts {
        let mut world = World::new(2, ExecutionSettings::default());
        world.call(1, at_most_once(), 5_000);
        world.event(1_000, answer(verdict.clone()));
        world.run();
        assert!(world.ran.is_empty(), "the call was sent: {:?}", world.ran);
        writeln!(report, "{verdict:?}: {:?}", world.outcome(1)).expect("writing to a string succeeds");
    }
    insta::assert_snapshot!(report);
}

#[test]
fn cancel_before_the_grant_prevents_the_call() {
    let mut world = World::new(2, ExecutionSettings::default());
    world.call(1, at_most_once(), 5_000);
    world.event(500, Event::Cancel(RequestId(1)));
    world.event(1_000, answer(Verdict::Granted(Nonce(RequestId(9)))));
    world.run();
    world.check_ended();
    assert!(world.ran.is_empty(), "the call was sent: {:?}", world.ran);
    assert_eq!(world.recorded, [RecordedOutcome::NotRun(NotRun::Cancelled)]);
}

#[test]
fn cancel_during_the_call_still_records_its_outcome() {
    let mut world = World::new(2, ExecutionSettings::default());
    world.call(1, at_most_once(), 5_000);
    world.event(1_000, answer(Verdict::Granted(Nonce(RequestId(9)))));
    world.event(2_000, Event::Cancel(RequestId(1)));
    world.run();
    assert_eq!(world.recorded, [RecordedOutcome::Completed { result: "1".into() }]);
}

#[test]
fn grant_after_the_deadline_does_not_start_the_call() {
    let mut world = World::new(2, ExecutionSettings::default());
    world.call(1, at_most_once(), 1_000);
    world.event(1_500_000, answer(Verdict::Granted(Nonce(RequestId(9)))));
    world.run();
    world.check_ended();
    assert!(world.ran.is_empty(), "the call was sent: {:?}", world.ran);
    assert_eq!(world.recorded, [RecordedOutcome::NotRun(NotRun::Deadline)]);
}

#[test]
fn idempotent_call_that_may_have_run_is_never_reported_as_not_run() {
    let faults = [Fault::BreakBefore, Fault::BreakAfter, Fault::Freeze, Fault::Late, Fault::Kill];
    let mut report = String::new();
    for fault in faults {
        let mut world = World::new(2, ExecutionSettings::default());
        world.faults = (1..100).map(|step| (step, fault)).collect();
        world.call(1, Repeat::Idempotent, 3_000);
        world.run();
        world.check_ended();
        writeln!(report, "{fault:?}: {:?}", world.outcome(1)).expect("writing to a string succeeds");
    }
    insta::assert_snapshot!(report);
}
