//! The document that an operator publishes: models, services, teams and the three presets.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::{DocumentError, Result};
use crate::ids::{InstanceId, ModelId, ModelVersion, ServiceId, TeamId};

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
        let mut document: Self =
            toml::from_str(text).map_err(|error| DocumentError::Syntax(error.to_string()))?;
        document.models.sort_by(|a, b| a.name.cmp(&b.name));
        document.services.sort_by(|a, b| a.name.cmp(&b.name));
        document.teams.sort_by(|a, b| a.name.cmp(&b.name));
        document.check()?;
        Ok(document)
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

    fn check(&self) -> Result<()> {
        check_unique("models", self.models.iter().map(|model| model.name.as_str()))?;
        check_unique("services", self.services.iter().map(|service| service.name.as_str()))?;
        check_unique("teams", self.teams.iter().map(|team| team.name.as_str()))?;
        for model in &self.models {
            if model.layers == 0 {
                return Err(out_of_range(format!("models.{}.layers", model.name), &0, "1 to 65535"));
            }
        }
        for team in &self.teams {
            let hash = &team.token_sha256;
            if hash.len() != 64 || !hash.bytes().all(|byte| byte.is_ascii_hexdigit()) {
                let key = format!("teams.{}.token_sha256", team.name);
                return Err(out_of_range(key, &hash.len(), "64 hex digits"));
            }
            if team.weight == 0 {
                return Err(out_of_range(format!("teams.{}.weight", team.name), &0, "at least 1"));
            }
        }
        Ok(())
    }
}

fn check_unique<'a>(key: &'static str, names: impl Iterator<Item = &'a str>) -> Result<()> {
    let mut previous = None;
    for name in names {
        if previous == Some(name) {
            return Err(DocumentError::Duplicate { key, name: name.to_owned() });
        }
        previous = Some(name);
    }
    Ok(())
}

fn out_of_range(key: String, value: &impl ToString, allowed: &'static str) -> DocumentError {
    DocumentError::Range { key, value: value.to_string(), allowed }
}
