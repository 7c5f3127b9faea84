//! Fair shares under backlog, and recovery from an overload.

use super::fixtures::{Harness, TOKEN_US, TestRequest, configuration, preset};
use crate::ids::{RequestId, TeamId};

/// Returns the number of tokens of a team's placed requests, if each has the given number.
fn placed_tokens(harness: &Harness, team: &str, tokens: u32) -> f64 {
    let team = TeamId::from(team);
    let count = harness.placed_us.keys().filter(|request| harness.teams[*request] == team).count();
    count as f64 * f64::from(tokens)
}

/// Guards against shares that follow the number or the length of the requests instead of the weights.
#[test]
fn shares_follow_the_weights_under_backlog() {
    let configuration = configuration(&[("a", 1), ("b", 3)], preset(8, 200));
    let mut harness = Harness::new(&configuration, 4);
    let end_us = harness.now_us + 1_000 * TOKEN_US;
    // Team a sends many long requests, team b short ones.
    while harness.now_us < end_us {
        for (team, tokens) in [("a", 40), ("b", 5)] {
            while harness.submit_unless_50_wait(team, tokens) {}
        }
        harness.run_until(harness.now_us + 20 * TOKEN_US);
    }
    let ratio = placed_tokens(&harness, "b", 5) / placed_tokens(&harness, "a", 40);
    assert!(
        (2.4..=3.6).contains(&ratio),
        "weights of 3 to 1 gave token shares of {ratio:.2} to 1, expected 2.4 to 3.6"
    );
}

impl Harness {
    /// Submits a request unless 50 of the team wait. Returns whether it was submitted.
    fn submit_unless_50_wait(&mut self, team: &'static str, tokens: u32) -> bool {
        let id = TeamId::from(team);
        let waiting = self.teams.iter().filter(|(request, owner)| {
            **owner == id && !self.placed_us.contains_key(request) && !self.refused.contains_key(request)
        });
        if waiting.count() >= 50 {
            return false;
        }
        self.submit(TestRequest { team, tokens, ..TestRequest::default() });
        true
    }
}

/// Guards against a share that stays unused while requests of another team wait.
#[test]
fn unused_share_is_used_by_other_teams() {
    let configuration = configuration(&[("a", 1), ("b", 99)], preset(8, 200));
    let mut harness = Harness::new(&configuration, 4);
    let start_us = harness.now_us;
    for _ in 0..100 {
        harness.submit(TestRequest::default());
    }
    harness.run_until(u64::MAX / 4);
    let end_us = harness.ended_us.values().max().expect("requests ended");
    assert_eq!(end_us - start_us, 25 * 10 * TOKEN_US, "time to run 100 requests on four slots");
}

/// Guards against a small team whose requests wait behind all queued requests of a large team.
#[test]
fn backlog_of_a_large_team_does_not_delay_a_small_team() {
    for burst in [10, 50, 190] {
        let configuration = configuration(&[("large", 1), ("small", 1)], preset(8, 200));
        let mut harness = Harness::new(&configuration, 4);
        for _ in 0..burst {
            harness.submit(TestRequest { team: "large", tokens: 20, ..TestRequest::default() });
        }
        let mut waits_us = Vec::new();
        for _ in 0..5 {
            harness.run_until(harness.now_us + 30 * TOKEN_US);
            let request = harness.submit(TestRequest { team: "small", tokens: 5, ..TestRequest::default() });
            harness.run_until(harness.now_us + 30 * TOKEN_US);
            waits_us.push(harness.waited_us(request));
        }
        // Running requests are not interrupted, so a request waits until one of four requests of 20 tokens
        // ends.
        assert!(
            waits_us.iter().all(|wait_us| *wait_us <= 20 * TOKEN_US),
            "waits in microseconds after a burst of {burst}: {waits_us:?}"
        );
    }
}

/// Guards against a team that accumulates credit while it is idle and then delays the other teams.
#[test]
fn idle_team_does_not_accumulate_credit() {
    let configuration = configuration(&[("a", 1), ("b", 1)], preset(8, 200));
    let mut harness = Harness::new(&configuration, 1);
    for _ in 0..50 {
        harness.submit(TestRequest { team: "a", ..TestRequest::default() });
    }
    harness.run_until(u64::MAX / 4);
    let first: Vec<RequestId> =
        (0..40).map(|_| harness.submit(TestRequest { team: "a", ..TestRequest::default() })).collect();
    let second: Vec<RequestId> =
        (0..40).map(|_| harness.submit(TestRequest { team: "b", ..TestRequest::default() })).collect();
    harness.run_until(harness.now_us + 400 * TOKEN_US);
    let placed = |requests: &[RequestId]| {
        requests.iter().filter(|request| harness.placed_us.contains_key(request)).count()
    };
    let (a, b) = (placed(&first), placed(&second));
    assert!(
        a.abs_diff(b) <= 2,
        "{a} and {b} of 40 requests placed for teams of equal weight, expected at most 2 apart"
    );
}

/// Submits requests at a load given as a share of the capacity of four slots. Returns the numbers of
/// submitted requests and of those that ended in time.
fn offer_load(harness: &mut Harness, load_percent: u64, requests: u64) -> (usize, usize) {
    let tokens = 10;
    let interval_us = u64::from(tokens) * TOKEN_US * 100 / 4 / load_percent;
    let mut submitted = Vec::new();
    for _ in 0..requests {
        let deadline_us = harness.now_us + 60 * TOKEN_US;
        submitted.push(harness.submit(TestRequest { tokens, deadline_us, ..TestRequest::default() }));
        harness.run_until(harness.now_us + interval_us);
    }
    harness.run_until(harness.now_us + 100 * TOKEN_US);
    let on_time = submitted.iter().filter(|request| {
        harness.ended_us.get(request).is_some_and(|ended_us| *ended_us <= harness.deadlines_us[*request])
    });
    (submitted.len(), on_time.count())
}

/// Guards against goodput that falls when the load exceeds the capacity, and against refusals that continue
/// after an overload.
#[test]
fn goodput_holds_in_an_overload_and_recovers_afterwards() {
    let configuration = configuration(&[("a", 1)], preset(100, 200));
    let mut harness = Harness::new(&configuration, 4);
    let (submitted, on_time) = offer_load(&mut harness, 50, 500);
    assert_eq!(on_time, submitted, "requests on time before the overload");
    let (submitted, on_time) = offer_load(&mut harness, 200, 2_000);
    assert!(
        on_time * 2 >= submitted * 92 / 100,
        "{on_time} of {submitted} on time at twice the capacity, expected at least 46 %"
    );
    // For a while, endpoints are four times slower than routing reports.
    harness.slowdown = 4;
    offer_load(&mut harness, 200, 1_000);
    harness.slowdown = 1;
    offer_load(&mut harness, 50, 500);
    let (submitted, on_time) = offer_load(&mut harness, 50, 500);
    assert_eq!(on_time, submitted, "requests on time after the overload");
}

/// Guards against a pessimistic prediction that causes every request to be refused and is therefore never
/// corrected.
#[test]
fn prediction_that_refuses_all_requests_decays() {
    let configuration = configuration(&[("a", 1)], preset(100, 200));
    let mut harness = Harness::new(&configuration, 4);
    harness.slowdown = 4;
    for _ in 0..50 {
        harness.submit(TestRequest::default());
        harness.run_until(harness.now_us + 50 * TOKEN_US);
    }
    harness.slowdown = 1;
    let is_admitted = |harness: &mut Harness| {
        let deadline_us = harness.now_us + 15 * TOKEN_US;
        let request = harness.submit(TestRequest { deadline_us, ..TestRequest::default() });
        harness.run_until(harness.now_us + 100 * TOKEN_US);
        harness.placed_us.contains_key(&request)
    };
    assert!(
        !is_admitted(&mut harness),
        "the request was placed, so the prediction is not pessimistic and the test shows nothing"
    );
    let placed = (0..600).filter(|_| is_admitted(&mut harness)).count();
    assert!(placed > 300, "{placed} of 600 requests placed in a minute, expected more than 300");
}
