//! Start-time fair queueing: teams are served in the order of virtual start times, which advance by cost over weight.
//!
//! A team that is idle lends its share, because others are served in its place; it takes the share back at once,
//! because its next request starts at the present virtual time and not behind what the others have queued.

use std::cmp::Reverse;

use super::forecast::{Demand, Learned};
use crate::ids::TeamId;
use crate::request::Submission;
use crate::table::Table;

/// Units of virtual time per microsecond of cost at weight 1.
const VIRTUAL_SCALE: u64 = 1_024;

/// Number of priorities, 0 to 9.
const PRIORITIES: usize = 10;

/// Place of a request in its team's queue: higher priorities first, then older ones.
pub(super) type Place = (Reverse<u8>, u64);

/// A request that waits.
#[derive(Debug)]
pub(super) struct Waiting {
    pub submission: Box<Submission>,
    pub demand: Demand,
    /// What the team is charged when the request is placed.
    pub cost_us: u64,
    /// After this time the request cannot finish before its deadline.
    pub latest_us: u64,
}

/// Where a waiting request is found.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Position {
    pub team: TeamId,
    pub place: Place,
}

/// State of one team.
#[derive(Debug, Default)]
struct Backlog {
    waiting: Table<Place, Waiting>,
    /// Cost of the waiting requests of each priority.
    cost_us: [u64; PRIORITIES],
    weight: u64,
    /// Virtual time at which the team's next request starts.
    next: u64,
    tokens_share: Learned,
}

/// Requests of all teams that wait for one model or service.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    teams: Table<TeamId, Backlog>,
    /// Teams with waiting requests by virtual start time.
    order: Table<(u64, TeamId), ()>,
    /// Waiting requests by the latest time at which they can start.
    expiry: Table<(u64, u64), Position>,
    virtual_time: u64,
    sequence: u64,
    active_weight: u64,
    cost_us: u64,
}

impl FairQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.expiry.len()
    }

    /// Returns how many requests of a team wait.
    pub fn queued(&self, team: &TeamId) -> usize {
        self.teams.get(team).map_or(0, |backlog| backlog.waiting.len())
    }

    /// Returns the learned share of a team's token limits that its answers use.
    pub fn tokens_share(&self, team: &TeamId) -> Learned {
        self.teams.get(team).map_or(Learned::default(), |backlog| backlog.tokens_share)
    }

    /// Takes the share of the token limit that an answer used.
    pub fn learn_tokens_share(&mut self, now_us: u64, team: &TeamId, share: f64) {
        self.teams.entry(team.clone()).tokens_share.learn(now_us, share);
    }

    /// Returns the cost that is served before a new request of the team: what the team itself has queued, grown by
    /// the shares of the other teams, but not more than everything that waits.
    pub fn cost_ahead_us(&self, team: &TeamId, weight: u64, priority: u8) -> u64 {
        let Some(backlog) = self.teams.get(team) else { return 0 };
        let own_us: u64 = backlog.cost_us.iter().skip(usize::from(priority)).sum();
        let own_weight = if backlog.waiting.is_empty() { 0 } else { backlog.weight };
        let weights = self.active_weight.saturating_sub(own_weight) + weight;
        let shared_us = u128::from(own_us) * u128::from(weights) / u128::from(weight.max(1));
        u64::try_from(shared_us).unwrap_or(u64::MAX).min(self.cost_us)
    }

    /// Adds a request. Returns its position.
    pub fn push(&mut self, weight: u64, waiting: Waiting) -> Position {
        self.sequence += 1;
        let team = waiting.submission.team.clone();
        let priority = waiting.submission.priority;
        let position = Position { team: team.clone(), place: (Reverse(priority), self.sequence) };
        self.expiry.insert((waiting.latest_us, self.sequence), position.clone());
        self.cost_us += waiting.cost_us;
        let backlog = self.teams.entry(team.clone());
        if backlog.waiting.is_empty() {
            backlog.weight = weight.max(1);
            backlog.next = backlog.next.max(self.virtual_time);
            self.active_weight += backlog.weight;
            self.order.insert((backlog.next, team), ());
        }
        if let Some(cost_us) = backlog.cost_us.get_mut(usize::from(priority)) {
            *cost_us += waiting.cost_us;
        }
        backlog.waiting.insert(position.place, waiting);
        position
    }

    /// Takes the next request in fair order and charges its team.
    pub fn pop(&mut self) -> Option<Waiting> {
        let ((start, team), ()) = self.order.first()?;
        let (start, team) = (*start, team.clone());
        let place = *self.teams.get(&team)?.waiting.first()?.0;
        let waiting = self.remove(&Position { team: team.clone(), place })?;
        self.virtual_time = self.virtual_time.max(start);
        self.charge(&team, i64::try_from(waiting.cost_us).unwrap_or(i64::MAX));
        Some(waiting)
    }

    /// Takes a waiting request out without a charge.
    pub fn remove(&mut self, position: &Position) -> Option<Waiting> {
        let backlog = self.teams.get_mut(&position.team)?;
        let waiting = backlog.waiting.remove(&position.place)?;
        let (Reverse(priority), sequence) = position.place;
        self.expiry.remove(&(waiting.latest_us, sequence));
        self.cost_us = self.cost_us.saturating_sub(waiting.cost_us);
        if let Some(cost_us) = backlog.cost_us.get_mut(usize::from(priority)) {
            *cost_us = cost_us.saturating_sub(waiting.cost_us);
        }
        if backlog.waiting.is_empty() {
            self.active_weight = self.active_weight.saturating_sub(backlog.weight);
            self.order.remove(&(backlog.next, position.team.clone()));
        }
        Some(waiting)
    }

    /// Charges a team, or gives back what it was charged too much.
    pub fn charge(&mut self, team: &TeamId, cost_us: i64) {
        let Some(backlog) = self.teams.get_mut(team) else { return };
        let units = cost_us.unsigned_abs().saturating_mul(VIRTUAL_SCALE) / backlog.weight.max(1);
        let old = backlog.next;
        backlog.next = if cost_us < 0 { old.saturating_sub(units) } else { old.saturating_add(units) };
        if !backlog.waiting.is_empty() && self.order.remove(&(old, team.clone())).is_some() {
            self.order.insert((backlog.next, team.clone()), ());
        }
    }

    /// Returns the latest time at which the first of the waiting requests can start.
    pub fn expires_us(&self) -> Option<u64> {
        self.expiry.first().map(|((latest_us, _), _)| *latest_us)
    }

    /// Takes out a request that can no longer start in time.
    pub fn pop_expired(&mut self, now_us: u64) -> Option<Waiting> {
        let ((latest_us, _), position) = self.expiry.first()?;
        if *latest_us >= now_us {
            return None;
        }
        let position = position.clone();
        self.remove(&position)
    }

    /// Computes again when waiting requests have to start.
    pub fn refit(&mut self, latest_us: impl Fn(&Waiting, &Learned) -> u64) {
        let mut rows = Vec::with_capacity(self.expiry.len());
        for (team, backlog) in self.teams.iter_mut() {
            let tokens_share = backlog.tokens_share;
            for (place, waiting) in backlog.waiting.iter_mut() {
                waiting.latest_us = latest_us(waiting, &tokens_share);
                rows.push(((waiting.latest_us, place.1), Position { team: team.clone(), place: *place }));
            }
        }
        // In ascending order each row is appended at the end of the table.
        rows.sort_by_key(|row| row.0);
        self.expiry = Table::default();
        for (key, position) in rows {
            self.expiry.insert(key, position);
        }
    }
}
