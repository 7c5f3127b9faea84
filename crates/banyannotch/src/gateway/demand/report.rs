//! The report that a gateway sends to the others.

use serde::{Deserialize, Serialize};

use crate::ids::ServiceId;
use crate::random::mix;

/// Maximum number of services in a report. A service takes at most 40 bytes of a datagram.
pub const SERVICE_LIMIT: usize = 16;

/// Demand of one gateway for one service within the last window of the retry budget.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceDemand {
    /// Digest of the name of the service; see [`service_digest`].
    pub service: u64,
    /// Requests of callers.
    pub requests: u32,
    /// Retries that were sent.
    pub retries: u32,
    /// Retries that were not sent because the budget was used up.
    pub denied_retries: u32,
    /// Requests that wait for room.
    pub waiting: u32,
    /// Requests that were refused for lack of room.
    pub refused: u32,
}

/// Demand of one gateway for all services, sorted by the digest of the service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct DemandReport(Vec<ServiceDemand>);

impl DemandReport {
    /// Creates a report. Services beyond [`SERVICE_LIMIT`] are left out, those with the fewest requests first.
    pub fn new(mut services: Vec<ServiceDemand>) -> Self {
        services.sort_by_key(|demand| std::cmp::Reverse(demand.requests));
        services.truncate(SERVICE_LIMIT);
        services.sort_by_key(|demand| demand.service);
        services.dedup_by_key(|demand| demand.service);
        Self(services)
    }

    /// Returns the demand for a service.
    pub fn get(&self, service: u64) -> Option<&ServiceDemand> {
        let index = self.0.binary_search_by_key(&service, |demand| demand.service).ok()?;
        self.0.get(index)
    }

    /// Returns the demand for all services.
    pub fn services(&self) -> &[ServiceDemand] {
        &self.0
    }
}

/// Returns a digest of the name of a service that is the same on all gateways.
pub fn service_digest(service: &ServiceId) -> u64 {
    service.as_str().bytes().fold(0, |hash, byte| mix(hash ^ u64::from(byte)))
}
