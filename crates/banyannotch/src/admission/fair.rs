//! Start-time fair queueing: teams are served in the order of their virtual start times, which advance by
//! cost divided by weight.
//!
//! While a team has nothing queued, the other teams use its share. It gets its share back at once, because
//! its next request starts at the current virtual time and not behind the requests that the others have
//! queued. For the same reason an idle team does not accumulate credit.

use std::cmp::Reverse;

use super::forecast::{DecayingAverage, Demand};
use crate::ids::TeamId;
use crate::request::Submission;
use crate::table::Table;

/// Units of virtual time per microsecond of cost at weight 1.
const VIRTUAL_UNITS_PER_US: u64 = 1_024;

/// Number of priorities, 0 to 9.
const PRIORITY_COUNT: usize = 10;

/// Sort key of a request in its team's queue, from priority and sequence number: higher priorities first,
/// then older requests.
pub(super) type QueueKey = (Reverse<u8>, u64);

/// A request that waits.
#[derive(Debug)]
pub(super) struct Waiting {
    pub submission: Box<Submission>,
    pub demand: Demand,
    /// Estimated cost that the team is charged when the request leaves the queue.
    pub cost_us: u64,
    /// Latest time at which the request can start and still finish before its deadline.
    pub latest_start_us: u64,
}

/// Position of a waiting request in a [`FairQueue`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct QueuePosition {
    pub team: TeamId,
    pub key: QueueKey,
}

/// Waiting requests and fair-queueing state of one team.
#[derive(Debug, Default)]
struct TeamQueue {
    waiting: Table<QueueKey, Waiting>,
    /// Total cost of the waiting requests, by priority.
    cost_us_by_priority: [u64; PRIORITY_COUNT],
    weight: u64,
    /// Virtual start time of the team's next request.
    next_start: u64,
    /// Average ratio of generated tokens to the token limit in the team's completed requests.
    output_ratio: DecayingAverage,
}

/// Waiting requests of all teams for one model or service.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    teams: Table<TeamId, TeamQueue>,
    /// Teams with waiting requests, by virtual start time.
    start_order: Table<(u64, TeamId), ()>,
    /// Waiting requests, by latest start time and sequence number.
    expiry: Table<(u64, u64), QueuePosition>,
    virtual_time: u64,
    last_sequence: u64,
    /// Sum of the weights of the teams with waiting requests.
    active_weight: u64,
    /// Total cost of the waiting requests.
    queued_cost_us: u64,
}

impl FairQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.expiry.len()
    }

    /// Returns the number of waiting requests of a team.
    pub fn queued(&self, team: &TeamId) -> usize {
        self.teams.get(team).map_or(0, |team_queue| team_queue.waiting.len())
    }

    /// Returns the average ratio of generated tokens to the token limit in a team's completed requests.
    pub fn output_ratio(&self, team: &TeamId) -> DecayingAverage {
        self.teams.get(team).map_or(DecayingAverage::default(), |team_queue| team_queue.output_ratio)
    }

    /// Adds the ratio of generated tokens to the token limit of a completed request.
    pub fn record_output_ratio(&mut self, now_us: u64, team: &TeamId, ratio: f64) {
        self.teams.entry(team.clone()).output_ratio.record(now_us, ratio);
    }

    /// Returns the cost that is served before a new request of the team: the cost that the team has queued at
    /// the same or a higher priority, scaled up by the shares of the other active teams, but at most the
    /// total queued cost.
    pub fn cost_ahead_us(&self, team: &TeamId, weight: u64, priority: u8) -> u64 {
        let Some(team_queue) = self.teams.get(team) else { return 0 };
        let own_us: u64 = team_queue.cost_us_by_priority.iter().skip(usize::from(priority)).sum();
        let own_weight = if team_queue.waiting.is_empty() { 0 } else { team_queue.weight };
        let weights = self.active_weight.saturating_sub(own_weight) + weight;
        let shared_us = u128::from(own_us) * u128::from(weights) / u128::from(weight.max(1));
        u64::try_from(shared_us).unwrap_or(u64::MAX).min(self.queued_cost_us)
    }

    /// Adds a request. Returns its position.
    pub fn push(&mut self, weight: u64, waiting: Waiting) -> QueuePosition {
        self.last_sequence += 1;
        let team = waiting.submission.team.clone();
        let priority = waiting.submission.priority;
        let position = QueuePosition { team: team.clone(), key: (Reverse(priority), self.last_sequence) };
        self.expiry.insert((waiting.latest_start_us, self.last_sequence), position.clone());
        self.queued_cost_us += waiting.cost_us;
        let team_queue = self.teams.entry(team.clone());
        if team_queue.waiting.is_empty() {
            team_queue.weight = weight.max(1);
            team_queue.next_start = team_queue.next_start.max(self.virtual_time);
            self.active_weight += team_queue.weight;
            self.start_order.insert((team_queue.next_start, team), ());
        }
        if let Some(cost_us) = team_queue.cost_us_by_priority.get_mut(usize::from(priority)) {
            *cost_us += waiting.cost_us;
        }
        team_queue.waiting.insert(position.key, waiting);
        position
    }

    /// Removes and returns the next request in fair order, and charges its team.
    pub fn pop(&mut self) -> Option<Waiting> {
        let ((start, team), ()) = self.start_order.first()?;
        let (start, team) = (*start, team.clone());
        let key = *self.teams.get(&team)?.waiting.first()?.0;
        let waiting = self.remove(&QueuePosition { team: team.clone(), key })?;
        self.virtual_time = self.virtual_time.max(start);
        self.charge(&team, i64::try_from(waiting.cost_us).unwrap_or(i64::MAX));
        Some(waiting)
    }

    /// Removes and returns a waiting request without charging its team.
    pub fn remove(&mut self, position: &QueuePosition) -> Option<Waiting> {
        let team_queue = self.teams.get_mut(&position.team)?;
        let waiting = team_queue.waiting.remove(&position.key)?;
        let (Reverse(priority), sequence) = position.key;
        self.expiry.remove(&(waiting.latest_start_us, sequence));
        self.queued_cost_us = self.queued_cost_us.saturating_sub(waiting.cost_us);
        if let Some(cost_us) = team_queue.cost_us_by_priority.get_mut(usize::from(priority)) {
            *cost_us = cost_us.saturating_sub(waiting.cost_us);
        }
        if team_queue.waiting.is_empty() {
            self.active_weight = self.active_weight.saturating_sub(team_queue.weight);
            self.start_order.remove(&(team_queue.next_start, position.team.clone()));
        }
        Some(waiting)
    }

    /// Charges a team the given cost. A negative cost is a refund.
    pub fn charge(&mut self, team: &TeamId, cost_us: i64) {
        let Some(team_queue) = self.teams.get_mut(team) else { return };
        let units = cost_us.unsigned_abs().saturating_mul(VIRTUAL_UNITS_PER_US) / team_queue.weight.max(1);
        let old = team_queue.next_start;
        team_queue.next_start =
            if cost_us < 0 { old.saturating_sub(units) } else { old.saturating_add(units) };
        if !team_queue.waiting.is_empty() && self.start_order.remove(&(old, team.clone())).is_some() {
            self.start_order.insert((team_queue.next_start, team.clone()), ());
        }
    }

    /// Returns the earliest of the latest start times of the waiting requests.
    pub fn next_expiry_us(&self) -> Option<u64> {
        self.expiry.first().map(|((latest_start_us, _), _)| *latest_start_us)
    }

    /// Removes and returns one request whose latest start time has passed.
    pub fn pop_expired(&mut self, now_us: u64) -> Option<Waiting> {
        let ((latest_start_us, _), position) = self.expiry.first()?;
        if *latest_start_us >= now_us {
            return None;
        }
        let position = position.clone();
        self.remove(&position)
    }

    /// Recomputes the latest start times of all waiting requests.
    pub fn recompute_latest_starts(&mut self, latest_start_us: impl Fn(&Waiting, &DecayingAverage) -> u64) {
        let mut rows = Vec::with_capacity(self.expiry.len());
        for (team, team_queue) in self.teams.iter_mut() {
            let output_ratio = team_queue.output_ratio;
            for (key, waiting) in team_queue.waiting.iter_mut() {
                waiting.latest_start_us = latest_start_us(waiting, &output_ratio);
                rows.push((
                    (waiting.latest_start_us, key.1),
                    QueuePosition { team: team.clone(), key: *key },
                ));
            }
        }
        // Inserting in ascending order appends each row, so that no rows have to be moved.
        rows.sort_by_key(|row| row.0);
        self.expiry = Table::default();
        for (key, position) in rows {
            self.expiry.insert(key, position);
        }
    }
}
