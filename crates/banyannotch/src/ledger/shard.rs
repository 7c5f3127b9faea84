//! One stream of the ledger: its index, the pending claims on its keys, and the items to append to it.

use std::collections::VecDeque;

use super::records::{Batch, Item};
use super::state::{Index, LedgerSettings};
use super::{Claim, Nonce, RecordedOutcome};
use crate::clock::US_PER_MS;
use crate::ids::{Fingerprint, LogOffset, RequestId};
use crate::request::IdempotencyKey;
use crate::table::Table;

/// Maximum number of records in a page.
pub(super) const PAGE_MAX_RECORDS: u32 = 256;

/// Estimated size above which no further item is added to a batch. A page escapes the quotes of a record
/// again, which can double its size, and bodies are limited to 1 MiB.
pub(super) const BATCH_LIMIT_BYTES: usize = 128 << 10;

/// An unanswered claim of this entry.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub claim: Claim,
    /// The caller's deadline in Unix milliseconds.
    pub deadline_ms: u64,
    /// Time at which the claim is answered even if it is undecided.
    pub give_up_us: u64,
    pub stage: Stage,
}

/// Progress of a pending claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    /// No append is queued or undecided: the stream is not caught up, or another claim of the key comes
    /// first.
    Waiting,
    /// The claim is queued for the next append and is not in the log.
    Queued(Nonce),
    /// The claim was sent in an append, so it may be in the log.
    Sent(Nonce),
}

/// A granted claim of this entry whose outcome has not been read back from the log.
#[derive(Clone, Debug)]
pub(super) struct Granted {
    pub key: IdempotencyKey,
    pub payload: Fingerprint,
    /// Outcome that execution reported, if it did already.
    pub outcome: Option<RecordedOutcome>,
}

/// State of one stream.
#[derive(Debug)]
pub(super) struct Shard {
    pub index: Index,
    pub next_offset: LogOffset,
    /// Whether everything that was in the stream when this entry started has been read.
    pub caught_up: bool,
    /// Whether a page was read since this entry started.
    pub has_read_page: bool,
    /// Every record that was appended before this time has been read, in Unix milliseconds of this entry's
    /// clock.
    pub read_through_ms: u64,
    /// Time at which the current read was requested, in Unix milliseconds.
    pub read_started_ms: u64,
    pub page_max_records: u32,
    pub pending: Table<RequestId, Pending>,
    pub granted: Table<Nonce, Granted>,
    /// Claims with an append of unclear result. They may be in the log even if later appends of them are
    /// refused.
    pub unclear: Table<Nonce, IdempotencyKey>,
    append_queue: VecDeque<Item>,
    in_flight: Option<Batch>,
    due_us: Option<u64>,
    backoff_until_us: u64,
    backoff_ms: u64,
}

impl Shard {
    /// Creates the state of a stream of which nothing was read.
    pub fn new() -> Self {
        Self {
            index: Index::default(),
            next_offset: LogOffset(1),
            caught_up: false,
            has_read_page: false,
            read_through_ms: 0,
            read_started_ms: 0,
            page_max_records: PAGE_MAX_RECORDS,
            pending: Table::default(),
            granted: Table::default(),
            unclear: Table::default(),
            append_queue: VecDeque::new(),
            in_flight: None,
            due_us: None,
            backoff_until_us: 0,
            backoff_ms: 0,
        }
    }

    /// Returns the time of the next append, or `None` while an append is in flight or nothing is queued.
    pub fn due_us(&self) -> Option<u64> {
        if self.in_flight.is_some() { None } else { self.due_us }
    }

    /// Returns the number of items that are queued for an append.
    pub fn queued_items(&self) -> usize {
        self.append_queue.len()
    }

    /// Adds an item to the append queue and schedules an append.
    pub fn enqueue(&mut self, now_us: u64, item: Item, settings: &LedgerSettings) {
        self.append_queue.push_back(item);
        self.schedule(now_us + settings.batch_delay_ms * US_PER_MS);
    }

    /// Removes the queued items of a claim.
    pub fn remove_queued(&mut self, claim: Nonce) {
        self.append_queue.retain(|item| item.nonce() != claim);
    }

    /// Marks the queued claims of a batch as sent.
    pub fn mark_sent(&mut self, items: &[Item]) {
        for (_, pending) in self.pending.iter_mut() {
            if let Stage::Queued(nonce) = pending.stage
                && items.iter().any(|item| item.nonce() == nonce)
            {
                pending.stage = Stage::Sent(nonce);
            }
        }
    }

    /// Marks a sent claim as queued, unless an earlier append of it was unclear. Returns whether the claim is
    /// pending.
    pub fn mark_queued(&mut self, nonce: Nonce) -> bool {
        for (_, pending) in self.pending.iter_mut() {
            if pending.stage == Stage::Sent(nonce) {
                if !self.unclear.contains(&nonce) {
                    pending.stage = Stage::Queued(nonce);
                }
                return true;
            }
        }
        false
    }

    /// Records that an append of a claim had an unclear result. Returns whether the claim is pending.
    pub fn mark_unclear(&mut self, nonce: Nonce, key: &IdempotencyKey) -> bool {
        self.unclear.insert(nonce, key.clone());
        self.pending.iter().any(|(_, pending)| pending.stage == Stage::Sent(nonce))
    }

    /// Returns whether a cancellation of the claim is queued or in flight.
    pub fn has_cancellation(&self, claim: Nonce) -> bool {
        let in_flight = self.in_flight.iter().flat_map(|batch| &batch.items);
        in_flight
            .chain(&self.append_queue)
            .any(|item| matches!(item, Item::Cancel { nonce, .. } if *nonce == claim))
    }

    /// Removes the items of the next append from the queue, if an append is due.
    pub fn take_batch(&mut self, now_us: u64) -> Option<Vec<Item>> {
        if self.due_us().is_none_or(|due_us| due_us > now_us) {
            return None;
        }
        let mut items = Vec::new();
        let mut bytes = 0;
        while let Some(item) = self.append_queue.front() {
            bytes += item.estimated_bytes();
            if bytes > BATCH_LIMIT_BYTES && !items.is_empty() {
                break;
            }
            items.extend(self.append_queue.pop_front());
        }
        self.due_us = (!self.append_queue.is_empty()).then_some(now_us);
        (!items.is_empty()).then_some(items)
    }

    /// Marks a batch as in flight. At most one append of a stream is in flight.
    pub fn start_append(&mut self, batch: Batch) {
        self.in_flight = Some(batch);
    }

    /// Ends the append in flight and returns its items.
    pub fn finish_append(&mut self) -> Vec<Item> {
        self.in_flight.take().map(|batch| batch.items).unwrap_or_default()
    }

    /// Resets the backoff after an append that took effect.
    pub fn on_success(&mut self) {
        self.backoff_ms = 0;
        self.backoff_until_us = 0;
    }

    /// Returns items to the front of the queue and delays the next append. The backoff doubles with each
    /// failure, so that more items share the next append.
    pub fn on_failure(&mut self, now_us: u64, items: Vec<Item>, jitter: f64, settings: &LedgerSettings) {
        for item in items.into_iter().rev() {
            self.append_queue.push_front(item);
        }
        let doubled_ms = (self.backoff_ms * 2).max(settings.backoff_min_ms);
        self.backoff_ms = doubled_ms.min(settings.backoff_max_ms);
        let pause_us = (self.backoff_ms * US_PER_MS) as f64 * (0.5 + jitter / 2.0);
        self.backoff_until_us = now_us + pause_us as u64;
        self.due_us = None;
        if !self.append_queue.is_empty() {
            self.schedule(now_us);
        }
    }

    /// Drops the items and claims of expired keys, which can no longer be claimed.
    pub fn drop_expired(&mut self, time_ms: u64, settings: &LedgerSettings) {
        let expired = |key: &IdempotencyKey| settings.expiry_ms(key) + settings.clock_margin_ms < time_ms;
        self.append_queue.retain(|item| !expired(item.key()));
        self.granted.retain(|_, granted| !expired(&granted.key));
        self.unclear.retain(|_, key| !expired(key));
    }

    fn schedule(&mut self, due_us: u64) {
        let due_us = due_us.max(self.backoff_until_us);
        self.due_us =
            Some(self.due_us.map_or(due_us, |planned| planned.min(due_us).max(self.backoff_until_us)));
    }
}
