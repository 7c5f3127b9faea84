//! Plans of layers on cards.
//!
//! A zone's cards are divided into chains that each hold the whole model. More chains survive more losses and are
//! faster; fewer leave more memory for requests. The number of chains and their cards are chosen by the requests a
//! second that the chains can carry, weighted by how likely all engines of a chain are alive.

use std::sync::Arc;

use crate::gateway::Pipeline;
use crate::ids::Zone;
use crate::pipeline::{Address, LayerRange};

/// Assumed probability that an engine is alive: on ordinary days up to a tenth of the engines are down at a time.
const ALIVE: f64 = 0.9;
/// Share of what the best division carries without losses that is taken as needed; more than that is of no use.
const NEEDED_SHARE: f64 = 0.25;
/// Share of an engine's time that reading and writing may take before requests wait for each other.
const BUSY_SHARE: f64 = 0.6;
/// Time to hand a token from one engine to the next in the same zone, in milliseconds.
const HAND_OVER_MS: f64 = 0.2;
/// Most passes over all pairs of chains, so that a plan stays cheap for many cards.
const PASS_LIMIT: usize = 8;
/// Numbers of chains that are tried, from the most that memory allows downwards.
const COUNT_LIMIT: u32 = 8;
/// Most cards that are divided into chains together. The search takes time with a power of their number: a zone of 333 cards
/// kept a small machine busy until its ownership had lapsed, and nothing was ever ordered.
const GROUP_CARDS: usize = 48;
/// Share of a card's memory that a replacement takes when nothing else says how much; it leaves room for requests.
const REPLACEMENT_SHARE: f64 = 0.8;

/// An engine's card.
#[derive(Clone, Debug, PartialEq)]
pub struct Card {
    /// Name of the engine.
    pub id: Arc<str>,
    /// Address of the engine.
    pub address: Address,
    /// Zone of the engine.
    pub zone: Zone,
    /// Memory in megabytes.
    pub memory_mb: f64,
    /// Factor on the time of a step.
    pub step_factor: f64,
    /// Factor on the time of reading.
    pub read_factor: f64,
    /// Requests at once.
    pub slots: u32,
    /// Layers that the engine holds or was ordered to hold.
    pub layers: Option<LayerRange>,
}

/// Layers for an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Placed {
    /// Address of the engine.
    pub address: Address,
    /// Layers that it is to hold.
    pub layers: LayerRange,
}

/// Plans layers for engines of which none holds any.
pub fn plan(pipeline: &Pipeline, cards: &[Card], layer_share: f64) -> Vec<Placed> {
    let mut zones: Vec<&Zone> = cards.iter().map(|card| &card.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    let mut placed = Vec::new();
    let mut rest: Vec<&Card> = Vec::new();
    for zone in zones {
        let of_zone: Vec<&Card> = cards.iter().filter(|card| card.zone == *zone).collect();
        for group in groups(&of_zone) {
            match best_chains(pipeline, &group, layer_share) {
                Some(chains) => place_chains(pipeline, &chains, layer_share, &mut placed),
                None => rest.extend(group),
            }
        }
    }
    // Zones that cannot hold the model alone hold it together.
    if let Some(chains) = best_chains(pipeline, &rest, layer_share) {
        place_chains(pipeline, &chains, layer_share, &mut placed);
    }
    placed.sort_by_key(|placed| placed.address);
    placed
}

/// Splits the cards of a zone into groups of about equal size and equal shares of each kind.
pub(super) fn groups<'a>(cards: &[&'a Card]) -> Vec<Vec<&'a Card>> {
    let count = cards.len().div_ceil(GROUP_CARDS).max(1);
    let mut sorted = cards.to_vec();
    if count > 1 {
        sorted.sort_by(|left, right| right.memory_mb.total_cmp(&left.memory_mb));
    }
    (0..count).map(|group| sorted.iter().skip(group).step_by(count).copied().collect()).collect()
}

/// Chooses layers for an engine that holds none: the gap of its zone if there is one, else what is covered least.
pub fn assign_empty(
    pipeline: &Pipeline,
    cards: &[Card],
    empty: &Card,
    layer_share: f64,
) -> Option<LayerRange> {
    let count = pipeline.layers_within(empty.memory_mb, REPLACEMENT_SHARE.min(layer_share)).max(1);
    let most = pipeline.layers_within(empty.memory_mb, layer_share);
    if most == 0 {
        return None;
    }
    let mut room = vec![0.0; usize::from(pipeline.layers)];
    let others = cards.iter().filter(|card| card.zone == empty.zone && card.address != empty.address);
    for card in others {
        let Some(layers) = card.layers.filter(|layers| !layers.is_empty()) else { continue };
        let free_mb = (card.memory_mb - f64::from(layers.len()) * pipeline.layer_mb).max(0.0);
        let each = free_mb / f64::from(layers.len()) + f64::EPSILON;
        let held = usize::from(layers.begin)..usize::from(layers.end.min(pipeline.layers));
        for layer in room.get_mut(held).unwrap_or_default() {
            *layer += each;
        }
    }
    if let Some(gap) = first_gap(&room)
        && gap.len() <= most
    {
        return Some(gap);
    }
    let missing = room.iter().filter(|room| **room <= 0.0).count();
    let count = if missing > 0 { most } else { count.min(most) };
    least_covered(&room, count)
}

/// Chooses an engine that moves into a gap of its zone: all its layers are held by others too, so that no new gap opens.
pub fn fill_gap(pipeline: &Pipeline, cards: &[Card], layer_share: f64) -> Option<Placed> {
    let mut zones: Vec<&Zone> = cards.iter().map(|card| &card.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    zones.into_iter().find_map(|zone| {
        let of_zone: Vec<&Card> = cards.iter().filter(|card| card.zone == *zone).collect();
        fill_gap_of_zone(pipeline, &of_zone, layer_share)
    })
}

fn fill_gap_of_zone(pipeline: &Pipeline, cards: &[&Card], layer_share: f64) -> Option<Placed> {
    let holders = |layer: u16| {
        let holds = |card: &&&Card| card.layers.is_some_and(|held| held.begin <= layer && layer < held.end);
        cards.iter().filter(holds).count()
    };
    let counts: Vec<f64> = (0..pipeline.layers).map(|layer| holders(layer) as f64).collect();
    let gap = first_gap(&counts)?;
    let is_spare = |card: &Card| {
        let held = card.layers.filter(|held| !held.is_empty());
        held.is_some_and(|held| {
            (held.begin..held.end)
                .all(|layer| counts.get(usize::from(layer)).is_none_or(|count| *count > 1.0))
        })
    };
    let room = |card: &Card| capacity(pipeline, card, layer_share).min(gap.len());
    // The one that fills most of the gap, and the smallest of these: large cards are worth more where they are.
    let best = cards.iter().filter(|card| is_spare(card) && room(card) > 0).max_by(|left, right| {
        (room(left).cmp(&room(right))).then(right.memory_mb.total_cmp(&left.memory_mb))
    })?;
    let end = gap.begin + room(best);
    Some(Placed { address: best.address, layers: LayerRange::new(gap.begin, end) })
}

/// Returns the longest run of layers that nobody holds.
fn first_gap(room: &[f64]) -> Option<LayerRange> {
    let mut longest: Option<LayerRange> = None;
    let mut begin = 0;
    for (layer, room) in room.iter().chain([&1.0]).enumerate() {
        if *room > 0.0 {
            let gap = LayerRange::new(begin as u16, layer as u16);
            if !gap.is_empty() && longest.is_none_or(|known| known.len() < gap.len()) {
                longest = Some(gap);
            }
            begin = layer + 1;
        }
    }
    longest
}

/// Returns the window of `count` layers whose room is scarcest.
fn least_covered(room: &[f64], count: u16) -> Option<LayerRange> {
    /// Room of a layer that nobody holds, in megabytes; small, so that a gap outweighs everything else.
    const NO_ROOM_MB: f64 = 0.001;
    let need: Vec<f64> = room.iter().map(|room| 1.0 / (room + NO_ROOM_MB)).collect();
    let count = usize::from(count).min(need.len());
    let (begin, _) = need
        .windows(count.max(1))
        .map(|window| window.iter().sum::<f64>())
        .enumerate()
        .max_by(|(left_at, left), (right_at, right)| left.total_cmp(right).then(right_at.cmp(left_at)))?;
    Some(LayerRange::new(begin as u16, (begin + count) as u16))
}

type Chain<'a> = Vec<&'a Card>;

/// Divides cards into chains, or returns nothing when they cannot hold the model once.
fn best_chains<'a>(pipeline: &Pipeline, cards: &[&'a Card], layer_share: f64) -> Option<Vec<Chain<'a>>> {
    let mut sorted: Vec<&Card> = cards.to_vec();
    sorted.sort_by(|left, right| {
        (left.step_factor.total_cmp(&right.step_factor)).then(right.memory_mb.total_cmp(&left.memory_mb))
    });
    let most: u32 = sorted.iter().map(|card| u32::from(capacity(pipeline, card, layer_share))).sum();
    let chain_limit = most / u32::from(pipeline.layers.max(1));
    let mut plans: Vec<Vec<Chain<'a>>> = Vec::new();
    for count in chain_limit.saturating_sub(COUNT_LIMIT).max(1)..=chain_limit {
        let Some(mut chains) = partition(pipeline, &sorted, count as usize, layer_share) else { continue };
        improve(pipeline, &mut chains, layer_share);
        plans.push(chains);
    }
    let carries: Vec<Vec<(f64, f64)>> = plans
        .iter()
        .map(|chains| chains.iter().map(|chain| carried(pipeline, chain, layer_share)).collect())
        .collect();
    let most = carries.iter().map(|rates| rates.iter().map(|(rate, _)| rate).sum()).fold(0.0, f64::max);
    let values = carries.iter().map(|rates| expected(rates, most * NEEDED_SHARE));
    let (_, chains) = values.zip(plans).max_by(|(left, _), (right, _)| left.total_cmp(right))?;
    Some(chains)
}

/// Returns the requests a second that can be expected to be carried after losses, up to what is needed.
fn expected(rates: &[(f64, f64)], needed: f64) -> f64 {
    /// Most chains whose combinations are counted; beyond that the mean is close enough.
    const COUNTED_CHAINS: usize = 10;
    if rates.len() > COUNTED_CHAINS {
        return rates.iter().map(|(rate, whole)| rate * whole).sum::<f64>().min(needed);
    }
    (0_u32..1 << rates.len())
        .map(|alive| {
            let (mut probability, mut carried) = (1.0, 0.0);
            for (index, (rate, whole)) in rates.iter().enumerate() {
                if alive & (1 << index) != 0 {
                    probability *= whole;
                    carried += rate;
                } else {
                    probability *= 1.0 - whole;
                }
            }
            probability * f64::min(carried, needed)
        })
        .sum()
}

/// Fills chains one after the other, each with the fastest cards that fit and the smallest one that completes it. The
/// last chain takes what is left.
fn partition<'a>(
    pipeline: &Pipeline,
    sorted: &[&'a Card],
    count: usize,
    layer_share: f64,
) -> Option<Vec<Chain<'a>>> {
    let mut left: Vec<(&'a Card, u16)> =
        sorted.iter().map(|card| (*card, capacity(pipeline, card, layer_share))).collect();
    let mut chains: Vec<Chain<'a>> = Vec::with_capacity(count);
    for _ in 0..count {
        let mut chain = Vec::new();
        let mut missing = pipeline.layers;
        while missing > 0 {
            let fitting = left.iter().position(|(_, layers)| *layers > 0 && *layers <= missing);
            let completing = || {
                let larger = left.iter().enumerate().filter(|(_, (_, layers))| *layers > missing);
                larger.min_by_key(|(_, (_, layers))| *layers).map(|(index, _)| index)
            };
            let (card, layers) = left.remove(fitting.or_else(completing)?);
            chain.push(card);
            missing = missing.saturating_sub(layers);
        }
        chains.push(chain);
    }
    chains.last_mut()?.extend(left.into_iter().map(|(card, _)| card));
    Some(chains)
}

/// Moves and swaps cards between chains as long as the chains carry more.
fn improve(pipeline: &Pipeline, chains: &mut [Chain<'_>], layer_share: f64) {
    for _ in 0..PASS_LIMIT {
        let mut improved = false;
        for from in 0..chains.len() {
            for to in 0..chains.len() {
                improved |= from != to && improve_pair(pipeline, chains, from, to, layer_share);
            }
        }
        if !improved {
            return;
        }
    }
}

fn improve_pair(
    pipeline: &Pipeline,
    chains: &mut [Chain<'_>],
    from: usize,
    to: usize,
    layer_share: f64,
) -> bool {
    let (Some(source), Some(target)) = (chains.get(from), chains.get(to)) else { return false };
    let before = worth(pipeline, source, layer_share) + worth(pipeline, target, layer_share);
    let Some((source, target)) = better(pipeline, source, target, layer_share, before) else { return false };
    if let Some(chain) = chains.get_mut(from) {
        *chain = source;
    }
    if let Some(chain) = chains.get_mut(to) {
        *chain = target;
    }
    true
}

/// Returns whether an earlier card of the chain is of the same kind, so that trying this one gives nothing new.
fn is_tried(chain: &[&Card], index: usize) -> bool {
    let Some(card) = chain.get(index) else { return true };
    chain.iter().take(index).any(|other| is_same_kind(card, other))
}

fn is_same_kind(left: &Card, right: &Card) -> bool {
    left.step_factor == right.step_factor && left.memory_mb == right.memory_mb
}

/// Returns two chains that carry more after one card was moved or two were swapped.
fn better<'a>(
    pipeline: &Pipeline,
    source: &[&'a Card],
    target: &[&'a Card],
    layer_share: f64,
    before: f64,
) -> Option<(Chain<'a>, Chain<'a>)> {
    /// Least gain that counts, so that rounding does not keep the search going.
    const LEAST_GAIN: f64 = 1.001;
    for (index, card) in source.iter().enumerate() {
        if is_tried(source, index) {
            continue;
        }
        let mut without = source.to_vec();
        without.remove(index);
        let mut with = target.to_vec();
        with.push(card);
        if total(pipeline, &without, &with, layer_share) > before * LEAST_GAIN {
            return Some((without, with));
        }
        for (other_index, other) in target.iter().enumerate() {
            if is_same_kind(card, other) || is_tried(target, other_index) {
                continue;
            }
            let mut left = source.to_vec();
            let mut right = target.to_vec();
            if let (Some(ours), Some(theirs)) = (left.get_mut(index), right.get_mut(other_index)) {
                std::mem::swap(ours, theirs);
            }
            if total(pipeline, &left, &right, layer_share) > before * LEAST_GAIN {
                return Some((left, right));
            }
        }
    }
    None
}

fn total(pipeline: &Pipeline, left: &[&Card], right: &[&Card], layer_share: f64) -> f64 {
    worth(pipeline, left, layer_share) + worth(pipeline, right, layer_share)
}

fn capacity(pipeline: &Pipeline, card: &Card, layer_share: f64) -> u16 {
    pipeline.layers_within(card.memory_mb, layer_share)
}

/// Returns the requests a second that a chain carries, weighted by the probability that it is whole.
fn worth(pipeline: &Pipeline, chain: &[&Card], layer_share: f64) -> f64 {
    let (rate, whole) = carried(pipeline, chain, layer_share);
    rate * whole
}

/// Returns the requests a second that a chain carries and the probability that it is whole.
fn carried(pipeline: &Pipeline, chain: &[&Card], layer_share: f64) -> (f64, f64) {
    let Some(shares) = divide(pipeline, chain, layer_share) else { return (0.0, 0.0) };
    let model_layers = f64::from(pipeline.layers.max(1));
    let tokens = pipeline.usual_prompt_tokens + pipeline.usual_answer_tokens;
    let read_ms = pipeline.usual_prompt_tokens * 1_000.0 / pipeline.read_tokens_s.max(1.0);
    let (mut token_ms, mut first_ms, mut busiest_ms) = (0.0, 0.0, 0.0_f64);
    let mut room_tokens = f64::INFINITY;
    for (card, layers) in chain.iter().zip(&shares) {
        let part = f64::from(*layers) / model_layers;
        let reading_ms = read_ms * card.read_factor * part;
        token_ms += pipeline.step_ms * card.step_factor * part + HAND_OVER_MS;
        first_ms += reading_ms;
        let writing_ms = pipeline.sequence_ms * card.step_factor * part * pipeline.usual_answer_tokens;
        busiest_ms = busiest_ms.max(reading_ms + writing_ms);
        let size = pipeline.cache_size(card.memory_mb, *layers);
        room_tokens = room_tokens.min(size / f64::from((*layers).max(1)));
    }
    let request_s = (first_ms + token_ms * pipeline.usual_answer_tokens) / 1_000.0;
    let slots = chain.first().map_or(0, |card| card.slots);
    let by_memory = room_tokens / tokens.max(1.0) / request_s.max(0.001);
    let by_slots = f64::from(slots) / request_s.max(0.001);
    let by_time = BUSY_SHARE * 1_000.0 / busiest_ms.max(0.001);
    let whole = ALIVE.powi(i32::try_from(chain.len()).unwrap_or(i32::MAX));
    (by_memory.min(by_slots).min(by_time), whole)
}

/// Divides the model's layers over the cards of a chain in proportion to their memory.
fn divide(pipeline: &Pipeline, chain: &[&Card], layer_share: f64) -> Option<Vec<u16>> {
    let model_layers = u32::from(pipeline.layers);
    let most: Vec<u16> = chain.iter().map(|card| capacity(pipeline, card, layer_share)).collect();
    if most.iter().map(|layers| u32::from(*layers)).sum::<u32>() < model_layers {
        return None;
    }
    let memory_mb: f64 = chain.iter().map(|card| card.memory_mb).sum();
    let mut shares: Vec<u16> = chain
        .iter()
        .zip(&most)
        .map(|(card, most)| {
            let share = f64::from(pipeline.layers) * card.memory_mb / memory_mb.max(1.0);
            (share.floor() as u16).min(*most)
        })
        .collect();
    let mut left = model_layers.checked_sub(shares.iter().map(|layers| u32::from(*layers)).sum())?;
    while left > 0 {
        // The card with the most memory left for each layer takes one more.
        let (index, _) = chain
            .iter()
            .zip(shares.iter().zip(&most))
            .enumerate()
            .filter(|(_, (_, (layers, most)))| layers < most)
            .map(|(index, (card, (layers, _)))| (index, card.memory_mb / f64::from(layers + 1)))
            .max_by(|(_, left), (_, right)| left.total_cmp(right))?;
        *shares.get_mut(index)? += 1;
        left -= 1;
    }
    // A card without layers takes no part in the chain; it stays free for replacements.
    Some(shares)
}

fn place_chains(pipeline: &Pipeline, chains: &[Chain<'_>], layer_share: f64, placed: &mut Vec<Placed>) {
    for chain in chains {
        let Some(shares) = divide(pipeline, chain, layer_share) else { continue };
        let mut begin = 0;
        for (card, layers) in chain.iter().zip(shares) {
            if layers > 0 {
                placed.push(Placed { address: card.address, layers: LayerRange::new(begin, begin + layers) });
                begin += layers;
            }
        }
    }
}
