//! The document that an operator publishes: models, services, teams and the three presets.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::{DocumentError, Result, check};
use crate::ids::{InstanceId, ModelId, ModelVersion, ServiceId, TeamId};

/// Longest document. Its JSON text at most doubles, so a record with it stays below the log's limit of 1 MiB.
pub const DOCUMENT_LIMIT_BYTES: usize = 256 << 10;

/// Everything that an operator configures. The lists are sorted by name.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Document {
    /// Models that can be asked for.
    pub models: Vec<Model>,
    /// Plain services that can be called.
    pub services: Vec<Service>,
    /// Teams that may send requests.
    pub teams: Vec<Team>,
    /// Settings of the presets.
    pub presets: Presets,
}

/// A model whose layers are spread over engines.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name that callers use.
    pub name: ModelId,
    /// Version in use.
    pub version: ModelVersion,
    /// Number of layers.
    pub layers: u16,
    /// Size of the activations of one position between two stages.
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
    /// SHA-256 of the team's token, in hex; the token itself is never stored.
    pub token_sha256: String,
    /// Share of the capacity in relation to the other teams.
    pub weight: u32,
}

/// The three presets.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Presets {
    /// For ordinary days.
    pub ordinary: Preset,
    /// For peaks.
    pub peak: Preset,
    /// For maintenance.
    pub maintenance: Preset,
}

/// Name of a preset. Exactly one is active at any time.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PresetName {
    /// For ordinary days.
    #[default]
    Ordinary,
    /// For peaks.
    Peak,
    /// For maintenance.
    Maintenance,
}

impl fmt::Display for PresetName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(formatter)
    }
}

/// What a preset decides.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Preset {
    /// What the placement is optimised for.
    pub objective: Objective,
    /// Instances that get no work and no layers.
    pub drain: Vec<InstanceId>,
    /// Most requests in flight in one entry.
    pub in_flight_limit: u32,
    /// Most requests queued for one team in one entry.
    pub queue_limit: u32,
    /// Deadline of a request that gives none.
    pub default_deadline_ms: u64,
    /// Longest deadline that is accepted.
    pub max_deadline_ms: u64,
    /// Most tokens that one request may ask for.
    pub max_tokens: u32,
    /// Retries allowed, in percent of recent first attempts.
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

/// What a placement is optimised for.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Objective {
    /// Shortest time for one token.
    #[default]
    Latency,
    /// Most tokens a second.
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
    /// Reads a document from TOML and checks it.
    ///
    /// # Errors
    /// Returns the first [`DocumentError`]. Equal texts give equal results on every entry.
    pub fn parse(text: &str) -> Result<Self> {
        let document = Self::read(text)?;
        match check::find_errors(&document).into_iter().next() {
            Some(error) => Err(error),
            None => Ok(document),
        }
    }

    /// Returns every error of a text, for the operator who wrote it. A text that is no TOML gives one error, because
    /// the rest of it cannot be judged.
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
