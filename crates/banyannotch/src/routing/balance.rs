//! Load balancing: chooses one of several replicas.

use super::index::Pool;
use super::meter::Meter;
use super::settings::RoutingContext;
use crate::membership::Endpoint;
use crate::random::Random;

/// Maximum factor by which slow start raises the score of an endpoint that joined recently.
const MAX_SLOW_START_FACTOR: f64 = 4.0;

/// Maximum ratio of a prefix holder's load to the mean load at which the holder is still preferred.
const AFFINITY_LOAD_FACTOR: f64 = 1.25;

/// Number of steps by which the load of a prefix holder may exceed [`AFFINITY_LOAD_FACTOR`] times the mean
/// load, because a ratio to a mean close to 0 is not meaningful.
const AFFINITY_LOAD_MARGIN_STEPS: f64 = 1.0;

/// A random replica is chosen instead of the one whose turn it is only if its score is below this ratio of
/// the other's score. Expected times contain noise: without a margin, work was spread less evenly over equal
/// replicas than by round robin, and waiting times increased.
const SWITCH_COST_RATIO: f64 = 0.7;

/// Ratios for the compared replicas, in their order. A prefix holder needs no margin, because the prefill
/// that it saves is not noise.
const SWITCH_COST_RATIOS: [f64; COMPARED_LIMIT] = [1.0, SWITCH_COST_RATIO, 1.0];

/// Maximum number of replicas that one choice compares: the one whose turn it is, a random one and a prefix
/// holder.
const COMPARED_LIMIT: usize = 3;

/// Input of a choice.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    pub(super) now_us: u64,
    pub(super) endpoints: &'a [Endpoint],
    pub(super) meters: &'a [Meter],
    pub(super) context: &'a RoutingContext,
    /// Prompt positions per token of the answer.
    pub(super) positions_per_token: f64,
    /// Indices of the endpoints that ran the prompt's prefix recently.
    pub(super) prefix_holders: &'a [usize],
}

/// Replica that was chosen, with those that were compared.
#[derive(Clone, Copy, Debug, Default)]
pub struct Picked {
    /// Index of the endpoint.
    pub member: usize,
    /// Cost of the replica, for the choice between chains of layer ranges.
    pub cost_us: f64,
    /// Compared replicas with their scores in microseconds.
    compared: [Option<(usize, f64)>; COMPARED_LIMIT],
}

impl Picked {
    fn single(member: usize) -> Self {
        Self { member, cost_us: 1.0, compared: [Some((member, 0.0)), None, None] }
    }

    /// Returns the replicas that were compared, with their scores in microseconds.
    pub fn compared(&self) -> impl Iterator<Item = (usize, f64)> {
        self.compared.iter().flatten().copied()
    }
}

/// Chooses a replica. The baselines give every layer range the same cost, so the chain with the fewest ranges
/// wins.
pub trait Balance {
    /// Chooses one of the pool's replicas. Returns `None` only if the pool is empty.
    fn choose(&mut self, pool: &Pool<'_>, view: &View<'_>, random: &mut Random) -> Option<Picked>;
}

/// Baseline: a random replica.
#[derive(Clone, Copy, Debug, Default)]
pub struct Uniform;

/// Baseline: each replica in turn.
#[derive(Clone, Debug, Default)]
pub struct RoundRobin {
    rotation: Rotation,
}

/// Round-robin state of all groups.
#[derive(Clone, Debug, Default)]
struct Rotation {
    /// Index into the pool that was last used, for each group number.
    last_indices: Vec<usize>,
}

impl Rotation {
    /// Returns the next index into the pool. The first index is random, so that entries do not choose the
    /// same replicas in step.
    fn next_index(&mut self, pool: &Pool<'_>, random: &mut Random) -> usize {
        let count = pool.members.len();
        while self.last_indices.len() <= pool.group_number {
            self.last_indices.push(random.below(count));
        }
        let Some(last_index) = self.last_indices.get_mut(pool.group_number) else { return 0 };
        *last_index = last_index.wrapping_add(1).checked_rem(count).unwrap_or(0);
        *last_index
    }
}

/// Baseline: the replica with the lowest load in its last report, a random one in a tie.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastReported;

/// Compares the expected times of the replica whose turn it is, a random replica, and a holder of the
/// prompt's prefix. The rotation spreads requests evenly over equal replicas, and the comparison with a
/// random replica moves work to faster or less loaded ones. No candidate is selected by its report, so that
/// entries with the same report do not all choose the same replica.
#[derive(Clone, Debug, Default)]
pub struct ExpectedTime {
    rotation: Rotation,
}

impl Balance for Uniform {
    fn choose(&mut self, pool: &Pool<'_>, _view: &View<'_>, random: &mut Random) -> Option<Picked> {
        pool.members.get(random.below(pool.members.len())).copied().map(Picked::single)
    }
}

impl Balance for RoundRobin {
    fn choose(&mut self, pool: &Pool<'_>, _view: &View<'_>, random: &mut Random) -> Option<Picked> {
        pool.members.get(self.rotation.next_index(pool, random)).copied().map(Picked::single)
    }
}

impl Balance for LeastReported {
    fn choose(&mut self, pool: &Pool<'_>, view: &View<'_>, random: &mut Random) -> Option<Picked> {
        let reported = |member: &usize| view.meters.get(*member).map_or(u32::MAX, Meter::reported_steps);
        let min_steps = pool.members.iter().map(reported).min()?;
        let tied = pool.members.iter().filter(|member| reported(member) == min_steps).count();
        let chosen = random.below(tied);
        let member = pool.members.iter().filter(|member| reported(member) == min_steps).nth(chosen)?;
        Some(Picked::single(*member))
    }
}

impl Balance for ExpectedTime {
    fn choose(&mut self, pool: &Pool<'_>, view: &View<'_>, random: &mut Random) -> Option<Picked> {
        let count = pool.members.len();
        let first = self.rotation.next_index(pool, random);
        let mut compared = [pool.members.get(first).copied(), None, None];
        if count > 1 {
            // The offset is at least 1 and below the count, so the second index differs from the first.
            let second = (first + 1 + random.below(count - 1)) % count;
            compared[1] = pool.members.get(second).copied();
        }
        compared[2] = view.preferred_holder(pool).filter(|holder| !compared.contains(&Some(*holder)));
        let mut picked = Picked { cost_us: f64::INFINITY, ..Picked::default() };
        for ((slot, member), ratio) in picked.compared.iter_mut().zip(compared).zip(SWITCH_COST_RATIOS) {
            let Some(member) = member else { continue };
            let score_us = view.score_us(member, pool);
            *slot = Some((member, score_us));
            if score_us < picked.cost_us * ratio {
                (picked.member, picked.cost_us) = (member, score_us);
            }
        }
        picked.cost_us.is_finite().then_some(picked)
    }
}

impl View<'_> {
    /// Returns the expected time of a decode step at an endpoint, including the link.
    pub(super) fn step_us(&self, member: usize, mean_other_steps: f64) -> f64 {
        let Some((endpoint, meter)) = self.endpoints.get(member).zip(self.meters.get(member)) else {
            return f64::INFINITY;
        };
        meter.expected_us(self.now_us, mean_other_steps, self.context.link_us(endpoint))
    }

    fn score_us(&self, member: usize, pool: &Pool<'_>) -> f64 {
        let Some((endpoint, meter)) = self.endpoints.get(member).zip(self.meters.get(member)) else {
            return f64::INFINITY;
        };
        let step_us = self.step_us(member, pool.mean_other_steps);
        let prefill_us = if self.is_preferred_holder(member, pool) {
            0.0
        } else {
            meter.position_us() * self.positions_per_token
        };
        (step_us + prefill_us) * self.slow_start_factor(endpoint)
    }

    /// Returns the first prefix holder in the pool, if its load is low enough to prefer it.
    fn preferred_holder(&self, pool: &Pool<'_>) -> Option<usize> {
        let holder =
            self.prefix_holders.iter().copied().find(|holder| pool.members.binary_search(holder).is_ok())?;
        self.is_preferred_holder(holder, pool).then_some(holder)
    }

    fn is_preferred_holder(&self, member: usize, pool: &Pool<'_>) -> bool {
        if !self.prefix_holders.contains(&member) {
            return false;
        }
        let load = self
            .meters
            .get(member)
            .map_or(f64::INFINITY, |meter| meter.load(self.now_us, pool.mean_other_steps));
        load <= AFFINITY_LOAD_FACTOR * pool.mean_load(self) + AFFINITY_LOAD_MARGIN_STEPS
    }

    fn slow_start_factor(&self, endpoint: &Endpoint) -> f64 {
        let age_us = self.now_us.saturating_sub(endpoint.joined_us) as f64;
        let slow_start_us = (self.context.settings.slow_start_ms * crate::clock::US_PER_MS) as f64;
        (slow_start_us / age_us.max(1.0)).clamp(1.0, MAX_SLOW_START_FACTOR)
    }
}

impl Pool<'_> {
    /// Returns the mean load of 8 to 15 evenly spaced replicas, or of all if there are fewer. Reading all of
    /// them takes too long at hundreds of replicas.
    fn mean_load(&self, view: &View<'_>) -> f64 {
        const SAMPLES: usize = 8;
        let stride = (self.members.len() / SAMPLES).max(1);
        let sampled = self.members.iter().step_by(stride).filter_map(|member| view.meters.get(*member));
        let (mut sum, mut count) = (0.0, 0.0);
        for meter in sampled {
            sum += meter.load(view.now_us, self.mean_other_steps);
            count += 1.0;
        }
        sum / f64::max(count, 1.0)
    }
}

impl RoutingContext {
    /// Returns the round trip to an endpoint that is assumed until steps have been measured.
    pub(super) fn link_us(&self, endpoint: &Endpoint) -> f64 {
        if endpoint.zone == self.zone { 0.0 } else { self.settings.cross_zone_us as f64 }
    }
}
