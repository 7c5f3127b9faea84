//! Accepts configuration records in log order and publishes the version in force to the other duties.
//!
//! The version in force only increases. See "Configuration" in `docs/design.md`.

mod check;
mod contact;
mod document;
mod error;
mod messages;
mod policy;
mod restate;
mod runtime;
mod state;
#[cfg(test)]
mod tests;
mod verdict;

pub use document::{
    DOCUMENT_LIMIT_BYTES, Document, Model, Objective, Preset, PresetName, Presets, Service, Team,
};
pub use error::{DocumentError, Result};
pub use messages::{
    Action, Change, ChangeRecord, Decision, Event, PeerReport, PeerVersion, RefusalReason, STREAM, Source,
};
pub use policy::ConfigurationPolicy;
pub use runtime::{Links, spawn};
pub use state::{Claim, ConfigurationSettings, VersionContent};
pub use verdict::{ClaimOutcome, LogState, Verdict};

use crate::ids::ConfigVersion;

/// One version of the configuration: a document and the active preset.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Offset of the record that created the version. A higher version replaces a lower one, never the
    /// reverse.
    pub version: ConfigVersion,
    /// Document that the operator published.
    pub document: Document,
    /// Active preset.
    pub preset: PresetName,
}

impl Configuration {
    /// Returns the settings of the active preset.
    pub fn active(&self) -> &Preset {
        self.document.presets.get(self.preset)
    }
}
