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
    /// Where callers connect.
    pub callers: Address,
    /// Where other entries connect.
    pub peers: Address,
    /// Where operators connect.
    pub operators: Address,
    /// Where the platform's log service listens.
    pub log: Address,
    /// Where the platform's instance list is served.
    pub instance_list: Address,
    /// Times of configuration.
    #[serde(default)]
    pub configuration: ConfigurationSettings,
    /// Peer ports of other entries that are called even if the instance list does not name them.
    #[serde(default)]
    pub known_peers: Vec<Address>,
    /// Times and limits of the exchange with other entries.
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
    /// Choice of replicas.
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

    /// Checks the text of a settings file and returns the settings or the first error.
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

    /// Returns every error of a text, for the operator who wrote it. Syntax errors hide each other, because the TOML
    /// reader stops at the first one. Rules between two keys are judged once each key is within its range.
    pub fn check_text(path: &str, text: &str) -> Vec<SettingsError> {
        check::read(path, text).1
    }
}
