//! How one of several replicas is chosen.

use super::index::Pool;
use super::meter::Meter;
use super::settings::Surroundings;
use crate::membership::Endpoint;
use crate::random::Random;

/// Slow start slows a newcomer down by this factor at most in the comparison.
const NEWCOMER_FACTOR: f64 = 4.0;

/// Load of a prefix holder in relation to the mean up to which it is preferred.
const AFFINITY_LOAD_FACTOR: f64 = 1.25;

/// Steps above the mean up to which a prefix holder is preferred, because small means say little.
const AFFINITY_LOAD_MARGIN: f64 = 1.0;

/// Share of the expected time of the replica whose turn it is below which another one takes its place. Expected times
/// contain noise; without a margin, equal replicas got less even work than in turn and waiting grew.
const ADVANTAGE: f64 = 0.7;

/// The shares for the compared replicas; the saved prefill of a prefix holder is no noise.
const ADVANTAGES: [f64; COMPARED_LIMIT] = [1.0, ADVANTAGE, 1.0];

/// Most replicas that one choice compares: the one whose turn it is, a random one and a prefix holder.
const COMPARED_LIMIT: usize = 3;

/// What a choice can depend on.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    pub(super) now_us: u64,
    pub(super) endpoints: &'a [Endpoint],
    pub(super) meters: &'a [Meter],
    pub(super) surroundings: &'a Surroundings,
    /// Prompt positions for each token of the answer.
    pub(super) positions_per_token: f64,
    /// Endpoints that hold the prompt's prefix.
    pub(super) holders: &'a [usize],
}

/// The replica that was chosen and those that it was compared with.
#[derive(Clone, Copy, Debug, Default)]
pub struct Picked {
    /// Index of the endpoint.
    pub member: usize,
    /// Cost of using it, for the choice between chains.
    pub cost_us: f64,
    compared: [Option<(usize, f64)>; COMPARED_LIMIT],
}

impl Picked {
    fn only(member: usize) -> Self {
        Self { member, cost_us: 1.0, compared: [Some((member, 0.0)), None, None] }
    }

    /// Returns the replicas that were compared, with their scores.
    pub fn compared(&self) -> impl Iterator<Item = (usize, f64)> {
        self.compared.iter().flatten().copied()
    }
}

/// A way to choose a replica. The baselines give every range the same cost, so the chain with the fewest ranges wins.
pub trait Balance {
    /// Chooses one of the pool's replicas; none only if the pool is empty.
    fn choose(&mut self, pool: &Pool<'_>, view: &View<'_>, random: &mut Random) -> Option<Picked>;
}

/// Baseline: any replica.
#[derive(Clone, Copy, Debug, Default)]
pub struct Uniform;

/// Baseline: each replica in turn.
#[derive(Clone, Debug, Default)]
pub struct RoundRobin {
    turns: Turns,
}

/// Whose turn it is in each group.
#[derive(Clone, Debug, Default)]
struct Turns {
    turns: Vec<usize>,
}

impl Turns {
    /// Returns the next index into the pool. Each entry begins elsewhere, so that they do not move in step.
    fn next(&mut self, pool: &Pool<'_>, random: &mut Random) -> usize {
        let count = pool.members.len();
        while self.turns.len() <= pool.number {
            self.turns.push(random.below(count));
        }
        let Some(turn) = self.turns.get_mut(pool.number) else { return 0 };
        *turn = turn.wrapping_add(1).checked_rem(count).unwrap_or(0);
        *turn
    }
}

/// Baseline: the replica with the least load in its last report, a random one among equals.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastReported;

/// The better of two replicas by expected time: one in turn from a random start and one at random. The turn spreads
/// requests evenly over equal replicas, the random one makes unequal ones count, and neither follows a report alone.
#[derive(Clone, Debug, Default)]
pub struct ExpectedTime {
    turns: Turns,
}

impl Balance for Uniform {
    fn choose(&mut self, pool: &Pool<'_>, _view: &View<'_>, random: &mut Random) -> Option<Picked> {
        pool.members.get(random.below(pool.members.len())).copied().map(Picked::only)
    }
}

impl Balance for RoundRobin {
    fn choose(&mut self, pool: &Pool<'_>, _view: &View<'_>, random: &mut Random) -> Option<Picked> {
        pool.members.get(self.turns.next(pool, random)).copied().map(Picked::only)
    }
}

impl Balance for LeastReported {
    fn choose(&mut self, pool: &Pool<'_>, view: &View<'_>, random: &mut Random) -> Option<Picked> {
        let reported = |member: &usize| view.meters.get(*member).map_or(u32::MAX, Meter::reported);
        let least = pool.members.iter().map(reported).min()?;
        let equals = pool.members.iter().filter(|member| reported(member) == least).count();
        let chosen = random.below(equals);
        let member = pool.members.iter().filter(|member| reported(member) == least).nth(chosen)?;
        Some(Picked::only(*member))
    }
}

impl Balance for ExpectedTime {
    fn choose(&mut self, pool: &Pool<'_>, view: &View<'_>, random: &mut Random) -> Option<Picked> {
        let count = pool.members.len();
        let first = self.turns.next(pool, random);
        let mut compared = [pool.members.get(first).copied(), None, None];
        if count > 1 {
            // The second index skips the first one, so the two differ.
            let second = (first + 1 + random.below(count - 1)) % count;
            compared[1] = pool.members.get(second).copied();
        }
        compared[2] = view.holder(pool).filter(|holder| !compared.contains(&Some(*holder)));
        let mut picked = Picked { cost_us: f64::INFINITY, ..Picked::default() };
        for ((slot, member), advantage) in picked.compared.iter_mut().zip(compared).zip(ADVANTAGES) {
            let Some(member) = member else { continue };
            let score_us = view.score_us(member, pool);
            *slot = Some((member, score_us));
            if score_us < picked.cost_us * advantage {
                (picked.member, picked.cost_us) = (member, score_us);
            }
        }
        picked.cost_us.is_finite().then_some(picked)
    }
}

impl View<'_> {
    /// Returns the expected time of a decode step at an endpoint, with the link.
    pub(super) fn step_us(&self, member: usize, mean_others: f64) -> f64 {
        let Some((endpoint, meter)) = self.endpoints.get(member).zip(self.meters.get(member)) else {
            return f64::INFINITY;
        };
        meter.expected_us(self.now_us, mean_others, self.surroundings.link_us(endpoint))
    }

    fn score_us(&self, member: usize, pool: &Pool<'_>) -> f64 {
        let Some((endpoint, meter)) = self.endpoints.get(member).zip(self.meters.get(member)) else {
            return f64::INFINITY;
        };
        let step_us = self.step_us(member, pool.mean_others);
        let prefill_us =
            if self.prefers(member, pool) { 0.0 } else { meter.position_us() * self.positions_per_token };
        (step_us + prefill_us) * self.newcomer_factor(endpoint)
    }

    /// Returns the holder of the prefix in the pool, if its load allows to prefer it.
    fn holder(&self, pool: &Pool<'_>) -> Option<usize> {
        let holder =
            self.holders.iter().copied().find(|holder| pool.members.binary_search(holder).is_ok())?;
        self.prefers(holder, pool).then_some(holder)
    }

    fn prefers(&self, member: usize, pool: &Pool<'_>) -> bool {
        if !self.holders.contains(&member) {
            return false;
        }
        let load =
            self.meters.get(member).map_or(f64::INFINITY, |meter| meter.load(self.now_us, pool.mean_others));
        load <= AFFINITY_LOAD_FACTOR * pool.mean_load(self) + AFFINITY_LOAD_MARGIN
    }

    fn newcomer_factor(&self, endpoint: &Endpoint) -> f64 {
        let age_us = self.now_us.saturating_sub(endpoint.joined_us) as f64;
        let slow_start_us = (self.surroundings.settings.slow_start_ms * crate::clock::US_PER_MS) as f64;
        (slow_start_us / age_us.max(1.0)).clamp(1.0, NEWCOMER_FACTOR)
    }
}

impl Pool<'_> {
    /// Returns the mean load of a few replicas; all of them would take too long at hundreds of replicas.
    fn mean_load(&self, view: &View<'_>) -> f64 {
        const SAMPLES: usize = 8;
        let stride = (self.members.len() / SAMPLES).max(1);
        let sampled = self.members.iter().step_by(stride).filter_map(|member| view.meters.get(*member));
        let (mut sum, mut count) = (0.0, 0.0);
        for meter in sampled {
            sum += meter.load(view.now_us, self.mean_others);
            count += 1.0;
        }
        sum / f64::max(count, 1.0)
    }
}

impl Surroundings {
    /// Returns the round trip that is assumed until steps have been measured.
    pub(super) fn link_us(&self, endpoint: &Endpoint) -> f64 {
        if endpoint.zone == self.zone { 0.0 } else { self.settings.cross_zone_us as f64 }
    }
}
