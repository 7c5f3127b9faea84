//! Plans contiguous layer ranges with replicas over engines of different speeds.
//!
//! The planner is a pure function: the same input gives the same layout. For each number of ranges it tries
//! one or more splits of the layers. For each split it assigns the engines one by one to the range with the
//! lowest throughput, and then improves the slowest range repeatedly by moving an engine to it, exchanging
//! engines with another range, or shifting a layer to another range.

use super::bound::throughput;
use super::layout::{Engine, Layout, Part};
use crate::configuration::Objective;
use crate::pipeline::LayerRange;

/// Maximum number of improvements of one candidate. Each one raises the throughput of a slowest range.
const IMPROVEMENT_LIMIT: usize = 400;

/// How many more ranges than the smallest possible number are tried. More ranges add hops and gain nothing
/// unless the engines can hold only few layers.
const EXTRA_PARTS: usize = 8;

/// Minimum relative gain of an improvement. Smaller gains are rounding errors.
const MIN_RELATIVE_GAIN: f64 = 1e-9;

/// Maximum number of engines in two ranges for which exchanging two engines for one is tried. Larger ranges
/// come close to the bound without it, and its time grows with the cube of the number of engines.
const TWO_FOR_ONE_LIMIT_ENGINES: usize = 8;

/// Maximum number of layers for which every split into ranges is tried. A model of 12 layers has 77 splits,
/// one of 32 layers has 8,349.
const ALL_SPLITS_LIMIT_LAYERS: u16 = 12;

/// Minimum throughput of a layout planned for latency, as a fraction of the best throughput.
const LATENCY_MIN_THROUGHPUT_RATIO: f64 = 0.8;

/// A candidate layout under construction: the lengths of its ranges and the engines of each. The ranges get
/// their layers in [`Draft::into_layout`].
#[derive(Clone, Debug)]
struct Draft {
    lengths: Vec<u16>,
    members: Vec<Vec<usize>>,
}

/// Returns the best layout found for the objective, or none if the engines cannot hold all layers.
pub fn plan(engines: &[Engine], layers: u16, objective: Objective, hop_us: u64) -> Option<Layout> {
    let candidates = candidates(engines, layers);
    let best = candidates.iter().map(|layout| throughput(engines, layout)).reduce(f64::max)?;
    let score = |layout: &Layout| match objective {
        Objective::Throughput => throughput(engines, layout),
        Objective::Latency => -token_us(engines, layout, hop_us),
    };
    let min_throughput = match objective {
        Objective::Throughput => 0.0,
        Objective::Latency => LATENCY_MIN_THROUGHPUT_RATIO * best,
    };
    candidates
        .into_iter()
        .filter(|layout| throughput(engines, layout) >= min_throughput)
        .max_by(|a, b| score(a).total_cmp(&score(b)))
}

/// Improves a layout in use by moving engines between its ranges until its throughput reaches
/// `target_throughput`, so that few engines have to load other layers. Engines that the layout does not use
/// are first added to the slowest ranges.
pub fn repair(engines: &[Engine], layout: &Layout, target_throughput: f64) -> Layout {
    let mut draft = Draft {
        lengths: layout.parts.iter().map(|part| part.layers.len()).collect(),
        members: layout.parts.iter().map(|part| part.engines.clone()).collect(),
    };
    let unused: Vec<usize> =
        (0..engines.len()).filter(|index| !draft.members.iter().any(|part| part.contains(index))).collect();
    draft.assign(engines, &unused);
    for _ in 0..IMPROVEMENT_LIMIT {
        if draft.slowest(engines).is_none_or(|(_, rate)| rate >= target_throughput)
            || !draft.improve(engines, false)
        {
            break;
        }
    }
    draft.into_layout()
}

/// Returns the mean time of a token without queueing, in microseconds. The time in a range is the mean over
/// its replicas.
pub fn token_us(engines: &[Engine], layout: &Layout, hop_us: u64) -> f64 {
    let hops = layout.parts.len().saturating_sub(1) as f64;
    let steps: f64 = layout
        .parts
        .iter()
        .map(|part| {
            let times = part.engines.iter().filter_map(|index| engines.get(*index));
            let sum: f64 = times.map(|engine| engine.layer_us as f64).sum();
            f64::from(part.layers.len()) * sum / part.engines.len().max(1) as f64
        })
        .sum();
    steps + hops * hop_us as f64
}

fn candidates(engines: &[Engine], layers: u16) -> Vec<Layout> {
    let max_layers = engines.iter().map(|engine| engine.max_layers).max().unwrap_or(0);
    if layers == 0 || max_layers == 0 {
        return Vec::new();
    }
    let min_parts = usize::from(layers.div_ceil(max_layers));
    let max_parts = engines.len().min(usize::from(layers)).min(min_parts + EXTRA_PARTS);
    let mut found = Vec::new();
    for count in min_parts..=max_parts {
        for lengths in splits(engines, layers, count) {
            let mut draft = Draft { members: vec![Vec::new(); lengths.len()], lengths };
            let all: Vec<usize> = (0..engines.len()).collect();
            draft.assign(engines, &all);
            for _ in 0..IMPROVEMENT_LIMIT {
                if !draft.improve(engines, true) {
                    break;
                }
            }
            if draft.members.iter().all(|members| !members.is_empty()) {
                found.push(draft.into_layout());
            }
        }
    }
    found
}

/// Returns ways to split the layers into `count` ranges: all splits for a small model, otherwise the even
/// split and splits with some ranges as long as one kind of engine can hold, which leave short ranges for
/// engines with a small capacity.
fn splits(engines: &[Engine], layers: u16, count: usize) -> Vec<Vec<u16>> {
    let mut splits = Vec::new();
    if layers <= ALL_SPLITS_LIMIT_LAYERS {
        all_splits(layers, count, layers, &mut Vec::new(), &mut splits);
        return splits;
    }
    let Ok(parts) = u16::try_from(count) else { return splits };
    splits.push(even_split(layers, parts));
    let mut capacities: Vec<u16> = engines.iter().map(|engine| engine.max_layers).collect();
    capacities.sort_unstable();
    capacities.dedup();
    for longest in capacities {
        for long_parts in 1..parts {
            let short_parts = parts - long_parts;
            let left = layers.saturating_sub(longest.saturating_mul(long_parts));
            if left < short_parts {
                break;
            }
            let mut lengths = vec![longest; usize::from(long_parts)];
            lengths.extend(even_split(left, short_parts));
            splits.push(lengths);
        }
    }
    splits
}

fn even_split(layers: u16, parts: u16) -> Vec<u16> {
    let (each, rest) = (layers / parts.max(1), layers % parts.max(1));
    (0..parts).map(|part| each + u16::from(part < rest)).collect()
}

/// Collects the splits into `count` ranges of at most `longest` layers, in descending order of length.
fn all_splits(layers: u16, count: usize, longest: u16, prefix: &mut Vec<u16>, splits: &mut Vec<Vec<u16>>) {
    if count == 0 {
        if layers == 0 {
            splits.push(prefix.clone());
        }
        return;
    }
    for length in (1..=longest.min(layers)).rev() {
        prefix.push(length);
        all_splits(layers - length, count - 1, length, prefix, splits);
        prefix.pop();
    }
}

impl Draft {
    /// Assigns engines to ranges, each to the slowest range that it can hold. Engines that fit few ranges
    /// come first, and among these the faster ones.
    fn assign(&mut self, engines: &[Engine], unplaced: &[usize]) {
        let mut order: Vec<(usize, &Engine)> =
            unplaced.iter().filter_map(|index| Some((*index, engines.get(*index)?))).collect();
        order.sort_by_key(|(index, engine)| (self.count_fitting_parts(engine), engine.layer_us, *index));
        for (index, engine) in order {
            let slowest_part = (0..self.lengths.len())
                .filter(|part| self.fits(engine, *part))
                .min_by(|a, b| self.rate(engines, *a).total_cmp(&self.rate(engines, *b)));
            if let Some(members) = slowest_part.and_then(|part| self.members.get_mut(part)) {
                members.push(index);
            }
        }
    }

    fn count_fitting_parts(&self, engine: &Engine) -> usize {
        (0..self.lengths.len()).filter(|part| self.fits(engine, *part)).count()
    }

    fn fits(&self, engine: &Engine, part: usize) -> bool {
        self.lengths.get(part).is_some_and(|length| *length <= engine.max_layers)
    }

    fn rate(&self, engines: &[Engine], part: usize) -> f64 {
        let (Some(length), Some(members)) = (self.lengths.get(part), self.members.get(part)) else {
            return 0.0;
        };
        rate(engines, *length, members)
    }

    fn slowest(&self, engines: &[Engine]) -> Option<(usize, f64)> {
        let rates = (0..self.lengths.len()).map(|part| (part, self.rate(engines, part)));
        rates.min_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Applies the change to the slowest range and another one that raises the lower throughput of the two
    /// most. Returns false if no change raises it.
    fn improve(&mut self, engines: &[Engine], may_shift: bool) -> bool {
        let Some((slowest, slowest_rate)) = self.slowest(engines) else { return false };
        let mut best = (slowest_rate * (1.0 + MIN_RELATIVE_GAIN), None);
        for other in (0..self.lengths.len()).filter(|other| *other != slowest) {
            for (lengths, members) in self.changes(slowest, other, may_shift) {
                let pairs = || lengths.iter().zip(&members);
                let rates = pairs().map(|(length, members)| rate(engines, *length, members));
                let worse = rates.reduce(f64::min).unwrap_or(0.0);
                let fits = pairs().all(|(length, members)| can_hold(engines, *length, members));
                if worse > best.0 && fits {
                    best = (worse, Some((other, lengths, members)));
                }
            }
        }
        let Some((other, [slow_length, other_length], [slow_members, other_members])) = best.1 else {
            return false;
        };
        for (part, length, members) in
            [(slowest, slow_length, slow_members), (other, other_length, other_members)]
        {
            if let (Some(old), Some(held)) = (self.lengths.get_mut(part), self.members.get_mut(part)) {
                (*old, *held) = (length, members);
            }
        }
        true
    }

    /// Returns the changes between the slow range and another one: an engine moves to the slow range, engines
    /// are exchanged, or a layer moves to the other range.
    fn changes(&self, slow: usize, other: usize, may_shift: bool) -> Vec<([u16; 2], [Vec<usize>; 2])> {
        let (Some(slow_length), Some(other_length)) = (self.lengths.get(slow), self.lengths.get(other))
        else {
            return Vec::new();
        };
        let (Some(slow_members), Some(other_members)) = (self.members.get(slow), self.members.get(other))
        else {
            return Vec::new();
        };
        let lengths = [*slow_length, *other_length];
        let mut changes = Vec::new();
        for moved in other_members {
            let rest: Vec<usize> = other_members.iter().copied().filter(|index| index != moved).collect();
            let mut more = slow_members.clone();
            more.push(*moved);
            changes.push((lengths, [more.clone(), rest.clone()]));
            for returned in slow_members {
                let swapped: Vec<usize> = more.iter().copied().filter(|index| index != returned).collect();
                let mut received = rest.clone();
                received.push(*returned);
                changes.push((lengths, [swapped, received]));
            }
            if slow_members.len() + other_members.len() > TWO_FOR_ONE_LIMIT_ENGINES {
                continue;
            }
            for second in other_members.iter().filter(|second| *second > moved) {
                for returned in slow_members {
                    let mut gained: Vec<usize> =
                        more.iter().copied().filter(|index| index != returned).collect();
                    gained.push(*second);
                    let mut left: Vec<usize> = rest.iter().copied().filter(|index| index != second).collect();
                    left.push(*returned);
                    changes.push((lengths, [gained, left]));
                }
            }
        }
        if may_shift && *slow_length > 1 {
            let shifted = [slow_length - 1, other_length + 1];
            changes.push((shifted, [slow_members.clone(), other_members.clone()]));
        }
        changes
    }

    fn into_layout(self) -> Layout {
        let mut begin = 0;
        let parts = self
            .lengths
            .into_iter()
            .zip(self.members)
            .map(|(length, mut engines)| {
                engines.sort_unstable();
                let layers = LayerRange::new(begin, begin + length);
                begin = layers.end;
                Part { layers, engines }
            })
            .collect();
        Layout { parts }
    }
}

fn rate(engines: &[Engine], length: u16, members: &[usize]) -> f64 {
    let speed: f64 = members.iter().filter_map(|index| engines.get(*index)).map(Engine::speed).sum();
    speed / f64::from(length.max(1))
}

fn can_hold(engines: &[Engine], length: u16, members: &[usize]) -> bool {
    members.iter().all(|index| engines.get(*index).is_some_and(|engine| length <= engine.max_layers))
}
