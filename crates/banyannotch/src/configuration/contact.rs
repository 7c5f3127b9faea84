//! Tracks the last contact to the log or a peer, and the last report of each peer.

use super::PeerVersion;
use crate::ids::{ConfigVersion, InstanceId};
use crate::pipeline::Address;
use crate::table::Table;

/// Tracks whether this entry is certain of the version in force: it is, while its last contact is recent.
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

    /// Records an answer of the log or a peer. Contact counts from the time of the request, because the
    /// answer may have waited in a buffer while this process was frozen.
    pub fn renew(&mut self, requested_us: u64) {
        self.last_us = self.last_us.max(requested_us);
    }

    pub fn is_certain(&self) -> bool {
        self.certain
    }

    /// Updates the state and returns it if it has changed.
    pub fn check(&mut self, now_us: u64) -> Option<bool> {
        let certain = now_us < self.last_us + self.limit_us;
        let changed = certain != self.certain;
        self.certain = certain;
        changed.then_some(certain)
    }

    /// Returns the time until which the entry is certain if no other answer arrives.
    pub fn until_us(&self) -> u64 {
        self.last_us + self.limit_us
    }

    /// Returns when the entry becomes uncertain if no other answer arrives, or none if it is uncertain
    /// already.
    pub fn due_us(&self) -> Option<u64> {
        self.certain.then_some(self.last_us + self.limit_us)
    }
}

/// The last report of each peer.
#[derive(Debug)]
pub(super) struct PeerVersions {
    silent_after_us: u64,
    rows: Table<InstanceId, Row>,
    reported: Vec<PeerVersion>,
}

#[derive(Clone, Copy, Debug)]
struct Row {
    version: ConfigVersion,
    operators: Option<Address>,
    last_report_us: u64,
}

/// A peer is forgotten after this multiple of the time after which it counts as silent.
const FORGET_FACTOR: u64 = 24;

impl PeerVersions {
    pub fn new(silent_after_us: u64) -> Self {
        Self { silent_after_us, rows: Table::default(), reported: Vec::new() }
    }

    pub fn note(
        &mut self,
        now_us: u64,
        instance: &InstanceId,
        version: ConfigVersion,
        operators: Option<Address>,
    ) {
        self.rows.insert(instance.clone(), Row { version, operators, last_report_us: now_us });
    }

    /// Returns the versions of all peers if they differ from those that were returned last.
    pub fn changed(&mut self, now_us: u64) -> Option<Vec<PeerVersion>> {
        let (silent_us, forget_us) = (self.silent_after_us, self.silent_after_us * FORGET_FACTOR);
        self.rows.retain(|_, row| row.last_report_us + forget_us > now_us);
        let versions: Vec<PeerVersion> = self
            .rows
            .iter()
            .map(|(instance, row)| PeerVersion {
                instance: instance.clone(),
                version: row.version,
                answers: row.last_report_us + silent_us > now_us,
                operators: row.operators,
            })
            .collect();
        if versions == self.reported {
            return None;
        }
        self.reported.clone_from(&versions);
        Some(versions)
    }

    /// Returns when the next peer counts as silent or is forgotten.
    pub fn due_us(&self) -> Option<u64> {
        let answers = |instance: &InstanceId| {
            self.reported.iter().any(|version| version.instance == *instance && version.answers)
        };
        let due = self.rows.iter().map(|(instance, row)| {
            let factor = if answers(instance) { 1 } else { FORGET_FACTOR };
            row.last_report_us + self.silent_after_us * factor
        });
        due.min()
    }
}
