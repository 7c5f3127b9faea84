//! Guards against a limit that lets queues grow, that starves an entry, or that stays low after an overload.

use std::fmt::Write;

use insta::assert_snapshot;

use crate::ids::EndpointId;
use crate::routing::Observation;
use crate::routing::limiter::Limiter;
use crate::routing::meter::Meter;

/// The growth of the step time if the endpoints carry `carried` requests without waiting.
fn growth(in_flight: u32, carried: f64) -> Option<f64> {
    Some(f64::max(1.0, f64::from(in_flight) / carried))
}

#[test]
fn limit_follows_the_growth_of_step_times() {
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
    for (name, growth, in_flight) in situations {
        let limit = limiter.adapt(growth, in_flight, 20.0, 120.0);
        writeln!(text, "{name}: {limit}").expect("written");
    }
    assert_snapshot!(text);
}

#[test]
fn limit_settles_where_waiting_is_bounded_and_recovers() {
    let mut limiter = Limiter::default();
    let mut limit = 1;
    for _ in 0..500 {
        limit = limiter.adapt(growth(limit, 40.0), limit, 1.0, 10.0);
    }
    assert!((115..=154).contains(&limit), "the limit is {limit} where 140 requests wait as long as allowed");
    for _ in 0..200 {
        limit = limiter.adapt(growth(limit, 4.0), limit, 1.0, 10.0);
    }
    assert!((11..=16).contains(&limit), "the limit is {limit} after most endpoints were lost");
    for _ in 0..500 {
        limit = limiter.adapt(growth(limit, 40.0), limit, 1.0, 10.0);
    }
    assert!((115..=154).contains(&limit), "the limit is {limit} after the endpoints came back");
}

#[test]
fn limit_leaves_a_share_when_everything_is_slow() {
    let mut limiter = Limiter::default();
    let limits = (0..1_000).map(|_| limiter.adapt(Some(50.0), 100, 3.0, 10.0));
    assert_eq!(limits.last(), Some(3));
}

/// Guards against a limit that swings because measured growth lags: it left engines idle, then overloaded them.
#[test]
fn limit_does_not_swing_when_growth_is_measured_late() {
    let mut limiters = [Limiter::default(); 2];
    let mut limits = [60_u32, 5];
    let (mut in_flight, mut measured) = (65.0, 1.0);
    let mut seen = Vec::new();
    for report in 0..1_200 {
        // Requests run for a second and growth is averaged over a second, which are ten reports each.
        in_flight += 0.1 * (f64::from(limits.iter().sum::<u32>()) - in_flight);
        measured += 0.1 * (f64::max(1.0, in_flight / 40.0) - measured);
        for (limiter, limit) in limiters.iter_mut().zip(&mut limits) {
            *limit = limiter.adapt(Some(measured), *limit, 1.0, 50.0);
        }
        if report > 300 {
            seen.push(limits[0]);
        }
    }
    let (least, most) = (seen.iter().min().expect("reports"), seen.iter().max().expect("reports"));
    assert!(most * 10 <= least * 12, "the limit swings between {least} and {most}");
    assert!(limits[0].abs_diff(limits[1]) <= 5, "the limits of two entries are {limits:?}");
}

/// Guards against a limit that rises so slowly that a burst, or the only entry, waits beside idle engines.
#[test]
fn limit_of_a_lone_entry_soon_gets_what_is_free() {
    let mut limiter = Limiter::default();
    let mut limit = 6;
    for _ in 0..30 {
        limit = limiter.adapt(Some(0.0), limit, 1.0, 6.0);
    }
    assert!(limit >= 30, "the limit is {limit} after 3 s in which nothing waited");
}

/// Guards against timers and connections that are taken for waiting: they kept the limit at 6 where 32 requests had room.
#[test]
fn short_steps_of_uneven_length_are_not_taken_for_waiting() {
    let mut meter = Meter::default();
    let mut now_us = 0;
    for step in 0..1_000_u64 {
        let elapsed_us = if step.is_multiple_of(2) { 80 } else { 1_800 };
        now_us += elapsed_us;
        let observation = Observation { endpoint: EndpointId::new("e", 1), positions: 1, elapsed_us };
        meter.on_observation(now_us, &observation, 0.0);
    }
    assert_eq!(meter.growth(now_us), Some(0.0));
}
