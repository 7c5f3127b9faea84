//! Draws the faults of a seed. They start one after the other, and some of them overlap.

use banyannotch::random::Random;
use banyannotch_standins::fleet::{Fault, Link, StoreFault};

/// Number of faults in a run.
const STEP_COUNT: usize = 12;
/// Number of steps in a run of planned work.
const PLANNED_STEP_COUNT: usize = 16;
/// Shortest time limit that a change of the configuration sets for routes, in milliseconds.
pub const SHORTEST_ROUTE_TIMEOUT_MS: u64 = 3_000;
/// Upper bound of the pause before a fault, in milliseconds. It is shorter than most faults, so several faults overlap.
const PAUSE_LIMIT_MS: usize = 500;
/// Width of the range that the duration of a fault is drawn from, in milliseconds.
const DURATION_RANGE_MS: usize = 1_500;

/// Number of times that the store comes back from a backup in a run with this fault.
const REWIND_COUNT: usize = 3;
/// Upper bound of the age of a backup, in milliseconds.
const REWIND_LIMIT_MS: usize = 3_000;
/// Number of times that a gateway loses its links to the endpoints in a run with this fault.
const STRAND_COUNT: usize = 4;
/// Makes these losses independent of the other faults of a seed.
const STRAND_SEED: u64 = 0x5eed_0002;
/// Makes the ages of backups independent of the other faults of a seed.
const REWIND_SEED: u64 = 0x5eed_0001;

/// A fault to inject. The number is the index of a gateway or an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Injection {
    /// Changes the link between a gateway and its callers.
    Callers(usize, Link),
    /// Resets the connections of a gateway's callers.
    ResetCallers(usize),
    /// Changes the link between a gateway and the store.
    Store(usize, Link),
    /// Sets a fault of the store, which affects all gateways.
    StoreFault(StoreFault),
    /// Compacts the store, which then retains only the newest record of each key.
    Compact,
    /// Replaces the content of the store by a copy that is this many milliseconds old. The operator and the endpoints write
    /// their records again after the duration of the fault.
    Rewind(u64),
    /// Changes the link to an endpoint.
    Endpoint(usize, Link),
    /// Resets the connections to an endpoint.
    ResetEndpoint(usize),
    /// Sets a fault of an endpoint, which affects its responses.
    EndpointFault(usize, Fault),
    /// Sends SIGKILL to a gateway and restarts it at the same addresses after a pause.
    Kill(usize),
    /// Sends SIGTERM to a gateway and restarts it as soon as it has ended.
    Stop(usize),
    /// Sends SIGSTOP to a gateway, and SIGCONT after a pause.
    Pause(usize),
    /// Sends SIGHUP to a gateway.
    HangUp(usize),
    /// Replaces the API key.
    ChangeKeys,
    /// Replaces the API key while a gateway cannot reach the store for longer than a revoked key may still be used.
    ChangeKeysDuringPartition(usize),
    /// Changes the configuration once.
    Reconfigure(Change),
    /// Changes the configuration many times in series.
    ReconfigureOften(Change, Change),
    /// Holds back all data of the endpoints whose bits are set, for about a second. New connections are accepted.
    Silence(u32),
    /// Resets the connections to an endpoint and refuses new ones, as after a crash.
    Crash(usize),
    /// Writes entries of endpoints that cannot be used.
    UnusableEntries,
    /// Changes the links between a gateway and all endpoints; other gateways keep theirs.
    Strand(usize, Link),
}

/// A change of the configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// Sets the time after which idle connections of callers are closed, in milliseconds.
    IdleTimeout(u64),
    /// Sets the time limit of all routes, in milliseconds.
    RouteTimeout(u64),
    /// Sets the number of routes besides those that are used.
    Routes(usize),
    /// Replaces the API key.
    Keys,
}

/// A fault, the pause before it, and its duration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    pub pause_ms: u64,
    pub duration_ms: u64,
    pub injection: Injection,
}

/// Draws the faults of a seed.
pub fn plan(seed: u64, gateways: usize, endpoints: usize) -> Vec<Step> {
    let mut random = Random::seeded(seed);
    (0..STEP_COUNT)
        .map(|_| Step {
            pause_ms: random.below(PAUSE_LIMIT_MS) as u64,
            duration_ms: 200 + random.below(DURATION_RANGE_MS) as u64,
            injection: draw_injection(&mut random, gateways, endpoints),
        })
        .collect()
}

/// Draws the faults of a seed, among which the store comes back from a backup.
pub fn plan_with_rewinds(seed: u64, gateways: usize, endpoints: usize) -> Vec<Step> {
    let mut random = Random::seeded(seed ^ REWIND_SEED);
    let mut steps = plan(seed, gateways, endpoints);
    for part in 1..=REWIND_COUNT {
        let index = steps.len() * part / (REWIND_COUNT + 1);
        let step = Step {
            pause_ms: random.below(PAUSE_LIMIT_MS) as u64,
            duration_ms: 200 + random.below(DURATION_RANGE_MS) as u64,
            injection: Injection::Rewind(random.below(REWIND_LIMIT_MS) as u64),
        };
        steps.insert(index, step);
    }
    steps
}

/// Draws the faults of a seed, among which gateways lose their links to all endpoints.
pub fn plan_with_stranded_gateways(seed: u64, gateways: usize, endpoints: usize) -> Vec<Step> {
    let mut random = Random::seeded(seed ^ STRAND_SEED);
    let mut steps = plan(seed, gateways, endpoints);
    for part in 1..=STRAND_COUNT {
        let index = steps.len() * part / (STRAND_COUNT + 1);
        let link = [Link::Refusing, Link::Silent, Link::OneWay][random.below(3)];
        let step = Step {
            pause_ms: random.below(PAUSE_LIMIT_MS) as u64,
            duration_ms: 200 + random.below(2 * DURATION_RANGE_MS) as u64,
            injection: Injection::Strand(random.below(gateways), link),
        };
        steps.insert(index, step);
    }
    steps
}

/// Draws planned work, endpoints that are silent for a while, and endpoints that break off. The gateways and their
/// callers are not disrupted.
pub fn plan_of_planned_work(seed: u64, gateways: usize, endpoints: usize) -> Vec<Step> {
    let mut random = Random::seeded(seed);
    let faults =
        [Fault::Hang, Fault::Unframed, Fault::BreakAfter(3), Fault::LoseAnswer, Fault::PauseAfter(3)];
    (0..PLANNED_STEP_COUNT)
        .map(|_| {
            let (gateway, endpoint) = (random.below(gateways), random.below(endpoints));
            let injection = match random.below(14) {
                0..3 => Injection::Stop(gateway),
                3 => Injection::HangUp(gateway),
                4 | 5 => Injection::Reconfigure(draw_change(&mut random)),
                6 => Injection::ReconfigureOften(draw_change(&mut random), draw_change(&mut random)),
                7..10 => Injection::Silence(random.below(1 << endpoints) as u32),
                10 => Injection::Crash(endpoint),
                11 => Injection::UnusableEntries,
                _ => Injection::EndpointFault(endpoint, faults[random.below(faults.len())]),
            };
            Step {
                pause_ms: random.below(PAUSE_LIMIT_MS) as u64,
                duration_ms: 1_000 + random.below(200) as u64,
                injection,
            }
        })
        .collect()
}

fn draw_change(random: &mut Random) -> Change {
    match random.below(4) {
        0 => Change::IdleTimeout([1_000, 2_500, 15_000][random.below(3)]),
        1 => Change::RouteTimeout([SHORTEST_ROUTE_TIMEOUT_MS, 6_000][random.below(2)]),
        2 => Change::Routes([0, 30, 400][random.below(3)]),
        _ => Change::Keys,
    }
}

fn draw_injection(random: &mut Random, gateways: usize, endpoints: usize) -> Injection {
    let gateway = random.below(gateways);
    let endpoint = random.below(endpoints);
    let links = [Link::Delayed(40), Link::Delayed(400), Link::Silent, Link::OneWay, Link::Refusing];
    let link = links[random.below(links.len())];
    let store_faults = [
        StoreFault::Down,
        StoreFault::RateExceeded,
        StoreFault::Silent,
        StoreFault::Reset,
        StoreFault::AnswerLost,
    ];
    let endpoint_faults = [
        Fault::BreakAfter(3),
        Fault::TearAfter(2),
        Fault::StallAfter(4),
        Fault::SkipAfter(2),
        Fault::EndInsideAfter(3),
        Fault::LoseAnswer,
        Fault::Garble,
        Fault::Truncate,
        Fault::ForeignFirst,
        Fault::ForeignOnly,
        Fault::Unsigned,
        Fault::NotRun,
        Fault::Ambiguous,
        Fault::Fail,
        Fault::Extra,
    ];
    match random.below(18) {
        0 => Injection::Callers(gateway, link),
        1 => Injection::ResetCallers(gateway),
        2 => Injection::Store(gateway, link),
        3 => Injection::StoreFault(store_faults[random.below(store_faults.len())]),
        4 => Injection::Compact,
        5 => Injection::Endpoint(endpoint, link),
        6 => Injection::ResetEndpoint(endpoint),
        7 => Injection::EndpointFault(endpoint, endpoint_faults[random.below(endpoint_faults.len())]),
        8 => Injection::Kill(gateway),
        9 => Injection::Stop(gateway),
        10 => Injection::Pause(gateway),
        11 => Injection::HangUp(gateway),
        12 => Injection::ChangeKeys,
        13 => Injection::ChangeKeysDuringPartition(gateway),
        // Endpoints have more kinds of faults than the other parts, so these have the largest share.
        _ => Injection::EndpointFault(endpoint, endpoint_faults[random.below(endpoint_faults.len())]),
    }
}
