//! Settings of routing.

use serde::Deserialize;

use crate::ids::Zone;

/// Settings of routing.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RoutingSettings {
    /// How a replica is chosen.
    pub policy: BalanceName,
    /// Number of entries that share the endpoints; used for the first in-flight limit only.
    pub entries: u32,
    /// Round trip to another zone, assumed until steps have been measured.
    pub cross_zone_us: u64,
    /// How long an endpoint counts as a newcomer and gets less work.
    pub slow_start_ms: u64,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self { policy: BalanceName::ExpectedTime, entries: 6, cross_zone_us: 1_000, slow_start_ms: 5_000 }
    }
}

/// Name of a replica choice.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum BalanceName {
    /// The better of two random replicas by expected time.
    #[default]
    ExpectedTime,
    /// The replica with the least load in its last report.
    LeastReported,
    /// Any replica.
    Random,
    /// Each replica in turn.
    RoundRobin,
}

/// What the scores depend on besides measurements.
#[derive(Clone, Debug)]
pub struct Surroundings {
    /// Zone of this entry.
    pub zone: Zone,
    /// Settings of routing.
    pub settings: RoutingSettings,
}
