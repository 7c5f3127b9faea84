//! Requests that wait and requests in flight.

use std::collections::VecDeque;

use crate::ids::{RequestId, TeamId};
use crate::request::Submission;
use crate::table::Table;

/// Requests of one team that wait, oldest first.
#[derive(Debug, Default)]
pub(super) struct Queue {
    pub waiting: VecDeque<Box<Submission>>,
}

/// Everything that admission has under its care.
#[derive(Debug, Default)]
pub(super) struct State {
    pub queues: Table<TeamId, Queue>,
    pub in_flight: Table<RequestId, ()>,
}

impl State {
    /// Returns how many requests of a team wait.
    pub fn queued(&self, team: &TeamId) -> usize {
        self.queues.get(team).map_or(0, |queue| queue.waiting.len())
    }

    /// Takes a waiting request out of its queue.
    pub fn remove_waiting(&mut self, request: RequestId) -> Option<Box<Submission>> {
        for (_, queue) in self.queues.iter_mut() {
            let index = queue.waiting.iter().position(|waiting| waiting.request == request);
            if let Some(index) = index {
                return queue.waiting.remove(index);
            }
        }
        None
    }
}
