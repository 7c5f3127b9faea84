//! Settings of the ledger, and what the records of one stream say about each key.

use std::cmp::Ordering;
use std::collections::VecDeque;

use serde::Deserialize;

use super::records::{Batch, Item, key_bytes};
use super::{Nonce, Recorded};
use crate::ids::{Fingerprint, Incarnation, InstanceId};
use crate::request::IdempotencyKey;
use crate::table::Table;

/// Limits and intervals of the ledger. `shards`, `retention_ms`, `retention_margin_ms` and `clock_margin_ms` must be
/// the same on every entry, because they decide how a record is read.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct LedgerSettings {
    /// Streams that the keys are spread over.
    pub shards: usize,
    /// How long the log service keeps a record at least.
    pub retention_ms: u64,
    /// How much earlier than a record a key expires.
    pub retention_margin_ms: u64,
    /// Most that two clocks of the system differ.
    pub clock_margin_ms: u64,
    /// How long before the caller's deadline a claim is answered at the latest.
    pub answer_margin_ms: u64,
    /// How long after its holder's deadline a claim without an outcome counts as lost.
    pub holder_grace_ms: u64,
    /// How long items wait for others to share an append.
    pub batch_delay_ms: u64,
    /// How long an append may take.
    pub append_timeout_ms: u64,
    /// First pause after a failed append.
    pub backoff_min_ms: u64,
    /// Longest pause after failed appends.
    pub backoff_max_ms: u64,
    /// Most claims that wait for an answer.
    pub pending_limit: usize,
    /// Most memory for keys, over all shards.
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

/// Most streams, so that reading them leaves the log's rate to others.
const SHARDS_MAX: usize = 64;

impl LedgerSettings {
    /// Returns the first setting that breaks the guarantee: its key, its value and what is allowed.
    pub fn fault(&self) -> Option<(&'static str, u64, &'static str)> {
        let shards = u64::try_from(self.shards).unwrap_or(u64::MAX);
        if !(1..=SHARDS_MAX).contains(&self.shards) {
            return Some(("ledger.shards", shards, "1 to 64"));
        }
        // A key's first claim is up to two clock margins older than the key. While a later claim of the key counts, the
        // first one must still be in the log.
        if self.retention_margin_ms < 4 * self.clock_margin_ms {
            let allowed = "at least four times ledger.clock_margin_ms";
            return Some(("ledger.retention_margin_ms", self.retention_margin_ms, allowed));
        }
        if self.retention_ms < 2 * self.retention_margin_ms {
            let allowed = "at least twice ledger.retention_margin_ms";
            return Some(("ledger.retention_ms", self.retention_ms, allowed));
        }
        // Before that, the holder's outcome may be under way.
        if self.holder_grace_ms < 2 * self.clock_margin_ms {
            let allowed = "at least twice ledger.clock_margin_ms";
            return Some(("ledger.holder_grace_ms", self.holder_grace_ms, allowed));
        }
        None
    }

    /// Returns the time after which no claim of a key counts.
    pub fn expiry_ms(&self, key: &IdempotencyKey) -> u64 {
        (key.made_ms + self.retention_ms).saturating_sub(self.retention_margin_ms)
    }

    /// Returns the latest creation time of a key that can be claimed in a record of the given time. The entry's clock
    /// and the log's may each differ from the caller's.
    pub fn newest_made_ms(&self, time_ms: u64) -> u64 {
        time_ms + 2 * self.clock_margin_ms
    }
}

/// What the records say about a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Standing {
    /// It can be claimed.
    Free,
    /// A claim holds it.
    Held(Holder),
    /// It has a final outcome.
    Done {
        /// Digest of the payload.
        payload: Fingerprint,
        /// The outcome.
        outcome: Recorded,
    },
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

/// A key of the index.
#[derive(Clone, Debug)]
pub(super) struct Row {
    pub key: IdempotencyKey,
    pub standing: Standing,
    /// Nonces that cannot win the key any more: of claims that were read, and of cancellations.
    pub spent: Vec<Nonce>,
    /// Claim of this entry that was granted and has not been recorded as not run.
    pub granted: Option<Nonce>,
}

/// What an item changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Effect {
    /// The claim holds the key.
    Won,
    /// Another claim was first, or the claim was cancelled before.
    Lost,
    /// The claim came into the log after its key had expired.
    Expired,
    /// The claim's key is dated after the record.
    FromFuture,
    /// The key changed.
    Changed,
    /// Nothing changed.
    Ignored,
    /// The outcome of a claim that does not hold the key, which no correct entry writes.
    Foreign,
}

/// Keys of one stream, ordered by creation time, so that new keys go to the end and old ones leave at the front.
#[derive(Debug, Default)]
pub(super) struct Index {
    rows: VecDeque<Row>,
    /// Latest start of each entry, in log order, and the log time at which it was seen last.
    starts: Table<InstanceId, (Incarnation, u64)>,
    bytes: usize,
    /// Keys made up to this time are not served, because their records may be missing here.
    pub floor_ms: u64,
    /// Latest time of a record.
    pub latest_ms: u64,
}

impl Index {
    /// Returns the row of a key.
    pub fn get(&self, key: &IdempotencyKey) -> Option<&Row> {
        self.rows.get(self.find(key).ok()?)
    }

    /// Returns the row of a key for change of what is not counted in bytes.
    pub fn get_mut(&mut self, key: &IdempotencyKey) -> Option<&mut Row> {
        let index = self.find(key).ok()?;
        self.rows.get_mut(index)
    }

    /// Returns the memory that the keys take.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether a later start of the holder's entry was seen.
    pub fn is_replaced(&self, holder: &Holder) -> bool {
        self.starts.get(&holder.entry).is_some_and(|(incarnation, _)| *incarnation != holder.incarnation)
    }

    /// Notes the record's writer and time.
    pub fn see(&mut self, time_ms: u64, batch: Option<&Batch>) {
        self.latest_ms = self.latest_ms.max(time_ms);
        if let Some(batch) = batch {
            self.starts.insert(batch.entry.clone(), (batch.incarnation, time_ms));
        }
    }

    /// Applies one item. The result depends on the records and the shared settings alone.
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

    /// Forgets the keys that no valid claim can name any more at the given log time.
    pub fn forget(&mut self, time_ms: u64, settings: &LedgerSettings) {
        // Records of one stream are nearly in time order; the margin covers a step between two clocks of the log.
        let past = |row: &Row| settings.expiry_ms(&row.key) + settings.clock_margin_ms < time_ms;
        while self.rows.front().is_some_and(past) {
            // A clock that was wrong and goes back must not bring a forgotten key to life.
            self.floor_ms = self.pop_front().map_or(self.floor_ms, |made_ms| self.floor_ms.max(made_ms));
        }
        self.starts.retain(|_, (_, seen_ms)| *seen_ms + settings.retention_ms >= time_ms);
    }

    /// Forgets the oldest keys beyond the limit and stops serving keys that old.
    pub fn shrink(&mut self, limit_bytes: usize) {
        while self.bytes > limit_bytes {
            let Some(made_ms) = self.pop_front() else { return };
            self.floor_ms = self.floor_ms.max(made_ms);
        }
    }

    fn pop_front(&mut self) -> Option<u64> {
        let row = self.rows.pop_front()?;
        self.bytes = self.bytes.saturating_sub(row.bytes());
        Some(row.key.made_ms)
    }

    fn find(&self, key: &IdempotencyKey) -> std::result::Result<usize, usize> {
        self.rows.binary_search_by(|row| by_age(&row.key, key))
    }

    fn find_or_insert(&mut self, key: &IdempotencyKey) -> usize {
        match self.find(key) {
            Ok(index) => index,
            Err(index) => {
                let row =
                    Row { key: key.clone(), standing: Standing::Free, spent: Vec::new(), granted: None };
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
                if self.spent.contains(nonce) {
                    return Effect::Lost;
                }
                self.spent.push(*nonce);
                if !matches!(self.standing, Standing::Free) {
                    return Effect::Lost;
                }
                self.standing = Standing::Held(Holder {
                    nonce: *nonce,
                    payload: *payload,
                    entry: batch.entry.clone(),
                    incarnation: batch.incarnation,
                    deadline_ms: *deadline_ms,
                });
                Effect::Won
            }
            Item::Cancel { nonce, .. } => {
                if !self.spent.contains(nonce) {
                    self.spent.push(*nonce);
                }
                if !self.is_held_by(*nonce) {
                    return Effect::Ignored;
                }
                self.standing = Standing::Free;
                Effect::Changed
            }
            Item::Outcome { payload, nonce, outcome, .. } => self.end(*payload, *nonce, outcome),
        }
    }

    fn end(&mut self, payload: Fingerprint, nonce: Nonce, outcome: &Recorded) -> Effect {
        // The claim of an outcome may have expired before this entry read it.
        let claim_expired = matches!(self.standing, Standing::Free) && !self.spent.contains(&nonce);
        if !self.is_held_by(nonce) && !claim_expired {
            let known = self.spent.contains(&nonce);
            return if known { Effect::Ignored } else { Effect::Foreign };
        }
        if !self.spent.contains(&nonce) {
            self.spent.push(nonce);
        }
        self.standing = match outcome {
            Recorded::NotRun(_) => Standing::Free,
            Recorded::Completed { .. } | Recorded::Failed(_) | Recorded::Unknown(_) => {
                Standing::Done { payload, outcome: outcome.clone() }
            }
        };
        if self.granted == Some(nonce) && matches!(self.standing, Standing::Free) {
            self.granted = None;
        }
        Effect::Changed
    }

    fn is_held_by(&self, nonce: Nonce) -> bool {
        matches!(&self.standing, Standing::Held(holder) if holder.nonce == nonce)
    }

    fn bytes(&self) -> usize {
        let standing = match &self.standing {
            Standing::Free | Standing::Held(_) => 0,
            Standing::Done { outcome, .. } => outcome.result_bytes(),
        };
        size_of::<Self>() + key_bytes(&self.key) + standing + self.spent.len() * size_of::<Nonce>()
    }
}

fn by_age(left: &IdempotencyKey, right: &IdempotencyKey) -> Ordering {
    let left = (left.made_ms, &left.team, &left.key);
    left.cmp(&(right.made_ms, &right.team, &right.key))
}
