//! Requests that wait and requests in flight.

use super::Destination;
use super::fair::{FairQueue, Position};
use super::forecast::{Demand, Forecast};
use crate::ids::{RequestId, TeamId};
use crate::request::{Submission, Work};
use crate::table::Table;

/// A request that was placed.
#[derive(Clone, Debug)]
pub(super) struct InFlight {
    pub destination: Destination,
    pub team: TeamId,
    pub demand: Demand,
    /// What the team was charged.
    pub cost_us: u64,
    pub placed_us: u64,
}

/// Everything of one model or service.
#[derive(Debug, Default)]
pub(super) struct Lane {
    pub queue: FairQueue,
    pub forecast: Forecast,
    pub in_flight: u32,
    /// Limit that routing reported; none before its first report.
    pub slots: Option<u32>,
}

/// Everything that admission has under its care.
#[derive(Debug, Default)]
pub(super) struct State {
    pub lanes: Table<Destination, Lane>,
    pub in_flight: Table<RequestId, InFlight>,
    pub waiting: Table<RequestId, (Destination, Position)>,
    pub generations: u32,
    pub calls: u32,
}

impl State {
    /// Returns the number of requests in flight of the same kind. Generations and calls are limited separately, so
    /// that neither blocks the other.
    pub fn in_flight_of_kind(&mut self, destination: &Destination) -> &mut u32 {
        match destination {
            Destination::Model(_) => &mut self.generations,
            Destination::Service(_) => &mut self.calls,
        }
    }
}

impl Destination {
    /// Returns what a request is for.
    pub fn of(submission: &Submission) -> Self {
        match &submission.work {
            Work::Generate(generation) => Self::Model(generation.model.clone()),
            Work::Call(call) => Self::Service(call.service.clone()),
        }
    }

    /// Returns whether both are models or both are services.
    pub fn is_same_kind(&self, other: &Self) -> bool {
        matches!((self, other), (Self::Model(_), Self::Model(_)) | (Self::Service(_), Self::Service(_)))
    }
}
