//! One stream of the ledger: its index, the claims that wait for it, and what is still to be appended to it.

use std::collections::VecDeque;

use super::records::{Batch, Item};
use super::state::{Index, LedgerSettings};
use super::{Claim, Nonce, Recorded};
use crate::clock::US_PER_MS;
use crate::ids::{Fingerprint, LogOffset, RequestId};
use crate::request::IdempotencyKey;
use crate::table::Table;

/// Most records of a page.
pub(super) const PAGE_MAX: u32 = 256;

/// Estimated bytes after which a batch takes no further item. A page encodes a record's quotes once more, which can
/// double it, and bodies are limited to 1 MiB.
pub(super) const BATCH_LIMIT_BYTES: usize = 128 << 10;

/// A claim of this entry that has no answer yet.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub claim: Claim,
    /// The caller's deadline in Unix milliseconds.
    pub deadline_ms: u64,
    /// When the claim is answered whatever is known.
    pub give_up_us: u64,
    pub stage: Stage,
}

/// How far a pending claim has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    /// Nothing was appended: the stream is not read to its end, or another claim holds the key.
    Waiting,
    /// The claim waits for the next append.
    Queued(Nonce),
    /// The claim may be in the log.
    Sent(Nonce),
}

/// A claim of this entry that was granted and whose final outcome was not read back.
#[derive(Clone, Debug)]
pub(super) struct Granted {
    pub key: IdempotencyKey,
    pub payload: Fingerprint,
    /// Final outcome that execution reported.
    pub outcome: Option<Recorded>,
}

/// What the policy keeps for one stream.
#[derive(Debug)]
pub(super) struct Shard {
    pub index: Index,
    pub next: LogOffset,
    /// Whether the stream was read up to the end that it had when this entry started.
    pub caught_up: bool,
    /// Whether any page was read.
    pub touched: bool,
    /// Everything that entered the log before this time, in Unix milliseconds of this entry's clock, has been read.
    pub read_to_ms: u64,
    /// When the current read began.
    pub read_began_ms: u64,
    pub page_max: u32,
    pub pending: Table<RequestId, Pending>,
    pub granted: Table<Nonce, Granted>,
    /// Claims of which an append had no clear result, so that they may be in the log whatever later appends say.
    pub unclear: Table<Nonce, IdempotencyKey>,
    outbox: VecDeque<Item>,
    in_flight: Option<Batch>,
    due_us: Option<u64>,
    hold_until_us: u64,
    backoff_ms: u64,
}

impl Shard {
    /// Creates the state of a stream that was not read yet.
    pub fn new() -> Self {
        Self {
            index: Index::default(),
            next: LogOffset(1),
            caught_up: false,
            touched: false,
            read_to_ms: 0,
            read_began_ms: 0,
            page_max: PAGE_MAX,
            pending: Table::default(),
            granted: Table::default(),
            unclear: Table::default(),
            outbox: VecDeque::new(),
            in_flight: None,
            due_us: None,
            hold_until_us: 0,
            backoff_ms: 0,
        }
    }

    /// Returns when the next append is due.
    pub fn due_us(&self) -> Option<u64> {
        if self.in_flight.is_some() { None } else { self.due_us }
    }

    /// Returns the number of items that wait for an append.
    pub fn waiting_items(&self) -> usize {
        self.outbox.len()
    }

    /// Leaves an item for the next append.
    pub fn queue(&mut self, now_us: u64, item: Item, settings: &LedgerSettings) {
        self.outbox.push_back(item);
        self.schedule(now_us + settings.batch_delay_ms * US_PER_MS);
    }

    /// Takes back what waits for an append about a claim that is not in the log.
    pub fn unqueue(&mut self, claim: Nonce) {
        self.outbox.retain(|item| item.nonce() != claim);
    }

    /// Notes that the claims of a batch may be in the log from now on.
    pub fn mark_sent(&mut self, items: &[Item]) {
        for (_, pending) in self.pending.iter_mut() {
            if let Stage::Queued(nonce) = pending.stage
                && items.iter().any(|item| item.nonce() == nonce)
            {
                pending.stage = Stage::Sent(nonce);
            }
        }
    }

    /// Notes that a claim is not in the log and returns whether it still waits for an answer.
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

    /// Notes that a claim may be in the log and returns whether it still waits for an answer.
    pub fn mark_unclear(&mut self, nonce: Nonce, key: &IdempotencyKey) -> bool {
        self.unclear.insert(nonce, key.clone());
        self.pending.iter().any(|(_, pending)| pending.stage == Stage::Sent(nonce))
    }

    /// Returns whether a cancellation of the claim is under way.
    pub fn cancels(&self, claim: Nonce) -> bool {
        let in_flight = self.in_flight.iter().flat_map(|batch| &batch.items);
        in_flight
            .chain(&self.outbox)
            .any(|item| matches!(item, Item::Cancel { nonce, .. } if *nonce == claim))
    }

    /// Takes the items of one append out of the outbox, if one is due.
    pub fn take_batch(&mut self, now_us: u64) -> Option<Vec<Item>> {
        if self.due_us().is_none_or(|due_us| due_us > now_us) {
            return None;
        }
        let mut items = Vec::new();
        let mut bytes = 0;
        while let Some(item) = self.outbox.front() {
            bytes += item.weight_bytes();
            if bytes > BATCH_LIMIT_BYTES && !items.is_empty() {
                break;
            }
            items.extend(self.outbox.pop_front());
        }
        self.due_us = (!self.outbox.is_empty()).then_some(now_us);
        (!items.is_empty()).then_some(items)
    }

    /// Notes an append that is under way; there is one at a time.
    pub fn fly(&mut self, batch: Batch) {
        self.in_flight = Some(batch);
    }

    /// Returns the items of the append that has ended.
    pub fn land(&mut self) -> Vec<Item> {
        self.in_flight.take().map(|batch| batch.items).unwrap_or_default()
    }

    /// Goes on after an append that took effect.
    pub fn on_success(&mut self) {
        self.backoff_ms = 0;
        self.hold_until_us = 0;
    }

    /// Puts items back in front and pauses, twice as long each time, so that more items share the next append.
    pub fn on_failure(&mut self, now_us: u64, items: Vec<Item>, jitter: f64, settings: &LedgerSettings) {
        for item in items.into_iter().rev() {
            self.outbox.push_front(item);
        }
        let doubled_ms = (self.backoff_ms * 2).max(settings.backoff_min_ms);
        self.backoff_ms = doubled_ms.min(settings.backoff_max_ms);
        let pause_us = (self.backoff_ms * US_PER_MS) as f64 * (0.5 + jitter / 2.0);
        self.hold_until_us = now_us + pause_us as u64;
        self.due_us = None;
        if !self.outbox.is_empty() {
            self.schedule(now_us);
        }
    }

    /// Drops items about keys that have expired; nobody can claim them any more.
    pub fn drop_expired(&mut self, time_ms: u64, settings: &LedgerSettings) {
        let expired = |key: &IdempotencyKey| settings.expiry_ms(key) + settings.clock_margin_ms < time_ms;
        self.outbox.retain(|item| !expired(item.key()));
        self.granted.retain(|_, granted| !expired(&granted.key));
        self.unclear.retain(|_, key| !expired(key));
    }

    fn schedule(&mut self, due_us: u64) {
        let due_us = due_us.max(self.hold_until_us);
        self.due_us = Some(self.due_us.map_or(due_us, |planned| planned.min(due_us).max(self.hold_until_us)));
    }
}
