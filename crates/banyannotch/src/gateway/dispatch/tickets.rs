//! Requests in flight.

use std::sync::Arc;

use super::health::Load;
use crate::gateway::{RequestInfo, RetryMode, Route};
use crate::ids::{ServiceId, TeamId};
use crate::pipeline::Address;

/// What an endpoint does for a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Reserved {
    /// Endpoints and the load that the request puts on each.
    pub loads: Vec<(Address, Load)>,
    /// Name of the endpoint that the request was sent to.
    pub endpoint: Arc<str>,
}

/// One request in flight.
#[derive(Clone, Debug)]
pub(super) struct Ticket {
    pub ask: RequestInfo,
    pub route: Arc<str>,
    pub repeat: RetryMode,
    pub service: ServiceId,
    pub team: Option<TeamId>,
    pub endpoint_limit: u32,
    pub objective_ms: u64,
    pub arrived_us: u64,
    pub until_us: u64,
    /// Sends so far.
    pub sends: u32,
    /// Sends after which the request may have run.
    pub runs: u32,
    pub reserved: Reserved,
    /// Endpoints of earlier sends.
    pub tried: Vec<Address>,
}

impl Ticket {
    /// Creates the record of a request that was just read.
    pub fn new(
        ask: RequestInfo,
        route: &Route,
        service: ServiceId,
        team: Option<TeamId>,
        now_us: u64,
    ) -> Self {
        let limit_ms = ask.deadline_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
        Self {
            ask,
            route: Arc::clone(&route.name),
            repeat: route.retry_mode,
            service,
            team,
            endpoint_limit: route.endpoint_limit,
            objective_ms: route.objective_ms,
            arrived_us: now_us,
            until_us: now_us + limit_ms * crate::clock::US_PER_MS,
            sends: 0,
            runs: 0,
            reserved: Reserved::default(),
            tried: Vec::new(),
        }
    }

    /// Returns whether the request may be sent again after what has happened.
    pub fn may_send_again(&self, send_limit: u32) -> bool {
        let runs_allow = self.runs == 0 || (self.repeat.is_repeatable() && self.runs < self.endpoint_limit);
        self.sends < send_limit && runs_allow
    }
}
