//! Paths through engines that run every layer of a model once and in order.
//!
//! A path may use a part of the layers that an engine holds, so that the loss of one engine leaves the others usable.
//! The cheapest path is found over layer boundaries; its cost is the expected time to answer one request.

use std::sync::Arc;

use super::DispatchSettings;
use super::health::{HealthTable, Load};
use crate::gateway::{Endpoint, Pipeline, RequestInfo};
use crate::pipeline::{Address, LayerRange};

/// Share of the KV cache beyond which the cost of an engine does not grow any further.
const FULLEST: f64 = 0.95;

/// A path, its expected cost and the load that it puts on each engine.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Path {
    pub hops: Arc<[(Address, LayerRange)]>,
    pub cost_ms: f64,
    /// Expected time between two tokens, in milliseconds.
    pub token_ms: f64,
    pub loads: Vec<(Address, Load)>,
}

/// What is known of the engines when a path is chosen.
#[derive(Clone, Copy, Debug)]
pub(super) struct Surroundings<'a> {
    pub pipeline: &'a Pipeline,
    pub engines: &'a [&'a Endpoint],
    pub health: &'a HealthTable,
    pub settings: &'a DispatchSettings,
    pub now_us: u64,
}

/// An engine as the search sees it.
struct Candidate<'a> {
    engine: &'a Endpoint,
    layers: LayerRange,
    /// Cost of one layer, in milliseconds for the whole request.
    layer_cost_ms: f64,
    layer_token_ms: f64,
    fixed_cost_ms: f64,
    /// Layers that the request's KV cache may take here.
    layer_room: f64,
    /// Whether a request may be sent to this engine.
    takes_requests: bool,
}

/// Best way found to a layer boundary, ending in one zone.
#[derive(Clone, Copy)]
struct Reached {
    cost_ms: f64,
    token_ms: f64,
    /// Boundary index and engine zone before, and the engine that led here.
    from: usize,
    from_state: usize,
    by: usize,
}

impl<'a> Surroundings<'a> {
    /// Finds the cheapest path for a request; engines in `tried` cost more.
    pub fn cheapest(&self, ask: &RequestInfo, tried: &[Address]) -> Option<Path> {
        let candidates: Vec<_> =
            self.engines.iter().filter_map(|engine| self.candidate(engine, ask, tried)).collect();
        // A range that is left in the middle and entered again later would name an engine twice, which engines refuse.
        self.search(&candidates, ask, true).or_else(|| self.search(&candidates, ask, false))
    }

    fn candidate(&self, engine: &'a Endpoint, ask: &RequestInfo, tried: &[Address]) -> Option<Candidate<'a>> {
        let layers = engine.layers.filter(|layers| !layers.is_empty())?;
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
        let tokens = f64::from(ask.prompt_tokens + ask.answer_tokens).max(1.0);
        let size = self.pipeline.cache_size(kind.memory_mb, layers.len());
        let room = size * settings.cache_share - load.cache;
        if room < tokens {
            return None;
        }
        let slowness = health.slowness(self.now_us);
        let step_ms = self.pipeline.step_ms + self.pipeline.sequence_ms * f64::from(load.sequences);
        let layer_token_ms = step_ms * kind.step_factor * slowness / model_layers;
        let read_ms = f64::from(ask.prompt_tokens) * 1_000.0 / self.pipeline.read_tokens_s.max(1.0);
        let layer_read_ms = read_ms * kind.read_factor * slowness / model_layers;
        // Waiting grows as the cache fills up, as in a queue.
        let fill = (load.cache / size.max(1.0)).clamp(0.0, FULLEST);
        let crowding = 1.0 / (1.0 - fill);
        let answer = f64::from(ask.answer_tokens).max(1.0);
        let layer_cost_ms = (layer_token_ms * answer + layer_read_ms) * crowding;
        // Prompts that wait are read before this one, and their reading delays every token of the answer's beginning.
        let read_token_ms = 1_000.0 / self.pipeline.read_tokens_s.max(1.0) / model_layers;
        let waiting_ms = load.reading * read_token_ms * kind.read_factor * slowness;
        let faults = health.fault_share(self.now_us, settings.fault_half_life_ms);
        let mut fixed_cost_ms = settings.hop_cost_ms + waiting_ms + faults * settings.fault_cost_ms;
        if tried.contains(&engine.address) {
            fixed_cost_ms += settings.tried_cost_ms;
        }
        Some(Candidate {
            engine,
            layers,
            layer_cost_ms,
            layer_token_ms,
            fixed_cost_ms,
            layer_room: room / tokens,
            takes_requests: load.requests < engine.slots,
        })
    }

    fn search(&self, candidates: &[Candidate<'_>], ask: &RequestInfo, parts: bool) -> Option<Path> {
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
        let states = zones.len();
        let (prompt, answer) = (f64::from(ask.prompt_tokens), f64::from(ask.answer_tokens));
        let zone_change_ms = self.pipeline.zone_change_ms(prompt, answer) * self.settings.zone_change_factor;
        let mut best: Vec<Option<Reached>> = vec![None; boundaries.len() * states];
        for (index, begin) in boundaries.iter().enumerate() {
            for (number, (candidate, zone)) in candidates.iter().zip(&zone_of).enumerate() {
                if candidate.layers.begin > *begin || candidate.layers.end <= *begin {
                    continue;
                }
                let Some((cost_ms, token_ms, state)) =
                    self.arrive(&best, index, states, *zone, candidate, zone_change_ms)
                else {
                    continue;
                };
                for (next, end) in boundaries.iter().enumerate().skip(index + 1) {
                    if *end > candidate.layers.end {
                        break;
                    }
                    let count = f64::from(end - begin);
                    let whole = *end == candidate.layers.end.min(layers);
                    if (!parts && !whole) || count > candidate.layer_room {
                        continue;
                    }
                    let reached = Reached {
                        cost_ms: cost_ms + candidate.fixed_cost_ms + candidate.layer_cost_ms * count,
                        token_ms: token_ms + candidate.layer_token_ms * count,
                        from: index,
                        from_state: state,
                        by: number,
                    };
                    let slot = best.get_mut(next * states + zone)?;
                    if slot.is_none_or(|known| reached.cost_ms < known.cost_ms) {
                        *slot = Some(reached);
                    }
                }
            }
        }
        self.trace(candidates, ask, &boundaries, &best, states)
    }

    /// Returns the cheapest cost of standing at a boundary before an engine of the given zone.
    fn arrive(
        &self,
        best: &[Option<Reached>],
        index: usize,
        states: usize,
        zone: usize,
        candidate: &Candidate<'_>,
        zone_change_ms: f64,
    ) -> Option<(f64, f64, usize)> {
        if index == 0 {
            if !candidate.takes_requests {
                return None;
            }
            let foreign = candidate.engine.zone.as_str() != self.settings.zone;
            let cost_ms = if foreign { self.settings.foreign_zone_cost_ms } else { 0.0 };
            return Some((cost_ms, 0.0, 0));
        }
        let mut cheapest: Option<(f64, f64, usize)> = None;
        for state in 0..states {
            let Some(reached) = best.get(index * states + state).copied().flatten() else { continue };
            let change_ms = if state == zone { 0.0 } else { zone_change_ms };
            let cost_ms = reached.cost_ms + change_ms;
            if cheapest.is_none_or(|(known_ms, _, _)| cost_ms < known_ms) {
                cheapest = Some((cost_ms, reached.token_ms, state));
            }
        }
        cheapest
    }

    fn trace(
        &self,
        candidates: &[Candidate<'_>],
        ask: &RequestInfo,
        boundaries: &[u16],
        best: &[Option<Reached>],
        states: usize,
    ) -> Option<Path> {
        let mut index = boundaries.binary_search(&self.pipeline.layers).ok()?;
        let row = best.get(index * states..(index + 1) * states)?;
        let (mut state, last) = row
            .iter()
            .enumerate()
            .filter_map(|(state, reached)| reached.map(|reached| (state, reached)))
            .min_by(|(_, left), (_, right)| left.cost_ms.total_cmp(&right.cost_ms))?;
        let tokens = f64::from(ask.prompt_tokens + ask.answer_tokens).max(1.0);
        let (mut hops, mut loads) = (Vec::new(), Vec::new());
        while index > 0 {
            let reached = best.get(index * states + state).copied().flatten()?;
            let candidate = candidates.get(reached.by)?;
            let range = LayerRange::new(*boundaries.get(reached.from)?, *boundaries.get(index)?);
            let address = candidate.engine.address;
            if hops.iter().any(|(known, _)| *known == address) {
                return None;
            }
            hops.push((address, range));
            let cache = tokens * f64::from(range.len());
            let reading = f64::from(ask.prompt_tokens) * f64::from(range.len());
            loads.push((
                address,
                Load { requests: u32::from(reached.from == 0), sequences: 1, cache, reading },
            ));
            index = reached.from;
            state = reached.from_state;
        }
        hops.reverse();
        loads.reverse();
        debug_assert!(covers(&hops, self.pipeline.layers), "a path runs every layer once");
        if !covers(&hops, self.pipeline.layers) {
            return None;
        }
        Some(Path { hops: hops.into(), cost_ms: last.cost_ms, token_ms: last.token_ms, loads })
    }
}

/// Returns whether the hops run every layer once and in order.
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
