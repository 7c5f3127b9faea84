//! The request rate that a chain of engines can serve, for the plan of layers and for the choice of a path.

use super::Pipeline;

/// Share of an engine's time that prefill and decoding may take before requests wait for each other.
const UTILIZATION_LIMIT: f64 = 0.6;
/// Time to transfer a token from one engine to the next in the same zone, in milliseconds.
const TOKEN_TRANSFER_MS: f64 = 0.2;

/// The part of a model that one engine of a chain runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ChainPart {
    /// Memory of the engine's card, in megabytes.
    pub memory_mb: f64,
    /// Factor on the time of a decoding step.
    pub step_factor: f64,
    /// Factor on the time of prefill.
    pub read_factor: f64,
    /// Number of layers that the engine runs.
    pub layers: u16,
}

/// Returns the requests of usual size that a chain serves each second: the least of what the memory of its engines, the
/// slots of its first engine and the time of its busiest engine allow.
pub(super) fn request_rate(
    pipeline: &Pipeline,
    slots: u32,
    parts: impl IntoIterator<Item = ChainPart>,
) -> f64 {
    let model_layers = f64::from(pipeline.layers.max(1));
    let request_tokens = pipeline.usual_prompt_tokens + pipeline.usual_answer_tokens;
    let prefill_ms = pipeline.usual_prompt_tokens * 1_000.0 / pipeline.prefill_tokens_per_s.max(1.0);
    let (mut token_ms, mut first_token_ms, mut busiest_ms) = (0.0, 0.0, 0.0_f64);
    let mut cache_tokens = f64::INFINITY;
    for part in parts {
        let model_share = f64::from(part.layers) / model_layers;
        let part_prefill_ms = prefill_ms * part.read_factor * model_share;
        token_ms += pipeline.step_ms * part.step_factor * model_share + TOKEN_TRANSFER_MS;
        first_token_ms += part_prefill_ms;
        let decoding_ms =
            pipeline.sequence_ms * part.step_factor * model_share * pipeline.usual_answer_tokens;
        busiest_ms = busiest_ms.max(part_prefill_ms + decoding_ms);
        let cache_size = pipeline.cache_size(part.memory_mb, part.layers);
        cache_tokens = cache_tokens.min(cache_size / f64::from(part.layers.max(1)));
    }
    let request_s = (first_token_ms + token_ms * pipeline.usual_answer_tokens) / 1_000.0;
    let memory_rate = cache_tokens / request_tokens.max(1.0) / request_s.max(0.001);
    let slots_rate = f64::from(slots) / request_s.max(0.001);
    let utilization_rate = UTILIZATION_LIMIT * 1_000.0 / busiest_ms.max(0.001);
    memory_rate.min(slots_rate).min(utilization_rate)
}
