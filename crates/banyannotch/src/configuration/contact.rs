//! When this entry last had contact, and what the peers last reported.

use super::PeerVersion;
use crate::ids::{ConfigVersion, InstanceId};
use crate::pipeline::Address;
use crate::table::Table;

/// Whether it is known which configuration is in force.
#[derive(Debug)]
pub(super) struct Contact {
    limit_us: u64,
    last_us: u64,
    certain: bool,
}

impl Contact {
    pub fn new(limit_us: u64) -> Self {
        Self { limit_us, last_us: 0, certain: true }
    }

    /// Notes an answer of the log or a peer. It counts from when it was asked for: the answer itself may have waited
    /// in a buffer while this process was frozen.
    pub fn renew(&mut self, asked_us: u64) {
        self.last_us = self.last_us.max(asked_us);
    }

    pub fn is_certain(&self) -> bool {
        self.certain
    }

    /// Returns the new state if it has changed.
    pub fn check(&mut self, now_us: u64) -> Option<bool> {
        let certain = now_us < self.last_us + self.limit_us;
        let changed = certain != self.certain;
        self.certain = certain;
        changed.then_some(certain)
    }

    /// Returns the time up to which it is known what is in force, without another answer.
    pub fn until_us(&self) -> u64 {
        self.last_us + self.limit_us
    }

    /// Returns when certainty ends without another answer.
    pub fn due_us(&self) -> Option<u64> {
        self.certain.then_some(self.last_us + self.limit_us)
    }
}

/// The last report of each peer.
#[derive(Debug)]
pub(super) struct PeerVersions {
    silent_after_us: u64,
    rows: Table<InstanceId, Row>,
    told: Vec<PeerVersion>,
}

#[derive(Clone, Copy, Debug)]
struct Row {
    version: ConfigVersion,
    operators: Option<Address>,
    heard_us: u64,
}

/// Multiple of the time after which a peer counts as silent, after which it is forgotten.
const FORGET_FACTOR: u64 = 24;

impl PeerVersions {
    pub fn new(silent_after_us: u64) -> Self {
        Self { silent_after_us, rows: Table::default(), told: Vec::new() }
    }

    pub fn note(
        &mut self,
        now_us: u64,
        instance: &InstanceId,
        version: ConfigVersion,
        operators: Option<Address>,
    ) {
        self.rows.insert(instance.clone(), Row { version, operators, heard_us: now_us });
    }

    /// Returns the reports if they differ from the last ones that were returned.
    pub fn changed(&mut self, now_us: u64) -> Option<Vec<PeerVersion>> {
        let (silent_us, forget_us) = (self.silent_after_us, self.silent_after_us * FORGET_FACTOR);
        self.rows.retain(|_, row| row.heard_us + forget_us > now_us);
        let versions: Vec<PeerVersion> = self
            .rows
            .iter()
            .map(|(instance, row)| PeerVersion {
                instance: instance.clone(),
                version: row.version,
                answers: row.heard_us + silent_us > now_us,
                operators: row.operators,
            })
            .collect();
        if versions == self.told {
            return None;
        }
        self.told.clone_from(&versions);
        Some(versions)
    }

    /// Returns when the next peer becomes silent or is forgotten.
    pub fn due_us(&self) -> Option<u64> {
        let answers = |instance: &InstanceId| {
            self.told.iter().any(|version| version.instance == *instance && version.answers)
        };
        let due = self.rows.iter().map(|(instance, row)| {
            let factor = if answers(instance) { 1 } else { FORGET_FACTOR };
            row.heard_us + self.silent_after_us * factor
        });
        due.min()
    }
}
