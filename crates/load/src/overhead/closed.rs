//! Closed loop: keeps a fixed number of requests in progress.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use banyannotch::random::Random;
use futures_util::future::join_all;
use serde::Serialize;

use crate::client::{GenerationRequest, Generator, OutcomeKind};
use crate::workload::prompt;

/// Deadline of the requests; longer than a round, so that it does not affect the result.
const DEADLINE_MS: u64 = 60_000;

/// Parameters of a closed loop.
#[derive(Clone, Copy, Debug)]
pub struct ClosedLoop {
    /// Number of concurrent requests over all threads.
    pub concurrency: usize,
    /// Number of client threads.
    pub threads: usize,
    /// Number of words of a prompt.
    pub words: usize,
    /// Maximum number of tokens of an answer.
    pub tokens: u32,
    /// Duration of the load before the measured time.
    pub warm_up: Duration,
    /// Duration of the measurement.
    pub measured: Duration,
    /// Seed of the prompts.
    pub seed: u64,
}

/// Result of a closed loop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Round {
    /// Number of correct answers that ended in the measured time.
    pub right: u64,
    /// Number of tokens that arrived in the measured time.
    pub tokens: u64,
    /// Number of requests that ended otherwise in the measured time.
    pub other: u64,
    /// Duration of the measurement.
    pub seconds: f64,
}

impl Round {
    /// Returns the number of correct answers per second.
    pub fn requests_per_s(&self) -> f64 {
        if self.seconds > 0.0 { self.right as f64 / self.seconds } else { 0.0 }
    }

    /// Returns the number of tokens per second.
    pub fn tokens_per_s(&self) -> f64 {
        if self.seconds > 0.0 { self.tokens as f64 / self.seconds } else { 0.0 }
    }
}

/// Runs a closed loop. `generator` creates the client of each thread from a seed.
pub fn closed_loop<G: Generator>(shape: ClosedLoop, generator: impl Fn(u64) -> G + Sync) -> Round {
    let begin = Instant::now() + shape.warm_up;
    let rounds: Vec<Round> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..shape.threads.max(1))
            .map(|thread| {
                let generator = &generator;
                scope.spawn(move || {
                    actix_rt::System::new().block_on(run_thread(shape, thread, begin, generator))
                })
            })
            .collect();
        threads.into_iter().filter_map(|thread| thread.join().ok()).collect()
    });
    rounds.iter().fold(Round { seconds: shape.measured.as_secs_f64(), ..Round::default() }, |sum, round| {
        Round {
            right: sum.right + round.right,
            tokens: sum.tokens + round.tokens,
            other: sum.other + round.other,
            seconds: sum.seconds,
        }
    })
}

async fn run_thread<G: Generator>(
    shape: ClosedLoop,
    thread: usize,
    begin: Instant,
    generator: &impl Fn(u64) -> G,
) -> Round {
    let threads = shape.threads.max(1);
    // If the requests do not divide evenly, the first threads run one more each.
    let workers = shape.concurrency / threads + usize::from(thread < shape.concurrency % threads);
    let seed = shape.seed.wrapping_add(thread as u64);
    let client = generator(seed);
    let random = RefCell::new(Random::seeded(seed));
    let round = RefCell::new(Round::default());
    let end = begin + shape.measured;
    let worker = async || {
        while Instant::now() < end {
            let request = GenerationRequest {
                prompt: prompt(&mut random.borrow_mut(), shape.words),
                max_tokens: shape.tokens,
                deadline_ms: DEADLINE_MS,
            };
            let sent = Instant::now();
            let received = client.generate(&request).await;
            let within = |us: u64| (begin..end).contains(&(sent + Duration::from_micros(us)));
            let mut round = round.borrow_mut();
            round.tokens += received.token_times_us.iter().filter(|us| within(**us)).count() as u64;
            if within(received.outcome_us) {
                match received.kind {
                    OutcomeKind::Right => round.right += 1,
                    _ => round.other += 1,
                }
            }
        }
    };
    join_all((0..workers).map(|_| worker())).await;
    round.into_inner()
}
