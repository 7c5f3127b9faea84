//! Chains of engines that hold a model together: which engines form chains, and the request rate of a chain. The plan of
//! layers and the choice of a path both use them.

use super::Pipeline;
use crate::pipeline::LayerRange;

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
    /// Number of layers that the engine runs in the chain.
    pub layers: u16,
    /// Number of layers that the engine holds; the KV cache takes the memory that they leave free.
    pub held_layers: u16,
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
        let cache_size = pipeline.cache_size(part.memory_mb, part.held_layers);
        cache_tokens = cache_tokens.min(cache_size / f64::from(part.layers.max(1)));
    }
    let request_s = (first_token_ms + token_ms * pipeline.usual_answer_tokens) / 1_000.0;
    let memory_rate = cache_tokens / request_tokens.max(1.0) / request_s.max(0.001);
    let slots_rate = f64::from(slots) / request_s.max(0.001);
    let utilization_rate = UTILIZATION_LIMIT * 1_000.0 / busiest_ms.max(0.001);
    memory_rate.min(slots_rate).min(utilization_rate)
}

/// Division of the holders of layers into chains.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Division<T> {
    /// Chains that hold all layers, each holder with its whole range.
    pub chains: Vec<Vec<(T, LayerRange)>>,
    /// Holders that are in no chain, such as those of a chain that lost one.
    pub rest: Vec<(T, LayerRange)>,
}

/// Divides the holders of layers into chains, those with the fewest holders first. Each holder is in one chain at most.
pub(super) fn divide_into_chains<T: Copy>(layers: u16, mut holders: Vec<(T, LayerRange)>) -> Division<T> {
    holders.sort_by_key(|(_, range)| (range.begin, range.end));
    let mut used = vec![false; holders.len()];
    let mut chains = Vec::new();
    while let Some(chain) = next_chain(layers, &holders, &used) {
        chains.push(chain.iter().filter_map(|index| holders.get(*index).copied()).collect());
        for index in chain {
            if let Some(used) = used.get_mut(index) {
                *used = true;
            }
        }
    }
    let rest = holders.into_iter().zip(used).filter(|(_, used)| !used).map(|(holder, _)| holder).collect();
    Division { chains, rest }
}

/// Returns the indices of the unused holders that form the chain with the fewest of them. The holders are sorted by the
/// begin of their ranges.
fn next_chain<T>(layers: u16, holders: &[(T, LayerRange)], used: &[bool]) -> Option<Vec<usize>> {
    let size = usize::from(layers) + 1;
    // For each boundary the number of holders up to it and the last one of them.
    let mut reached: Vec<Option<(u32, Option<usize>)>> = vec![None; size];
    *reached.first_mut()? = Some((0, None));
    for (index, (_, range)) in holders.iter().enumerate() {
        if range.is_empty() || used.get(index).copied().unwrap_or(true) {
            continue;
        }
        let Some((count, _)) = reached.get(usize::from(range.begin)).copied().flatten() else { continue };
        let Some(end) = reached.get_mut(usize::from(range.end)) else { continue };
        if end.is_none_or(|(known, _)| count + 1 < known) {
            *end = Some((count + 1, Some(index)));
        }
    }
    let mut chain = Vec::new();
    let mut boundary = layers;
    while boundary > 0 {
        let (_, last) = reached.get(usize::from(boundary)).copied().flatten()?;
        let index = last?;
        chain.push(index);
        boundary = holders.get(index)?.1.begin;
    }
    chain.reverse();
    Some(chain)
}
