//! The document that an operator publishes: models, services, teams and the three presets.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::{DocumentError, Result, check};
use crate::ids::{InstanceId, ModelId, ModelVersion, ServiceId, TeamId};

/// Maximum length of a document. JSON encoding at most doubles it, so its record stays below the log's limit
/// of 1 MiB.
pub const DOCUMENT_LIMIT_BYTES: usize = 256 << 10;

/// A configuration document. Its lists are sorted by name.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Document {
    /// Models that callers can request.
    pub models: Vec<Model>,
    /// Plain services that callers can request.
    pub services: Vec<Service>,
    /// Teams that may send requests.
    pub teams: Vec<Team>,
    /// Settings of the presets.
    pub presets: Presets,
}

/// A model whose layers are distributed over engines.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name that callers use.
    pub name: ModelId,
    /// Version in use.
    pub version: ModelVersion,
    /// Number of layers.
    pub layers: u16,
    /// Bytes of activations that pass between two stages for one token position.
    pub hidden_bytes: u64,
}

/// A plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name that callers use.
    pub name: ServiceId,
}

/// A team that sends requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name of the team.
    pub name: TeamId,
    /// SHA-256 of the team's token in lower-case hex. The token itself is never stored.
    pub token_sha256: String,
    /// Weight of the team's share of the capacity, relative to the other teams.
    pub weight: u32,
}

/// The three presets.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Presets {
    /// Settings for ordinary load.
    pub ordinary: Preset,
    /// Settings for peak load.
    pub peak: Preset,
    /// Settings for maintenance.
    pub maintenance: Preset,
}

/// Name of a preset. Exactly one is active at any time.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PresetName {
    /// For ordinary load.
    #[default]
    Ordinary,
    /// For peak load.
    Peak,
    /// For maintenance.
    Maintenance,
}

impl fmt::Display for PresetName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(formatter)
    }
}

/// Settings of a preset.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Preset {
    /// Objective of the placement.
    pub objective: Objective,
    /// Instances that are drained: they get no work and no layers.
    pub drain: Vec<InstanceId>,
    /// Maximum number of requests in flight in one entry.
    pub in_flight_limit: u32,
    /// Maximum number of requests queued for one team in one entry.
    pub queue_limit: u32,
    /// Deadline of a request that names none.
    pub default_deadline_ms: u64,
    /// Maximum deadline of a request.
    pub max_deadline_ms: u64,
    /// Maximum number of tokens that one request may ask for.
    pub max_tokens: u32,
    /// Maximum number of retries, in percent of recent first attempts.
    pub retry_budget_percent: u32,
}

impl Default for Preset {
    fn default() -> Self {
        Self {
            objective: Objective::Latency,
            drain: Vec::new(),
            in_flight_limit: 512,
            queue_limit: 256,
            default_deadline_ms: 30_000,
            max_deadline_ms: 300_000,
            max_tokens: 4_096,
            retry_budget_percent: 20,
        }
    }
}

/// Objective of a placement.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Objective {
    /// Minimum time for one token.
    #[default]
    Latency,
    /// Maximum number of tokens per second.
    Throughput,
}

impl Presets {
    /// Returns the settings of one preset.
    pub fn get(&self, name: PresetName) -> &Preset {
        match name {
            PresetName::Ordinary => &self.ordinary,
            PresetName::Peak => &self.peak,
            PresetName::Maintenance => &self.maintenance,
        }
    }
}

impl Document {
    /// Parses a document from TOML and validates it.
    ///
    /// # Errors
    /// Returns the first [`DocumentError`]. Every entry finds the same one, so that all refuse a record
    /// alike.
    pub fn parse(text: &str) -> Result<Self> {
        let document = Self::read(text)?;
        match check::find_errors(&document).into_iter().next() {
            Some(error) => Err(error),
            None => Ok(document),
        }
    }

    /// Returns all errors of a text, for the operator who wrote it. A text that cannot be parsed gives one
    /// error, because its values cannot be checked.
    pub fn check_text(text: &str) -> Vec<DocumentError> {
        match Self::read(text) {
            Ok(document) => check::find_errors(&document),
            Err(error) => vec![error],
        }
    }

    /// Finds a model by name.
    pub fn model(&self, name: &ModelId) -> Option<&Model> {
        let index = self.models.binary_search_by(|model| model.name.cmp(name)).ok()?;
        self.models.get(index)
    }

    /// Finds a service by name.
    pub fn service(&self, name: &ServiceId) -> Option<&Service> {
        let index = self.services.binary_search_by(|service| service.name.cmp(name)).ok()?;
        self.services.get(index)
    }

    /// Finds a team by name.
    pub fn team(&self, name: &TeamId) -> Option<&Team> {
        let index = self.teams.binary_search_by(|team| team.name.cmp(name)).ok()?;
        self.teams.get(index)
    }

    fn read(text: &str) -> Result<Self> {
        if text.len() > DOCUMENT_LIMIT_BYTES {
            return Err(DocumentError::TooLong { bytes: text.len(), limit_bytes: DOCUMENT_LIMIT_BYTES });
        }
        let mut document: Self = toml::from_str(text).map_err(|error| syntax_error(text, &error))?;
        document.models.sort_by(|a, b| a.name.cmp(&b.name));
        document.services.sort_by(|a, b| a.name.cmp(&b.name));
        document.teams.sort_by(|a, b| a.name.cmp(&b.name));
        Ok(document)
    }
}

fn syntax_error(text: &str, error: &toml::de::Error) -> DocumentError {
    let before = error.span().and_then(|span| text.get(..span.start));
    let line = before.map(|before| before.matches('\n').count() + 1);
    DocumentError::Syntax { line, detail: error.message().to_owned() }
}
