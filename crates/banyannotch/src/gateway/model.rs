//! The configuration that the operator publishes, and the endpoints as they describe themselves.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{ServiceId, TeamId, Zone};
use crate::pipeline::{Address, LayerRange};

/// Longest time in a configuration, in milliseconds: a day. Adapters replace longer ones by it, so that sums and multiples
/// of times do not overflow.
pub const LONGEST_TIME_MS: u64 = 86_400_000;

/// Whether a request of a route may run again after a failure, and how its response is delivered.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RetryMode {
    /// Single response; the request may run more than once.
    Idempotent,
    /// Single response; the request runs at most once for each attempt of the caller.
    Once,
    /// Event stream; the request runs at most once for each attempt of the caller.
    StreamOnce,
    /// Event stream that another endpoint may resume after the last delivered event.
    StreamResumable,
}

impl RetryMode {
    /// Returns whether the response is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::StreamOnce | Self::StreamResumable)
    }

    /// Returns whether a request may be sent again when an endpoint may already have run it.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::StreamResumable)
    }
}

/// A service that a route sends requests to, with its traffic weight.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Weight relative to the other targets of the route.
    pub weight: u32,
}

/// Maps a host and a path prefix to services.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Host that requests must name, in lower case.
    pub host: Arc<str>,
    /// Path prefix that requests must have; ends with a slash.
    pub prefix: Arc<str>,
    /// Name that the operator gave the route.
    pub name: Arc<str>,
    /// Whether requests may run again, and how their responses are delivered.
    pub retry_mode: RetryMode,
    /// Timeout until the complete response, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective, in milliseconds. For streams it covers the time to the first event.
    pub objective_ms: u64,
    /// Objective for the longest gap between two events of a stream, in milliseconds.
    pub event_gap_objective_ms: u64,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Services that requests are distributed over.
    pub targets: Vec<Target>,
    /// Maximum number of endpoints that may run one attempt of a caller.
    pub endpoint_limit: u32,
    /// Whether requests are accepted without a key.
    pub anonymous: bool,
}

/// A type of accelerator card.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Accelerator {
    /// Name of the card type.
    pub name: Arc<str>,
    /// Memory for layers and KV cache, in megabytes.
    pub memory_mb: f64,
    /// Factor on [`Pipeline::step_ms`]; above 1 the card decodes more slowly.
    pub step_factor: f64,
    /// Factor on the duration of prefill at [`Pipeline::prefill_tokens_per_s`]; above 1 the card is slower.
    pub read_factor: f64,
}

/// Size and performance of a model whose layers are distributed over several engines.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Pipeline {
    /// Number of layers of the model.
    pub layers: u16,
    /// Size of a layer, in megabytes.
    pub layer_mb: f64,
    /// KV cache for one token over all layers, in bytes.
    pub token_bytes: f64,
    /// Duration of a decoding step over all layers, in milliseconds, for a card with factor 1.
    pub step_ms: f64,
    /// Time that each concurrently decoding request adds to a step, in milliseconds.
    pub sequence_ms: f64,
    /// Prefill throughput over all layers, in tokens per second, for a card with factor 1.
    pub prefill_tokens_per_s: f64,
    /// Number of decoding steps in one pass through the pipeline.
    pub stride: u32,
    /// Time to load all layers of the model, in seconds.
    pub load_s: f64,
    /// Mean length of a prompt, in tokens.
    pub usual_prompt_tokens: f64,
    /// Mean length of an answer, in tokens.
    pub usual_answer_tokens: f64,
    /// Activations that one engine passes to the next for each token, in bytes.
    pub activation_bytes: f64,
    /// Bandwidth between two zones, shared by all engines, in megabits per second.
    pub zone_link_mbps: f64,
    /// Maximum one-way delay between two zones, in milliseconds.
    pub zone_delay_ms: f64,
    /// Card types, sorted by name.
    pub accelerators: Vec<Accelerator>,
}

impl Pipeline {
    /// Returns the card type with the given name.
    pub fn accelerator(&self, name: &str) -> Option<&Accelerator> {
        let index = self.accelerators.binary_search_by(|kind| (*kind.name).cmp(name)).ok()?;
        self.accelerators.get(index)
    }

    /// Returns whether a range has layers, and none that the model does not have.
    pub fn has_layers(&self, range: LayerRange) -> bool {
        !range.is_empty() && range.end <= self.layers
    }

    /// Returns the KV cache capacity of a card that holds `count` layers, in tokens times layers. The cache takes the
    /// memory that the layers leave free.
    pub fn cache_size(&self, memory_mb: f64, count: u16) -> f64 {
        /// Bytes in a megabyte; the sizes of cards and layers are decimal.
        const MEGABYTE: f64 = 1e6;
        let free_mb = (memory_mb - f64::from(count) * self.layer_mb).max(0.0);
        let layer_token_bytes = self.token_bytes / f64::from(self.layers.max(1));
        free_mb * MEGABYTE / layer_token_bytes.max(1.0)
    }

    /// Returns the delay that one change of zone on the path adds to a request, in milliseconds: the transfer of the
    /// prompt's activations over the shared link, plus the one-way delay for each token of the answer.
    pub fn zone_change_ms(&self, prompt_tokens: f64, answer_tokens: f64) -> f64 {
        /// Bytes per millisecond at a bandwidth of one megabit per second.
        const BYTES_PER_MS_PER_MBPS: f64 = 125.0;
        let transfer_ms =
            prompt_tokens * self.activation_bytes / (self.zone_link_mbps * BYTES_PER_MS_PER_MBPS).max(1.0);
        transfer_ms + answer_tokens * self.zone_delay_ms
    }

    /// Returns the number of layers that fit into the given share of a card's memory.
    pub fn layers_within(&self, memory_mb: f64, share: f64) -> u16 {
        if self.layer_mb <= 0.0 {
            return self.layers;
        }
        let fitting = (memory_mb * share / self.layer_mb).floor().clamp(0.0, f64::from(self.layers));
        fitting as u16
    }
}

/// A service that endpoints provide.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Name of the service.
    pub id: ServiceId,
    /// Path of the health check.
    pub health_path: Arc<str>,
    /// Maximum number of connections that one endpoint accepts from all clients together.
    pub connection_limit: usize,
    /// Model of the service; none for a plain service, whose endpoints hold no layers.
    pub pipeline: Option<Arc<Pipeline>>,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a request head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Time after which an idle connection is closed, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self { head_bytes: 16_384, body_bytes: 1 << 20, head_timeout_ms: 3_000, idle_timeout_ms: 15_000 }
    }
}

/// A team and its priority.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Team {
    /// Name of the team.
    pub id: TeamId,
    /// Priority that overrides the priority of the route; 0 is the highest.
    pub priority: Option<u8>,
}

/// An API key and the team that it belongs to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Credential {
    /// The API key, which is a secret.
    pub key: Arc<str>,
    /// Index into [`Configuration::teams`].
    pub team: usize,
}

/// One complete version of the configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Configuration {
    /// Version, which increases with each change.
    pub version: u64,
    /// Routes, sorted by host and prefix.
    pub routes: Vec<Route>,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Teams.
    pub teams: Vec<Team>,
    /// API keys, sorted by key.
    pub credentials: Vec<Credential>,
    /// Whether routes require a key unless they are anonymous.
    pub keyed: bool,
}

impl Configuration {
    /// Returns the route of the host with the longest prefix that matches the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let from = self.routes.partition_point(|route| *route.host < *host);
        let of_host = self.routes.get(from..).unwrap_or_default();
        of_host
            .iter()
            .take_while(|route| *route.host == *host)
            .filter(|route| path.starts_with(&*route.prefix))
            .max_by_key(|route| route.prefix.len())
    }

    /// Returns the service with the given name.
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        let index = self.services.binary_search_by(|service| service.id.cmp(id)).ok()?;
        self.services.get(index)
    }

    /// Returns the team that the key belongs to.
    pub fn team(&self, key: &str) -> Option<&Team> {
        let index = self.credentials.binary_search_by(|credential| (*credential.key).cmp(key)).ok()?;
        self.teams.get(self.credentials.get(index)?.team)
    }
}

/// An endpoint of a service, an engine or a replica of a plain service, as it describes itself in the store. A replica
/// of a plain service has neither a card nor layers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Endpoint {
    /// Name of the endpoint. It usually changes with each start of the endpoint, but may be reused.
    pub id: Arc<str>,
    /// Unix time of the start, in milliseconds, which distinguishes two starts with the same name.
    pub born_ms: u64,
    /// Service that the endpoint belongs to.
    pub service: ServiceId,
    /// Address that the endpoint listens on.
    pub address: Address,
    /// Zone of the endpoint.
    pub zone: Zone,
    /// Maximum number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Whether the endpoint is draining and accepts no new requests.
    pub leaving: bool,
    /// Type of its card; see [`Accelerator::name`].
    pub accelerator: Option<Arc<str>>,
    /// Layers that the engine holds.
    pub layers: Option<LayerRange>,
}

/// Maximum length of each name in an endpoint's entry, in bytes. With longer ones the changes of endpoints would not fit
/// into a datagram between gateways.
pub const NAME_LIMIT_BYTES: usize = 200;

/// Latest start of an endpoint that is believed, as Unix time in milliseconds: the year 2100. An entry with a later one
/// would be in the way of all that the endpoint writes itself, because the entry of the latest start counts.
const LATEST_START_MS: u64 = 4_102_444_800_000;

/// Why no request can be sent to an endpoint as it describes itself.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum EndpointError {
    /// A name is empty, too long, or cannot be part of a header or of a log line.
    #[error(
        "the name of the {0} is empty, longer than {NAME_LIMIT_BYTES} bytes, or has spaces or control characters"
    )]
    Name(&'static str),
    /// No process listens on such an address.
    #[error("no process listens on {0}")]
    Address(Address),
    /// The start is in the far future.
    #[error("the start at {0} ms is in the far future")]
    Start(u64),
}

impl Endpoint {
    /// Checks that the endpoint can be used. The names go into the heads of requests, where a line break in one would
    /// begin another header.
    ///
    /// # Errors
    /// Returns the first [`EndpointError`] that is found.
    pub fn check(&self) -> std::result::Result<(), EndpointError> {
        let names = [
            ("endpoint", Some(&*self.id)),
            ("service", Some(self.service.as_str())),
            ("zone", Some(self.zone.as_str())),
            ("accelerator", self.accelerator.as_deref()),
        ];
        let is_unusable = |name: &str| {
            let has_separator =
                name.chars().any(|character| character.is_whitespace() || character.is_control());
            name.is_empty() || name.len() > NAME_LIMIT_BYTES || has_separator
        };
        if let Some((owner, _)) = names.iter().find(|(_, name)| name.is_some_and(is_unusable)) {
            return Err(EndpointError::Name(owner));
        }
        if self.address.port() == 0 || self.address.ip().is_unspecified() {
            return Err(EndpointError::Address(self.address));
        }
        if self.born_ms > LATEST_START_MS {
            return Err(EndpointError::Start(self.born_ms));
        }
        Ok(())
    }
}
