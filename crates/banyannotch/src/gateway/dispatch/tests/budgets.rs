//! Tests of the retry budget. The retries of all gateways together must stay within the budget that the users
//! set, so that failures do not lead to retry storms.

use super::fixtures::World;
use crate::gateway::dispatch::budget::Budget;
use crate::gateway::dispatch::{BrokenBy, Ending, Event, PeerState};

#[test]
fn retries_stop_when_the_budget_is_spent_and_resume_in_the_next_window() {
    let mut world = World::new();
    for gateway in 0..9 {
        let state = PeerState { instance: format!("other-{gateway}"), version: 5, ..PeerState::default() };
        world.event(Event::Peer { state: Box::new(state), known: 10, zone_known: 9 });
    }
    let mut retries = Vec::new();
    for round in 0..3 {
        let before = world.lines.len();
        for _ in 0..30 {
            let mut request = super::fixtures::request("/read/x");
            request.digest = world.lines.len() as u64;
            let ticket = world.submit_request(request);
            world.end(ticket, Ending::Broken { by: BrokenBy::Garbled });
        }
        let refused = world.lines[before..].iter().filter(|line| line.contains("502")).count();
        retries.push((round, 30 - refused));
        world.wait_ms(if round == 0 { 100 } else { 11_000 });
        world.confirm_configuration();
    }
    // In a window each of ten gateways may send 0.8 * (0.2 * requests + 100 / 10) retries: 12 for the first
    // 30 requests and 17 for 60.
    assert_eq!(retries, [(0, 12), (1, 5), (2, 12)]);
}

#[test]
fn a_retry_counts_for_at_least_one_window() {
    let mut budget = Budget::default();
    let mut earliest = None;
    budget.count_retry(499_999, 10_000);
    for now_ms in 500..12_000 {
        if budget.remaining(now_ms * 1_000, 10_000, 0.0, 1.0) >= 1.0 {
            earliest.get_or_insert(now_ms);
        }
    }
    assert!(earliest.is_some_and(|ms| (10_500..=11_500).contains(&ms)), "budget restored at {earliest:?} ms");
}
