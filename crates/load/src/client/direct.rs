//! Client that runs generations directly on the engines, without an entry.

use std::cell::{Cell, RefCell};
use std::time::Instant;

use banyannotch::engine::{CacheName, EndpointClient, EndpointError, Input, Output, StepRequest, Token};
use banyannotch::ids::{Attempt, CacheId, RequestId};
use banyannotch::pipeline::{Address, LayerRange};
use banyannotch::random::Random;
use banyannotch_standins::model::Model;

use super::messages::{TokenMatch, compare_tokens};
use super::routed::elapsed_us;
use super::{GenerationRequest, Generator, OutcomeKind, RequestResult};
use crate::layout::{Site, Speed};

/// Timeout of one step.
const STEP_TIMEOUT_MS: u64 = 30_000;

/// Priority of all steps.
const PRIORITY: u8 = 1;

/// One engine of a stage, with the number of generations that this client runs on it.
#[derive(Debug)]
pub struct Replica {
    /// Address of the engine.
    pub address: Address,
    /// Speed of the engine.
    pub speed: Speed,
    in_flight: Cell<u64>,
}

/// Engines that serve the same layers.
#[derive(Debug)]
pub struct DirectStage {
    /// Layers of the stage.
    pub layers: LayerRange,
    /// Engines of the stage.
    pub replicas: Vec<Replica>,
}

/// Single-threaded client that sends each step to the engines itself, with the HTTP client that entries use.
pub struct DirectClient {
    client: EndpointClient,
    stages: Vec<DirectStage>,
    model: Model,
    random: RefCell<Random>,
}

impl DirectClient {
    /// Creates the client. The seed determines the identifiers of requests and caches.
    pub fn new(client: EndpointClient, site: &Site, model: Model, seed: u64) -> Self {
        let engines = || site.layout.engines.iter().zip(&site.deployment.endpoints);
        let stages = site.layout.stages().into_iter().map(|layers| DirectStage {
            layers,
            replicas: engines()
                .filter(|(plan, _)| plan.layers == layers)
                .map(|(plan, endpoint)| Replica {
                    address: endpoint.listed.address,
                    speed: plan.speed,
                    in_flight: Cell::new(0),
                })
                .collect(),
        });
        Self { client, stages: stages.collect(), model, random: RefCell::new(Random::seeded(seed)) }
    }

    fn layers(&self) -> u16 {
        self.stages.last().map_or(0, |stage| stage.layers.end)
    }

    /// Returns the engine of a stage with the lowest load from this client, relative to its speed.
    fn least_loaded<'a>(&self, stage: &'a DirectStage) -> Option<&'a Replica> {
        stage.replicas.iter().min_by_key(|replica| {
            let limit = replica.speed.batch_limit;
            (replica.in_flight.get() + 1) * replica.speed.batch_us(limit) / limit.max(1)
        })
    }

    async fn run(
        &self,
        generation: &GenerationRequest,
        route: &[(LayerRange, &Replica, CacheId)],
        mut on_token: impl FnMut(u32),
    ) -> Result<(), EndpointError> {
        let request = RequestId(self.random.borrow_mut().bits());
        let mut input = Input::Prompt { prompt: generation.prompt.clone(), tokens: Vec::new() };
        let mut position = 0;
        for _ in 0..generation.max_tokens {
            let (token, count) = self.run_stages(request, route, position, input).await?;
            position += count;
            on_token(token.id);
            if token.end {
                break;
            }
            input = Input::Tokens { tokens: vec![token.id] };
        }
        Ok(())
    }

    /// Runs one step on each stage and returns the token and the number of positions that the steps covered.
    async fn run_stages(
        &self,
        request: RequestId,
        route: &[(LayerRange, &Replica, CacheId)],
        position: u32,
        mut input: Input,
    ) -> Result<(Token, u32), EndpointError> {
        for (layers, replica, cache) in route {
            let step = StepRequest {
                cache: *cache,
                request,
                attempt: Attempt(1),
                model: self.model.name.clone(),
                version: self.model.version,
                layers: *layers,
                position,
                input,
                priority: PRIORITY,
            };
            let answer = self.client.step(replica.address, &step, STEP_TIMEOUT_MS).await?;
            input = match answer.output {
                Output::Token(token) => return Ok((token, answer.count)),
                Output::Hidden(hidden) => Input::Hidden { hidden },
            };
        }
        // The last stage returned hidden states instead of a token, or the route has no stage.
        Err(EndpointError::Status { status: 200 })
    }
}

impl Generator for DirectClient {
    async fn generate(&self, generation: &GenerationRequest) -> RequestResult {
        let begin = Instant::now();
        let route: Vec<(LayerRange, &Replica, CacheId)> = self
            .stages
            .iter()
            .filter_map(|stage| {
                Some((stage.layers, self.least_loaded(stage)?, CacheId(self.random.borrow_mut().bits())))
            })
            .collect();
        for (_, replica, _) in &route {
            replica.in_flight.set(replica.in_flight.get() + 1);
        }
        let (mut tokens, mut token_times_us) = (Vec::new(), Vec::new());
        let result = self
            .run(generation, &route, |id| {
                tokens.push(id);
                token_times_us.push(elapsed_us(begin));
            })
            .await;
        let outcome_us = elapsed_us(begin);
        for (_, replica, cache) in &route {
            replica.in_flight.set(replica.in_flight.get() - 1);
            let (client, address, cache) =
                (self.client.clone(), replica.address, CacheName { cache: *cache });
            // The caches are freed in the background, so that this does not delay the result. Engines free
            // idle caches anyway.
            actix_rt::spawn(async move { client.cancel(address, cache, STEP_TIMEOUT_MS).await });
        }
        let matched = compare_tokens(&self.model, self.layers(), generation, &tokens);
        let (kind, reason) = match (matched, result) {
            (TokenMatch::Mismatch, _) => (OutcomeKind::Wrong, "other_tokens".to_owned()),
            (_, Err(error)) => (OutcomeKind::Broken, error.to_string()),
            (TokenMatch::Full, Ok(())) => (OutcomeKind::Right, String::new()),
            (TokenMatch::Prefix, Ok(())) => (OutcomeKind::Wrong, "too_few_tokens".to_owned()),
        };
        RequestResult { kind, reason, request: None, token_times_us, outcome_us }
    }
}
