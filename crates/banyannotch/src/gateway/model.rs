//! The configuration in force and the endpoints, as the operator and the endpoints state them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ids::{ServiceId, TeamId, Zone};
use crate::pipeline::{Address, LayerRange};

/// What may be done again with a request of a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeat {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of a caller.
    Once,
    /// A stream that must not run twice.
    StreamOnce,
    /// A stream that another endpoint may continue after the last delivered event.
    StreamResumable,
}

impl Repeat {
    /// Returns whether the answer is a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::StreamOnce | Self::StreamResumable)
    }

    /// Returns whether a request may be sent again after it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::StreamResumable)
    }
}

/// A service of a route and its share of the route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Share relative to the other targets.
    pub weight: u32,
}

/// Selects services by host and path prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Host of the requests.
    pub host: Arc<str>,
    /// Beginning of the path; ends with a slash.
    pub prefix: Arc<str>,
    /// Operator's name of the route.
    pub name: Arc<str>,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Longest time until the final answer, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective, in milliseconds; for streams up to the first event.
    pub objective_ms: u64,
    /// Longest pause between two events of a stream that is still on time, in milliseconds.
    pub pause_ms: u64,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services that serve the route.
    pub targets: Vec<Target>,
    /// Most endpoints that may run one attempt of a caller.
    pub endpoint_limit: u32,
    /// Requests need no key.
    pub anonymous: bool,
}

/// A kind of accelerator card.
#[derive(Clone, Debug, PartialEq)]
pub struct Accelerator {
    /// Name of the kind.
    pub name: Arc<str>,
    /// Memory for layers and requests, in megabytes.
    pub memory_mb: f64,
    /// Factor on the time of a decoding step.
    pub step_factor: f64,
    /// Factor on the time of reading a prompt.
    pub read_factor: f64,
}

/// What is known of the engines of a service whose model spans several engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Pipeline {
    /// Layers of the model.
    pub layers: u16,
    /// Size of a layer, in megabytes.
    pub layer_mb: f64,
    /// Bytes of KV cache for a token over all layers.
    pub token_bytes: f64,
    /// Time of a decoding step over all layers, in milliseconds, before the factor of the card.
    pub step_ms: f64,
    /// Addition to a step for each request that is decoding, in milliseconds.
    pub sequence_ms: f64,
    /// Prompt tokens read a second over all layers, before the factor of the card.
    pub read_tokens_s: f64,
    /// Decoding steps in one pass.
    pub stride: u32,
    /// Time to load all layers, in seconds.
    pub load_s: f64,
    /// Mean prompt, in tokens.
    pub usual_prompt_tokens: f64,
    /// Mean answer, in tokens.
    pub usual_answer_tokens: f64,
    /// Bytes that a token hands from one engine to the next.
    pub activation_bytes: f64,
    /// Bandwidth between two zones that all engines share, in megabits a second.
    pub pipe_mbps: f64,
    /// Longest one-way delay between two zones, in milliseconds.
    pub zone_delay_ms: f64,
    /// Kinds of cards, sorted by name.
    pub accelerators: Vec<Accelerator>,
}

impl Pipeline {
    /// Returns the kind of card of the given name.
    pub fn accelerator(&self, name: &str) -> Option<&Accelerator> {
        let index = self.accelerators.binary_search_by(|kind| (*kind.name).cmp(name)).ok()?;
        self.accelerators.get(index)
    }

    /// Returns the KV cache of a card in tokens times layers: the memory that `count` layers leave.
    pub fn cache_size(&self, memory_mb: f64, count: u16) -> f64 {
        /// Bytes in a megabyte, as the sizes of cards and layers count them.
        const MEGABYTE: f64 = 1e6;
        let free_mb = (memory_mb - f64::from(count) * self.layer_mb).max(0.0);
        let layer_token_bytes = self.token_bytes / f64::from(self.layers.max(1));
        free_mb * MEGABYTE / layer_token_bytes.max(1.0)
    }

    /// Returns how long a request is delayed by one change of zone on its path: its prompt goes through the shared pipe,
    /// and each token of the answer takes the delay.
    pub fn zone_change_ms(&self, prompt_tokens: f64, answer_tokens: f64) -> f64 {
        /// Bits of a megabit, and milliseconds of a second, in one factor for bytes.
        const BYTES_PER_MS_PER_MBPS: f64 = 125.0;
        let transfer_ms =
            prompt_tokens * self.activation_bytes / (self.pipe_mbps * BYTES_PER_MS_PER_MBPS).max(1.0);
        transfer_ms + answer_tokens * self.zone_delay_ms
    }

    /// Returns how many layers fit into the given share of a card's memory.
    pub fn layers_within(&self, memory_mb: f64, share: f64) -> u16 {
        if self.layer_mb <= 0.0 {
            return self.layers;
        }
        let fitting = (memory_mb * share / self.layer_mb).floor().clamp(0.0, f64::from(self.layers));
        fitting as u16
    }
}

/// A service that endpoints provide.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub id: ServiceId,
    /// Path of the health check.
    pub health_path: Arc<str>,
    /// Most connections that one endpoint accepts from all callers.
    pub connection_limit: usize,
    /// Present when the endpoints are engines that hold layers.
    pub pipeline: Option<Arc<Pipeline>>,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time to send a head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Longest idle time of a connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self { head_bytes: 16_384, body_bytes: 1 << 20, head_timeout_ms: 3_000, idle_timeout_ms: 15_000 }
    }
}

/// A team and its rank.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Team {
    /// Name of the team.
    pub id: TeamId,
    /// Rank that goes before the route's; 0 is the most urgent.
    pub priority: Option<u8>,
}

/// A key and the team that holds it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Credential {
    /// The secret key.
    pub key: Arc<str>,
    /// Index of the team.
    pub team: usize,
}

/// One version of the configuration, whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Deployment {
    /// Version; increases with each change.
    pub version: u64,
    /// Routes, sorted by host and prefix.
    pub routes: Vec<Route>,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// Bounds on callers.
    pub limits: CallerLimits,
    /// Teams.
    pub teams: Vec<Team>,
    /// Keys, sorted.
    pub credentials: Vec<Credential>,
    /// Whether requests need a key at all.
    pub keyed: bool,
}

impl Deployment {
    /// Returns the route of the host whose prefix is the longest that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let from = self.routes.partition_point(|route| *route.host < *host);
        let of_host = self.routes.get(from..).unwrap_or_default();
        of_host
            .iter()
            .take_while(|route| *route.host == *host)
            .filter(|route| path.starts_with(&*route.prefix))
            .max_by_key(|route| route.prefix.len())
    }

    /// Returns the service of the given name.
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        let index = self.services.binary_search_by(|service| service.id.cmp(id)).ok()?;
        self.services.get(index)
    }

    /// Returns the team that holds the key.
    pub fn team(&self, key: &str) -> Option<&Team> {
        let index = self.credentials.binary_search_by(|known| (*known.key).cmp(key)).ok()?;
        self.teams.get(self.credentials.get(index)?.team)
    }
}

/// An endpoint as it describes itself. Plain services hold no layers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Engine {
    /// Name of this start of the endpoint, unless it restarted under the same name.
    pub id: Arc<str>,
    /// Unix time of the start, in milliseconds; tells two starts under one name apart.
    pub born_ms: u64,
    /// Service that it provides.
    pub service: ServiceId,
    /// Where it listens.
    pub address: Address,
    /// Its zone.
    pub zone: Zone,
    /// Requests that it runs at once.
    pub slots: u32,
    /// It takes no new work.
    pub leaving: bool,
    /// Kind of its card.
    pub accelerator: Option<Arc<str>>,
    /// Layers that it holds.
    pub layers: Option<LayerRange>,
}
