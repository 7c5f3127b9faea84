//! JSON bodies of the protocol of the endpoints.

use serde::{Deserialize, Serialize};

use crate::ids::{
    Attempt, CacheId, FencingNumber, Incarnation, InstanceId, ModelId, ModelVersion, RequestId, ServiceId,
};
use crate::pipeline::LayerRange;

/// One step of a stage: runs the layers of the stage for some positions of a cache.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StepRequest {
    /// Cache that the step extends.
    pub cache: CacheId,
    /// Request that the step belongs to.
    pub request: RequestId,
    /// Attempt of the request.
    pub attempt: Attempt,
    /// Model that the engine must have loaded.
    pub model: ModelId,
    /// Version of the model that the engine must have loaded.
    pub version: ModelVersion,
    /// Layers that the engine must have loaded.
    #[serde(flatten)]
    pub layers: LayerRange,
    /// Number of positions that the cache must already hold.
    pub position: u32,
    /// Input of the first layer of the range.
    pub input: Input,
    /// Priority of the step; higher runs first.
    pub priority: u8,
}

/// Input of a step.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Input {
    /// Prompt and the tokens that were already generated, for the first stage.
    Prompt {
        /// Prompt text.
        prompt: String,
        /// Numbers of the tokens after the prompt.
        tokens: Vec<u32>,
    },
    /// Tokens, for the first stage.
    Tokens {
        /// Token numbers.
        tokens: Vec<u32>,
    },
    /// Activations from the previous stage.
    Hidden {
        /// One value for each position.
        hidden: Vec<u64>,
    },
}

/// Answer to a step. It repeats the fields that identify the step, so that the answer to another step is detected.
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
    /// Output of the last layer of the range.
    pub output: Output,
}

/// Output of a step.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Output {
    /// Activations for the next stage, one for each position.
    Hidden(Vec<u64>),
    /// The next token, from the last stage.
    Token(Token),
}

/// One generated token.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Token {
    /// Token number.
    pub id: u32,
    /// Text of the token.
    pub text: String,
    /// Whether this is the last token of the answer.
    pub end: bool,
}

/// Answer of an endpoint that refuses a call, so that nothing ran (HTTP 409).
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Reason of the refusal: `cache_mismatch`, `wrong_layers`, `wrong_version`, `unknown_model`, `leaving`, `busy`,
    /// `bad_input`, `refused` or `stale_fencing`.
    pub error: String,
    /// Value that the endpoint would have accepted; its type depends on the reason.
    #[serde(default)]
    pub expected: serde_json::Value,
}

/// Request that names a cache, to cancel or export it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheName {
    /// Identifier of the cache.
    pub cache: CacheId,
}

/// Complete state of a cache, as exported and imported.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheState {
    /// Identifier of the cache that the import creates.
    pub cache: CacheId,
    /// Number of positions in the cache.
    pub positions: u32,
    /// Opaque state of the layers.
    pub state: Vec<u64>,
}

/// Load report of an engine. Its figures are `age_ms` old, except where noted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineLoad {
    /// Instance that reports.
    pub instance: InstanceId,
    /// Current start of the instance.
    pub incarnation: Incarnation,
    /// Model that is loaded.
    pub model: ModelId,
    /// Version that is loaded.
    pub version: ModelVersion,
    /// Layers that are loaded.
    #[serde(flatten)]
    pub layers: LayerRange,
    /// Number of steps in the running batch.
    pub running: u32,
    /// Number of steps in the queue.
    pub queued: u32,
    /// Number of batches that finished since the start. It is always current, so that progress can be detected.
    pub batches: u64,
    /// Mean duration of a decode step.
    pub step_us: u64,
    /// Mean duration of prefill for one position of a prompt.
    pub prefill_us_per_position: u64,
    /// Number of positions in use in all caches.
    pub cache_used: u64,
    /// Maximum number of positions in all caches.
    pub cache_limit: u64,
    /// Whether the instance is leaving.
    pub leaving: bool,
    /// Age of the figures of the report.
    pub age_ms: u64,
}

/// Load report of a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceLoad {
    /// Instance that reports.
    pub instance: InstanceId,
    /// Current start of the instance.
    pub incarnation: Incarnation,
    /// Service that the instance offers.
    pub service: ServiceId,
    /// Number of running calls.
    pub running: u32,
    /// Whether the instance is leaving.
    pub leaving: bool,
}

/// Page of cache events.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvents {
    /// Sequence number at which the next page begins.
    pub next: u64,
    /// Events of the page. Their sequence numbers may have gaps.
    pub events: Vec<CacheEvent>,
}

/// Change of the prefix cache of an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Sequence number of the event.
    pub seq: u64,
    /// Kind of change.
    pub kind: CacheEventKind,
    /// Digest of the text of the prefix, computed by [`crate::request::digest`].
    pub prefix: crate::ids::Fingerprint,
}

/// Kind of change of a prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The prefix was added to the cache.
    Stored,
    /// The prefix was removed from the cache.
    Evicted,
}

/// Order to hold a range of layers of a model version. It describes the desired state, so it is idempotent.
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
    /// Argument of the operation.
    pub payload: serde_json::Value,
    /// Idempotency key of the caller, for the records of the service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
}

/// Answer of a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallAnswer {
    /// Result of the operation.
    pub result: serde_json::Value,
}
