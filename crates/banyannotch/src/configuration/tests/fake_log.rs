//! An in-memory log service with outages and expiry of records.

use crate::backing::{Record, Records};
use crate::configuration::{Change, ChangeRecord, PresetName};
use crate::ids::{ConfigVersion, LogOffset};

#[derive(Clone, Debug)]
pub(super) struct FakeLog {
    pub records: Vec<Record>,
    pub next: u64,
    pub down: bool,
    /// Every record ever appended, for the oracle.
    pub history: Vec<Record>,
    page_limit: usize,
}

impl FakeLog {
    pub fn new(page_limit: usize) -> Self {
        Self { records: Vec::new(), next: 1, down: false, history: Vec::new(), page_limit }
    }

    pub fn append(&mut self, unix_ms: u64, data: String) -> Option<u64> {
        if self.down {
            return None;
        }
        let record = Record { offset: LogOffset(self.next), time_ms: unix_ms, data };
        self.records.push(record.clone());
        self.history.push(record);
        self.next += 1;
        Some(self.next - 1)
    }

    pub fn publish(&mut self, unix_ms: u64, base: u64, author: &str, change: Change) -> Option<u64> {
        self.append(unix_ms, record(base, author, change))
    }

    pub fn expire_before(&mut self, unix_ms: u64) {
        self.records.retain(|record| record.time_ms >= unix_ms);
    }

    pub fn read(&self, from: LogOffset) -> Option<Records> {
        if self.down {
            return None;
        }
        let first = self.records.first().map_or(self.next, |record| record.offset.0);
        let records: Vec<Record> = self
            .records
            .iter()
            .filter(|record| record.offset >= from)
            .take(self.page_limit)
            .cloned()
            .collect();
        let next = records.last().map_or(self.next, |record| record.offset.0 + 1);
        Some(Records { first: LogOffset(first), next: LogOffset(next.max(from.0)), records })
    }
}

pub(super) fn record(base: u64, author: &str, change: Change) -> String {
    let record = ChangeRecord { base: ConfigVersion(base), author: author.to_owned(), change };
    serde_json::to_string(&record).expect("the record can be encoded")
}

/// Returns the text of a document that differs for each number.
pub(super) fn text(number: u64) -> String {
    format!("[presets.ordinary]\nmax_tokens = {}\n", number + 1)
}

pub(super) fn document(number: u64) -> Change {
    Change::Document(text(number))
}

pub(super) fn restate(version: u64, through: u64, number: u64, preset: PresetName, author: &str) -> Change {
    Change::Restate {
        version: ConfigVersion(version),
        document: text(number),
        preset,
        author: author.to_owned(),
        through: LogOffset(through),
    }
}
