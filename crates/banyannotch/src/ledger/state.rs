//! Settings of the ledger, and the state of each key according to the records of its stream.

use std::cmp::Ordering;
use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::records::{Batch, Item, key_bytes};
use super::{Nonce, RecordedOutcome};
use crate::ids::{Fingerprint, Incarnation, InstanceId};
use crate::request::IdempotencyKey;
use crate::table::Table;

/// Limits and intervals of the ledger. `shards`, `retention_ms`, `retention_margin_ms` and `clock_margin_ms`
/// must be the same on every entry, because they determine how records are interpreted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LedgerSettings {
    /// Number of streams over which the keys are distributed.
    pub shards: usize,
    /// Minimum time for which the log service retains a record.
    pub retention_ms: u64,
    /// How long before the end of the retention time a key expires.
    pub retention_margin_ms: u64,
    /// Maximum difference between two clocks of the system.
    pub clock_margin_ms: u64,
    /// Minimum time between the answer to a claim and the caller's deadline.
    pub answer_margin_ms: u64,
    /// Time after the holder's deadline at which a claim without an outcome counts as lost.
    pub holder_grace_ms: u64,
    /// How long an item waits so that others can share its append.
    pub batch_delay_ms: u64,
    /// Timeout of an append.
    pub append_timeout_ms: u64,
    /// Initial backoff after a failed append.
    pub backoff_min_ms: u64,
    /// Maximum backoff after failed appends.
    pub backoff_max_ms: u64,
    /// Maximum number of unanswered claims and queued items.
    pub pending_limit: usize,
    /// Maximum memory for keys, over all shards.
    pub index_limit_bytes: usize,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self {
            shards: 4,
            retention_ms: 3_600_000,
            retention_margin_ms: 60_000,
            clock_margin_ms: 2_000,
            answer_margin_ms: 25,
            holder_grace_ms: 4_000,
            batch_delay_ms: 3,
            append_timeout_ms: 1_000,
            backoff_min_ms: 20,
            backoff_max_ms: 1_000,
            pending_limit: 8_192,
            index_limit_bytes: 16 << 20,
        }
    }
}

/// Maximum number of streams. Every entry reads all of them, and the log's request rate is shared with other
/// users.
const SHARDS_MAX: usize = 64;

impl LedgerSettings {
    /// Returns the first setting that would break the at-most-once guarantee: its key, its value and the
    /// allowed values.
    pub fn fault(&self) -> Option<(&'static str, u64, &'static str)> {
        let shards = u64::try_from(self.shards).unwrap_or(u64::MAX);
        if !(1..=SHARDS_MAX).contains(&self.shards) {
            return Some(("ledger.shards", shards, "1 to 64"));
        }
        // The first claim of a key can be up to two clock margins older than the key's creation time. It must
        // still be in the log as long as a later claim of the key is valid.
        if self.retention_margin_ms < 4 * self.clock_margin_ms {
            let allowed = "at least four times ledger.clock_margin_ms";
            return Some(("ledger.retention_margin_ms", self.retention_margin_ms, allowed));
        }
        if self.retention_ms < 2 * self.retention_margin_ms {
            let allowed = "at least twice ledger.retention_margin_ms";
            return Some(("ledger.retention_ms", self.retention_ms, allowed));
        }
        // During the grace period, the outcome of the holder may still be in transit to the log.
        if self.holder_grace_ms < 2 * self.clock_margin_ms {
            let allowed = "at least twice ledger.clock_margin_ms";
            return Some(("ledger.holder_grace_ms", self.holder_grace_ms, allowed));
        }
        None
    }

    /// Returns the time after which claims of a key are invalid.
    pub fn expiry_ms(&self, key: &IdempotencyKey) -> u64 {
        (key.made_ms + self.retention_ms).saturating_sub(self.retention_margin_ms)
    }

    /// Returns the latest creation time of a key that a record of the given time can claim. The clocks of the
    /// entry and of the log may each differ from the caller's by one clock margin.
    pub fn newest_made_ms(&self, time_ms: u64) -> u64 {
        time_ms + 2 * self.clock_margin_ms
    }
}

/// State of a key according to the records that were read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum KeyState {
    /// The key can be claimed.
    Free,
    /// A claim holds the key.
    Held(Holder),
    /// The key has a final outcome.
    Done { payload: Fingerprint, outcome: RecordedOutcome },
}

/// The claim that holds a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Holder {
    pub nonce: Nonce,
    pub payload: Fingerprint,
    pub entry: InstanceId,
    pub incarnation: Incarnation,
    pub deadline_ms: u64,
}

/// A key in the index.
#[derive(Clone, Debug)]
pub(super) struct Row {
    pub key: IdempotencyKey,
    pub state: KeyState,
    /// Nonces that can no longer win the key, because their claim or its cancellation was already read.
    pub spent_nonces: Vec<Nonce>,
    /// Granted claim of this entry, unless it was recorded as not run.
    pub granted: Option<Nonce>,
}

/// Effect of an item on the state of its key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Effect {
    /// The claim now holds the key.
    Won,
    /// Another claim came first, or the claim's nonce was already used by a cancellation or by another copy
    /// of it.
    Lost,
    /// The claim or cancellation was appended after the key had expired.
    Expired,
    /// The key's creation time is later than the record's time allows.
    FromFuture,
    /// A cancellation or an outcome changed the state of the key.
    Changed,
    /// The item had no effect.
    Ignored,
    /// The item is the outcome of a claim that never held the key, which no correct entry appends.
    NotHolder,
}

/// Keys of one stream, ordered by creation time: new keys are inserted near the end and expired ones leave at
/// the front.
#[derive(Debug, Default)]
pub(super) struct Index {
    rows: VecDeque<Row>,
    /// Incarnation of each entry's latest record in log order, and the time of that record.
    incarnations: Table<InstanceId, (Incarnation, u64)>,
    bytes: usize,
    /// Keys created at or before this time are not served, because the index may lack some of their records.
    pub low_watermark_ms: u64,
    /// Latest time of a record that was read, in Unix milliseconds.
    pub latest_record_ms: u64,
}

impl Index {
    /// Returns the row of a key.
    pub fn get(&self, key: &IdempotencyKey) -> Option<&Row> {
        self.rows.get(self.find(key).ok()?)
    }

    /// Returns the row of a key. The caller may change only what [`Self::bytes`] does not count.
    pub fn get_mut(&mut self, key: &IdempotencyKey) -> Option<&mut Row> {
        let index = self.find(key).ok()?;
        self.rows.get_mut(index)
    }

    /// Returns the estimated memory use of the keys.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the holder's entry has restarted since the claim.
    pub fn is_replaced(&self, holder: &Holder) -> bool {
        self.incarnations
            .get(&holder.entry)
            .is_some_and(|(incarnation, _)| *incarnation != holder.incarnation)
    }

    /// Updates the latest record time and the incarnation of the record's entry.
    pub fn note_record(&mut self, time_ms: u64, batch: Option<&Batch>) {
        self.latest_record_ms = self.latest_record_ms.max(time_ms);
        if let Some(batch) = batch {
            self.incarnations.insert(batch.entry.clone(), (batch.incarnation, time_ms));
        }
    }

    /// Applies one item. The result depends only on the records and the shared settings, so all entries agree
    /// on it.
    pub fn apply(&mut self, time_ms: u64, batch: &Batch, item: &Item, settings: &LedgerSettings) -> Effect {
        let key = item.key();
        if time_ms > settings.expiry_ms(key) && !matches!(item, Item::Outcome { .. }) {
            return Effect::Expired;
        }
        if key.made_ms > settings.newest_made_ms(time_ms) {
            return Effect::FromFuture;
        }
        if let Item::Outcome { .. } = item
            && time_ms > settings.expiry_ms(key)
            && self.get(key).is_none()
        {
            return Effect::Ignored;
        }
        let index = self.find_or_insert(key);
        let Some(row) = self.rows.get_mut(index) else { return Effect::Ignored };
        let before = row.bytes();
        let effect = row.apply(batch, item);
        let after = row.bytes();
        self.bytes = (self.bytes + after).saturating_sub(before);
        effect
    }

    /// Evicts the keys that no valid claim can refer to after the given log time.
    pub fn evict_expired(&mut self, time_ms: u64, settings: &LedgerSettings) {
        // The records of a stream are nearly in time order. The margin covers a difference between clocks of
        // the log.
        let is_expired = |row: &Row| settings.expiry_ms(&row.key) + settings.clock_margin_ms < time_ms;
        while self.rows.front().is_some_and(is_expired) {
            // An evicted key must stay unserved even if a clock that was ahead is set back.
            self.low_watermark_ms =
                self.pop_front().map_or(self.low_watermark_ms, |made_ms| self.low_watermark_ms.max(made_ms));
        }
        self.incarnations.retain(|_, (_, last_record_ms)| *last_record_ms + settings.retention_ms >= time_ms);
    }

    /// Evicts the oldest keys until the index is within the limit. Keys of that age or older are no longer
    /// served.
    pub fn evict_to_limit(&mut self, limit_bytes: usize) {
        while self.bytes > limit_bytes {
            let Some(made_ms) = self.pop_front() else { return };
            self.low_watermark_ms = self.low_watermark_ms.max(made_ms);
        }
    }

    fn pop_front(&mut self) -> Option<u64> {
        let row = self.rows.pop_front()?;
        self.bytes = self.bytes.saturating_sub(row.bytes());
        Some(row.key.made_ms)
    }

    fn find(&self, key: &IdempotencyKey) -> std::result::Result<usize, usize> {
        self.rows.binary_search_by(|row| compare_by_creation(&row.key, key))
    }

    fn find_or_insert(&mut self, key: &IdempotencyKey) -> usize {
        match self.find(key) {
            Ok(index) => index,
            Err(index) => {
                let row =
                    Row { key: key.clone(), state: KeyState::Free, spent_nonces: Vec::new(), granted: None };
                self.bytes += row.bytes();
                self.rows.insert(index, row);
                index
            }
        }
    }
}

impl Row {
    fn apply(&mut self, batch: &Batch, item: &Item) -> Effect {
        match item {
            Item::Claim { payload, nonce, deadline_ms, .. } => {
                if self.spent_nonces.contains(nonce) {
                    return Effect::Lost;
                }
                self.spent_nonces.push(*nonce);
                if !matches!(self.state, KeyState::Free) {
                    return Effect::Lost;
                }
                self.state = KeyState::Held(Holder {
                    nonce: *nonce,
                    payload: *payload,
                    entry: batch.entry.clone(),
                    incarnation: batch.incarnation,
                    deadline_ms: *deadline_ms,
                });
                Effect::Won
            }
            Item::Cancel { nonce, .. } => {
                if !self.spent_nonces.contains(nonce) {
                    self.spent_nonces.push(*nonce);
                }
                if !self.is_held_by(*nonce) {
                    return Effect::Ignored;
                }
                self.state = KeyState::Free;
                Effect::Changed
            }
            Item::Outcome { payload, nonce, outcome, .. } => self.apply_outcome(*payload, *nonce, outcome),
        }
    }

    fn apply_outcome(&mut self, payload: Fingerprint, nonce: Nonce, outcome: &RecordedOutcome) -> Effect {
        // The record of the claim may have expired from the log before this entry read it.
        let claim_expired = matches!(self.state, KeyState::Free) && !self.spent_nonces.contains(&nonce);
        if !self.is_held_by(nonce) && !claim_expired {
            let is_spent = self.spent_nonces.contains(&nonce);
            return if is_spent { Effect::Ignored } else { Effect::NotHolder };
        }
        if !self.spent_nonces.contains(&nonce) {
            self.spent_nonces.push(nonce);
        }
        self.state = match outcome {
            RecordedOutcome::NotRun(_) => KeyState::Free,
            RecordedOutcome::Completed { .. } | RecordedOutcome::Failed(_) | RecordedOutcome::Unknown(_) => {
                KeyState::Done { payload, outcome: outcome.clone() }
            }
        };
        if self.granted == Some(nonce) && matches!(self.state, KeyState::Free) {
            self.granted = None;
        }
        Effect::Changed
    }

    fn is_held_by(&self, nonce: Nonce) -> bool {
        matches!(&self.state, KeyState::Held(holder) if holder.nonce == nonce)
    }

    fn bytes(&self) -> usize {
        let outcome_bytes = match &self.state {
            KeyState::Free | KeyState::Held(_) => 0,
            KeyState::Done { outcome, .. } => outcome.result_bytes(),
        };
        size_of::<Self>()
            + key_bytes(&self.key)
            + outcome_bytes
            + self.spent_nonces.len() * size_of::<Nonce>()
    }
}

fn compare_by_creation(left: &IdempotencyKey, right: &IdempotencyKey) -> Ordering {
    let left = (left.made_ms, &left.team, &left.key);
    left.cmp(&(right.made_ms, &right.team, &right.key))
}
