//! Evaluates records against the state of the log before them.
//!
//! Let `S(n)` be the state after the record at offset n. The verdict on record n + 1 depends on `S(n)` and on
//! the record alone. A reader with `S(n)` therefore reaches the same verdict on every later record as every
//! other reader, whether it has `S(n)` from reading the log from its beginning, from a restating record, or
//! from a peer.

use std::cmp::Ordering;

use super::{Change, ChangeRecord, Claim, PresetName, RefusalReason, VersionContent};
use crate::backing::Record;
use crate::ids::{ConfigVersion, LogOffset};

/// The state after an offset of the log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogState {
    /// Version in force, or none before the first accepted record.
    pub content: Option<VersionContent>,
    /// Offset after which it is in force. Every record up to it is accounted for.
    pub through: LogOffset,
}

/// Result of evaluating a record.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It creates a new version.
    Accepted(VersionContent),
    /// It restates a version that was in force before it, and changes nothing.
    Restated(Claim),
    /// It changes nothing.
    Refused {
        /// Author of the record, if it can be read.
        author: Option<String>,
        /// Reason for the refusal.
        reason: RefusalReason,
    },
}

/// Effect of a claim on the state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// The claimed version is newer and is adopted.
    NewVersion,
    /// The version is unchanged, but is in force up to a later offset than before.
    LaterOffset,
    /// The claim adds nothing.
    Unchanged,
    /// The claim contradicts the state or itself. It is dropped.
    Contradiction,
}

impl LogState {
    /// Returns the version in force, 0 if there is none.
    pub fn version(&self) -> ConfigVersion {
        self.content.as_ref().map(VersionContent::version).unwrap_or_default()
    }

    /// Evaluates the record that follows this state.
    pub fn evaluate(&self, record: &Record) -> Verdict {
        let change = match read(&record.data) {
            Ok(change) => change,
            Err((author, reason)) => return Verdict::Refused { author, reason },
        };
        match self.accept(record.offset, &change) {
            Ok(verdict) => verdict,
            Err(reason) => Verdict::Refused { author: Some(change.author), reason },
        }
    }

    /// Evaluates the record that follows this state and applies it.
    pub fn apply(&mut self, record: &Record) -> Verdict {
        let verdict = self.evaluate(record);
        if let Verdict::Accepted(content) = &verdict {
            self.content = Some(content.clone());
        }
        self.through = record.offset;
        verdict
    }

    /// Applies a claim. The version never decreases.
    pub fn apply_claim(&mut self, claim: &Claim) -> ClaimOutcome {
        if !is_possible(claim.version, claim.through) {
            return ClaimOutcome::Contradiction;
        }
        match (claim.version.cmp(&self.version()), claim.through > self.through) {
            // Versions only increase with the offset, so a lower one at a later offset is a contradiction,
            // and so is a higher one at the same or an earlier offset.
            (Ordering::Less, true) | (Ordering::Greater, false) => ClaimOutcome::Contradiction,
            (Ordering::Less, false) => ClaimOutcome::Unchanged,
            (Ordering::Equal, is_later) => {
                if self.content.as_ref().is_none_or(|content| content.digest() != claim.digest) {
                    return ClaimOutcome::Contradiction;
                }
                if !is_later {
                    return ClaimOutcome::Unchanged;
                }
                self.through = claim.through;
                ClaimOutcome::LaterOffset
            }
            (Ordering::Greater, true) => {
                let Some(content) = &claim.content else { return ClaimOutcome::Unchanged };
                self.content = Some(content.clone());
                self.through = claim.through;
                ClaimOutcome::NewVersion
            }
        }
    }

    fn accept(
        &self,
        offset: LogOffset,
        record: &ChangeRecord,
    ) -> std::result::Result<Verdict, RefusalReason> {
        let version = ConfigVersion(offset.0);
        let author = record.author.as_str();
        match &record.change {
            Change::Restate { version, document, preset, author, through } => {
                if !is_possible(*version, *through) || *through >= offset || record.base != *version {
                    return Err(RefusalReason::Misstated { version: *version });
                }
                let content = VersionContent::parse(*version, author, document, *preset)
                    .map_err(RefusalReason::Document)?;
                Ok(Verdict::Restated(Claim {
                    version: *version,
                    through: *through,
                    digest: content.digest(),
                    content: Some(content),
                }))
            }
            Change::Reset { document, preset } => {
                accepted(VersionContent::parse(version, author, document, *preset))
            }
            Change::Document(document) => {
                self.check_base(record.base)?;
                accepted(VersionContent::parse(version, author, document, self.preset()))
            }
            Change::Preset(preset) => {
                self.check_base(record.base)?;
                let content = self.content.as_ref().ok_or(RefusalReason::NoDocument)?;
                Ok(Verdict::Accepted(content.with_preset(version, author, *preset)))
            }
        }
    }

    fn check_base(&self, base: ConfigVersion) -> std::result::Result<(), RefusalReason> {
        let current = self.version();
        if base == current {
            return Ok(());
        }
        if base > current {
            return Err(RefusalReason::UnknownBase { base, current });
        }
        let author = self.content.as_ref().map(|content| content.author.to_string()).unwrap_or_default();
        Err(RefusalReason::Raced { base, current, author })
    }

    fn preset(&self) -> PresetName {
        self.content.as_ref().map(|content| content.configuration.preset).unwrap_or_default()
    }
}

/// Returns the claim of a restating record or a reset, which holds without knowledge of the records before
/// it.
pub(super) fn find_claim(record: &Record) -> Option<Claim> {
    match LogState::default().evaluate(record) {
        Verdict::Restated(claim) => Some(claim),
        Verdict::Accepted(content) if is_reset(record) => Some(Claim {
            version: content.version(),
            through: record.offset,
            digest: content.digest(),
            content: Some(content),
        }),
        Verdict::Accepted(_) | Verdict::Refused { .. } => None,
    }
}

/// Returns whether a record is a reset, which replaces the state of all records before it.
pub(super) fn is_reset(record: &Record) -> bool {
    matches!(read(&record.data), Ok(ChangeRecord { change: Change::Reset { .. }, .. }))
}

/// Returns whether a version can be in force after an offset. It is in force from the offset of its own
/// record on.
fn is_possible(version: ConfigVersion, through: LogOffset) -> bool {
    version.0 >= 1 && version.0 <= through.0
}

fn accepted(content: super::Result<VersionContent>) -> std::result::Result<Verdict, RefusalReason> {
    content.map(Verdict::Accepted).map_err(RefusalReason::Document)
}

fn read(data: &str) -> std::result::Result<ChangeRecord, (Option<String>, RefusalReason)> {
    let error = match serde_json::from_str(data) {
        Ok(record) => return Ok(record),
        Err(error) => error,
    };
    let value: serde_json::Value = serde_json::from_str(data).unwrap_or_default();
    let author = value.get("author").and_then(|author| author.as_str()).map(str::to_owned);
    let preset = value.get("change").and_then(|change| change.get("preset")).and_then(|name| name.as_str());
    let reason = match preset {
        Some(name) if serde_json::from_value::<PresetName>(name.into()).is_err() => {
            RefusalReason::UnknownPreset { name: name.to_owned() }
        }
        _ => RefusalReason::Unreadable { detail: error.to_string() },
    };
    Err((author, reason))
}
