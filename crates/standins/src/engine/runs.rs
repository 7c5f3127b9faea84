//! Log of the steps that ran, used to detect work that ran twice.

use std::collections::VecDeque;

use banyannotch::engine::StepRequest;
use banyannotch::ids::CacheId;

use super::RequestRuns;

/// Maximum number of records kept; the oldest is dropped first. A repetition of work whose record was dropped
/// is not detected.
const MAX_RECORDS: usize = 16_384;

/// Maximum number of records in one answer.
const RECORDS_PER_PAGE: usize = 1_000;

/// Records of the work in each cache. They are kept after the cache is freed, so that work repeated after a
/// cancellation is detected.
#[derive(Debug, Default)]
pub struct RunLog {
    /// Sequence number of the oldest record.
    oldest_number: u64,
    records: VecDeque<RequestRuns>,
    /// Sequence numbers of the records of each cache, sorted.
    index: Vec<(CacheId, u64)>,
}

impl RunLog {
    /// Records a step that runs, and returns how many pairs of position and layer had already run in this
    /// cache.
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

    /// Returns one page of the newest records, newest first.
    pub fn newest(&self) -> Vec<RequestRuns> {
        self.records.iter().rev().take(RECORDS_PER_PAGE).copied().collect()
    }

    fn add(&mut self, record: RequestRuns) {
        if self.records.len() == MAX_RECORDS
            && let Some(oldest) = self.records.pop_front()
        {
            if let Ok(entry_index) = self.index.binary_search(&(oldest.cache, self.oldest_number)) {
                self.index.remove(entry_index);
            }
            self.oldest_number += 1;
        }
        let entry = (record.cache, self.oldest_number + self.records.len() as u64);
        let entry_index = self.index.partition_point(|other| *other < entry);
        self.index.insert(entry_index, entry);
        self.records.push_back(record);
    }

    fn get(&self, number: u64) -> Option<&RequestRuns> {
        self.records.get(usize::try_from(number.checked_sub(self.oldest_number)?).ok()?)
    }

    fn get_mut(&mut self, number: u64) -> Option<&mut RequestRuns> {
        self.records.get_mut(usize::try_from(number.checked_sub(self.oldest_number)?).ok()?)
    }
}

/// Counts the pairs of position and layer that a record and a step have in common.
fn overlap(record: &RequestRuns, step: &StepRequest, end: u32) -> u64 {
    let positions = record.end.min(end).saturating_sub(record.first.max(step.position));
    let layers =
        record.layers.end.min(step.layers.end).saturating_sub(record.layers.begin.max(step.layers.begin));
    u64::from(positions) * u64::from(layers)
}

/// Returns whether a step has the record's request, attempt and layers, and overlaps or adjoins its
/// positions.
fn extends(record: &RequestRuns, step: &StepRequest, end: u32) -> bool {
    let same_source =
        (record.request, record.attempt, record.layers) == (step.request, step.attempt, step.layers);
    same_source && step.position <= record.end && end >= record.first
}
