//! Settings of configuration, and the content of one version.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Configuration, Document, PresetName, Result};
use crate::ids::{ConfigVersion, Fingerprint};
use crate::request::digest;

/// Times of configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ConfigurationSettings {
    /// Time without contact to the log and to any peer after which it is no longer known what is in force.
    pub uncertain_after_ms: u64,
    /// How long the log keeps a record. The state is restated well before.
    pub retention_ms: u64,
}

impl Default for ConfigurationSettings {
    fn default() -> Self {
        Self { uncertain_after_ms: 5_000, retention_ms: 3_600_000 }
    }
}

/// The content of one version, with what is needed to restate it and to hand it to peers.
#[derive(Clone, Debug, PartialEq)]
pub struct Stated {
    /// What the duties use.
    pub configuration: Arc<Configuration>,
    /// Text of the document, as the operator published it.
    pub text: Arc<str>,
    /// Who published the record that made the version.
    pub author: Arc<str>,
}

impl Stated {
    /// Reads the document of a version.
    ///
    /// # Errors
    /// Returns the first error of the document.
    pub fn read(version: ConfigVersion, author: &str, text: &str, preset: PresetName) -> Result<Self> {
        let document = Document::parse(text)?;
        let configuration = Arc::new(Configuration { version, document, preset });
        Ok(Self { configuration, text: text.into(), author: author.into() })
    }

    /// Returns the same document under another preset.
    pub(super) fn switched(&self, version: ConfigVersion, author: &str, preset: PresetName) -> Self {
        let document = self.configuration.document.clone();
        let configuration = Arc::new(Configuration { version, document, preset });
        Self { configuration, text: Arc::clone(&self.text), author: author.into() }
    }

    /// Returns the version.
    pub fn version(&self) -> ConfigVersion {
        self.configuration.version
    }

    /// Returns a digest that is equal for equal contents, so that entries can compare contents without sending them.
    pub fn digest(&self) -> Fingerprint {
        digest(&[&self.text, &self.configuration.preset.to_string(), &self.author])
    }
}

/// Statement that a version was in force at a place of the log. It comes from a restating record or from a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct Claim {
    /// Version that was in force.
    pub version: ConfigVersion,
    /// Offset after which it was in force: every record up to here is accounted for.
    pub through: crate::ids::LogOffset,
    /// Digest of its content.
    pub digest: Fingerprint,
    /// The content, if it was sent along.
    pub stated: Option<Stated>,
}
