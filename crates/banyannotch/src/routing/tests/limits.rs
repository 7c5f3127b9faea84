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
        ("unused", Some(1.0), 3),
        ("used", Some(1.0), 12),
        ("used at the bound", Some(2.5), 13),
        ("congested", Some(2.6), 13),
        ("congested", Some(9.0), 13),
        ("idle again", None, 0),
    ];
    for (name, growth, in_flight) in situations {
        let limit = limiter.adapt(growth, in_flight, 2.0, 12.0);
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
    assert!((80..=110).contains(&limit), "the limit is {limit} where 100 requests wait as long as allowed");
    for _ in 0..200 {
        limit = limiter.adapt(growth(limit, 4.0), limit, 1.0, 10.0);
    }
    assert!((8..=12).contains(&limit), "the limit is {limit} after most endpoints were lost");
    for _ in 0..500 {
        limit = limiter.adapt(growth(limit, 40.0), limit, 1.0, 10.0);
    }
    assert!((80..=110).contains(&limit), "the limit is {limit} after the endpoints came back");
}

#[test]
fn limit_leaves_a_share_when_everything_is_slow() {
    let mut limiter = Limiter::default();
    let limits = (0..1_000).map(|_| limiter.adapt(Some(50.0), 100, 3.0, 10.0));
    assert_eq!(limits.last(), Some(3));
}
