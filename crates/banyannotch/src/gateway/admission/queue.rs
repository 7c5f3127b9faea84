//! Requests of one service that wait for capacity: ordered by rank, then fairly among teams, then by the latest time at which
//! a send still meets the objective.
//!
//! Teams share the places that become free within a rank by start-time fair queueing, as in the native entry's
//! `admission/fair.rs`. That queue orders priorities only within a team and holds the entry's own requests; here a more urgent
//! rank precedes the others whatever the team.

use super::classes::RANK_LIMIT;
use crate::ids::TeamId;
use crate::table::Table;

/// A request that waits.
#[derive(Clone, Debug, PartialEq)]
pub struct Waiting {
    /// Number of the request.
    pub ticket: u64,
    /// Rank of its class; 0 in a service without classes.
    pub rank: u8,
    /// Team of the caller.
    pub team: Option<TeamId>,
    /// Latest time at which a send still meets the objective, in microseconds.
    pub latest_send_us: u64,
    /// Time by which the request leaves the queue, in microseconds.
    pub limit_us: u64,
    /// Size of the request, in tokens, which its team is charged when it is sent.
    pub tokens: f64,
}

impl Waiting {
    /// Returns the position among the requests of the same team and rank.
    fn key(&self) -> (u64, u64) {
        (self.latest_send_us, self.ticket)
    }
}

/// Requests of one rank.
#[derive(Clone, Debug, Default)]
struct RankQueue {
    /// Few requests wait at a time, so that a search through all of them is cheap.
    waiting: Vec<Waiting>,
    /// Virtual time at which each team's next request starts, for teams that have been served more than others.
    next_starts: Table<Option<TeamId>, f64>,
    virtual_time: f64,
}

impl RankQueue {
    fn start_of(&self, team: &Option<TeamId>) -> f64 {
        self.next_starts.get(team).copied().unwrap_or_default().max(self.virtual_time)
    }

    fn first(&self) -> Option<&Waiting> {
        self.waiting.iter().min_by(|left, right| {
            let starts = self.start_of(&left.team).total_cmp(&self.start_of(&right.team));
            starts.then_with(|| left.key().cmp(&right.key()))
        })
    }

    /// Returns the number of requests of a team.
    fn backlog(&self, team: &Option<TeamId>) -> usize {
        self.waiting.iter().filter(|waiting| waiting.team == *team).count()
    }

    /// Returns the request that is served last: the last one of the team with the most requests.
    fn last(&self) -> Option<&Waiting> {
        self.waiting.iter().max_by_key(|waiting| (self.backlog(&waiting.team), waiting.key()))
    }

    /// Returns how many requests are expected to be served before a new one: those of its team that precede it, and as many
    /// of each other team.
    fn count_ahead(&self, request: &Waiting) -> usize {
        let mut teams: Vec<&Option<TeamId>> = self.waiting.iter().map(|waiting| &waiting.team).collect();
        teams.sort_unstable();
        teams.dedup();
        let precedes = |waiting: &&Waiting| waiting.team == request.team && waiting.key() < request.key();
        let own = self.waiting.iter().filter(precedes).count();
        let others = teams.into_iter().filter(|team| **team != request.team);
        let start = self.start_of(&request.team);
        let of_others = others.map(|team| {
            let is_before = self.start_of(team) < start
                || self.waiting.iter().any(|waiting| waiting.team == *team && waiting.key() < request.key());
            self.backlog(team).min(own + usize::from(is_before))
        });
        own + of_others.sum::<usize>()
    }

    fn remove(&mut self, ticket: u64) -> Option<Waiting> {
        let index = self.waiting.iter().position(|waiting| waiting.ticket == ticket)?;
        Some(self.waiting.remove(index))
    }

    fn charge(&mut self, served: &Waiting) {
        let start = self.start_of(&served.team);
        self.virtual_time = start;
        self.next_starts.insert(served.team.clone(), start + served.tokens.max(1.0));
        // A team that has fallen behind the virtual time starts at the present one and needs no entry.
        let virtual_time = self.virtual_time;
        self.next_starts.retain(|_, start| *start > virtual_time);
    }
}

/// Waiting requests of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    ranks: [RankQueue; RANK_LIMIT],
}

impl Queue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.ranks.iter().map(|queue| queue.waiting.len()).sum()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.ranks.iter().all(|queue| queue.waiting.is_empty())
    }

    /// Returns the number of waiting requests of a rank.
    pub fn waiting_in(&self, rank: u8) -> usize {
        self.rank(rank).map_or(0, |queue| queue.waiting.len())
    }

    /// Returns the ranks in which requests wait.
    pub fn ranks(&self) -> impl Iterator<Item = u8> {
        (0..).zip(&self.ranks).filter(|(_, queue)| !queue.waiting.is_empty()).map(|(rank, _)| rank)
    }

    /// Returns all waiting requests.
    pub fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.ranks.iter().flat_map(|queue| &queue.waiting)
    }

    /// Returns the next request of a rank.
    pub fn first(&self, rank: u8) -> Option<&Waiting> {
        self.rank(rank)?.first()
    }

    /// Returns the last request of a rank.
    pub fn last(&self, rank: u8) -> Option<&Waiting> {
        self.rank(rank)?.last()
    }

    /// Returns whether a new request is served before another one of its rank.
    pub fn precedes(&self, request: &Waiting, other: &Waiting) -> bool {
        if request.team == other.team {
            return request.key() < other.key();
        }
        let backlog = |team| self.rank(request.rank).map_or(0, |queue| queue.backlog(team));
        backlog(&request.team) + 1 < backlog(&other.team)
    }

    /// Returns how many requests of its rank are expected to be served before a new one.
    pub fn count_ahead(&self, request: &Waiting) -> usize {
        self.rank(request.rank).map_or(0, |queue| queue.count_ahead(request))
    }

    /// Adds a request.
    pub fn push(&mut self, request: Waiting) {
        if let Some(queue) = self.ranks.get_mut(usize::from(request.rank)) {
            queue.waiting.push(request);
        }
    }

    /// Removes a request that leaves without being sent.
    pub fn remove(&mut self, ticket: u64) -> Option<Waiting> {
        self.ranks.iter_mut().find_map(|queue| queue.remove(ticket))
    }

    /// Removes a request that is sent, and charges its team.
    pub fn serve(&mut self, ticket: u64) -> Option<Waiting> {
        let queue = self
            .ranks
            .iter_mut()
            .find(|queue| queue.waiting.iter().any(|waiting| waiting.ticket == ticket))?;
        let served = queue.remove(ticket)?;
        queue.charge(&served);
        Some(served)
    }

    fn rank(&self, rank: u8) -> Option<&RankQueue> {
        self.ranks.get(usize::from(rank))
    }
}
