//! JSON bodies of the endpoints' protocol.

use serde::{Deserialize, Serialize};

use crate::ids::{
    Attempt, CacheId, FencingNumber, Incarnation, InstanceId, ModelId, ModelVersion, RequestId, ServiceId,
};
use crate::pipeline::LayerRange;

/// One step of one stage: run the layers for some positions of one cache.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StepRequest {
    /// Cache that the step extends.
    pub cache: CacheId,
    /// Request that it belongs to.
    pub request: RequestId,
    /// Attempt of the request.
    pub attempt: Attempt,
    /// Model that is expected.
    pub model: ModelId,
    /// Version of it that is expected.
    pub version: ModelVersion,
    /// Layers that are expected.
    #[serde(flatten)]
    pub layers: LayerRange,
    /// Number of positions that the cache has to hold already.
    pub position: u32,
    /// What goes into the first layer of the range.
    pub input: Input,
    /// Higher runs first.
    pub priority: u8,
}

/// Input of a step.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Input {
    /// Prompt text and tokens that are known already, for the first stage.
    Prompt {
        /// Prompt text.
        prompt: String,
        /// Tokens after the prompt.
        tokens: Vec<u32>,
    },
    /// Tokens, for the first stage.
    Tokens {
        /// Token numbers.
        tokens: Vec<u32>,
    },
    /// Activations from the stage before, one for each position.
    Hidden {
        /// One value for each position.
        hidden: Vec<u64>,
    },
}

/// Answer to a step. It echoes what identifies the step, so that another step's answer is not mistaken for it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StepAnswer {
    /// Cache of the step.
    pub cache: CacheId,
    /// Request of the step.
    pub request: RequestId,
    /// Attempt of the step.
    pub attempt: Attempt,
    /// Layers that ran.
    #[serde(flatten)]
    pub layers: LayerRange,
    /// First position that ran.
    pub position: u32,
    /// Number of positions that ran.
    pub count: u32,
    /// What came out of the last layer of the range.
    pub output: Output,
}

/// Output of a step.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Output {
    /// Activations for the next stage, one for each position.
    Hidden(Vec<u64>),
    /// The next token, from the stage that ends the model.
    Token(Token),
}

/// One generated token.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Token {
    /// Token number.
    pub id: u32,
    /// Text of the token.
    pub text: String,
    /// Whether the answer ends here.
    pub end: bool,
}

/// An endpoint's answer that nothing ran (HTTP 409).
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Reason: `cache_mismatch`, `wrong_layers`, `wrong_version`, `unknown_model`, `leaving`, `busy`, `bad_input`,
    /// `refused` or `stale_fencing`.
    pub error: String,
    /// What the endpoint would have accepted.
    #[serde(default)]
    pub expected: serde_json::Value,
}

/// Names a cache, to cancel or export it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheName {
    /// Cache.
    pub cache: CacheId,
}

/// A whole cache, as exported and imported.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheState {
    /// Cache to create on import.
    pub cache: CacheId,
    /// Number of positions.
    pub positions: u32,
    /// Opaque state of the layers.
    pub state: Vec<u64>,
}

/// Load report of an engine; its figures lag by `age_ms`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineLoad {
    /// Instance that reports.
    pub instance: InstanceId,
    /// Start of the instance.
    pub incarnation: Incarnation,
    /// Model that is loaded.
    pub model: ModelId,
    /// Version that is loaded.
    pub version: ModelVersion,
    /// Layers that are loaded.
    #[serde(flatten)]
    pub layers: LayerRange,
    /// Steps in the running batch.
    pub running: u32,
    /// Steps that wait.
    pub queued: u32,
    /// Batches that finished since the start; not lagged, so that progress can be seen.
    pub batches: u64,
    /// Mean time of a decode step.
    pub step_us: u64,
    /// Mean time of one prompt position.
    pub prefill_us_per_position: u64,
    /// Positions in use in the caches.
    pub cache_used: u64,
    /// Positions that fit.
    pub cache_limit: u64,
    /// Whether the instance is leaving.
    pub leaving: bool,
    /// Age of the figures.
    pub age_ms: u64,
}

/// Load report of a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceLoad {
    /// Instance that reports.
    pub instance: InstanceId,
    /// Start of the instance.
    pub incarnation: Incarnation,
    /// Service that it offers.
    pub service: ServiceId,
    /// Calls that are running.
    pub running: u32,
    /// Whether the instance is leaving.
    pub leaving: bool,
}

/// A page of cache events.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvents {
    /// Where the next page begins.
    pub next: u64,
    /// Events; sequence numbers may have gaps.
    pub events: Vec<CacheEvent>,
}

/// One change of an engine's prefix cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Sequence number.
    pub seq: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// Digest of the prefix, as [`crate::request::digest`] of its text.
    pub prefix: crate::ids::Fingerprint,
}

/// What happened to a prefix.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// It is in the cache now.
    Stored,
    /// It is no longer there.
    Evicted,
}

/// Order to hold a range of layers of a model version. It states the wanted state, so sending it twice is harmless.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// Fencing number of the sender's lease.
    pub fencing: FencingNumber,
    /// Model to hold.
    pub model: ModelId,
    /// Version to hold.
    pub version: ModelVersion,
    /// Layers to hold.
    #[serde(flatten)]
    pub layers: LayerRange,
}

/// Call of a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallRequest {
    /// Operation of the service.
    pub operation: String,
    /// Argument.
    pub payload: serde_json::Value,
    /// Caller's key, for the service's records.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
}

/// Answer of a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallAnswer {
    /// Result.
    pub result: serde_json::Value,
}
