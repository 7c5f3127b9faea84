//! Starts the deployment and runs both paths in turn.

use std::time::Duration;

use banyannotch::engine::EndpointClient;
use banyannotch::http::{Client, ClientSettings};
use banyannotch::random::Random;
use banyannotch_standins::caller::Caller;
use banyannotch_standins::harness::{DOCUMENT, LAYERS, MODEL, TOKEN};
use banyannotch_standins::model::Model;

use super::{ClosedLoop, OverheadOptions, OverheadReport, Round, RoundPair, Single, closed_loop};
use crate::client::{Ask, Direct, Generator, Kind, Received, Routed};
use crate::layout::{Site, start};
use crate::machine::{MachineSample, build_profile};
use crate::report::{Quantiles, print, write_json};
use crate::workload::prompt;
use crate::{Result, Verdict};

/// Time for connections to be made before a round is measured.
const WARM_UP: Duration = Duration::from_millis(500);

/// Deadline of a single request.
const SINGLE_DEADLINE_MS: u64 = 60_000;

/// Runs a closed loop without an entry.
///
/// # Errors
/// Returns [`crate::LoadError`] when the deployment does not start.
pub async fn direct(options: &OverheadOptions) -> Result<Verdict> {
    let site = begin(options).await?;
    let round = direct_round(options, &site, 0);
    show_round(options, "direct", &round)
}

/// Runs a closed loop through one entry.
///
/// # Errors
/// Returns [`crate::LoadError`] when the deployment does not start.
pub async fn routed(options: &OverheadOptions) -> Result<Verdict> {
    let site = begin(options).await?;
    let round = routed_round(options, &site, 0);
    show_round(options, "routed", &round)
}

/// Runs both paths in turn and reports what the entry costs. A request that is not answered right fails the command.
///
/// # Errors
/// Returns [`crate::LoadError`] when the deployment does not start.
pub async fn overhead(options: &OverheadOptions) -> Result<Verdict> {
    let site = begin(options).await?;
    let machine = MachineSample::take();
    let mut rounds = Vec::new();
    for number in 0..options.rounds as u64 {
        let direct = direct_round(options, &site, number);
        let routed = routed_round(options, &site, number);
        rounds.push(RoundPair { direct, routed });
    }
    let (single, wrong) = single(options, &site).await;
    let report = OverheadReport {
        seed: options.seed,
        profile: build_profile(),
        concurrency: options.concurrency,
        threads: options.threads,
        stage_us: options.speed().batch_us(1) * u64::from(LAYERS / 3),
        rounds,
        single,
        busy: MachineSample::take().busy_since(&machine),
    };
    print(&report.to_string())?;
    write_json(options.site_options.json.as_deref(), &report)?;
    let other: u64 = report.rounds.iter().map(|pair| pair.direct.other + pair.routed.other).sum();
    Ok(Verdict::of(other == 0 && wrong == 0))
}

async fn begin(options: &OverheadOptions) -> Result<Site> {
    start(options.site_options.binaries()?, options.layout(), DOCUMENT).await
}

fn show_round(options: &OverheadOptions, path: &str, round: &Round) -> Result<Verdict> {
    print(&format!(
        "{path} seed={} profile={} concurrency={} client_threads={} requests_per_s={:.1} tokens_per_s={:.1} other={}",
        options.seed,
        build_profile(),
        options.concurrency,
        options.threads,
        round.requests_per_s(),
        round.tokens_per_s(),
        round.other,
    ))?;
    write_json(options.site_options.json.as_deref(), round)?;
    Ok(Verdict::of(round.other == 0))
}

fn shape(options: &OverheadOptions, number: u64) -> ClosedLoop {
    ClosedLoop {
        concurrency: options.concurrency,
        threads: options.threads,
        words: options.words,
        tokens: options.tokens,
        warm_up: WARM_UP,
        measured: Duration::from_millis(options.round_ms),
        seed: options.seed.wrapping_add(number << 32),
    }
}

fn direct_round(options: &OverheadOptions, site: &Site, number: u64) -> Round {
    closed_loop(shape(options, number), |seed| direct_client(site, seed))
}

fn routed_round(options: &OverheadOptions, site: &Site, number: u64) -> Round {
    closed_loop(shape(options, number), |_| routed_client(site))
}

fn direct_client(site: &Site, seed: u64) -> Direct {
    let client = EndpointClient::new(Client::new(ClientSettings::default()));
    Direct::new(client, site, Model::new(MODEL, 1), seed)
}

fn routed_client(site: &Site) -> Routed {
    let entry = site.deployment.entries.first().map_or(site.deployment.list.address(), |entry| entry.callers);
    Routed { caller: Caller::new(TOKEN), entry, model: Model::new(MODEL, 1), layers: LAYERS }
}

/// Runs one request at a time on each path in turn. Returns the times and the number of requests that were not right.
async fn single(options: &OverheadOptions, site: &Site) -> (Single, usize) {
    let direct = direct_client(site, options.seed);
    let routed = routed_client(site);
    let mut random = Random::seeded(options.seed);
    let (mut by_direct, mut by_routed) = (Vec::new(), Vec::new());
    // The first pair makes the connections.
    for number in 0..=options.rounds {
        let ask = Ask {
            prompt: prompt(&mut random, options.words),
            max_tokens: options.single_tokens,
            deadline_ms: SINGLE_DEADLINE_MS,
        };
        let pair = (direct.generate(&ask).await, routed.generate(&ask).await);
        if number > 0 {
            by_direct.push(pair.0);
            by_routed.push(pair.1);
        }
    }
    let wrong = by_direct.iter().chain(&by_routed).filter(|received| received.kind != Kind::Right).count();
    let single = Single {
        direct: gaps(&by_direct),
        routed: gaps(&by_routed),
        direct_first: firsts(&by_direct),
        routed_first: firsts(&by_routed),
    };
    (single, wrong)
}

fn gaps(received: &[Received]) -> Quantiles {
    let gaps = received.iter().flat_map(|received| {
        received.token_us.iter().zip(received.token_us.iter().skip(1)).map(|(before, after)| after - before)
    });
    Quantiles::of(gaps)
}

fn firsts(received: &[Received]) -> Quantiles {
    Quantiles::of(received.iter().filter_map(|received| received.token_us.first().copied()))
}
