//! Snapshots of what the entries append and answer under one fault at a time.

use super::world::{AppendDelivery, End, World, small_settings};
use crate::duty::Duty;

const MINUTE_MS: u64 = 60_000;

/// Runs a world through one fault.
type Case = fn(&mut World);

/// Waits for the batch delay, then ends the append of a node with the given delivery.
fn append(world: &mut World, node: usize, delivery: AppendDelivery) {
    world.advance(4);
    world.append(node, 0, delivery);
}

/// Runs the world for the given time, in which every entry reads and appends until nothing is left.
fn settle(world: &mut World, ms: u64) {
    for _ in 0..4 {
        (0..world.nodes.len()).for_each(|node| world.pump(node));
        world.advance(ms / 4);
    }
    (0..world.nodes.len()).for_each(|node| world.pump(node));
}

/// Dispatches a granted request and ends it.
fn execute(world: &mut World, request: usize, end: End) {
    world.execute(request, end, false);
    world.execute(request, end, false);
}

/// Submits a request with key 0 at node 0 and dispatches it, so that its claim holds the key.
fn hold(world: &mut World) -> usize {
    let request = world.submit(0, 0, 1, 1_000).expect("the node runs");
    settle(world, 8);
    world.execute(request, End::Completed, false);
    request
}

/// Submits a request with key 0 at a node and runs the world for 400 ms.
fn submit(world: &mut World, node: usize, payload: u128) -> Option<usize> {
    let request = world.submit(node, 0, payload, 1_000);
    settle(world, 400);
    request
}

fn recorded_outcome(world: &mut World) {
    let request = hold(world);
    execute(world, request, End::Completed);
    settle(world, 8);
    submit(world, 0, 1);
    submit(world, 1, 1);
    submit(world, 1, 2);
}

fn append_answer_lost(world: &mut World) {
    world.submit(0, 0, 1, 1_000);
    append(world, 0, AppendDelivery::AnswerLost);
    settle(world, 8);
}

fn append_lost(world: &mut World) {
    world.submit(0, 0, 1, 1_000);
    append(world, 0, AppendDelivery::Lost);
    settle(world, 1_200);
    submit(world, 1, 1);
}

fn append_arrives_before_cancellation(world: &mut World) {
    world.submit(0, 0, 1, 1_000);
    append(world, 0, AppendDelivery::Delayed);
    world.advance(990);
    world.apply_delayed_append();
    world.read(1, 0, 9);
    world.submit(1, 0, 1, 1_000);
    settle(world, 400);
}

/// Loses every append of node 0 until just before it gives up a request with a deadline after 1,000 ms.
fn lose_appends(world: &mut World) {
    for _ in 0..235 {
        append(world, 0, AppendDelivery::Lost);
    }
}

fn append_arrives_after_cancellation(world: &mut World) {
    world.submit(0, 0, 1, 1_000);
    append(world, 0, AppendDelivery::Delayed);
    lose_appends(world);
    settle(world, 1_200);
    world.apply_delayed_append();
    settle(world, 8);
    submit(world, 1, 1);
}

fn append_arrives_after_lost_cancellation(world: &mut World) {
    world.submit(0, 0, 1, 1_000);
    append(world, 0, AppendDelivery::Delayed);
    lose_appends(world);
    world.advance(1_000);
    append(world, 0, AppendDelivery::Lost);
    world.apply_delayed_append();
    settle(world, 400);
    submit(world, 1, 1);
}

fn log_down(world: &mut World) {
    world.log_down = true;
    world.submit(0, 0, 1, 1_000);
    settle(world, 1_200);
    world.log_down = false;
    settle(world, 1_200);
    submit(world, 0, 1);
}

fn rate_limited(world: &mut World) {
    world.submit(0, 0, 1, 1_000);
    append(world, 0, AppendDelivery::Refused);
    world.submit(0, 1, 1, 1_000);
    world.submit(0, 2, 1, 1_000);
    settle(world, 200);
}

fn holder_stops(world: &mut World) {
    hold(world);
    world.stop(0);
    world.submit(1, 0, 1, 800);
    settle(world, 900);
    settle(world, 4_000);
    submit(world, 1, 1);
}

fn holder_restarts(world: &mut World) {
    hold(world);
    world.start(0);
    settle(world, 8);
    submit(world, 0, 1);
    world.submit(0, 1, 1, 1_000);
    settle(world, 8);
    submit(world, 1, 1);
}

fn holder_pauses_past_its_deadline(world: &mut World) {
    let request = hold(world);
    world.pause(0);
    settle(world, 4_000);
    submit(world, 1, 1);
    world.resume(0);
    world.execute(request, End::Completed, true);
    settle(world, 8);
    submit(world, 1, 1);
}

fn race(world: &mut World) {
    world.submit(0, 0, 1, 1_000);
    world.submit(1, 0, 1, 1_000);
    world.submit(1, 0, 1, 1_000);
    settle(world, 8);
    execute(world, 0, End::Failed);
    settle(world, 8);
}

fn race_with_a_holder_that_does_not_run(world: &mut World) {
    world.submit(0, 0, 1, 1_000);
    world.submit(1, 0, 1, 1_000);
    settle(world, 8);
    execute(world, 0, End::NotRun);
    settle(world, 8);
}

fn completed_key_is_unknown_to_a_slow_reader(world: &mut World) {
    world.submit(0, 0, 1, 1_000);
    world.advance(4);
    world.pump(0);
    execute(world, 0, End::Completed);
    world.advance(4);
    world.pump(0);
    world.submit(1, 0, 1, 1_000);
    append(world, 1, AppendDelivery::Done);
    world.read(1, 0, 9);
}

/// A late second copy of a "not run" outcome must not release the key that a later claim holds.
fn late_copy_of_not_run(world: &mut World) {
    let first = hold(world);
    world.execute(first, End::NotRun, false);
    append(world, 0, AppendDelivery::Delayed);
    settle(world, 100);
    let second = submit(world, 1, 1).expect("the node runs");
    world.execute(second, End::Completed, false);
    world.apply_delayed_append();
    settle(world, 8);
    submit(world, 0, 1);
}

fn abandoned(world: &mut World) {
    let queued = world.submit(0, 0, 1, 1_000).expect("the node runs");
    world.abandon(queued);
    settle(world, 8);
    let sent = world.submit(0, 1, 1, 1_000).expect("the node runs");
    append(world, 0, AppendDelivery::AnswerLost);
    world.abandon(sent);
    settle(world, 8);
    world.submit(1, 1, 1, 1_000);
    settle(world, 100);
    let waiting = world.submit(0, 1, 1, 1_000).expect("the node runs");
    world.abandon(waiting);
}

fn expired(world: &mut World) {
    let request = hold(world);
    execute(world, request, End::Completed);
    settle(world, 8);
    settle(world, MINUTE_MS - 5_000);
    submit(world, 1, 1);
    settle(world, 2_000);
    submit(world, 1, 1);
    settle(world, 6_000);
    submit(world, 1, 1);
    world.start(1);
    submit(world, 1, 1);
}

/// A key expires by its creation time even if it was never claimed.
fn unused_key_expires(world: &mut World) {
    world.key(0);
    settle(world, MINUTE_MS - 5_000);
    submit(world, 0, 1);
    settle(world, MINUTE_MS);
    world.key(1);
    settle(world, MINUTE_MS - 3_000);
    world.submit(1, 1, 1, 1_000);
    settle(world, 400);
}

/// The thread pauses after it has read the clock and before it handles the page with its own claim.
fn pause_before_the_grant(world: &mut World) {
    world.submit(0, 0, 1, 1_000);
    append(world, 0, AppendDelivery::Done);
    world.pause(0);
    world.read(0, 0, 9);
    world.advance(1_500);
    world.resume_between_inputs(0);
    settle(world, 8);
}

fn from_the_future(world: &mut World) {
    world.key(0);
    if let Some(key) = &mut world.keys[0] {
        key.made_ms += 1_500;
    }
    submit(world, 0, 1);
    settle(world, 1_000);
    submit(world, 0, 1);
}

fn deadline_within_the_answer_margin(world: &mut World) {
    world.submit(0, 0, 1, 20);
}

/// A node that has not caught up must not treat a key without records as free.
fn start_without_reading(world: &mut World) {
    hold(world);
    world.start(1);
    world.submit(1, 0, 1, 500);
    world.submit(1, 1, 1, 500);
    world.advance(600);
    settle(world, 8);
    submit(world, 1, 1);
}

fn gap(world: &mut World) {
    world.pause(1);
    hold(world);
    world.truncate(0);
    world.resume(1);
    submit(world, 1, 1);
    settle(world, 4_000);
    world.submit(1, 1, 1, 1_000);
    settle(world, 400);
}

#[test]
fn answers_are_true_under_each_fault() {
    let cases: [(&str, Case); 23] = [
        ("recorded outcome", recorded_outcome),
        ("append answer lost", append_answer_lost),
        ("append lost", append_lost),
        ("append arrives before its cancellation", append_arrives_before_cancellation),
        ("append arrives after its cancellation", append_arrives_after_cancellation),
        ("append arrives after a lost cancellation", append_arrives_after_lost_cancellation),
        ("log down", log_down),
        ("rate limited", rate_limited),
        ("holder stops", holder_stops),
        ("holder restarts", holder_restarts),
        ("holder pauses past its deadline", holder_pauses_past_its_deadline),
        ("race", race),
        ("race with a holder that does not run", race_with_a_holder_that_does_not_run),
        ("completed key is unknown to a slow reader", completed_key_is_unknown_to_a_slow_reader),
        ("late copy of not run", late_copy_of_not_run),
        ("abandoned", abandoned),
        ("expired", expired),
        ("unused key expires", unused_key_expires),
        ("pause before the grant", pause_before_the_grant),
        ("from the future", from_the_future),
        ("deadline within the answer margin", deadline_within_the_answer_margin),
        ("start without reading", start_without_reading),
        ("gap", gap),
    ];
    let mut text = String::new();
    for (name, case) in cases {
        let mut world = World::new(small_settings(), 2, 3);
        (0..2).for_each(|node| world.pump(node));
        world.journal = Some(String::new());
        case(&mut world);
        assert_eq!(world.fault, None, "{name}: {}", world.journal.unwrap_or_default());
        text.push_str(&format!("== {name}\n{}", world.journal.unwrap_or_default()));
    }
    insta::assert_snapshot!(text);
}

/// Guards against expired keys that stay in the index.
#[test]
fn expired_keys_are_evicted_from_the_index() {
    let mut world = World::new(small_settings(), 2, 3);
    let request = hold(&mut world);
    execute(&mut world, request, End::Completed);
    settle(&mut world, 8);
    let size = |world: &World| world.nodes[1].ledger.as_ref().map(|ledger| ledger.index_size().1);
    assert_eq!(size(&world), Some(1));
    settle(&mut world, 2 * MINUTE_MS);
    assert_eq!(size(&world), Some(0));
    let timer = world.nodes[1].ledger.as_ref().and_then(Duty::next_timer_us);
    assert_eq!(timer, None, "an idle ledger has no timer");
}
