//! The settings file of an entry.

use std::path::Path;

use serde::{Deserialize, Serialize};

use super::{Result, SettingsError, check};
use crate::admission::AdmissionSettings;
use crate::configuration::ConfigurationSettings;
use crate::execution::ExecutionSettings;
use crate::ids::{InstanceId, Zone};
use crate::intake::IntakeSettings;
use crate::ledger::LedgerSettings;
use crate::membership::MembershipSettings;
use crate::peers::ExchangeSettings;
use crate::pipeline::Address;
use crate::placement::PlacementSettings;
use crate::routing::RoutingSettings;

/// Settings of an entry.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub zone: Zone,
    /// Address that the entry listens on for callers.
    pub callers: Address,
    /// Address that the entry listens on for other entries.
    pub peers: Address,
    /// Address that the entry listens on for operators.
    pub operators: Address,
    /// Address of the platform's log service.
    pub log: Address,
    /// Address of the platform's instance list.
    pub instance_list: Address,
    /// Timeouts and retention time of configuration.
    #[serde(default)]
    pub configuration: ConfigurationSettings,
    /// Peer addresses of other entries that are called even if they are not in the instance list.
    #[serde(default)]
    pub known_peers: Vec<Address>,
    /// Intervals, timeouts and limits of the exchange with other entries.
    #[serde(default)]
    pub exchange: ExchangeSettings,
    /// Limits of intake.
    #[serde(default)]
    pub intake: IntakeSettings,
    /// Limits of execution.
    #[serde(default)]
    pub execution: ExecutionSettings,
    /// Limits of the ledger.
    #[serde(default)]
    pub ledger: LedgerSettings,
    /// Intervals of membership.
    #[serde(default)]
    pub membership: MembershipSettings,
    /// Limits of placement.
    #[serde(default)]
    pub placement: PlacementSettings,
    /// Limits of admission.
    #[serde(default)]
    pub admission: AdmissionSettings,
    /// Settings of the choice of replicas.
    #[serde(default)]
    pub routing: RoutingSettings,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Returns [`SettingsError`], which names the file, the key, the value and what is allowed.
    pub fn read(path: &Path) -> Result<Self> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Unreadable { path: name.clone(), source })?;
        Self::parse(&name, &text)
    }

    /// Parses and checks the text of a settings file. Only the first error is returned.
    ///
    /// # Errors
    /// Returns [`SettingsError`], which names the file, the key, the value and what is allowed.
    pub fn parse(path: &str, text: &str) -> Result<Self> {
        let (settings, errors) = check::read(path, text);
        match errors.into_iter().next() {
            Some(error) => Err(error),
            None => settings
                .ok_or_else(|| SettingsError::Syntax { path: path.into(), detail: "no settings".into() }),
        }
    }

    /// Returns all errors of a text, so that an operator can correct them together. Only the first syntax error is
    /// found, because the TOML parser stops there. Rules between two keys are checked only if all keys are within their
    /// ranges.
    pub fn check_text(path: &str, text: &str) -> Vec<SettingsError> {
        check::read(path, text).1
    }
}
