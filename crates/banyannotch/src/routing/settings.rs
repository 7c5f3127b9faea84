//! Settings of routing.

use serde::{Deserialize, Serialize};

use crate::ids::Zone;

/// Settings of routing.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RoutingSettings {
    /// Load balancing policy that chooses a replica.
    pub policy: BalanceName,
    /// Number of entries that share the endpoints; used for the initial and the minimum in-flight limit only.
    pub entries: u32,
    /// Round trip to an endpoint in another zone, assumed until steps to it have been measured.
    pub cross_zone_us: u64,
    /// Period after joining in which an endpoint gets less work.
    pub slow_start_ms: u64,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self { policy: BalanceName::ExpectedTime, entries: 6, cross_zone_us: 1_000, slow_start_ms: 5_000 }
    }
}

/// Name of a load balancing policy.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BalanceName {
    /// The replica with the best expected time among the one whose turn it is, a random one and a holder of
    /// the prompt's prefix.
    #[default]
    ExpectedTime,
    /// The replica with the lowest load in its last report.
    LeastReported,
    /// A random replica.
    Random,
    /// Each replica in turn.
    RoundRobin,
}

/// Zone and settings on which scores depend besides measurements.
#[derive(Clone, Debug)]
pub struct RoutingContext {
    /// Zone of this entry.
    pub zone: Zone,
    /// Settings of routing.
    pub settings: RoutingSettings,
}
