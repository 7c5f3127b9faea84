//! The chains of engines that hold the model together, and their state for a request. [`crate::gateway::spread`] decides
//! which of them a request takes.

use super::health::HealthTable;
use super::paths::{Candidate, Path, PathSearch};
use crate::gateway::chain::{ChainPart, Division, divide_into_chains, request_rate};
use crate::gateway::spread::{self, ChainState};
use crate::gateway::{Endpoint, RequestInfo};
use crate::ids::Zone;
use crate::pipeline::{Address, LayerRange};
use crate::random::Random;

/// Maximum number of chains of a zone that use engines in part. The search for one takes longer than that for chains of
/// whole ranges.
const PARTIAL_CHAIN_LIMIT: usize = 12;

/// A chain with the parts that its engines run, and its state for one request.
struct RatedChain<'a> {
    parts: Vec<(Candidate<'a>, LayerRange)>,
    state: ChainState,
    /// Expected time between two tokens, in milliseconds.
    token_interval_ms: f64,
}

impl<'a> PathSearch<'a> {
    /// Returns a path that is drawn from the chains of the gateway's zone, or from those of all zones while the zone has
    /// little room. Returns none when no chain has room for the request.
    pub fn sampled(&self, request: &RequestInfo, tried: &[Address], random: &mut Random) -> Option<Path> {
        let mut zones: Vec<&Zone> = self.engines.iter().map(|engine| &engine.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        let rated_chains = |zone: &Zone| {
            let chains = self.chains_of_zone(zone);
            chains.into_iter().filter_map(|chain| self.rate(&chain, request, tried)).collect::<Vec<_>>()
        };
        let mut local: Vec<RatedChain<'_>> = Vec::new();
        let mut foreign_zones = Vec::new();
        for zone in zones {
            if zone.as_str() == self.settings.zone {
                local = rated_chains(zone);
            } else {
                foreign_zones.push(zone);
            }
        }
        let local = draw(&local, random);
        if let Some(chain) = local.filter(|chain| spread::suffices(&chain.state)) {
            return self.path_of_chain(chain, request);
        }
        let foreign: Vec<RatedChain<'_>> = foreign_zones.into_iter().flat_map(rated_chains).collect();
        let foreign = draw(&foreign, random);
        let chosen = match (local, foreign) {
            (Some(local), Some(foreign)) if spread::prefers_foreign(&local.state, &foreign.state) => foreign,
            (local, foreign) => local.or(foreign)?,
        };
        self.path_of_chain(chosen, request)
    }

    /// Divides the engines of a zone into chains. Those that are left over form further ones with parts of their ranges.
    fn chains_of_zone(&self, zone: &Zone) -> Vec<Vec<(&'a Endpoint, LayerRange)>> {
        let Division { mut chains, rest } =
            divide_into_chains(self.pipeline.layers, self.usable_in_zone(zone));
        let mut rest: Vec<&Endpoint> = rest.into_iter().map(|(engine, _)| engine).collect();
        for _ in 0..PARTIAL_CHAIN_LIMIT {
            let Some(chain) = self.partial_chain(&rest) else { break };
            rest.retain(|engine| chain.iter().all(|(used, _)| used.address != engine.address));
            chains.push(chain);
        }
        chains
    }

    /// Returns the cheapest chain through parts of the engines' ranges, whatever their load.
    fn partial_chain(&self, engines: &[&'a Endpoint]) -> Option<Vec<(&'a Endpoint, LayerRange)>> {
        let usual = RequestInfo {
            prompt_tokens: self.pipeline.usual_prompt_tokens as u32,
            answer_tokens: self.pipeline.usual_answer_tokens as u32,
            ..RequestInfo::default()
        };
        let search = PathSearch { engines, health: &HealthTable::default(), ..*self };
        let path = search.cheapest(&usual, &[])?;
        let part = |(address, layers): &(Address, LayerRange)| {
            let engine = engines.iter().find(|engine| engine.address == *address)?;
            Some((*engine, *layers))
        };
        path.hops.iter().map(part).collect()
    }

    /// Returns the engines of a zone that hold layers and are not excluded, whatever their load.
    fn usable_in_zone(&self, zone: &Zone) -> Vec<(&'a Endpoint, LayerRange)> {
        let in_zone = self.engines.iter().filter(|engine| engine.zone == *zone && !engine.leaving);
        in_zone
            .filter(|engine| {
                let health = self.health.get(&engine.address);
                health.is_none_or(|health| !health.is_excluded(self.now_us))
            })
            .filter_map(|engine| {
                Some((*engine, engine.layers.filter(|layers| self.pipeline.has_layers(*layers))?))
            })
            .collect()
    }

    /// Returns the state of a chain for a request, or none if one of its engines has no room.
    fn rate(
        &self,
        chain: &[(&'a Endpoint, LayerRange)],
        request: &RequestInfo,
        tried: &[Address],
    ) -> Option<RatedChain<'a>> {
        let mut parts = Vec::with_capacity(chain.len());
        let mut chain_parts = Vec::with_capacity(chain.len());
        let (mut fill, mut health_weight, mut is_tried) = (0.0_f64, 1.0, false);
        let (mut cost_ms, mut token_interval_ms) = (0.0, 0.0);
        for (engine, layers) in chain {
            let candidate = self.candidate(engine, request, tried)?;
            if f64::from(layers.len()) > candidate.fitting_layers {
                return None;
            }
            let kind = self.pipeline.accelerator(engine.accelerator.as_deref()?)?;
            chain_parts.push(ChainPart {
                memory_mb: kind.memory_mb,
                step_factor: kind.step_factor * candidate.slowdown,
                read_factor: kind.read_factor * candidate.slowdown,
                layers: layers.len(),
                held_layers: candidate.layers.len(),
            });
            fill = fill.max(candidate.fill);
            health_weight *= 1.0 - candidate.failure_share;
            is_tried |= tried.contains(&engine.address);
            let count = f64::from(layers.len());
            cost_ms += candidate.fixed_cost_ms + candidate.layer_cost_ms * count;
            token_interval_ms += candidate.layer_token_ms * count;
            parts.push((candidate, *layers));
        }
        let first = parts.first().filter(|(candidate, _)| candidate.accepts_requests)?;
        let rate = request_rate(self.pipeline, first.0.engine.slots, chain_parts);
        let free = (1.0 - fill).max(0.0);
        let state = ChainState { weight: rate * health_weight * free * free, cost_ms, fill, is_tried };
        Some(RatedChain { parts, state, token_interval_ms })
    }

    fn path_of_chain(&self, chain: &RatedChain<'a>, request: &RequestInfo) -> Option<Path> {
        let hops =
            chain.parts.iter().map(|(candidate, layers)| (candidate.engine.address, *layers)).collect();
        self.path(hops, request, chain.state.cost_ms, chain.token_interval_ms)
    }
}

/// Draws one of the chains.
fn draw<'c, 'a>(chains: &'c [RatedChain<'a>], random: &mut Random) -> Option<&'c RatedChain<'a>> {
    let states: Vec<ChainState> = chains.iter().map(|chain| chain.state).collect();
    chains.get(spread::draw(&states, random)?)
}
