//! Search for the cheapest path through engines that runs every layer of a model once and in order.
//!
//! A path may use only some of the layers that an engine holds, so that the loss of one engine leaves the
//! others usable. The search is a shortest-path computation over layer boundaries; the cost is the expected
//! time to answer one request.

use std::sync::Arc;

use super::DispatchSettings;
use super::health::{HealthTable, Load};
use crate::gateway::{Endpoint, Pipeline, RequestInfo};
use crate::pipeline::{Address, LayerRange};

/// Fill level of the KV cache above which the cost of an engine stops growing.
const MAX_FILL: f64 = 0.95;

/// A path with its expected cost and the load that a request puts on each of its engines.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Path {
    pub hops: Arc<[(Address, LayerRange)]>,
    pub cost_ms: f64,
    /// Expected time between two tokens, in milliseconds.
    pub token_interval_ms: f64,
    pub loads: Vec<(Address, Load)>,
}

/// Inputs of the search for a path.
#[derive(Clone, Copy, Debug)]
pub(super) struct PathSearch<'a> {
    pub pipeline: &'a Pipeline,
    pub engines: &'a [&'a Endpoint],
    pub health: &'a HealthTable,
    pub settings: &'a DispatchSettings,
    /// Share of an engine's KV cache up to which the request may use it.
    pub cache_share: f64,
    pub now_us: u64,
}

/// An engine that may be part of the path, with its costs for one request.
pub(super) struct Candidate<'a> {
    pub engine: &'a Endpoint,
    /// Layers that the engine holds.
    pub layers: LayerRange,
    /// Cost of each layer for the whole request, in milliseconds.
    pub layer_cost_ms: f64,
    /// Time that each layer adds to a token of the answer, in milliseconds.
    pub layer_token_ms: f64,
    /// Cost that does not depend on the number of layers, in milliseconds.
    pub fixed_cost_ms: f64,
    /// Number of layers for which the request's KV cache fits into the free cache of the engine.
    pub fitting_layers: f64,
    /// Share of the KV cache that is in use.
    pub fill: f64,
    /// Share of recent requests that failed.
    pub failure_share: f64,
    /// Factor by which the engine is slower than its kind of accelerator.
    pub slowdown: f64,
    /// Whether the engine has a free slot and can be the first of a path.
    pub accepts_requests: bool,
}

/// Cheapest path found from layer 0 to a layer boundary whose last engine is in a given zone.
#[derive(Clone, Copy)]
struct PartialPath {
    cost_ms: f64,
    token_interval_ms: f64,
    /// Index of the boundary at which the last engine begins.
    begin_index: usize,
    /// Index of the zone of the engine before the last one.
    previous_zone: usize,
    /// Index of the last engine among the candidates.
    candidate_index: usize,
}

impl<'a> PathSearch<'a> {
    /// Returns the cheapest path for a request. Engines in `tried` cost more.
    pub fn cheapest(&self, request: &RequestInfo, tried: &[Address]) -> Option<Path> {
        let candidates: Vec<_> =
            self.engines.iter().filter_map(|engine| self.candidate(engine, request, tried)).collect();
        // The search does not exclude that a path leaves an engine in the middle of its range and enters it
        // again later. Engines refuse a path that names one of them twice, so the second search runs each
        // engine to the end of its range.
        self.search(&candidates, request, true).or_else(|| self.search(&candidates, request, false))
    }

    /// Returns an engine with its costs for a request, or none if it cannot be part of a path.
    pub(super) fn candidate(
        &self,
        engine: &'a Endpoint,
        request: &RequestInfo,
        tried: &[Address],
    ) -> Option<Candidate<'a>> {
        let layers = engine.layers.filter(|layers| self.pipeline.has_layers(*layers))?;
        if engine.leaving {
            return None;
        }
        let kind = self.pipeline.accelerator(engine.accelerator.as_deref()?)?;
        let health = self.health.get(&engine.address).copied().unwrap_or_default();
        if health.is_excluded(self.now_us) {
            return None;
        }
        let settings = self.settings;
        let load = health.load();
        let model_layers = f64::from(self.pipeline.layers.max(1));
        let tokens = request.total_tokens();
        let cache_size = self.pipeline.cache_size(kind.memory_mb, layers.len());
        let free_cache = cache_size * self.cache_share - load.cache;
        if free_cache < tokens {
            return None;
        }
        let slowdown = health.slowdown(self.now_us);
        let step_ms = self.pipeline.step_ms + self.pipeline.sequence_ms * f64::from(load.sequences);
        let layer_token_ms = step_ms * kind.step_factor * slowdown / model_layers;
        let prefill_ms =
            f64::from(request.prompt_tokens) * 1_000.0 / self.pipeline.prefill_tokens_per_s.max(1.0);
        let layer_prefill_ms = prefill_ms * kind.read_factor * slowdown / model_layers;
        // Waiting times grow with the fill level of the cache as they do with the utilization of a queue.
        let fill = (load.cache / cache_size.max(1.0)).clamp(0.0, MAX_FILL);
        let queueing_factor = 1.0 / (1.0 - fill);
        let answer_tokens = f64::from(request.answer_tokens).max(1.0);
        let layer_cost_ms = (layer_token_ms * answer_tokens + layer_prefill_ms) * queueing_factor;
        // The engine processes waiting prompts before this one, which delays the beginning of the answer.
        let token_prefill_ms = 1_000.0 / self.pipeline.prefill_tokens_per_s.max(1.0) / model_layers;
        let waiting_ms = load.reading * token_prefill_ms * kind.read_factor * slowdown;
        let failure_share = health.failure_share(self.now_us, settings.failure_half_life_ms);
        let mut fixed_cost_ms = settings.hop_cost_ms + waiting_ms + failure_share * settings.failure_cost_ms;
        if tried.contains(&engine.address) {
            fixed_cost_ms += settings.tried_cost_ms;
        }
        Some(Candidate {
            engine,
            layers,
            layer_cost_ms,
            layer_token_ms,
            fixed_cost_ms,
            fitting_layers: free_cache / tokens,
            fill,
            failure_share,
            slowdown,
            accepts_requests: load.requests < engine.slots,
        })
    }

    fn search(
        &self,
        candidates: &[Candidate<'_>],
        request: &RequestInfo,
        partial_ranges: bool,
    ) -> Option<Path> {
        let layers = self.pipeline.layers;
        let mut boundaries: Vec<u16> = vec![0, layers];
        for candidate in candidates {
            boundaries.push(candidate.layers.begin.min(layers));
            boundaries.push(candidate.layers.end.min(layers));
        }
        boundaries.sort_unstable();
        boundaries.dedup();
        let mut zones: Vec<_> = candidates.iter().map(|candidate| &candidate.engine.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        let zone_of: Vec<usize> = candidates
            .iter()
            .map(|candidate| zones.binary_search(&&candidate.engine.zone).unwrap_or_default())
            .collect();
        let zone_count = zones.len();
        let (prompt_tokens, answer_tokens) =
            (f64::from(request.prompt_tokens), f64::from(request.answer_tokens));
        let zone_change_ms =
            self.pipeline.zone_change_ms(prompt_tokens, answer_tokens) * self.settings.zone_change_factor;
        let mut best: Vec<Option<PartialPath>> = vec![None; boundaries.len() * zone_count];
        for (index, begin) in boundaries.iter().enumerate() {
            for (candidate_index, (candidate, zone)) in candidates.iter().zip(&zone_of).enumerate() {
                if candidate.layers.begin > *begin || candidate.layers.end <= *begin {
                    continue;
                }
                let Some((cost_ms, token_interval_ms, previous_zone)) =
                    self.cheapest_entry(&best, index, zone_count, *zone, candidate, zone_change_ms)
                else {
                    continue;
                };
                for (next, end) in boundaries.iter().enumerate().skip(index + 1) {
                    if *end > candidate.layers.end {
                        break;
                    }
                    let count = f64::from(end - begin);
                    let to_range_end = *end == candidate.layers.end.min(layers);
                    if (!partial_ranges && !to_range_end) || count > candidate.fitting_layers {
                        continue;
                    }
                    let partial_path = PartialPath {
                        cost_ms: cost_ms + candidate.fixed_cost_ms + candidate.layer_cost_ms * count,
                        token_interval_ms: token_interval_ms + candidate.layer_token_ms * count,
                        begin_index: index,
                        previous_zone,
                        candidate_index,
                    };
                    let entry = best.get_mut(next * zone_count + zone)?;
                    if entry.is_none_or(|known| partial_path.cost_ms < known.cost_ms) {
                        *entry = Some(partial_path);
                    }
                }
            }
        }
        self.reconstruct(candidates, request, &boundaries, &best, zone_count)
    }

    /// Returns the cheapest way to reach a boundary and continue with the candidate in the given zone: its
    /// cost, its time for each token of the answer, and the index of the zone that it comes from.
    fn cheapest_entry(
        &self,
        best: &[Option<PartialPath>],
        index: usize,
        zone_count: usize,
        zone: usize,
        candidate: &Candidate<'_>,
        zone_change_ms: f64,
    ) -> Option<(f64, f64, usize)> {
        if index == 0 {
            if !candidate.accepts_requests {
                return None;
            }
            let foreign = candidate.engine.zone.as_str() != self.settings.zone;
            let cost_ms = if foreign { self.settings.foreign_zone_cost_ms } else { 0.0 };
            return Some((cost_ms, 0.0, 0));
        }
        let mut cheapest: Option<(f64, f64, usize)> = None;
        for previous_zone in 0..zone_count {
            let Some(partial_path) = best.get(index * zone_count + previous_zone).copied().flatten() else {
                continue;
            };
            let change_ms = if previous_zone == zone { 0.0 } else { zone_change_ms };
            let cost_ms = partial_path.cost_ms + change_ms;
            if cheapest.is_none_or(|(known_ms, _, _)| cost_ms < known_ms) {
                cheapest = Some((cost_ms, partial_path.token_interval_ms, previous_zone));
            }
        }
        cheapest
    }

    /// Follows the best path back from the last layer and returns it, or none if it names an engine twice.
    fn reconstruct(
        &self,
        candidates: &[Candidate<'_>],
        request: &RequestInfo,
        boundaries: &[u16],
        best: &[Option<PartialPath>],
        zone_count: usize,
    ) -> Option<Path> {
        let mut index = boundaries.binary_search(&self.pipeline.layers).ok()?;
        let row = best.get(index * zone_count..(index + 1) * zone_count)?;
        let (mut zone, last) = row
            .iter()
            .enumerate()
            .filter_map(|(zone, partial_path)| partial_path.map(|partial_path| (zone, partial_path)))
            .min_by(|(_, left), (_, right)| left.cost_ms.total_cmp(&right.cost_ms))?;
        let mut hops = Vec::new();
        while index > 0 {
            let partial_path = best.get(index * zone_count + zone).copied().flatten()?;
            let candidate = candidates.get(partial_path.candidate_index)?;
            let range = LayerRange::new(*boundaries.get(partial_path.begin_index)?, *boundaries.get(index)?);
            let address = candidate.engine.address;
            if hops.iter().any(|(known, _)| *known == address) {
                return None;
            }
            hops.push((address, range));
            index = partial_path.begin_index;
            zone = partial_path.previous_zone;
        }
        hops.reverse();
        self.path(hops, request, last.cost_ms, last.token_interval_ms)
    }

    /// Returns the path over the hops with the load of a request on them, or none if they do not cover the model.
    pub(super) fn path(
        &self,
        hops: Vec<(Address, LayerRange)>,
        request: &RequestInfo,
        cost_ms: f64,
        token_interval_ms: f64,
    ) -> Option<Path> {
        debug_assert!(
            covers(&hops, self.pipeline.layers),
            "hops {hops:?} do not cover layers 0..{} once and in order",
            self.pipeline.layers
        );
        if !covers(&hops, self.pipeline.layers) {
            return None;
        }
        let tokens = request.total_tokens();
        let load = |range: &LayerRange| Load {
            requests: u32::from(range.begin == 0),
            sequences: 1,
            cache: tokens * f64::from(range.len()),
            reading: f64::from(request.prompt_tokens) * f64::from(range.len()),
        };
        let loads = hops.iter().map(|(address, range)| (*address, load(range))).collect();
        Some(Path { hops: hops.into(), cost_ms, token_interval_ms, loads })
    }
}

/// Returns whether the hops cover all layers once and in order.
pub(super) fn covers(hops: &[(Address, LayerRange)], layers: u16) -> bool {
    let mut expected = 0;
    for (_, range) in hops {
        if range.begin != expected || range.is_empty() {
            return false;
        }
        expected = range.end;
    }
    expected == layers
}
