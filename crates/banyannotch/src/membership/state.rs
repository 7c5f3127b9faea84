//! Settings of membership and what it knows of each endpoint.

use serde::Deserialize;

use super::{EndpointKind, Health, Load, Role};
use crate::ids::Zone;
use crate::pipeline::Address;
use crate::platform::Fencing;

/// Intervals of membership.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct MembershipSettings {
    /// How often the instance list is fetched.
    pub list_interval_ms: u64,
    /// How often each endpoint's load report is fetched.
    pub report_interval_ms: u64,
    /// How long a fetch may take.
    pub fetch_limit_ms: u64,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self { list_interval_ms: 500, report_interval_ms: 250, fetch_limit_ms: 500 }
    }
}

/// What is known of an endpoint.
#[derive(Clone, Debug)]
pub(super) struct Known {
    pub zone: Zone,
    pub address: Address,
    pub kind: EndpointKind,
    pub fencing: Fencing,
    pub role: Option<Role>,
    pub health: Health,
    pub load: Load,
    pub joined_us: u64,
    /// Reports in a row that stayed away.
    pub silences: u32,
    pub asked: bool,
}
