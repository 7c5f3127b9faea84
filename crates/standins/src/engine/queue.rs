//! Steps that wait for a batch: higher priority first, then age.

use banyannotch::engine::StepRequest;
use banyannotch::ids::CacheId;

use crate::process::Ticket;

/// A step that waits.
#[derive(Debug)]
pub struct QueuedStep {
    /// Message that brought it.
    pub ticket: Ticket,
    /// The step.
    pub step: StepRequest,
    /// Input of its positions.
    pub values: Vec<u64>,
}

/// Waiting steps in the order in which they run.
#[derive(Debug, Default)]
pub struct StepQueue {
    steps: Vec<QueuedStep>,
    positions: u64,
}

impl StepQueue {
    /// Adds a step behind those of the same priority.
    pub fn push(&mut self, step: QueuedStep) {
        self.positions += step.values.len() as u64;
        let index = self.steps.partition_point(|other| other.step.priority >= step.step.priority);
        self.steps.insert(index, step);
    }

    /// Takes the steps of the next batch, at most one for each cache.
    pub fn take_batch(&mut self, limit: usize) -> Vec<QueuedStep> {
        let mut batch: Vec<QueuedStep> = Vec::new();
        let mut rest = Vec::new();
        for step in self.steps.drain(..) {
            let other_caches = batch.iter().all(|taken| taken.step.cache != step.step.cache);
            if batch.len() < limit && other_caches {
                batch.push(step);
            } else {
                rest.push(step);
            }
        }
        self.steps = rest;
        self.positions = self.steps.iter().map(|step| step.values.len() as u64).sum();
        batch
    }

    /// Takes out all steps of a cache.
    pub fn take_cache(&mut self, cache: CacheId) -> Vec<QueuedStep> {
        let (taken, rest) = self.steps.drain(..).partition(|step| step.step.cache == cache);
        self.steps = rest;
        self.positions = self.steps.iter().map(|step| step.values.len() as u64).sum();
        taken
    }

    /// Returns whether a step of the cache waits.
    pub fn holds(&self, cache: CacheId) -> bool {
        self.steps.iter().any(|step| step.step.cache == cache)
    }

    /// Returns the number of waiting steps.
    pub fn len(&self) -> usize {
        self.steps.len()
    }

    /// Returns whether no step waits.
    pub fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    /// Returns the positions of all waiting steps.
    pub fn positions(&self) -> u64 {
        self.positions
    }
}
