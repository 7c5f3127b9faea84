//! Runs random fault scripts over several entries and the log. Guards against a key that runs twice, a false
//! "not run", and an outcome that changes after it was recorded.

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

use super::world::{AppendDelivery, End, Phase, World, small_settings};
use crate::ledger::{LedgerSettings, RecordedOutcome, Verdict};
use crate::request::{NotRun, UnknownReason};

const NODES: usize = 3;
const KEYS: usize = 3;

/// One step of a script. The numbers select a node, a key, a request or a duration.
#[derive(Clone, Debug)]
enum Step {
    Submit {
        node: usize,
        key: usize,
        payload: u128,
        wait: usize,
    },
    /// Submits a request and ends the append of its claim.
    Claim {
        node: usize,
        key: usize,
        delivery: AppendDelivery,
    },
    /// Submits and executes a request on a healthy system, and ends the append of its outcome.
    Run {
        node: usize,
        key: usize,
        end: End,
        delivery: AppendDelivery,
    },
    Abandon {
        request: usize,
    },
    Execute {
        request: usize,
        end: End,
        late: bool,
    },
    Append {
        node: usize,
        delivery: AppendDelivery,
    },
    ApplyDelayedAppend,
    Read {
        node: usize,
        max: usize,
    },
    Pump {
        node: usize,
    },
    Advance {
        span: usize,
    },
    Pause {
        node: usize,
    },
    Resume {
        node: usize,
    },
    Stop {
        node: usize,
    },
    Start {
        node: usize,
    },
    LogDown,
    LogUp,
    Truncate,
}

const WAITS_MS: [u64; 5] = [20, 60, 300, 2_000, 10_000];
const SPANS_MS: [u64; 10] = [1, 4, 4, 30, 100, 400, 3_000, 9_000, 25_000, 70_000];
const DELIVERIES: [AppendDelivery; 6] = [
    AppendDelivery::Done,
    AppendDelivery::Done,
    AppendDelivery::AnswerLost,
    AppendDelivery::Lost,
    AppendDelivery::Refused,
    AppendDelivery::Delayed,
];
const ENDS: [End; 5] = [End::Completed, End::Completed, End::Failed, End::NotRun, End::Unknown];

fn below(random: &mut Gen, bound: usize) -> usize {
    usize::arbitrary(random) % bound
}

fn one<T: Copy>(random: &mut Gen, choices: &[T]) -> T {
    choices[below(random, choices.len())]
}

impl Arbitrary for Step {
    fn arbitrary(random: &mut Gen) -> Self {
        let node = below(random, NODES);
        match below(random, 100) {
            0..6 => Self::Claim { node, key: below(random, KEYS), delivery: one(random, &DELIVERIES) },
            6..10 => Self::Run {
                node,
                key: below(random, KEYS),
                end: one(random, &ENDS),
                delivery: one(random, &DELIVERIES),
            },
            10..20 => Self::Submit {
                node,
                key: below(random, KEYS),
                payload: u128::from(below(random, 8) == 0),
                wait: below(random, WAITS_MS.len()),
            },
            20..23 => Self::Abandon { request: below(random, 16) },
            23..37 => Self::Execute {
                request: below(random, 16),
                end: one(random, &ENDS),
                late: below(random, 3) == 0,
            },
            37..52 => Self::Append { node, delivery: one(random, &DELIVERIES) },
            52..56 => Self::ApplyDelayedAppend,
            56..68 => Self::Read { node, max: 1 + below(random, 3) },
            68..74 => Self::Pump { node },
            74..88 => Self::Advance { span: below(random, SPANS_MS.len()) },
            88..91 => Self::Pause { node },
            91..94 => Self::Resume { node },
            94..95 => Self::Stop { node },
            95..97 => Self::Start { node },
            97 => Self::LogDown,
            98 => Self::LogUp,
            _ => Self::Truncate,
        }
    }
}

fn apply_step(world: &mut World, step: &Step) {
    let count = world.requests.len();
    match step {
        Step::Submit { node, key, payload, wait } => {
            world.submit(*node, *key, *payload, WAITS_MS[*wait]);
        }
        Step::Claim { node, key, delivery } => {
            world.submit(*node, *key, 0, 2_000);
            append(world, *node, *delivery);
        }
        Step::Run { node, key, end, delivery } => {
            if let Some(request) = world.submit(*node, *key, 0, 2_000) {
                world.advance(4);
                world.pump(*node);
                world.execute(request, *end, false);
                world.execute(request, *end, false);
                append(world, *node, *delivery);
            }
        }
        Step::Abandon { request } if count > 0 => world.abandon(count - 1 - request % count),
        Step::Execute { request, end, late } if count > 0 => {
            world.execute(count - 1 - request % count, *end, *late);
        }
        Step::Abandon { .. } | Step::Execute { .. } => {}
        Step::Append { node, delivery } => {
            for shard in 0..world.settings.shards {
                world.append(*node, shard, *delivery);
            }
        }
        Step::ApplyDelayedAppend => world.apply_delayed_append(),
        Step::Read { node, max } => {
            for shard in 0..world.settings.shards {
                world.read(*node, shard, *max);
            }
        }
        Step::Pump { node } => world.pump(*node),
        Step::Advance { span } => world.advance(SPANS_MS[*span]),
        Step::Pause { node } => world.pause(*node),
        Step::Resume { node } => world.resume(*node),
        Step::Stop { node } => world.stop(*node),
        Step::Start { node } => world.start(*node),
        Step::LogDown => world.log_down = true,
        Step::LogUp => world.log_down = false,
        Step::Truncate => {
            for shard in 0..world.settings.shards {
                world.truncate(shard);
            }
        }
    }
}

fn append(world: &mut World, node: usize, delivery: AppendDelivery) {
    world.advance(4);
    for shard in 0..world.settings.shards {
        world.append(node, shard, delivery);
    }
}

/// Ends all faults and runs the world until every request has finished.
fn recover_all(world: &mut World) {
    world.log_down = false;
    for node in 0..NODES {
        if world.nodes[node].ledger.is_none() {
            world.start(node);
        }
        world.resume(node);
    }
    for _ in 0..8 {
        world.apply_delayed_append();
    }
    settle(world, 1_200);
    execute_all(world);
    // After this time every claim is answered, and every holder is past its deadline and grace period.
    settle(world, 15_000);
    execute_all(world);
    settle(world, 600);
}

fn execute_all(world: &mut World) {
    for request in 0..world.requests.len() {
        world.execute(request, End::Completed, false);
        world.execute(request, End::Completed, false);
    }
}

fn settle(world: &mut World, ms: u64) {
    for _ in 0..3 {
        (0..NODES).for_each(|node| world.pump(node));
        world.advance(ms / 3);
    }
    (0..NODES).for_each(|node| world.pump(node));
}

/// Resends each key through the first and the last node, and checks that the answers agree with what ran.
fn check_agreement(world: &mut World) {
    for key in 0..KEYS {
        let Some(idempotency_key) = world.keys[key].clone() else { continue };
        let expiry_ms = world.settings.expiry_ms(&idempotency_key);
        if world.may_expire_early || world.log_ms() + 10_000 > expiry_ms {
            continue;
        }
        let payload = ran(world, key).unwrap_or_default();
        for node in [0, NODES - 1] {
            let Some(request) = world.submit(node, key, payload, 5_000) else { continue };
            settle(world, 240);
            check_resend(world, key, request);
            world.execute(request, End::Completed, false);
            world.execute(request, End::Completed, false);
            settle(world, 30);
        }
    }
}

fn ran(world: &World, key: usize) -> Option<u128> {
    let ran = world.requests.iter().find(|request| request.key == key && has_run(&request.phase));
    ran.map(|request| request.payload.0)
}

fn has_run(phase: &Phase) -> bool {
    match phase {
        Phase::Dispatched(_) => true,
        Phase::Ended(outcome) => !matches!(outcome, RecordedOutcome::NotRun(_)),
        Phase::Claimed | Phase::Granted(_) => false,
    }
}

fn check_resend(world: &mut World, key: usize, request: usize) {
    let answer = world.requests[request].answer.clone();
    let ran = ran(world, key).is_some();
    let fits = match &answer {
        Some(Verdict::Granted(_)) => !ran,
        Some(Verdict::Recorded(_)) => ran,
        // If the holder stopped before it recorded an outcome, its key stays undecided and keeps the holder's
        // payload.
        Some(Verdict::Refused(NotRun::KeyConflict)) => !ran && world.stopped,
        Some(Verdict::Unknown(UnknownReason::HolderLost)) => world.stopped,
        Some(Verdict::Unknown(_) | Verdict::Refused(_)) | None => false,
    };
    if !fits {
        world.report_fault(format!("resend of key {key} on a healthy system (ran: {ran}) gets {answer:?}"));
    }
}

fn run(steps: &[Step], settings: LedgerSettings, journal: bool) -> World {
    let may_expire_early = settings.index_limit_bytes < 1 << 16;
    let mut world = World::new(settings, NODES, KEYS);
    world.may_expire_early = may_expire_early;
    world.journal = journal.then(String::new);
    for node in 0..NODES {
        world.pump(node);
    }
    for step in steps {
        if journal {
            world.note(format_args!("-- {step:?}"));
        }
        apply_step(&mut world, step);
    }
    recover_all(&mut world);
    check_agreement(&mut world);
    world
}

fn holds(steps: &[Step], settings: &LedgerSettings) -> TestResult {
    let world = run(steps, settings.clone(), false);
    match world.fault {
        None => TestResult::passed(),
        Some(fault) => {
            let journal = run(steps, settings.clone(), true).journal.unwrap_or_default();
            TestResult::error(format!("{fault}\n{journal}"))
        }
    }
}

/// Checks a property with random scripts of up to `length` steps. The environment variables `LEDGER_CASES`
/// and `LEDGER_SEED` override the number of scripts and the seed.
fn check(length: usize, cases: u64, property: fn(Vec<Step>) -> TestResult) {
    let cases = number("LEDGER_CASES").unwrap_or(cases);
    let random = Gen::from_size_and_seed(length, number("LEDGER_SEED").unwrap_or(1));
    QuickCheck::new().rng(random).tests(cases).max_tests(cases).quickcheck(property);
}

fn number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

#[test]
fn a_key_runs_at_most_once_under_short_scripts() {
    check(30, 16_000, |steps| holds(&steps, &small_settings()));
}

#[test]
fn a_key_runs_at_most_once_under_long_scripts() {
    check(150, 3_000, |steps| holds(&steps, &small_settings()));
}

#[test]
fn a_key_runs_at_most_once_with_a_small_index() {
    check(60, 4_000, |steps| holds(&steps, &LedgerSettings { index_limit_bytes: 300, ..small_settings() }));
}

#[test]
fn a_key_runs_at_most_once_over_two_shards() {
    check(60, 4_000, |steps| holds(&steps, &LedgerSettings { shards: 2, ..small_settings() }));
}
