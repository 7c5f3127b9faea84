//! What ran, to find anything that ran twice.

use std::collections::VecDeque;

use banyannotch::engine::StepRequest;
use banyannotch::ids::CacheId;

use super::RequestRuns;

/// Records that are kept. Older ones are dropped, and a repetition of their work is no longer found.
const RECORD_LIMIT: usize = 16_384;

/// Records in one answer.
const PAGE_LIMIT: usize = 1_000;

/// What ran in each cache. It outlives the cache, so that work repeated after a cancellation is found.
#[derive(Debug, Default)]
pub struct RunLog {
    /// Number of the oldest record.
    first: u64,
    records: VecDeque<RequestRuns>,
    /// Numbers of the records of each cache, ordered.
    index: Vec<(CacheId, u64)>,
}

impl RunLog {
    /// Records a step that runs, and returns how many pairs of position and layer ran before in this cache.
    pub fn record(&mut self, step: &StepRequest, count: u32) -> u64 {
        let end = step.position + count;
        let begin = self.index.partition_point(|(cache, _)| *cache < step.cache);
        let numbers: Vec<u64> = self
            .index
            .iter()
            .skip(begin)
            .take_while(|(cache, _)| *cache == step.cache)
            .map(|(_, number)| *number)
            .collect();
        let records = numbers.iter().filter_map(|number| self.get(*number));
        let duplicates = records.map(|record| overlap(record, step, end)).sum();
        let extended = numbers
            .iter()
            .copied()
            .find(|number| self.get(*number).is_some_and(|record| extends(record, step, end)));
        match extended.and_then(|number| self.get_mut(number)) {
            Some(record) => {
                record.first = record.first.min(step.position);
                record.end = record.end.max(end);
                record.steps += 1;
                record.duplicates += duplicates;
            }
            None => self.add(RequestRuns {
                request: step.request,
                attempt: step.attempt,
                cache: step.cache,
                layers: step.layers,
                first: step.position,
                end,
                steps: 1,
                duplicates,
            }),
        }
        duplicates
    }

    /// Returns the newest records, newest first.
    pub fn newest(&self) -> Vec<RequestRuns> {
        self.records.iter().rev().take(PAGE_LIMIT).copied().collect()
    }

    fn add(&mut self, record: RequestRuns) {
        if self.records.len() == RECORD_LIMIT
            && let Some(oldest) = self.records.pop_front()
        {
            if let Ok(place) = self.index.binary_search(&(oldest.cache, self.first)) {
                self.index.remove(place);
            }
            self.first += 1;
        }
        let entry = (record.cache, self.first + self.records.len() as u64);
        let place = self.index.partition_point(|other| *other < entry);
        self.index.insert(place, entry);
        self.records.push_back(record);
    }

    fn get(&self, number: u64) -> Option<&RequestRuns> {
        self.records.get(usize::try_from(number.checked_sub(self.first)?).ok()?)
    }

    fn get_mut(&mut self, number: u64) -> Option<&mut RequestRuns> {
        self.records.get_mut(usize::try_from(number.checked_sub(self.first)?).ok()?)
    }
}

/// Counts the pairs of position and layer that a record and a step share.
fn overlap(record: &RequestRuns, step: &StepRequest, end: u32) -> u64 {
    let positions = record.end.min(end).saturating_sub(record.first.max(step.position));
    let layers =
        record.layers.end.min(step.layers.end).saturating_sub(record.layers.begin.max(step.layers.begin));
    u64::from(positions) * u64::from(layers)
}

/// Returns whether a step continues or repeats what a record holds.
fn extends(record: &RequestRuns, step: &StepRequest, end: u32) -> bool {
    let same = (record.request, record.attempt, record.layers) == (step.request, step.attempt, step.layers);
    same && step.position <= record.end && end >= record.first
}
