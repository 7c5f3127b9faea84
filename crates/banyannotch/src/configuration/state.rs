//! Settings of the configuration duty, the content of a version, and claims about the version in force.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Configuration, Document, PresetName, Result};
use crate::ids::{ConfigVersion, Fingerprint};
use crate::request::digest;

/// Settings of the configuration duty.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ConfigurationSettings {
    /// Time without contact to the log and to any peer after which the entry is uncertain of the version in
    /// force.
    pub uncertain_after_ms: u64,
    /// Retention time of the log. The state in force is restated well before its record expires.
    pub retention_ms: u64,
}

impl Default for ConfigurationSettings {
    fn default() -> Self {
        Self { uncertain_after_ms: 5_000, retention_ms: 3_600_000 }
    }
}

/// The content of one version, with the text and author that a restating record and a peer message need.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionContent {
    /// Parsed configuration, as published to the other duties.
    pub configuration: Arc<Configuration>,
    /// Text of the document, as the operator published it.
    pub text: Arc<str>,
    /// Author of the record that created the version.
    pub author: Arc<str>,
}

impl VersionContent {
    /// Parses the document of a version.
    ///
    /// # Errors
    /// Returns the first error of the document.
    pub fn parse(version: ConfigVersion, author: &str, text: &str, preset: PresetName) -> Result<Self> {
        let document = Document::parse(text)?;
        let configuration = Arc::new(Configuration { version, document, preset });
        Ok(Self { configuration, text: text.into(), author: author.into() })
    }

    /// Returns a new version with the same document and another preset.
    pub(super) fn with_preset(&self, version: ConfigVersion, author: &str, preset: PresetName) -> Self {
        let document = self.configuration.document.clone();
        let configuration = Arc::new(Configuration { version, document, preset });
        Self { configuration, text: Arc::clone(&self.text), author: author.into() }
    }

    /// Returns the number of the version.
    pub fn version(&self) -> ConfigVersion {
        self.configuration.version
    }

    /// Returns a digest of text, preset and author, so that entries can compare contents without sending
    /// them.
    pub fn digest(&self) -> Fingerprint {
        digest(&[&self.text, &self.configuration.preset.to_string(), &self.author])
    }
}

/// Statement that a version was in force after a certain offset of the log. It comes from a record or from a
/// peer.
#[derive(Clone, Debug, PartialEq)]
pub struct Claim {
    /// Version that was in force.
    pub version: ConfigVersion,
    /// Offset after which the version was in force. Every record up to it is accounted for.
    pub through: crate::ids::LogOffset,
    /// Digest of the content of the version.
    pub digest: Fingerprint,
    /// Content of the version, if it was sent with the claim.
    pub content: Option<VersionContent>,
}
