//! Tests of the time after which refused callers are told to return. Each was told half a second, so that callers refused
//! together returned together, and many were refused again.

use super::admission::{PATHS, classed_world, sized_request};
use super::fixtures::{World, request};
use crate::clock::US_PER_MS;
use crate::gateway::RequestInfo;
use crate::gateway::dispatch::{Ending, Event};
use crate::random::Random;

/// Submits a burst of requests of each class in turn and returns what the refused callers of each are told, in milliseconds.
fn refuse_burst(world: &mut World, requests: usize, deadline_ms: u64) -> [Vec<u64>; 3] {
    let mut told: [Vec<u64>; 3] = Default::default();
    for number in 0..requests {
        let class = number % 3;
        world.last_refusal = None;
        world.submit_request(RequestInfo { deadline_ms: Some(deadline_ms), ..sized_request(PATHS[class]) });
        told[class].extend(world.last_refusal.take().and_then(|refusal| refusal.retry_after_ms));
    }
    told
}

/// Callers of a burst must return spread over an interval, those of more urgent classes first, and early enough to be served.
#[test]
fn refused_callers_return_one_after_another_in_order_of_rank() {
    for deadline_ms in [600, 3_000, 20_000] {
        let mut world = classed_world(1);
        world.configure(|settings| settings.admission.waiting_limit = 0);
        refuse_burst(&mut world, 90, deadline_ms);
        let told = refuse_burst(&mut world, 90, deadline_ms);
        let mean = |times: &Vec<u64>| times.iter().sum::<u64>() / times.len() as u64;
        let means = [mean(&told[0]), mean(&told[1]), mean(&told[2])];
        assert!(means.is_sorted(), "{deadline_ms} ms: {told:?}");
        let mut all = told.concat();
        all.sort_unstable();
        let (first, last) = (all[0], all[all.len() - 1]);
        assert!(first >= 50 && last <= deadline_ms / 3, "{deadline_ms} ms: {told:?}");
        // No more than a sixth of them return in any tenth of the interval, unless the shortest time applies.
        let width = (last - first).max(10) / 10;
        for begin in (first + 1..last).step_by(width as usize) {
            let together = all.iter().filter(|ms| (begin..begin + width).contains(*ms)).count();
            assert!(together <= all.len() / 6, "{deadline_ms} ms: {together} return within {width} ms");
        }
    }
}

#[test]
fn callers_of_other_services_are_told_the_constant_time() {
    let mut world = World::new();
    world.event(Event::Endpoints([].into()));
    for path in ["/call/x", "/write/x"] {
        world.submit_request(request(path));
        let told = world.last_refusal.take().and_then(|refusal| refusal.retry_after_ms);
        assert_eq!(told, Some(500), "{path}");
    }
}

/// Lets bursts of callers arrive at an engine that serves about 22 requests a second. Refused callers return once, when they
/// were told to. Returns the numbers of callers and of those that were served.
fn play_bursts(returns_when_told: bool) -> (usize, usize) {
    let mut world = classed_world(1);
    let mut random = Random::seeded(5);
    let mut running: Vec<(u64, u64)> = Vec::new();
    let mut returning: Vec<(u64, usize)> = Vec::new();
    let (mut callers, mut served) = (0, 0);
    for step in 0..6_000_u64 {
        world.wait_ms(5);
        world.confirm_configuration();
        let before = world.lines.len();
        world.run_timers();
        let now_us = world.now_us;
        for (_, ticket) in running.extract_if(.., |(end_us, _)| *end_us <= now_us) {
            world.end(ticket, Ending::Completed { first_ms: 100 });
        }
        let is_returning = |(at_us, _): &mut (u64, usize)| *at_us <= now_us;
        let mut arriving: Vec<(usize, bool)> =
            returning.extract_if(.., is_returning).map(|(_, class)| (class, false)).collect();
        // Sixty callers each 4 s, two thirds of what the engine serves in that time.
        if step.is_multiple_of(800) {
            arriving.extend((0..60).map(|_| (random.below(3), true)));
            callers += 60;
        }
        for (class, may_return) in arriving {
            world.last_refusal = None;
            let deadline_ms = Some(9_000);
            world.submit_request(RequestInfo { deadline_ms, ..sized_request(PATHS[class]) });
            let told_ms = world.last_refusal.take().and_then(|refusal| refusal.retry_after_ms);
            if let Some(told_ms) = told_ms.filter(|_| may_return) {
                let told_ms = if returns_when_told { told_ms } else { 500 };
                returning.push((now_us + told_ms * US_PER_MS, class));
            }
        }
        for line in &world.lines[before..] {
            if let Some((ticket, _)) = line.split_once(": send") {
                served += 1;
                running.push((now_us + 400 * US_PER_MS, ticket.parse().expect("a number")));
            }
        }
    }
    (callers, served)
}

/// Callers who return when they are told must be served more often than with a constant time.
#[test]
fn callers_of_a_burst_are_served_when_they_return() {
    let (callers, served) = play_bursts(true);
    let (_, with_constant) = play_bursts(false);
    assert!(
        served * 10 >= callers * 7 && served * 2 > with_constant * 3,
        "{served} of {callers} callers are served, {with_constant} with a constant time"
    );
}
