//! Findings that are passed on, numbered in the order in which they came.

use super::{Digest, ExchangeSettings, Finding, Found};
use crate::clock::US_PER_MS;
use crate::ids::InstanceId;
use crate::table::Table;

/// Most findings that are kept; the oldest go first.
const KEPT_LIMIT: usize = 2_048;

/// Most findings in one digest, so that it stays far below the limit of a message.
pub(super) const DIGEST_LIMIT: usize = 512;

#[derive(Clone, Debug)]
struct Held {
    number: u64,
    /// When it is forgotten. A time in the future can always be represented, unlike the time when it was found, which
    /// may be before this process started.
    expires_us: u64,
    /// Entry that told it; it need not be told back.
    source: Option<InstanceId>,
}

/// What was found lately.
#[derive(Debug, Default)]
pub(super) struct Findings {
    rows: Table<Finding, Held>,
    last: u64,
}

impl Findings {
    /// Keeps a finding of this entry, or renews it.
    pub fn add_own(&mut self, now_us: u64, finding: Finding, settings: &ExchangeSettings) {
        let expires_us = now_us + memory_us(&finding, settings);
        if let Some(held) = self.rows.get_mut(&finding) {
            held.expires_us = expires_us;
            return;
        }
        self.insert(finding, expires_us, None);
    }

    /// Keeps a finding of another entry. Returns whether it is new here.
    pub fn add(
        &mut self,
        now_us: u64,
        found: &Found,
        source: &InstanceId,
        settings: &ExchangeSettings,
    ) -> bool {
        let age_us = found.age_ms.saturating_mul(US_PER_MS);
        let left_us = memory_us(&found.finding, settings).saturating_sub(age_us);
        if left_us == 0 || self.rows.contains(&found.finding) {
            return false;
        }
        self.insert(found.finding.clone(), now_us + left_us, Some(source.clone()));
        true
    }

    /// Returns whether this entry found it itself.
    pub fn holds_own(&self, finding: &Finding) -> bool {
        self.rows.get(finding).is_some_and(|held| held.source.is_none())
    }

    /// Forgets what is old.
    pub fn expire(&mut self, now_us: u64) {
        self.rows.retain(|_, held| held.expires_us > now_us);
    }

    /// Returns the findings after a number that an entry did not tell itself, and the number of the last one that
    /// was looked at.
    pub fn after(
        &self,
        now_us: u64,
        number: u64,
        receiver: Option<&InstanceId>,
        settings: &ExchangeSettings,
    ) -> (Vec<Found>, u64) {
        let mut rows: Vec<(&Finding, &Held)> = self
            .rows
            .iter()
            .filter(|(_, held)| held.number > number)
            .filter(|(_, held)| held.source.is_none() || held.source.as_ref() != receiver)
            .collect();
        rows.sort_by_key(|(_, held)| held.number);
        let is_whole = rows.len() <= DIGEST_LIMIT;
        rows.truncate(DIGEST_LIMIT);
        let last = rows.last().map_or(number, |(_, held)| held.number);
        let found = rows.into_iter().map(|(finding, held)| {
            let left_us = held.expires_us.saturating_sub(now_us);
            let age_us = memory_us(finding, settings).saturating_sub(left_us);
            Found { finding: finding.clone(), age_ms: age_us / US_PER_MS }
        });
        (found.collect(), if is_whole { self.last } else { last })
    }

    fn insert(&mut self, finding: Finding, expires_us: u64, source: Option<InstanceId>) {
        if self.rows.len() >= KEPT_LIMIT {
            self.forget_oldest();
        }
        self.last += 1;
        self.rows.insert(finding, Held { number: self.last, expires_us, source });
    }

    fn forget_oldest(&mut self) {
        let oldest = self.rows.iter().min_by_key(|(_, held)| held.number).map(|(key, _)| key.clone());
        if let Some(finding) = oldest {
            self.rows.remove(&finding);
        }
    }
}

fn memory_us(finding: &Finding, settings: &ExchangeSettings) -> u64 {
    let memory_ms = match finding {
        Finding::Observed { .. } => settings.observation_memory_ms,
        Finding::Suspected(_) => settings.suspicion_memory_ms,
    };
    memory_ms.saturating_mul(US_PER_MS)
}

impl Digest {
    /// Returns the version in force at the entry that tells the digest.
    pub(super) fn version(&self) -> crate::ids::ConfigVersion {
        self.claim.as_ref().map(|claim| claim.version).unwrap_or_default()
    }
}
