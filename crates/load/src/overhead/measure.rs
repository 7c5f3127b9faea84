//! Starts the deployment and measures the direct and the routed path in turn.

use std::time::Duration;

use banyannotch::engine::EndpointClient;
use banyannotch::http::{Client, ClientSettings};
use banyannotch::random::Random;
use banyannotch_standins::caller::Caller;
use banyannotch_standins::harness::{DOCUMENT, LAYERS, MODEL, TOKEN};
use banyannotch_standins::model::Model;

use super::{ClosedLoop, OverheadOptions, OverheadReport, Round, RoundPair, Single, closed_loop};
use crate::client::{DirectClient, GenerationRequest, Generator, OutcomeKind, RequestResult, RoutedClient};
use crate::layout::{Site, start};
use crate::machine::{MachineSample, build_profile};
use crate::report::{Quantiles, print, write_json};
use crate::workload::prompt;
use crate::{Result, Verdict};

/// Time before the measurement of a round, in which connections are established.
const WARM_UP: Duration = Duration::from_millis(500);

/// Deadline of a single request.
const SINGLE_DEADLINE_MS: u64 = 60_000;

/// Runs a closed loop without an entry.
///
/// # Errors
/// Returns [`crate::LoadError`] when the deployment does not start.
pub async fn direct(options: &OverheadOptions) -> Result<Verdict> {
    let site = start_site(options).await?;
    let round = direct_round(options, &site, 0);
    report_round(options, "direct", &round)
}

/// Runs a closed loop through one entry.
///
/// # Errors
/// Returns [`crate::LoadError`] when the deployment does not start.
pub async fn routed(options: &OverheadOptions) -> Result<Verdict> {
    let site = start_site(options).await?;
    let round = routed_round(options, &site, 0);
    report_round(options, "routed", &round)
}

/// Runs both paths in turn and reports the overhead of the entry. Any request without a correct answer fails
/// the command.
///
/// # Errors
/// Returns [`crate::LoadError`] when the deployment does not start.
pub async fn overhead(options: &OverheadOptions) -> Result<Verdict> {
    let site = start_site(options).await?;
    let machine = MachineSample::take();
    let mut rounds = Vec::new();
    for number in 0..options.rounds as u64 {
        let direct = direct_round(options, &site, number);
        let routed = routed_round(options, &site, number);
        rounds.push(RoundPair { direct, routed });
    }
    let (single, wrong) = run_single_requests(options, &site).await;
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

async fn start_site(options: &OverheadOptions) -> Result<Site> {
    start(options.site_options.binaries()?, options.layout(), DOCUMENT).await
}

fn report_round(options: &OverheadOptions, path: &str, round: &Round) -> Result<Verdict> {
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

fn direct_client(site: &Site, seed: u64) -> DirectClient {
    let client = EndpointClient::new(Client::new(ClientSettings::default()));
    DirectClient::new(client, site, Model::new(MODEL, 1), seed)
}

fn routed_client(site: &Site) -> RoutedClient {
    let entry = site.deployment.entries.first().map_or(site.deployment.list.address(), |entry| entry.callers);
    RoutedClient { caller: Caller::new(TOKEN), entry, model: Model::new(MODEL, 1), layers: LAYERS }
}

/// Runs one request at a time on each path in turn. Returns the latencies and the number of requests without
/// a correct answer.
async fn run_single_requests(options: &OverheadOptions, site: &Site) -> (Single, usize) {
    let direct = direct_client(site, options.seed);
    let routed = routed_client(site);
    let mut random = Random::seeded(options.seed);
    let (mut by_direct, mut by_routed) = (Vec::new(), Vec::new());
    // The first pair of requests establishes the connections and is not counted.
    for number in 0..=options.rounds {
        let request = GenerationRequest {
            prompt: prompt(&mut random, options.words),
            max_tokens: options.single_tokens,
            deadline_ms: SINGLE_DEADLINE_MS,
        };
        let pair = (direct.generate(&request).await, routed.generate(&request).await);
        if number > 0 {
            by_direct.push(pair.0);
            by_routed.push(pair.1);
        }
    }
    let wrong =
        by_direct.iter().chain(&by_routed).filter(|received| received.kind != OutcomeKind::Right).count();
    let single = Single {
        direct: token_gaps(&by_direct),
        routed: token_gaps(&by_routed),
        direct_first: first_token_times(&by_direct),
        routed_first: first_token_times(&by_routed),
    };
    (single, wrong)
}

fn token_gaps(received: &[RequestResult]) -> Quantiles {
    let gaps = received.iter().flat_map(|received| {
        received
            .token_times_us
            .iter()
            .zip(received.token_times_us.iter().skip(1))
            .map(|(before, after)| after - before)
    });
    Quantiles::of(gaps)
}

fn first_token_times(received: &[RequestResult]) -> Quantiles {
    Quantiles::of(received.iter().filter_map(|received| received.token_times_us.first().copied()))
}
