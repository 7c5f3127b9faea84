//! What a seed does: faults one after the other, some of them overlapping.

use banyannotch::random::Random;
use banyannotch_standins::fleet::{Fault, Link, StoreFault};

/// Faults of one run.
const STEPS: usize = 12;
/// Longest pause before a fault, and longest time that it lasts, in milliseconds. Several faults fall into one pause.
const PAUSE_MS: usize = 500;
/// See [`PAUSE_MS`].
const LENGTH_MS: usize = 1_500;

/// One fault. Numbers name a gateway or an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// The link of a gateway's callers.
    Callers(usize, Link),
    /// Reset of the connections of a gateway's callers.
    ResetCallers(usize),
    /// The link between a gateway and the store.
    Store(usize, Link),
    /// The store, for all.
    StoreFault(StoreFault),
    /// The store forgets all but the newest record of each key.
    Compact,
    /// The link to an endpoint.
    Endpoint(usize, Link),
    /// Reset of the connections to an endpoint.
    ResetEndpoint(usize),
    /// Answers of an endpoint.
    Answers(usize, Fault),
    /// SIGKILL of a gateway, and a new start at the same address.
    Kill(usize),
    /// SIGTERM of a gateway, and a new start when it has ended.
    Stop(usize),
    /// SIGSTOP of a gateway, and SIGCONT.
    Pause(usize),
    /// SIGHUP of a gateway.
    HangUp(usize),
    /// A key is taken away and another one comes.
    ChangeKeys,
    /// The same, while a gateway does not reach the store for longer than a key may still be used.
    ChangeKeysBehindCut(usize),
}

/// A fault, the pause before it, and how long it lasts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    pub pause_ms: u64,
    pub length_ms: u64,
    pub trouble: Trouble,
}

/// Draws the faults of a seed.
pub fn plan(seed: u64, gateways: usize, endpoints: usize) -> Vec<Step> {
    let mut random = Random::seeded(seed);
    (0..STEPS)
        .map(|_| Step {
            pause_ms: random.below(PAUSE_MS) as u64,
            length_ms: 200 + random.below(LENGTH_MS) as u64,
            trouble: trouble(&mut random, gateways, endpoints),
        })
        .collect()
}

fn trouble(random: &mut Random, gateways: usize, endpoints: usize) -> Trouble {
    let gateway = random.below(gateways);
    let endpoint = random.below(endpoints);
    let links = [Link::Delayed(40), Link::Delayed(400), Link::Silent, Link::OneWay, Link::Refusing];
    let link = links[random.below(links.len())];
    let store = [
        StoreFault::Down,
        StoreFault::RateExceeded,
        StoreFault::Silent,
        StoreFault::Reset,
        StoreFault::AnswerLost,
    ];
    let answers = [
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
        0 => Trouble::Callers(gateway, link),
        1 => Trouble::ResetCallers(gateway),
        2 => Trouble::Store(gateway, link),
        3 => Trouble::StoreFault(store[random.below(store.len())]),
        4 => Trouble::Compact,
        5 => Trouble::Endpoint(endpoint, link),
        6 => Trouble::ResetEndpoint(endpoint),
        7 => Trouble::Answers(endpoint, answers[random.below(answers.len())]),
        8 => Trouble::Kill(gateway),
        9 => Trouble::Stop(gateway),
        10 => Trouble::Pause(gateway),
        11 => Trouble::HangUp(gateway),
        12 => Trouble::ChangeKeys,
        // Answers go wrong in the most ways, so they have the largest share.
        13 => Trouble::ChangeKeysBehindCut(gateway),
        _ => Trouble::Answers(endpoint, answers[random.below(answers.len())]),
    }
}
