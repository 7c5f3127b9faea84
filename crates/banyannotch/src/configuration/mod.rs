//! Accepts configuration records from the log in log order and keeps the one that is in force.
//!
//! An accepted configuration never reverts. See "Configuration" in `docs/design.md`.

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
    Action, Change, ChangeRecord, Decision, Event, PeerReport, PeerVersion, Refused, STREAM, Source,
};
pub use policy::Acceptance;
pub use runtime::{Links, spawn};
pub use state::{Claim, ConfigurationSettings, Stated};
pub use verdict::{Known, Learned, Verdict};

use crate::ids::ConfigVersion;

/// The configuration in force: a document, the active preset, and the version of the record that made it.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Version; higher replaces lower and never the other way round.
    pub version: ConfigVersion,
    /// What the operator published.
    pub document: Document,
    /// The one preset that is active.
    pub preset: PresetName,
}

impl Configuration {
    /// Returns the settings of the active preset.
    pub fn active(&self) -> &Preset {
        self.document.presets.get(self.preset)
    }
}
