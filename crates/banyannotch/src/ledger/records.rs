//! Records of the ledger's streams and their JSON encoding. The policy uses only the decoded values.

use serde::{Deserialize, Serialize};

use super::error::{RecordError, Result};
use super::{Nonce, RecordedOutcome};
use crate::backing;
use crate::ids::{Fingerprint, Incarnation, InstanceId, LogOffset};
use crate::request::{IdempotencyKey, digest};

/// Estimated JSON size of an item without its texts: field names, numbers and identifiers.
const ITEM_BASE_BYTES: usize = 256;

/// One record of a stream: the items that one entry appended together.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Batch {
    /// Entry that appended the batch.
    pub entry: InstanceId,
    /// Incarnation of that entry.
    pub incarnation: Incarnation,
    /// Items in the order in which they are applied.
    pub items: Vec<Item>,
}

/// One change of the state of a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Item {
    /// Claims the key. The first claim in log order holds it.
    Claim {
        /// Claimed key.
        key: IdempotencyKey,
        /// Digest of the payload.
        payload: Fingerprint,
        /// Identifier of the claim.
        nonce: Nonce,
        /// Deadline of the request, in Unix milliseconds of the claiming entry's clock.
        deadline_ms: u64,
    },
    /// Cancels a claim that was not granted. A claim that follows its cancellation in the log has no effect;
    /// a claim that precedes it releases the key.
    Cancel {
        /// Key of the claim.
        key: IdempotencyKey,
        /// Nonce of the claim.
        nonce: Nonce,
    },
    /// Outcome of a granted claim. It repeats the payload's digest because the claim's record expires first.
    Outcome {
        /// Key of the claim.
        key: IdempotencyKey,
        /// Digest of the payload.
        payload: Fingerprint,
        /// Nonce of the claim.
        nonce: Nonce,
        /// Outcome of the request.
        outcome: RecordedOutcome,
    },
}

impl Item {
    /// Returns the key that the item refers to.
    pub fn key(&self) -> &IdempotencyKey {
        match self {
            Self::Claim { key, .. } | Self::Cancel { key, .. } | Self::Outcome { key, .. } => key,
        }
    }

    /// Returns the nonce of the claim that the item refers to.
    pub fn nonce(&self) -> Nonce {
        match self {
            Self::Claim { nonce, .. } | Self::Cancel { nonce, .. } | Self::Outcome { nonce, .. } => *nonce,
        }
    }

    /// Returns the estimated size of the item's JSON encoding.
    pub fn estimated_bytes(&self) -> usize {
        let texts = key_bytes(self.key());
        let result = match self {
            Self::Outcome { outcome, .. } => outcome.result_bytes(),
            Self::Claim { .. } | Self::Cancel { .. } => 0,
        };
        ITEM_BASE_BYTES + texts + result
    }
}

/// Returns the size of a key's team and key texts together.
pub(super) fn key_bytes(key: &IdempotencyKey) -> usize {
    key.team.as_str().len() + key.key.len()
}

/// A decoded page of a stream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Page {
    /// Oldest offset that the log retains.
    pub first: LogOffset,
    /// Offset at which the next page begins.
    pub next: LogOffset,
    /// Records in offset order.
    pub rows: Vec<PageRow>,
}

/// One record of a page.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PageRow {
    /// Offset in the stream.
    pub offset: LogOffset,
    /// When the log service appended the record, in Unix milliseconds.
    pub time_ms: u64,
    /// Decoded content, or `None` if it cannot be decoded.
    pub batch: Option<Batch>,
}

/// Decodes a page. A record that cannot be decoded becomes a row without content, because its offset and time
/// still count.
pub fn decode(records: &backing::Records) -> Page {
    let rows = records.records.iter().map(|record| PageRow {
        offset: record.offset,
        time_ms: record.time_ms,
        batch: decode_batch(&record.data).ok(),
    });
    Page { first: records.first, next: records.next, rows: rows.collect() }
}

/// Decodes one record.
///
/// # Errors
/// Returns [`RecordError::Unreadable`] if the text is not a batch.
pub fn decode_batch(text: &str) -> Result<Batch> {
    serde_json::from_str(text).map_err(RecordError::Unreadable)
}

/// Encodes one record.
///
/// # Errors
/// Returns [`RecordError::Unwritable`] if the batch cannot be serialized.
pub fn encode_batch(batch: &Batch) -> Result<Vec<u8>> {
    serde_json::to_vec(batch).map_err(RecordError::Unwritable)
}

/// Returns the name of a shard's stream.
pub fn stream_name(shard: usize) -> String {
    format!("ledger-{shard}")
}

/// Returns the shard of a key. Entries with the same number of shards compute the same shard.
pub fn shard_of(key: &IdempotencyKey, shards: usize) -> usize {
    let hash = digest(&[key.team.as_str(), &key.key, &key.made_ms.to_string()]).0;
    let shards = u128::try_from(shards.max(1)).unwrap_or(1);
    usize::try_from(hash % shards).unwrap_or(0)
}
