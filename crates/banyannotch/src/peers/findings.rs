//! Findings to gossip, with sequence numbers in the order in which this entry first stored them.

use super::{AgedFinding, Digest, ExchangeSettings, Finding};
use crate::clock::US_PER_MS;
use crate::ids::InstanceId;
use crate::table::Table;

/// Maximum number of stored findings. The ones that were stored first are evicted first.
const STORED_FINDINGS_LIMIT: usize = 2_048;

/// Maximum number of findings in a digest, so that the message stays far below its size limit.
pub(super) const DIGEST_FINDINGS_LIMIT: usize = 512;

#[derive(Clone, Debug)]
struct StoredFinding {
    sequence: u64,
    /// Time at which the finding is dropped. It is stored instead of the time at which the finding was made,
    /// which may be before the start of this process and then cannot be represented.
    expires_us: u64,
    /// Entry that sent the finding, or `None` for a finding of this entry. It is not sent back to its source.
    source: Option<InstanceId>,
}

/// Recent findings of this entry and of others.
#[derive(Debug, Default)]
pub(super) struct Findings {
    rows: Table<Finding, StoredFinding>,
    last_sequence: u64,
}

impl Findings {
    /// Stores a finding of this entry, or extends its lifetime if it is stored already.
    pub fn add_own(&mut self, now_us: u64, finding: Finding, settings: &ExchangeSettings) {
        let expires_us = now_us + retention_us(&finding, settings);
        if let Some(stored) = self.rows.get_mut(&finding) {
            stored.expires_us = expires_us;
            return;
        }
        self.insert(finding, expires_us, None);
    }

    /// Stores a finding that another entry sent. Returns `false` if it is stored already or too old.
    pub fn add(
        &mut self,
        now_us: u64,
        found: &AgedFinding,
        source: &InstanceId,
        settings: &ExchangeSettings,
    ) -> bool {
        let age_us = found.age_ms.saturating_mul(US_PER_MS);
        let left_us = retention_us(&found.finding, settings).saturating_sub(age_us);
        if left_us == 0 || self.rows.contains(&found.finding) {
            return false;
        }
        self.insert(found.finding.clone(), now_us + left_us, Some(source.clone()));
        true
    }

    /// Returns whether the finding is stored as one of this entry.
    pub fn has_own(&self, finding: &Finding) -> bool {
        self.rows.get(finding).is_some_and(|stored| stored.source.is_none())
    }

    /// Drops the expired findings.
    pub fn expire(&mut self, now_us: u64) {
        self.rows.retain(|_, stored| stored.expires_us > now_us);
    }

    /// Returns the findings after a sequence number, except those that the receiver itself sent, and the
    /// sequence number up to which the result is complete. The result is limited to
    /// [`DIGEST_FINDINGS_LIMIT`].
    pub fn after(
        &self,
        now_us: u64,
        sequence: u64,
        receiver: Option<&InstanceId>,
        settings: &ExchangeSettings,
    ) -> (Vec<AgedFinding>, u64) {
        let mut rows: Vec<(&Finding, &StoredFinding)> = self
            .rows
            .iter()
            .filter(|(_, stored)| stored.sequence > sequence)
            .filter(|(_, stored)| stored.source.is_none() || stored.source.as_ref() != receiver)
            .collect();
        rows.sort_by_key(|(_, stored)| stored.sequence);
        let is_complete = rows.len() <= DIGEST_FINDINGS_LIMIT;
        rows.truncate(DIGEST_FINDINGS_LIMIT);
        let last = rows.last().map_or(sequence, |(_, stored)| stored.sequence);
        let found = rows.into_iter().map(|(finding, stored)| {
            let left_us = stored.expires_us.saturating_sub(now_us);
            let age_us = retention_us(finding, settings).saturating_sub(left_us);
            AgedFinding { finding: finding.clone(), age_ms: age_us / US_PER_MS }
        });
        (found.collect(), if is_complete { self.last_sequence } else { last })
    }

    fn insert(&mut self, finding: Finding, expires_us: u64, source: Option<InstanceId>) {
        if self.rows.len() >= STORED_FINDINGS_LIMIT {
            self.evict_oldest();
        }
        self.last_sequence += 1;
        self.rows.insert(finding, StoredFinding { sequence: self.last_sequence, expires_us, source });
    }

    fn evict_oldest(&mut self) {
        let oldest = self.rows.iter().min_by_key(|(_, stored)| stored.sequence).map(|(key, _)| key.clone());
        if let Some(finding) = oldest {
            self.rows.remove(&finding);
        }
    }
}

fn retention_us(finding: &Finding, settings: &ExchangeSettings) -> u64 {
    let memory_ms = match finding {
        Finding::Observed { .. } => settings.observation_memory_ms,
        Finding::Suspected(_) => settings.suspicion_memory_ms,
    };
    memory_ms.saturating_mul(US_PER_MS)
}

impl Digest {
    /// Returns the configuration version in force at the entry that sent the digest, or 0 if it has none.
    pub(super) fn version(&self) -> crate::ids::ConfigVersion {
        self.claim.as_ref().map(|claim| claim.version).unwrap_or_default()
    }
}
