//! Planning of the layers that engines hold on their cards.
//!
//! The cards of a zone are divided into chains that each hold the whole model. More chains survive more
//! losses and are faster; fewer leave more memory for requests. The number of chains and their cards are
//! chosen by the request rate that the chains can serve, weighted by the probability that all engines of a
//! chain are available.

use std::sync::Arc;

use crate::gateway::Pipeline;
use crate::gateway::chain::{ChainPart, divide_into_chains, request_rate};
use crate::ids::Zone;
use crate::pipeline::{Address, LayerRange};
use crate::table::Table;

/// Assumed probability that an engine is available: on ordinary days up to a tenth of the engines are down at
/// a time.
const ENGINE_AVAILABILITY: f64 = 0.9;
/// Demand, as a share of the request rate of the best division without losses. Capacity beyond the demand is
/// of no use.
const DEMAND_SHARE: f64 = 0.25;
/// Maximum number of passes over all pairs of chains, so that planning stays cheap for many cards.
const PASS_LIMIT: usize = 8;
/// The search tries the maximum number of chains that memory allows, and up to this many smaller numbers.
const CHAIN_COUNT_SPAN: u32 = 8;
/// Maximum number of cards that are divided into chains together. The time of the search grows with a power
/// of their number: a zone of 333 cards kept a small machine busy until its ownership had expired, and no
/// order was ever sent.
const CARD_GROUP_LIMIT: usize = 48;
/// Share of a card's memory that the layers of a replacement occupy when there is no gap to fill; the rest is
/// left for requests.
const REPLACEMENT_SHARE: f64 = 0.8;

/// An engine with its accelerator card.
#[derive(Clone, Debug, PartialEq)]
pub struct Card {
    /// Name of the engine.
    pub id: Arc<str>,
    /// Address of the engine.
    pub address: Address,
    /// Zone of the engine.
    pub zone: Zone,
    /// Memory of the card, in megabytes.
    pub memory_mb: f64,
    /// Factor on the time of a decoding step.
    pub step_factor: f64,
    /// Factor on the time of prefill.
    pub read_factor: f64,
    /// Number of requests that the engine runs at once.
    pub slots: u32,
    /// Layers that the engine holds or is planned to hold.
    pub layers: Option<LayerRange>,
}

/// Layers that are planned for an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct LayerAssignment {
    /// Address of the engine.
    pub address: Address,
    /// Layers that the engine is to hold.
    pub layers: LayerRange,
}

/// Plans the layers of all engines when none holds any.
pub fn plan(pipeline: &Pipeline, cards: &[Card], layer_share: f64) -> Vec<LayerAssignment> {
    plan_with(&mut Vec::new(), pipeline, cards, layer_share)
}

/// Plans the layers of all engines, with the divisions that are known already, and adds those that it searches for.
pub(super) fn plan_with(
    shapes: &mut Vec<Shape>,
    pipeline: &Pipeline,
    cards: &[Card],
    layer_share: f64,
) -> Vec<LayerAssignment> {
    let mut zones: Vec<&Zone> = cards.iter().map(|card| &card.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    let mut assignments = Vec::new();
    let mut rest: Vec<&Card> = Vec::new();
    for zone in zones {
        let of_zone: Vec<&Card> = cards.iter().filter(|card| card.zone == *zone).collect();
        for group in card_groups(&of_zone) {
            let kinds = Shape::kinds_of(&group);
            let known = shapes.iter().find(|shape| shape.kinds == kinds);
            let chains = match known {
                Some(shape) => shape.chains_of(&group),
                None => {
                    let chains = best_chains(pipeline, &group, layer_share);
                    shapes.push(Shape::new(kinds, chains.as_deref()));
                    chains
                }
            };
            match chains {
                Some(chains) => assign_chains(pipeline, &chains, layer_share, &mut assignments),
                None => rest.extend(group),
            }
        }
    }
    // Cards that cannot hold the model within their zone hold it together across zones.
    if let Some(chains) = best_chains(pipeline, &rest, layer_share) {
        assign_chains(pipeline, &chains, layer_share, &mut assignments);
    }
    assignments.sort_by_key(|assignment| assignment.address);
    assignments
}

/// Splits the cards of a zone into groups of about equal size, each with about the same share of every kind
/// of card.
pub(super) fn card_groups<'a>(cards: &[&'a Card]) -> Vec<Vec<&'a Card>> {
    let count = cards.len().div_ceil(CARD_GROUP_LIMIT).max(1);
    let mut sorted = cards.to_vec();
    if count > 1 {
        sorted.sort_by(|left, right| right.memory_mb.total_cmp(&left.memory_mb));
    }
    (0..count).map(|group| sorted.iter().skip(group).step_by(count).copied().collect()).collect()
}

/// Chooses layers for an engine that holds none: the longest gap of its zone if it fits, else what the engines outside
/// whole chains lack most, so that a chain that lost an engine is whole again, else the least covered layers.
pub fn assign_empty_engine(
    pipeline: &Pipeline,
    cards: &[Card],
    empty: &Card,
    layer_share: f64,
) -> Option<LayerRange> {
    let count = pipeline.layers_within(empty.memory_mb, REPLACEMENT_SHARE.min(layer_share)).max(1);
    let max_count = pipeline.layers_within(empty.memory_mb, layer_share);
    if max_count == 0 {
        return None;
    }
    let mut room_mb = vec![0.0; usize::from(pipeline.layers)];
    let others = cards.iter().filter(|card| card.zone == empty.zone && card.address != empty.address);
    for card in others {
        let Some(layers) = card.layers.filter(|layers| !layers.is_empty()) else { continue };
        let free_mb = (card.memory_mb - f64::from(layers.len()) * pipeline.layer_mb).max(0.0);
        // Above zero also for a full card, so that its layers do not count as a gap.
        let layer_room_mb = free_mb / f64::from(layers.len()) + f64::EPSILON;
        let held = usize::from(layers.begin)..usize::from(layers.end.min(pipeline.layers));
        for layer in room_mb.get_mut(held).unwrap_or_default() {
            *layer += layer_room_mb;
        }
    }
    if let Some(gap) = longest_gap(&room_mb)
        && gap.len() <= max_count
    {
        return Some(gap);
    }
    let missing = room_mb.iter().filter(|room_mb| **room_mb <= 0.0).count();
    let of_zone: Vec<&Card> =
        cards.iter().filter(|card| card.zone == empty.zone && card.address != empty.address).collect();
    if missing == 0
        && let Some(lacking) = most_lacking(pipeline.layers, &outside_chains(pipeline.layers, &of_zone))
    {
        let end = lacking.begin + lacking.len().min(max_count);
        return Some(LayerRange::new(lacking.begin, end));
    }
    let count = if missing > 0 { max_count } else { count.min(max_count) };
    least_covered(&room_mb, count)
}

/// Chooses an engine that moves into a gap of its zone. All of its layers are also held by others, so the
/// move opens no new gap.
pub fn fill_gap(pipeline: &Pipeline, cards: &[Card], layer_share: f64) -> Option<LayerAssignment> {
    let mut zones: Vec<&Zone> = cards.iter().map(|card| &card.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    zones.into_iter().find_map(|zone| {
        let of_zone: Vec<&Card> = cards.iter().filter(|card| card.zone == *zone).collect();
        fill_gap_in_zone(pipeline, &of_zone, layer_share)
    })
}

/// Fills a gap of the zone, or else one between the engines outside whole chains if these could hold the model.
fn fill_gap_in_zone(pipeline: &Pipeline, cards: &[&Card], layer_share: f64) -> Option<LayerAssignment> {
    if let Some(assignment) = move_into_gap(pipeline, cards, layer_share) {
        return Some(assignment);
    }
    let outside = outside_chains(pipeline.layers, cards);
    let total_layers: u32 = outside.iter().map(|card| u32::from(capacity(pipeline, card, layer_share))).sum();
    (total_layers >= u32::from(pipeline.layers)).then(|| move_into_gap(pipeline, &outside, layer_share))?
}

/// Returns the cards that are not part of a chain of whole ranges.
fn outside_chains<'a>(layers: u16, cards: &[&'a Card]) -> Vec<&'a Card> {
    let holders = cards.iter().filter_map(|card| Some((*card, card.layers?))).collect();
    divide_into_chains(layers, holders).rest.into_iter().map(|(card, _)| card).collect()
}

/// Returns the longest range of layers that the fewest of the cards hold, or none without cards.
fn most_lacking(layers: u16, cards: &[&Card]) -> Option<LayerRange> {
    if cards.is_empty() {
        return None;
    }
    let counts = holder_counts(layers, cards);
    let fewest = counts.iter().copied().fold(f64::INFINITY, f64::min);
    longest_gap(&counts.iter().map(|count| count - fewest).collect::<Vec<_>>())
}

/// Returns for each layer the number of cards that hold it.
fn holder_counts(layers: u16, cards: &[&Card]) -> Vec<f64> {
    let mut counts = vec![0.0; usize::from(layers)];
    for held in cards.iter().filter_map(|card| card.layers) {
        let held = usize::from(held.begin)..usize::from(held.end.min(layers));
        for count in counts.get_mut(held).unwrap_or_default() {
            *count += 1.0;
        }
    }
    counts
}

/// Chooses an engine whose layers others of the cards hold too, and that fills most of the longest gap between them.
fn move_into_gap(pipeline: &Pipeline, cards: &[&Card], layer_share: f64) -> Option<LayerAssignment> {
    let counts = holder_counts(pipeline.layers, cards);
    let gap = longest_gap(&counts)?;
    let is_redundant = |card: &Card| {
        let held = card.layers.filter(|held| !held.is_empty());
        held.is_some_and(|held| {
            (held.begin..held.end)
                .all(|layer| counts.get(usize::from(layer)).is_none_or(|count| *count > 1.0))
        })
    };
    let filled_layers = |card: &Card| capacity(pipeline, card, layer_share).min(gap.len());
    // Of the cards that fill most of the gap, the smallest moves: large cards are worth more where they are.
    let best =
        cards.iter().filter(|card| is_redundant(card) && filled_layers(card) > 0).max_by(|left, right| {
            (filled_layers(left).cmp(&filled_layers(right))).then(right.memory_mb.total_cmp(&left.memory_mb))
        })?;
    let end = gap.begin + filled_layers(best);
    Some(LayerAssignment { address: best.address, layers: LayerRange::new(gap.begin, end) })
}

/// Returns the longest range of layers without coverage, the first one if several are equally long.
fn longest_gap(coverage: &[f64]) -> Option<LayerRange> {
    let mut longest: Option<LayerRange> = None;
    let mut begin = 0;
    for (layer, covered) in coverage.iter().chain([&1.0]).enumerate() {
        if *covered > 0.0 {
            let gap = LayerRange::new(begin as u16, layer as u16);
            if !gap.is_empty() && longest.is_none_or(|known| known.len() < gap.len()) {
                longest = Some(gap);
            }
            begin = layer + 1;
        }
    }
    longest
}

/// Returns the range of `count` layers with the least room. The room of a layer is the sum of
/// its cards' free memory, each divided by the number of layers on the card.
fn least_covered(room_mb: &[f64], count: u16) -> Option<LayerRange> {
    /// Added to the room of each layer, in megabytes; small, so that a layer without holders outweighs all
    /// others.
    const ROOM_OFFSET_MB: f64 = 0.001;
    let weights: Vec<f64> = room_mb.iter().map(|room_mb| 1.0 / (room_mb + ROOM_OFFSET_MB)).collect();
    let count = usize::from(count).min(weights.len());
    let (begin, _) = weights
        .windows(count.max(1))
        .map(|window| window.iter().sum::<f64>())
        .enumerate()
        .max_by(|(left_at, left), (right_at, right)| left.total_cmp(right).then(right_at.cmp(left_at)))?;
    Some(LayerRange::new(begin as u16, (begin + count) as u16))
}

/// Cards that are to hold the whole model together.
type Chain<'a> = Vec<&'a Card>;

/// The division of a group of cards by the kinds of its cards. Large zones consist of many groups with the same cards,
/// and the search for the best division takes most of the time of a plan.
pub(super) struct Shape {
    /// Kinds of the group's cards, each with the number of its cards.
    kinds: Vec<(CardKind, usize)>,
    /// Kinds of the cards of each chain; none if the group cannot hold the model.
    chains: Option<Vec<Vec<CardKind>>>,
}

/// What distinguishes cards in a plan: factors, memory and slots.
type CardKind = (u64, u64, u64, u32);

impl Shape {
    fn new(kinds: Vec<(CardKind, usize)>, chains: Option<&[Chain<'_>]>) -> Self {
        let kinds_of = |chain: &Chain<'_>| chain.iter().map(|card| kind_of(card)).collect();
        Self { kinds, chains: chains.map(|chains| chains.iter().map(kinds_of).collect()) }
    }

    /// Returns the kinds of the cards with their counts, sorted.
    fn kinds_of(cards: &[&Card]) -> Vec<(CardKind, usize)> {
        let mut counts: Table<CardKind, usize> = Table::default();
        for card in cards {
            *counts.entry(kind_of(card)) += 1;
        }
        counts.iter().map(|(kind, count)| (*kind, *count)).collect()
    }

    /// Divides cards of the same kinds in the same way.
    fn chains_of<'a>(&self, cards: &[&'a Card]) -> Option<Vec<Chain<'a>>> {
        let mut left: Vec<&'a Card> = cards.to_vec();
        let mut take = |kind: &CardKind| {
            let index = left.iter().position(|card| kind_of(card) == *kind)?;
            Some(left.swap_remove(index))
        };
        let chains = self.chains.as_ref()?;
        chains.iter().map(|kinds| kinds.iter().map(&mut take).collect()).collect()
    }
}

fn kind_of(card: &Card) -> CardKind {
    (card.step_factor.to_bits(), card.read_factor.to_bits(), card.memory_mb.to_bits(), card.slots)
}

/// Divides cards into the best chains, or returns nothing when they cannot hold the model even once.
fn best_chains<'a>(pipeline: &Pipeline, cards: &[&'a Card], layer_share: f64) -> Option<Vec<Chain<'a>>> {
    let mut sorted: Vec<&Card> = cards.to_vec();
    sorted.sort_by(|left, right| {
        (left.step_factor.total_cmp(&right.step_factor)).then(right.memory_mb.total_cmp(&left.memory_mb))
    });
    let total_layers: u32 = sorted.iter().map(|card| u32::from(capacity(pipeline, card, layer_share))).sum();
    let chain_limit = total_layers / u32::from(pipeline.layers.max(1));
    let mut plans: Vec<Vec<Chain<'a>>> = Vec::new();
    for count in chain_limit.saturating_sub(CHAIN_COUNT_SPAN).max(1)..=chain_limit {
        let Some(mut chains) = partition(pipeline, &sorted, count as usize, layer_share) else { continue };
        improve(pipeline, &mut chains, layer_share);
        plans.push(chains);
    }
    let plan_rates: Vec<Vec<(f64, f64)>> = plans
        .iter()
        .map(|chains| chains.iter().map(|chain| chain_rate(pipeline, chain, layer_share)).collect())
        .collect();
    let best_rate =
        plan_rates.iter().map(|rates| rates.iter().map(|(rate, _)| rate).sum()).fold(0.0, f64::max);
    let values = plan_rates.iter().map(|rates| expected_rate(rates, best_rate * DEMAND_SHARE));
    let (_, chains) = values.zip(plans).max_by(|(left, _), (right, _)| left.total_cmp(right))?;
    Some(chains)
}

/// Returns the mean of the requests a second that chains serve after losses, up to the demand. Each chain is
/// given by its rate and its availability.
fn expected_rate(rates: &[(f64, f64)], demand: f64) -> f64 {
    /// Maximum number of chains whose combinations of losses are enumerated; for more, the sum of the means
    /// is close enough.
    const ENUMERATED_CHAIN_LIMIT: usize = 10;
    if rates.len() > ENUMERATED_CHAIN_LIMIT {
        return rates.iter().map(|(rate, availability)| rate * availability).sum::<f64>().min(demand);
    }
    (0_u32..1 << rates.len())
        .map(|available_mask| {
            let (mut probability, mut served_rate) = (1.0, 0.0);
            for (index, (rate, availability)) in rates.iter().enumerate() {
                if available_mask & (1 << index) != 0 {
                    probability *= availability;
                    served_rate += rate;
                } else {
                    probability *= 1.0 - availability;
                }
            }
            probability * f64::min(served_rate, demand)
        })
        .sum()
}

/// Fills `count` chains one after the other: each takes the fastest cards that fit, and then the smallest
/// card that completes it. The last chain takes the remaining cards.
fn partition<'a>(
    pipeline: &Pipeline,
    sorted: &[&'a Card],
    count: usize,
    layer_share: f64,
) -> Option<Vec<Chain<'a>>> {
    let mut remaining: Vec<(&'a Card, u16)> =
        sorted.iter().map(|card| (*card, capacity(pipeline, card, layer_share))).collect();
    let mut chains: Vec<Chain<'a>> = Vec::with_capacity(count);
    for _ in 0..count {
        let mut chain = Vec::new();
        let mut missing = pipeline.layers;
        while missing > 0 {
            let fitting = remaining.iter().position(|(_, layers)| *layers > 0 && *layers <= missing);
            let completing = || {
                let larger = remaining.iter().enumerate().filter(|(_, (_, layers))| *layers > missing);
                larger.min_by_key(|(_, (_, layers))| *layers).map(|(index, _)| index)
            };
            let (card, layers) = remaining.remove(fitting.or_else(completing)?);
            chain.push(card);
            missing = missing.saturating_sub(layers);
        }
        chains.push(chain);
    }
    chains.last_mut()?.extend(remaining.into_iter().map(|(card, _)| card));
    Some(chains)
}

/// Moves and swaps cards between chains as long as the weighted request rate grows.
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
    let before = weighted_rate(pipeline, source, layer_share) + weighted_rate(pipeline, target, layer_share);
    let Some((source, target)) = find_improvement(pipeline, source, target, layer_share, before) else {
        return false;
    };
    if let Some(chain) = chains.get_mut(from) {
        *chain = source;
    }
    if let Some(chain) = chains.get_mut(to) {
        *chain = target;
    }
    true
}

/// Returns whether an earlier card of the chain is of the same kind, so that this one needs no trial of its
/// own.
fn is_kind_tried(chain: &[&Card], index: usize) -> bool {
    let Some(card) = chain.get(index) else { return true };
    chain.iter().take(index).any(|other| is_same_kind(card, other))
}

fn is_same_kind(left: &Card, right: &Card) -> bool {
    left.step_factor == right.step_factor && left.memory_mb == right.memory_mb
}

/// Returns the chains after the first move or swap of cards that raises their weighted request rate above
/// `before`.
fn find_improvement<'a>(
    pipeline: &Pipeline,
    source: &[&'a Card],
    target: &[&'a Card],
    layer_share: f64,
    before: f64,
) -> Option<(Chain<'a>, Chain<'a>)> {
    /// Minimum factor of an improvement, so that rounding does not keep the search going.
    const MIN_GAIN_FACTOR: f64 = 1.001;
    for (index, card) in source.iter().enumerate() {
        if is_kind_tried(source, index) {
            continue;
        }
        let mut without = source.to_vec();
        without.remove(index);
        let mut with = target.to_vec();
        with.push(card);
        if pair_rate(pipeline, &without, &with, layer_share) > before * MIN_GAIN_FACTOR {
            return Some((without, with));
        }
        for (other_index, other) in target.iter().enumerate() {
            if is_same_kind(card, other) || is_kind_tried(target, other_index) {
                continue;
            }
            let mut left = source.to_vec();
            let mut right = target.to_vec();
            if let (Some(ours), Some(theirs)) = (left.get_mut(index), right.get_mut(other_index)) {
                std::mem::swap(ours, theirs);
            }
            if pair_rate(pipeline, &left, &right, layer_share) > before * MIN_GAIN_FACTOR {
                return Some((left, right));
            }
        }
    }
    None
}

/// Returns the weighted request rate of two chains together.
fn pair_rate(pipeline: &Pipeline, left: &[&Card], right: &[&Card], layer_share: f64) -> f64 {
    weighted_rate(pipeline, left, layer_share) + weighted_rate(pipeline, right, layer_share)
}

/// Returns the number of layers that fit into a card.
fn capacity(pipeline: &Pipeline, card: &Card, layer_share: f64) -> u16 {
    pipeline.layers_within(card.memory_mb, layer_share)
}

/// Returns the requests a second that a chain serves, weighted by its availability.
fn weighted_rate(pipeline: &Pipeline, chain: &[&Card], layer_share: f64) -> f64 {
    let (rate, availability) = chain_rate(pipeline, chain, layer_share);
    rate * availability
}

/// Returns the requests a second that a chain serves and its availability, the probability that all its
/// engines are up.
fn chain_rate(pipeline: &Pipeline, chain: &[&Card], layer_share: f64) -> (f64, f64) {
    let Some(layer_counts) = divide_layers(pipeline, chain, layer_share) else { return (0.0, 0.0) };
    let parts = chain.iter().zip(&layer_counts).map(|(card, layers)| ChainPart {
        memory_mb: card.memory_mb,
        step_factor: card.step_factor,
        read_factor: card.read_factor,
        layers: *layers,
        held_layers: *layers,
    });
    let slots = chain.first().map_or(0, |card| card.slots);
    let availability = ENGINE_AVAILABILITY.powi(i32::try_from(chain.len()).unwrap_or(i32::MAX));
    (request_rate(pipeline, slots, parts), availability)
}

/// Divides the model's layers over the cards of a chain in proportion to their memory. Returns the number of
/// layers of each card, or nothing when the cards cannot hold the model.
fn divide_layers(pipeline: &Pipeline, chain: &[&Card], layer_share: f64) -> Option<Vec<u16>> {
    let model_layers = u32::from(pipeline.layers);
    let capacities: Vec<u16> = chain.iter().map(|card| capacity(pipeline, card, layer_share)).collect();
    if capacities.iter().map(|layers| u32::from(*layers)).sum::<u32>() < model_layers {
        return None;
    }
    let memory_mb: f64 = chain.iter().map(|card| card.memory_mb).sum();
    let mut layer_counts: Vec<u16> = chain
        .iter()
        .zip(&capacities)
        .map(|(card, capacity)| {
            let share = f64::from(pipeline.layers) * card.memory_mb / memory_mb.max(1.0);
            (share.floor() as u16).min(*capacity)
        })
        .collect();
    let mut remaining =
        model_layers.checked_sub(layer_counts.iter().map(|layers| u32::from(*layers)).sum())?;
    while remaining > 0 {
        // The card that would have the most memory for each of its layers takes one more.
        let (index, _) = chain
            .iter()
            .zip(layer_counts.iter().zip(&capacities))
            .enumerate()
            .filter(|(_, (_, (layers, capacity)))| layers < capacity)
            .map(|(index, (card, (layers, _)))| (index, card.memory_mb / f64::from(layers + 1)))
            .max_by(|(_, left), (_, right)| left.total_cmp(right))?;
        *layer_counts.get_mut(index)? += 1;
        remaining -= 1;
    }
    // A card without layers is not part of the chain. The next check chooses layers for it as for any other
    // empty engine.
    Some(layer_counts)
}

/// Appends the layers of each chain's cards to `assignments`.
fn assign_chains(
    pipeline: &Pipeline,
    chains: &[Chain<'_>],
    layer_share: f64,
    assignments: &mut Vec<LayerAssignment>,
) {
    for chain in chains {
        let Some(layer_counts) = divide_layers(pipeline, chain, layer_share) else { continue };
        let mut begin = 0;
        for (card, layers) in chain.iter().zip(layer_counts) {
            if layers > 0 {
                assignments.push(LayerAssignment {
                    address: card.address,
                    layers: LayerRange::new(begin, begin + layers),
                });
                begin += layers;
            }
        }
    }
}
