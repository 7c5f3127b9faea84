//! Guards against answers that are truncated, changed or repeated when a stage fails at any token.

use super::model::reference;
use super::world::{Fault, World};
use crate::execution::ExecutionSettings;
use crate::request::{Failure, Outcome};

const PROMPT: &str = "late flight";

fn run(faults: &[(usize, Fault)], replicas: usize, settings: ExecutionSettings) -> World {
    let mut world = World::new(replicas, settings);
    world.faults = faults.iter().copied().collect();
    world.generate(1, PROMPT, 6, 20_000);
    world.run();
    world.check_ended();
    world
}

#[test]
fn generation_recovers_from_each_fault_at_a_middle_stage() {
    let cases = [
        ("no fault", None),
        ("stage dies", Some(Fault::Kill)),
        ("connection breaks before the step", Some(Fault::BreakBefore)),
        ("connection breaks after the step", Some(Fault::BreakAfter)),
        ("stage freezes", Some(Fault::Freeze)),
        ("answer comes late", Some(Fault::Late)),
        ("stage refuses", Some(Fault::Refuse)),
        ("answer comes twice", Some(Fault::Twice)),
        ("answer of another step", Some(Fault::WrongCount)),
    ];
    let mut report = String::new();
    for (name, fault) in cases {
        let faults: Vec<_> = fault.map(|fault| (8, fault)).into_iter().collect();
        let world = run(&faults, 2, ExecutionSettings::default());
        assert_eq!(world.tokens(1), reference(PROMPT, 6), "{name}");
        report.push_str(&format!("## {name}\n{}", world.trace));
    }
    insta::assert_snapshot!(report);
}

#[test]
fn generation_recovers_from_a_fault_at_any_step() {
    for fault in [Fault::Kill, Fault::Freeze, Fault::BreakAfter, Fault::Late] {
        for step in 1..=18 {
            let world = run(&[(step, fault)], 2, ExecutionSettings::default());
            assert_eq!(world.tokens(1), reference(PROMPT, 6), "{fault:?} at step {step}");
        }
    }
}

#[test]
fn generation_recovers_when_the_substitute_fails_too() {
    for first in 1..=18 {
        for second in first + 1..=19 {
            let world =
                run(&[(first, Fault::Kill), (second, Fault::Freeze)], 3, ExecutionSettings::default());
            assert_eq!(world.tokens(1), reference(PROMPT, 6), "steps {first} and {second}");
        }
    }
}

#[test]
fn without_retained_inputs_generation_restarts_on_a_new_route() {
    let settings = ExecutionSettings { retained_limit_bytes: 0, ..ExecutionSettings::default() };
    let world = run(&[(8, Fault::Kill)], 2, settings);
    assert_eq!(world.tokens(1), reference(PROMPT, 6));
    insta::assert_snapshot!(world.trace);
}

#[test]
fn generation_without_substitute_fails_at_its_deadline() {
    let mut world = World::new(1, ExecutionSettings::default());
    world.faults.insert(8, Fault::Kill);
    world.generate(1, PROMPT, 6, 1_000);
    world.run();
    world.check_ended();
    insta::assert_debug_snapshot!((world.tokens(1), world.outcome(1)));
}

#[test]
fn requests_complete_when_credit_runs_out_repeatedly() {
    let settings = ExecutionSettings { credit_tokens: 2, ..ExecutionSettings::default() };
    let mut world = World::new(1, settings);
    world.generate(1, PROMPT, 50, 20_000);
    world.generate(2, "other", 3, 20_000);
    world.run();
    world.check_ended();
    assert_eq!(world.tokens(1), reference(PROMPT, 50));
    assert_eq!(world.tokens(2), reference("other", 3));
}

#[test]
fn late_stage_that_makes_progress_is_not_replaced() {
    let mut world = World::new(2, ExecutionSettings::default());
    world.faults.insert(2, Fault::Late);
    world.generate(1, PROMPT, 3, 20_000);
    for _ in 0..200 {
        let next_us = world.now_us + 10_000;
        world.run_until(next_us);
        world.endpoint("e11").batches += 1;
    }
    world.run();
    world.check_ended();
    assert_eq!(world.tokens(1), reference(PROMPT, 3));
    assert!(!world.trace.contains("recovered"), "{}", world.trace);
}

/// Guards against healthy endpoints that are reported as failed because a request reaches its deadline there.
/// The time limit of a step ends up to one tick before the tick that ends the request.
#[test]
fn step_timeout_at_the_deadline_is_not_a_failure_of_the_endpoint() {
    for deadline_ms in 1_001..=1_010 {
        let mut world = World::new(2, ExecutionSettings::default());
        world.faults.insert(2, Fault::Late);
        world.generate(1, PROMPT, 3, deadline_ms);
        for _ in 0..110 {
            let next_us = world.now_us + 10_000;
            world.run_until(next_us);
            world.endpoint("e11").batches += 1;
        }
        world.run();
        world.check_ended();
        assert_eq!(world.outcome(1), &Outcome::Failed(Failure::Deadline), "{}", world.trace);
        assert!(!world.trace.contains("recovered"), "{}", world.trace);
        assert_eq!(world.failed, Vec::new(), "{}", world.trace);
    }
}
