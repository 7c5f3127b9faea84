//! The settings file of an entry.

use std::path::Path;

use serde::Deserialize;

use super::{Result, SettingsError};
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
#[derive(Clone, Debug, Deserialize)]
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

    /// Checks the text of a settings file.
    ///
    /// # Errors
    /// Returns [`SettingsError`], which names the file, the key, the value and what is allowed.
    pub fn parse(path: &str, text: &str) -> Result<Self> {
        let settings: Self = toml::from_str(text)
            .map_err(|error| SettingsError::Syntax { path: path.to_owned(), detail: error.to_string() })?;
        settings.check(path)?;
        Ok(settings)
    }

    fn check(&self, path: &str) -> Result<()> {
        let refuse = |key, value: String, allowed| {
            Err(SettingsError::NotAllowed { path: path.to_owned(), key, value, allowed })
        };
        if self.instance.as_str().is_empty() {
            return refuse("instance", "\"\"".to_owned(), "a name that is not empty");
        }
        if self.zone.as_str().is_empty() {
            return refuse("zone", "\"\"".to_owned(), "a name that is not empty");
        }
        let own = [("callers", self.callers), ("peers", self.peers), ("operators", self.operators)];
        for (index, (key, address)) in own.iter().enumerate() {
            let twice = own.iter().skip(index + 1).any(|(_, other)| other == address);
            if twice && address.port() != 0 {
                return refuse(key, address.to_string(), "an address that no other listener has");
            }
        }
        for (key, address) in [("log", self.log), ("instance_list", self.instance_list)] {
            if address.port() == 0 {
                return refuse(key, address.to_string(), "an address with a port");
            }
        }
        let at_least_one = [
            ("configuration.uncertain_after_ms", self.configuration.uncertain_after_ms),
            ("configuration.retention_ms", self.configuration.retention_ms),
            ("exchange.interval_ms", self.exchange.interval_ms),
            ("exchange.fanout", self.exchange.fanout as u64),
            ("exchange.call_timeout_ms", self.exchange.call_timeout_ms),
        ];
        for (key, value) in at_least_one {
            if value == 0 {
                return refuse(key, value.to_string(), "at least 1");
            }
        }
        if self.execution.credit_tokens < 2 * self.intake.credit_batch_tokens {
            let allowed = "at least twice intake.credit_batch_tokens";
            return refuse("execution.credit_tokens", self.execution.credit_tokens.to_string(), allowed);
        }
        if let Some((key, value, allowed)) = self.ledger.fault() {
            return refuse(key, value.to_string(), allowed);
        }
        Ok(())
    }
}
