//! Waiting requests and requests in flight.

use super::Destination;
use super::fair::{FairQueue, QueuePosition};
use super::forecast::{Demand, Forecast};
use crate::ids::{RequestId, TeamId};
use crate::request::{Submission, Work};
use crate::table::Table;

/// An admitted request that has not ended.
#[derive(Clone, Debug)]
pub(super) struct InFlight {
    pub destination: Destination,
    pub team: TeamId,
    pub demand: Demand,
    /// Cost that the team was charged.
    pub cost_us: u64,
    /// Time at which the request was passed to routing.
    pub placed_us: u64,
}

/// Queue, forecast and limit of one model or service.
#[derive(Debug, Default)]
pub(super) struct DestinationState {
    pub queue: FairQueue,
    pub forecast: Forecast,
    /// Number of requests in flight.
    pub in_flight: u32,
    /// Limit of requests in flight that routing reported; none before its first report.
    pub slots: Option<u32>,
}

/// All waiting requests and requests in flight.
#[derive(Debug, Default)]
pub(super) struct State {
    pub destinations: Table<Destination, DestinationState>,
    pub in_flight: Table<RequestId, InFlight>,
    /// Positions of the waiting requests in the queues of their destinations.
    pub waiting: Table<RequestId, (Destination, QueuePosition)>,
    pub generations_in_flight: u32,
    pub calls_in_flight: u32,
}

impl State {
    /// Returns the number of generations or of calls in flight, whichever kind the destination is for. The
    /// kinds are limited separately, so that neither blocks the other.
    pub fn in_flight_of_kind(&mut self, destination: &Destination) -> &mut u32 {
        match destination {
            Destination::Model(_) => &mut self.generations_in_flight,
            Destination::Service(_) => &mut self.calls_in_flight,
        }
    }
}

impl Destination {
    /// Returns the model or service that a request is for.
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
