//! Random sequences of events, with invariants that are checked after each step.

use super::fixtures::{World, address, endpoints, pipeline_engine, plain_endpoint, request, used_by};
use crate::clock::US_PER_MS;
use crate::gateway::dispatch::{BrokenBy, Ending, Event, PeerState};
use crate::gateway::{Endpoint, EngineReport};
use crate::pipeline::Address;
use crate::random::Random;

/// A request that has no final answer yet.
struct OpenRequest {
    ticket: u64,
    path: &'static str,
    /// Number of sends in which the request may have run.
    possible_runs: u32,
}

/// A request must not be sent again when its route does not allow another run, and status 503, which promises
/// that nothing ran, must not follow a possible run.
#[test]
fn random_events_cause_no_forbidden_run_and_no_false_refusal() {
    for seed in 0..300 {
        check_seed(seed);
    }
}

fn check_seed(seed: u64) {
    let mut random = Random::seeded(seed);
    let mut world = World::new();
    let mut open: Vec<OpenRequest> = Vec::new();
    let mut leaving: Vec<Address> = Vec::new();
    let mut held_off: Vec<(Address, u64)> = Vec::new();
    for step in 0..400 {
        world.wait_ms(random.below(40) as u64);
        if random.below(10) == 0 {
            world.confirm_configuration();
        }
        let before = world.lines.len();
        match random.below(10) {
            0..4 => {
                let path = ["/call/x", "/read/x", "/write/x"][random.below(3)];
                let mut request = request(path);
                request.digest = random.below(50) as u64;
                let ticket = world.submit_request(request);
                open.push(OpenRequest { ticket, path, possible_runs: 0 });
            }
            4..9 if !open.is_empty() => {
                let index = random.below(open.len());
                let ending = random_ending(&mut random);
                if matches!(ending, Ending::Failed { .. } | Ending::Broken { .. }) {
                    open[index].possible_runs += 1;
                }
                let ticket = open[index].ticket;
                world.end(ticket, ending);
                if world.lines[before..].iter().all(|line| !line.contains(": send")) {
                    let closed = open.remove(index);
                    let promised = world.lines[before..].iter().any(|line| line.contains(": 503"));
                    assert!(
                        !promised || closed.possible_runs == 0,
                        "seed {seed} step {step}: {} was refused with 503 after {} possible runs",
                        closed.path,
                        closed.possible_runs
                    );
                } else {
                    let retried = &open[index];
                    let limit = if retried.path == "/call/x" { 1 } else { 2 };
                    assert!(
                        retried.possible_runs < limit,
                        "seed {seed} step {step}: {} sent again after {} possible runs, limit {limit}",
                        retried.path,
                        retried.possible_runs
                    );
                }
            }
            9 if !open.is_empty() && random.below(2) == 0 => {
                let ticket = open[random.below(open.len())].ticket;
                let event = match random.below(3) {
                    0 => Event::Resumed { ticket },
                    _ => Event::Waiting { ticket, report: 1, silent_ms: random.below(2_000) as u64 },
                };
                world.event(event);
            }
            _ if random.below(40) == 0 => {
                // At times an endpoint of each kind announces its departure, and later all start anew.
                if leaving.len() == 4 {
                    leaving.clear();
                    held_off.clear();
                    world.restart_endpoints(2 + step);
                } else {
                    let address = [address(1), address(12), address(2), address(21)][leaving.len()];
                    leaving.push(address);
                    let start = world.start_at(address);
                    world.event(Event::Leaving(start));
                }
            }
            _ if random.below(10) == 0 => {
                let address = address(1 + random.below(16) as u8);
                if world.dispatch.endpoint_at(address).is_some() {
                    let for_ms = 100 * random.below(10) as u64;
                    held_off.push((address, world.now_us + for_ms * US_PER_MS));
                    let start = world.start_at(address);
                    world.event(Event::HoldOff { start, fault_at: None, for_ms });
                }
            }
            _ => send_random_event(&mut random, &mut world),
        }
        held_off.retain(|(_, until_us)| world.now_us < *until_us);
        if let Some(used) = world.last_order.take().map(|order| used_by(&order)) {
            let mut declining = leaving.iter().chain(held_off.iter().map(|(address, _)| address));
            let chosen = declining.find(|address| used.contains(address));
            assert_eq!(chosen, None, "seed {seed} step {step}: an endpoint that takes no requests was used");
        }
        // Removes a request that was refused when it was submitted.
        open.retain(|open| {
            !world.lines[before..].iter().any(|line| line.starts_with(&format!("{}: 5", open.ticket)))
        });
    }
    for request in open {
        world.end(request.ticket, Ending::Left);
    }
    let state = world.publish_state();
    assert_eq!(
        (state.zone_loads, state.other_loads),
        (vec![], vec![]),
        "seed {seed}: load without a request"
    );
}

fn random_ending(random: &mut Random) -> Ending {
    match random.below(11) {
        9 => Ending::Left,
        10 => Ending::Expired,
        0 | 1 => Ending::Completed { first_ms: 1 },
        2 => Ending::NotRun { status: 503, fault_at: Some(address(11 + random.below(6) as u8)) },
        3 => Ending::Unsent,
        4 => Ending::Failed { status: 500 },
        5 => Ending::Broken { by: BrokenBy::Connection },
        6 => Ending::Broken { by: BrokenBy::Silence },
        7 => Ending::Delayed,
        _ => Ending::NotRun { status: 421, fault_at: None },
    }
}

/// Sends a report of an engine or the state of another gateway.
fn send_random_event(random: &mut Random, world: &mut World) {
    let address = address(11 + random.below(6) as u8);
    let event = match random.below(4) {
        0 => Event::Report { address, report: None },
        1 => {
            let pace = [2.0, 0.0, -1.0, f64::MAX][random.below(4)];
            let report = EngineReport { pace, stalled: vec![address], ..EngineReport::default() };
            Event::Report { address, report: Some(report) }
        }
        2 => Event::Endpoints(endpoints_with_odd_ones(random).into()),
        _ => {
            let state =
                PeerState { instance: "other".to_owned(), down: vec![address], ..PeerState::default() };
            Event::Peer { state: Box::new(state), known: 2, zone_known: 1 }
        }
    };
    world.event(event);
}

/// Returns the endpoints of the fixture and some that other writers may leave in the store.
fn endpoints_with_odd_ones(random: &mut Random) -> Vec<Endpoint> {
    let mut all = endpoints();
    for number in 0..random.below(4) {
        let bounds = [0, 1, 4, 8, 9, 4_000, u16::MAX];
        let (begin, end) = (bounds[random.below(7)], bounds[random.below(7)]);
        let slots = [0, 1, u32::MAX][random.below(3)];
        let kind = ["fast", "slow", "unknown"][random.below(3)];
        all.push(Endpoint { slots, ..pipeline_engine(100 + number as u8, "a", kind, begin, end) });
        all.push(Endpoint { slots, born_ms: u64::MAX, ..plain_endpoint(110 + number as u8, "unknown") });
    }
    all
}
