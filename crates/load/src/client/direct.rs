//! Generations by a client that knows the engines and calls the stages itself.

use std::cell::{Cell, RefCell};
use std::time::Instant;

use banyannotch::engine::{CacheName, EndpointClient, Input, Output, StepError, StepRequest, Token};
use banyannotch::ids::{Attempt, CacheId, RequestId};
use banyannotch::pipeline::{Address, LayerRange};
use banyannotch::random::Random;
use banyannotch_standins::model::Model;

use super::messages::{Match, matches};
use super::routed::elapsed_us;
use super::{Ask, Generator, Kind, Received};
use crate::layout::{Site, Speed};

/// Longest time of one step.
const STEP_LIMIT_MS: u64 = 30_000;

/// Priority of steps; all have the same.
const PRIORITY: u8 = 1;

/// An engine, as this client sees it.
#[derive(Debug)]
pub struct Replica {
    /// Where it listens.
    pub address: Address,
    /// Its speed.
    pub speed: Speed,
    in_flight: Cell<u64>,
}

/// The engines that hold the same layers.
#[derive(Debug)]
pub struct DirectStage {
    /// The layers.
    pub layers: LayerRange,
    /// The engines.
    pub replicas: Vec<Replica>,
}

/// A client of one thread that sends each step to the engines itself, with the HTTP client that entries use.
pub struct Direct {
    client: EndpointClient,
    stages: Vec<DirectStage>,
    model: Model,
    random: RefCell<Random>,
}

impl Direct {
    /// Creates the client; the seed determines the names of requests and caches.
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

    /// Chooses the engine of a stage that this client has loaded least, relative to its speed.
    fn choose<'a>(&self, stage: &'a DirectStage) -> Option<&'a Replica> {
        stage.replicas.iter().min_by_key(|replica| {
            let limit = replica.speed.batch_limit;
            (replica.in_flight.get() + 1) * replica.speed.batch_us(limit) / limit.max(1)
        })
    }

    async fn run(
        &self,
        ask: &Ask,
        route: &[(LayerRange, &Replica, CacheId)],
        mut on_token: impl FnMut(u32),
    ) -> Result<(), StepError> {
        let request = RequestId(self.random.borrow_mut().bits());
        let mut input = Input::Prompt { prompt: ask.prompt.clone(), tokens: Vec::new() };
        let mut position = 0;
        for _ in 0..ask.max_tokens {
            let (token, count) = self.token(request, route, position, input).await?;
            position += count;
            on_token(token.id);
            if token.end {
                break;
            }
            input = Input::Tokens { tokens: vec![token.id] };
        }
        Ok(())
    }

    /// Runs all stages once and returns the token and the number of positions that ran.
    async fn token(
        &self,
        request: RequestId,
        route: &[(LayerRange, &Replica, CacheId)],
        position: u32,
        mut input: Input,
    ) -> Result<(Token, u32), StepError> {
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
            let answer = self.client.step(replica.address, &step, STEP_LIMIT_MS).await?;
            input = match answer.output {
                Output::Token(token) => return Ok((token, answer.count)),
                Output::Hidden(hidden) => Input::Hidden { hidden },
            };
        }
        Err(StepError::Status { status: 200 })
    }
}

impl Generator for Direct {
    async fn generate(&self, ask: &Ask) -> Received {
        let begin = Instant::now();
        let route: Vec<(LayerRange, &Replica, CacheId)> = self
            .stages
            .iter()
            .filter_map(|stage| {
                Some((stage.layers, self.choose(stage)?, CacheId(self.random.borrow_mut().bits())))
            })
            .collect();
        for (_, replica, _) in &route {
            replica.in_flight.set(replica.in_flight.get() + 1);
        }
        let (mut tokens, mut token_us) = (Vec::new(), Vec::new());
        let result = self
            .run(ask, &route, |id| {
                tokens.push(id);
                token_us.push(elapsed_us(begin));
            })
            .await;
        let whole_us = elapsed_us(begin);
        for (_, replica, cache) in &route {
            replica.in_flight.set(replica.in_flight.get() - 1);
            let (client, address, cache) =
                (self.client.clone(), replica.address, CacheName { cache: *cache });
            // The answer is whole; freeing the caches must not delay it, and engines free idle caches anyway.
            actix_rt::spawn(async move { client.cancel(address, cache, STEP_LIMIT_MS).await });
        }
        let matched = matches(&self.model, self.layers(), ask, &tokens);
        let (kind, reason) = match (matched, result) {
            (Match::Wrong, _) => (Kind::Wrong, "other_tokens".to_owned()),
            (_, Err(error)) => (Kind::Broken, error.to_string()),
            (Match::Whole, Ok(())) => (Kind::Right, String::new()),
            (Match::Part, Ok(())) => (Kind::Wrong, "too_few_tokens".to_owned()),
        };
        Received { kind, reason, request: None, token_us, whole_us }
    }
}
