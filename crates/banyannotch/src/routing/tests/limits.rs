//! Guards against a limit that lets queues grow, that starves an entry, or that stays low after an overload.

use std::fmt::Write;

use insta::assert_snapshot;

use crate::routing::limiter::Limiter;

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
