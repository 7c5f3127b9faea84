//! Guards against a call that runs twice, and against "not run" about a call that may have run.

use std::fmt::Write;

use super::world::{Fault, World};
use crate::execution::{Event, ExecutionSettings};
use crate::ids::RequestId;
use crate::ledger::{Answer, Nonce, Recorded, Verdict};
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
fn each_fault_gives_the_true_outcome() {
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
                .expect("a string takes text");
        }
    }
    insta::assert_snapshot!(report);
}

#[test]
fn nothing_is_sent_without_the_grant() {
    let verdicts = [
        Verdict::Refused(NotRun::KeyConflict),
        Verdict::Recorded(Recorded::Completed { result: "7".into() }),
        Verdict::Recorded(Recorded::Unknown(UnknownReason::NoAnswer)),
        Verdict::Unknown(UnknownReason::HolderLost),
    ];
    let mut report = String::new();
    for verdict in verdicts {
        let mut world = World::new(2, ExecutionSettings::default());
        world.call(1, at_most_once(), 5_000);
        world.event(1_000, answer(verdict.clone()));
        world.run();
        assert!(world.ran.is_empty());
        writeln!(report, "{verdict:?}: {:?}", world.outcome(1)).expect("a string takes text");
    }
    insta::assert_snapshot!(report);
}

#[test]
fn a_caller_who_leaves_before_the_grant_starts_nothing() {
    let mut world = World::new(2, ExecutionSettings::default());
    world.call(1, at_most_once(), 5_000);
    world.event(500, Event::Cancel(RequestId(1)));
    world.event(1_000, answer(Verdict::Granted(Nonce(RequestId(9)))));
    world.run();
    world.check_ended();
    assert!(world.ran.is_empty());
    assert_eq!(world.recorded, [Recorded::NotRun(NotRun::Cancelled)]);
}

#[test]
fn a_caller_who_leaves_during_the_call_finds_its_outcome_later() {
    let mut world = World::new(2, ExecutionSettings::default());
    world.call(1, at_most_once(), 5_000);
    world.event(1_000, answer(Verdict::Granted(Nonce(RequestId(9)))));
    world.event(2_000, Event::Cancel(RequestId(1)));
    world.run();
    assert_eq!(world.recorded, [Recorded::Completed { result: "1".into() }]);
}

#[test]
fn a_grant_after_the_deadline_starts_nothing() {
    let mut world = World::new(2, ExecutionSettings::default());
    world.call(1, at_most_once(), 1_000);
    world.event(1_500_000, answer(Verdict::Granted(Nonce(RequestId(9)))));
    world.run();
    world.check_ended();
    assert!(world.ran.is_empty());
    assert_eq!(world.recorded, [Recorded::NotRun(NotRun::Deadline)]);
}

#[test]
fn an_idempotent_call_that_may_have_run_is_never_reported_as_not_run() {
    let faults = [Fault::BreakBefore, Fault::BreakAfter, Fault::Freeze, Fault::Late, Fault::Kill];
    let mut report = String::new();
    for fault in faults {
        let mut world = World::new(2, ExecutionSettings::default());
        world.faults = (1..100).map(|step| (step, fault)).collect();
        world.call(1, Repeat::Idempotent, 3_000);
        world.run();
        world.check_ended();
        writeln!(report, "{fault:?}: {:?}", world.outcome(1)).expect("a string takes text");
    }
    insta::assert_snapshot!(report);
}
