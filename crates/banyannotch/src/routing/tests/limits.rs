//! Tests of the limit of requests in flight: it must not let queues grow, starve an entry, or stay low after
//! an overload.

use std::fmt::Write;

use insta::assert_snapshot;

use crate::ids::EndpointId;
use crate::routing::Observation;
use crate::routing::limiter::Limiter;
use crate::routing::meter::Meter;

/// Returns the slowdown at endpoints that run `capacity` requests without waiting.
fn slowdown(in_flight: u32, capacity: f64) -> Option<f64> {
    Some(f64::max(1.0, f64::from(in_flight) / capacity))
}

#[test]
fn limit_follows_the_slowdown_of_steps() {
    let mut limiter = Limiter::default();
    let mut text = String::new();
    let situations = [
        ("start", None, 0),
        ("unused", Some(1.0), 30),
        ("used", Some(1.0), 120),
        ("used at the bound", Some(3.5), 125),
        ("congested", Some(3.6), 125),
        ("congested", Some(9.0), 125),
        ("idle again", None, 0),
    ];
    for (name, slowdown, in_flight) in situations {
        let limit = limiter.adapt(slowdown, in_flight, 20.0, 120.0);
        writeln!(text, "{name}: {limit}").expect("written");
    }
    assert_snapshot!(text);
}

#[test]
fn limit_settles_at_the_target_slowdown_and_recovers() {
    let mut limiter = Limiter::default();
    let mut limit = 1;
    for _ in 0..500 {
        limit = limiter.adapt(slowdown(limit, 40.0), limit, 1.0, 10.0);
    }
    assert!(
        (115..=154).contains(&limit),
        "the limit is {limit}, expected 115 to 154: 140 requests reach the target slowdown"
    );
    for _ in 0..200 {
        limit = limiter.adapt(slowdown(limit, 4.0), limit, 1.0, 10.0);
    }
    assert!(
        (11..=16).contains(&limit),
        "the limit is {limit} after nine tenths of the capacity were lost, expected 11 to 16"
    );
    for _ in 0..500 {
        limit = limiter.adapt(slowdown(limit, 40.0), limit, 1.0, 10.0);
    }
    assert!(
        (115..=154).contains(&limit),
        "the limit is {limit} after the capacity came back, expected 115 to 154"
    );
}

#[test]
fn limit_stays_at_the_minimum_when_all_steps_are_slow() {
    let mut limiter = Limiter::default();
    let limits = (0..1_000).map(|_| limiter.adapt(Some(50.0), 100, 3.0, 10.0));
    assert_eq!(limits.last(), Some(3));
}

/// Guards against a limit that oscillates because the measured slowdown lags; it left engines idle and then
/// overloaded them.
#[test]
fn limit_does_not_oscillate_when_slowdown_is_measured_late() {
    let mut limiters = [Limiter::default(); 2];
    let mut limits = [60_u32, 5];
    let (mut in_flight, mut measured) = (65.0, 1.0);
    let mut observed_limits = Vec::new();
    for report in 0..1_200 {
        // Requests take one second and the slowdown is averaged over one second, which is ten reports each.
        in_flight += 0.1 * (f64::from(limits.iter().sum::<u32>()) - in_flight);
        measured += 0.1 * (f64::max(1.0, in_flight / 40.0) - measured);
        for (limiter, limit) in limiters.iter_mut().zip(&mut limits) {
            *limit = limiter.adapt(Some(measured), *limit, 1.0, 50.0);
        }
        if report > 300 {
            observed_limits.push(limits[0]);
        }
    }
    let (min, max) =
        (observed_limits.iter().min().expect("reports"), observed_limits.iter().max().expect("reports"));
    assert!(
        max * 10 <= min * 12,
        "the limit oscillates between {min} and {max}, expected at most 20 % apart"
    );
    assert!(
        limits[0].abs_diff(limits[1]) <= 5,
        "the limits of two entries are {limits:?}, expected at most 5 apart"
    );
}

/// Guards against a limit that rises so slowly that a burst or a single entry waits while engines are idle.
#[test]
fn limit_of_a_single_entry_rises_to_free_capacity_within_3_s() {
    let mut limiter = Limiter::default();
    let mut limit = 6;
    for _ in 0..30 {
        limit = limiter.adapt(Some(0.0), limit, 1.0, 6.0);
    }
    assert!(limit >= 30, "the limit is {limit} after 3 s in which nothing waited, expected at least 30");
}

/// Guards against delays of timers and connections that count as waiting; they kept the limit at 6 while the
/// endpoints had capacity for 32 requests.
#[test]
fn jitter_of_short_steps_does_not_count_as_waiting() {
    let mut meter = Meter::default();
    let mut now_us = 0;
    for step in 0..1_000_u64 {
        let elapsed_us = if step.is_multiple_of(2) { 80 } else { 1_800 };
        now_us += elapsed_us;
        let observation = Observation { endpoint: EndpointId::new("e", 1), positions: 1, elapsed_us };
        meter.on_observation(now_us, &observation, 0.0);
    }
    assert_eq!(meter.slowdown(now_us), Some(0.0));
}
