//! Settings file of a gateway.

use std::path::Path;

use serde::Deserialize;

use crate::pipeline::Address;
use crate::settings::{SettingsError, SettingsResult};

/// Settings of a gateway, read from a TOML file. Unknown keys are rejected.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Name of this instance.
    pub instance: String,
    /// Zone of this instance.
    pub zone: String,
    /// Address to listen on for callers.
    pub callers: Address,
    /// Address to listen on for readiness checks of the load balancer.
    pub readiness: Address,
    /// UDP address to listen on for other gateways.
    pub peers: Address,
    /// Address to listen on for metrics requests.
    pub metrics: Address,
    /// Address to listen on for requests that other gateways hand on; none if this one takes none.
    pub handoffs: Option<Address>,
    /// Address of the platform's store.
    pub store: Address,
    /// Addresses of other gateways to contact after the start.
    #[serde(default)]
    pub seeds: Vec<Address>,
    /// Interval at which endpoints renew their entries in the store, in milliseconds.
    pub heartbeat_ms: u64,
    /// Maximum time after the revocation of a key in which a request with it may still run, in milliseconds.
    pub revoke_ms: u64,
    /// Whether `revoke_ms` also holds while the store cannot be reached. If so, requests with a key are then rejected.
    pub strict_revocation: bool,
    /// Maximum time from the acknowledgement of a configuration until it is in force, in milliseconds.
    pub config_apply_ms: u64,
    /// Maximum time from the start of an endpoint's drain to the last request sent to it, in milliseconds.
    pub drain_ms: u64,
    /// Time from SIGTERM to SIGKILL, in seconds.
    pub grace_s: f64,
    /// Time after which an engine aborts work that waits for an unresponsive engine of its pipeline, in milliseconds.
    pub stall_ms: u64,
    /// Maximum ratio of retries to requests within the window, over all gateways together.
    pub retry_ratio: f64,
    /// Window of the retry budget, in seconds.
    pub retry_window_s: f64,
    /// Additional retries per window that all gateways together may send.
    pub retry_allowance: f64,
    /// Minimum time to live that the store accepts for a group membership, in milliseconds.
    pub group_ttl_least_ms: u64,
    /// Number of partitions of a topic of the store, which the members of a group divide among them.
    pub group_partitions: u64,
    /// Maximum number of open file descriptors of the process.
    pub descriptors: usize,
    /// Memory of the machine, in megabytes. The share of it that callers can make the gateway hold is limited.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
    /// Share of `memory_mb` that all callers together can make the gateway hold.
    #[serde(default = "default_callers_memory_share")]
    pub callers_memory_share: f64,
    /// Share of the callers' memory that only small requests can take.
    #[serde(default = "default_callers_reserved_share")]
    pub callers_reserved_share: f64,
    /// Size up to which a request counts as small, in kilobytes.
    #[serde(default = "default_callers_small_kb")]
    pub callers_small_kb: usize,
    /// Share of `descriptors` that connections of callers can use.
    #[serde(default = "default_callers_connections_share")]
    pub callers_connections_share: f64,
    /// Share of `memory_mb` that the operating system can take for the connections of callers, and again for those to
    /// endpoints.
    #[serde(default = "default_socket_buffers_share")]
    pub socket_buffers_share: f64,
    /// Maximum number of requests that wait for a service whose routes have different priorities; 0 if none waits.
    #[serde(default)]
    pub waiting_limit: usize,
    /// Share of an engine's KV cache that each rank of such a service leaves to the more urgent one.
    #[serde(default)]
    pub class_reserve_share: f64,
}

/// Returns the memory of the smallest machines that gateways run on, in megabytes.
fn default_memory_mb() -> f64 {
    112.0
}

/// On the smallest machines another quarter is in use by the process itself. The rest is for the buffers of the kernel and
/// for memory that the allocator keeps.
fn default_callers_memory_share() -> f64 {
    0.25
}

fn default_callers_reserved_share() -> f64 {
    0.25
}

fn default_callers_small_kb() -> usize {
    64
}

/// At least a quarter of the descriptors remains for connections to endpoints, and an eighth for everything else.
fn default_callers_connections_share() -> f64 {
    0.625
}

/// Callers, the connections of callers, those to endpoints and the process itself get a quarter each.
fn default_socket_buffers_share() -> f64 {
    0.25
}

impl GatewaySettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// Returns [`SettingsError`] if the file cannot be read, is not valid TOML or has a value that is not allowed.
    pub fn read(path: &Path) -> SettingsResult<Self> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Unreadable { path: name.clone(), source })?;
        Self::parse(&name, &text)
    }

    /// Parses and validates the text of a settings file. `path` appears in errors.
    ///
    /// # Errors
    /// Returns [`SettingsError`] if the text is not valid TOML or has a value that is not allowed.
    pub fn parse(path: &str, text: &str) -> SettingsResult<Self> {
        let settings: Self = toml::from_str(text)
            .map_err(|error| SettingsError::Syntax { path: path.to_owned(), detail: error.to_string() })?;
        settings.check(path)?;
        Ok(settings)
    }

    fn check(&self, path: &str) -> SettingsResult<()> {
        let ranges = [
            ("heartbeat_ms", self.heartbeat_ms as f64, 50.0, 60_000.0),
            ("revoke_ms", self.revoke_ms as f64, 500.0, 600_000.0),
            ("config_apply_ms", self.config_apply_ms as f64, 200.0, 600_000.0),
            ("drain_ms", self.drain_ms as f64, 200.0, 600_000.0),
            ("grace_s", self.grace_s, 0.5, 600.0),
            ("stall_ms", self.stall_ms as f64, 100.0, 600_000.0),
            ("retry_ratio", self.retry_ratio, 0.0, 10.0),
            ("retry_window_s", self.retry_window_s, 0.1, 600.0),
            ("retry_allowance", self.retry_allowance, 0.0, 1e9),
            ("group_ttl_least_ms", self.group_ttl_least_ms as f64, 10.0, 600_000.0),
            ("group_partitions", self.group_partitions as f64, 1.0, 65_536.0),
            ("descriptors", self.descriptors as f64, 64.0, 1e9),
            ("memory_mb", self.memory_mb, 32.0, 1e9),
            ("callers_memory_share", self.callers_memory_share, 0.05, 0.9),
            ("callers_reserved_share", self.callers_reserved_share, 0.0, 0.9),
            ("callers_small_kb", self.callers_small_kb as f64, 8.0, 1_024.0),
            ("callers_connections_share", self.callers_connections_share, 0.05, 0.7),
            ("socket_buffers_share", self.socket_buffers_share, 0.05, 0.5),
            ("waiting_limit", self.waiting_limit as f64, 0.0, 10_000.0),
            ("class_reserve_share", self.class_reserve_share, 0.0, 0.5),
        ];
        let not_allowed = |key, value: String, allowed: String| {
            Err(SettingsError::NotAllowed { path: path.to_owned(), key, value, allowed })
        };
        for (key, value, min, max) in ranges {
            if !(min..=max).contains(&value) {
                return not_allowed(key, value.to_string(), format!("{min} to {max}"));
            }
        }
        for (key, text) in [("instance", &self.instance), ("zone", &self.zone)] {
            if text.is_empty() {
                return not_allowed(key, "\"\"".to_owned(), "a name that is not empty".to_owned());
            }
        }
        let own = [self.callers, self.readiness, self.peers, self.metrics];
        let listeners: Vec<Address> = own.into_iter().chain(self.handoffs).collect();
        for (index, address) in listeners.iter().enumerate() {
            if address.port() != 0 && listeners.iter().skip(index + 1).any(|other| other == address) {
                return not_allowed(
                    "callers",
                    address.to_string(),
                    "a different address for each listener".to_owned(),
                );
            }
        }
        Ok(())
    }
}
