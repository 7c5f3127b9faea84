//! Fair shares under backlog, and the way back from an overload.

use super::fixtures::{Ask, Bench, TOKEN_US, configuration, preset};
use crate::ids::{RequestId, TeamId};

/// Returns the tokens that each team's requests placed up to a time.
fn served(bench: &Bench, team: &str, tokens: u32) -> f64 {
    let team = TeamId::from(team);
    let count = bench.placed_us.keys().filter(|request| bench.teams[*request] == team).count();
    count as f64 * f64::from(tokens)
}

/// Guards against shares that follow the number or the length of requests in place of the weights.
#[test]
fn shares_follow_the_weights_under_backlog() {
    let configuration = configuration(&[("a", 1), ("b", 3)], preset(8, 200));
    let mut bench = Bench::new(&configuration, 4);
    let end_us = bench.now_us + 1_000 * TOKEN_US;
    // Team a sends many long requests, team b short ones.
    while bench.now_us < end_us {
        for (team, tokens) in [("a", 40), ("b", 5)] {
            while bench.submit_if_few_wait(team, tokens) {}
        }
        bench.run_until(bench.now_us + 20 * TOKEN_US);
    }
    let ratio = served(&bench, "b", 5) / served(&bench, "a", 40);
    assert!((2.4..=3.6).contains(&ratio), "weights 3 to 1 gave {ratio:.2} to 1");
}

impl Bench {
    /// Submits a request unless the team has 50 that wait. Returns whether it did.
    fn submit_if_few_wait(&mut self, team: &'static str, tokens: u32) -> bool {
        let id = TeamId::from(team);
        let waiting = self.teams.iter().filter(|(request, of)| {
            **of == id && !self.placed_us.contains_key(request) && !self.refused.contains_key(request)
        });
        if waiting.count() >= 50 {
            return false;
        }
        self.submit(Ask { team, tokens, ..Ask::default() });
        true
    }
}

/// Guards against a share that stays unused while another team waits.
#[test]
fn an_unused_share_is_lent() {
    let configuration = configuration(&[("a", 1), ("b", 99)], preset(8, 200));
    let mut bench = Bench::new(&configuration, 4);
    let start_us = bench.now_us;
    for _ in 0..100 {
        bench.submit(Ask::default());
    }
    bench.run_until(u64::MAX / 4);
    let end_us = bench.ended_us.values().max().expect("requests ended");
    assert_eq!(end_us - start_us, 25 * 10 * TOKEN_US, "four slots were not always in use");
}

/// Guards against a small team that waits behind everything that a large team has queued.
#[test]
fn a_large_team_does_not_make_a_small_one_late() {
    for burst in [10, 50, 190] {
        let configuration = configuration(&[("large", 1), ("small", 1)], preset(8, 200));
        let mut bench = Bench::new(&configuration, 4);
        for _ in 0..burst {
            bench.submit(Ask { team: "large", tokens: 20, ..Ask::default() });
        }
        let mut waits_us = Vec::new();
        for _ in 0..5 {
            bench.run_until(bench.now_us + 30 * TOKEN_US);
            let request = bench.submit(Ask { team: "small", tokens: 5, ..Ask::default() });
            bench.run_until(bench.now_us + 30 * TOKEN_US);
            waits_us.push(bench.waited_us(request));
        }
        // Nothing is interrupted, so the wait lasts until the next of four requests of 20 tokens ends.
        assert!(waits_us.iter().all(|wait_us| *wait_us <= 20 * TOKEN_US), "burst of {burst}: {waits_us:?}");
    }
}

/// Guards against a team that has saved up a claim while it was idle and then shuts out the others.
#[test]
fn an_idle_team_does_not_save_up_its_share() {
    let configuration = configuration(&[("a", 1), ("b", 1)], preset(8, 200));
    let mut bench = Bench::new(&configuration, 1);
    for _ in 0..50 {
        bench.submit(Ask { team: "a", ..Ask::default() });
    }
    bench.run_until(u64::MAX / 4);
    let first: Vec<RequestId> = (0..40).map(|_| bench.submit(Ask { team: "a", ..Ask::default() })).collect();
    let second: Vec<RequestId> = (0..40).map(|_| bench.submit(Ask { team: "b", ..Ask::default() })).collect();
    bench.run_until(bench.now_us + 400 * TOKEN_US);
    let placed = |requests: &[RequestId]| {
        requests.iter().filter(|request| bench.placed_us.contains_key(request)).count()
    };
    let (a, b) = (placed(&first), placed(&second));
    assert!(a.abs_diff(b) <= 2, "{a} and {b} of 40");
}

/// Submits at a load in relation to what four slots can do and returns the numbers of submitted and on-time requests.
fn offer(bench: &mut Bench, load_percent: u64, requests: u64) -> (usize, usize) {
    let tokens = 10;
    let interval_us = u64::from(tokens) * TOKEN_US * 100 / 4 / load_percent;
    let mut submitted = Vec::new();
    for _ in 0..requests {
        let deadline_us = bench.now_us + 60 * TOKEN_US;
        submitted.push(bench.submit(Ask { tokens, deadline_us, ..Ask::default() }));
        bench.run_until(bench.now_us + interval_us);
    }
    bench.run_until(bench.now_us + 100 * TOKEN_US);
    let on_time = submitted.iter().filter(|request| {
        bench.ended_us.get(request).is_some_and(|ended_us| *ended_us <= bench.deadlines_us[*request])
    });
    (submitted.len(), on_time.count())
}

/// Guards against goodput that falls past the bound, and against refusals that go on after an overload.
#[test]
fn goodput_holds_in_an_overload_and_returns_to_normal() {
    let configuration = configuration(&[("a", 1)], preset(100, 200));
    let mut bench = Bench::new(&configuration, 4);
    let (submitted, on_time) = offer(&mut bench, 50, 500);
    assert_eq!(on_time, submitted, "before the overload");
    let (submitted, on_time) = offer(&mut bench, 200, 2_000);
    assert!(on_time * 2 >= submitted * 92 / 100, "{on_time} of {submitted} at twice the bound");
    // Endpoints become four times slower than routing reports, for a while.
    bench.slowness = 4;
    offer(&mut bench, 200, 1_000);
    bench.slowness = 1;
    offer(&mut bench, 50, 500);
    let (submitted, on_time) = offer(&mut bench, 50, 500);
    assert_eq!(on_time, submitted, "after the overload");
}

/// Guards against a pessimistic prediction that refuses every request and is therefore never corrected.
#[test]
fn a_prediction_that_refuses_everything_fades() {
    let configuration = configuration(&[("a", 1)], preset(100, 200));
    let mut bench = Bench::new(&configuration, 4);
    bench.slowness = 4;
    for _ in 0..50 {
        bench.submit(Ask::default());
        bench.run_until(bench.now_us + 50 * TOKEN_US);
    }
    bench.slowness = 1;
    let ask = |bench: &mut Bench| {
        let deadline_us = bench.now_us + 15 * TOKEN_US;
        let request = bench.submit(Ask { deadline_us, ..Ask::default() });
        bench.run_until(bench.now_us + 100 * TOKEN_US);
        bench.placed_us.contains_key(&request)
    };
    assert!(!ask(&mut bench), "the prediction is not pessimistic, so the test shows nothing");
    let placed = (0..600).filter(|_| ask(&mut bench)).count();
    assert!(placed > 300, "{placed} of 600 in a minute");
}
