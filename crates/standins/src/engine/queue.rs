//! Queue of steps that wait for a batch, ordered by priority (highest first) and then by arrival.

use banyannotch::engine::StepRequest;
use banyannotch::ids::CacheId;

use crate::process::Ticket;

/// A step that waits for a batch.
#[derive(Debug)]
pub struct QueuedStep {
    /// Identifies the message to answer.
    pub ticket: Ticket,
    /// The decoded step.
    pub step: StepRequest,
    /// Input values, one for each position.
    pub values: Vec<u64>,
}

/// Queued steps in the order in which they run.
#[derive(Debug, Default)]
pub struct StepQueue {
    steps: Vec<QueuedStep>,
    positions: u64,
}

impl StepQueue {
    /// Inserts a step after those of the same or a higher priority.
    pub fn push(&mut self, queued: QueuedStep) {
        self.positions += queued.values.len() as u64;
        let index = self.steps.partition_point(|other| other.step.priority >= queued.step.priority);
        self.steps.insert(index, queued);
    }

    /// Removes the steps of the next batch: at most `limit`, and at most one for each cache.
    pub fn take_batch(&mut self, limit: usize) -> Vec<QueuedStep> {
        let mut batch: Vec<QueuedStep> = Vec::new();
        let mut remaining = Vec::new();
        for queued in self.steps.drain(..) {
            let is_new_cache = batch.iter().all(|taken| taken.step.cache != queued.step.cache);
            if batch.len() < limit && is_new_cache {
                batch.push(queued);
            } else {
                remaining.push(queued);
            }
        }
        self.steps = remaining;
        self.positions = self.steps.iter().map(|queued| queued.values.len() as u64).sum();
        batch
    }

    /// Removes all steps of a cache.
    pub fn take_cache(&mut self, cache: CacheId) -> Vec<QueuedStep> {
        let (taken, remaining) = self.steps.drain(..).partition(|queued| queued.step.cache == cache);
        self.steps = remaining;
        self.positions = self.steps.iter().map(|queued| queued.values.len() as u64).sum();
        taken
    }

    /// Returns whether a step of the cache is queued.
    pub fn contains_cache(&self, cache: CacheId) -> bool {
        self.steps.iter().any(|queued| queued.step.cache == cache)
    }

    /// Returns the number of queued steps.
    pub fn len(&self) -> usize {
        self.steps.len()
    }

    /// Returns whether no step is queued.
    pub fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    /// Returns the number of positions of all queued steps.
    pub fn positions(&self) -> u64 {
        self.positions
    }
}
