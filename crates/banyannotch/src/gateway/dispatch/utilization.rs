//! Utilization of endpoints as this gateway sees it.

use super::policy::Dispatch;
use crate::gateway::spread;
use crate::gateway::{Endpoint, Pipeline};

impl Dispatch {
    /// Returns the utilization of the busiest endpoint as a multiple of the mean, for the service with the most uneven load.
    pub(super) fn load_skew(&self) -> f64 {
        let Some(configuration) = self.configuration.as_deref() else { return 1.0 };
        let skew_of = |service: &crate::gateway::Service| {
            let endpoints = self.endpoints.iter().filter(|endpoint| endpoint.service == service.id);
            spread::skew(
                endpoints.filter_map(|endpoint| self.utilization(service.pipeline.as_deref(), endpoint)),
            )
        };
        configuration.services.iter().map(skew_of).fold(1.0, f64::max)
    }

    /// Returns the used share of an endpoint's slots or KV cache, whichever is higher; none for one that takes no requests.
    fn utilization(&self, pipeline: Option<&Pipeline>, endpoint: &Endpoint) -> Option<f64> {
        if endpoint.leaving {
            return None;
        }
        let load = self.health.get(&endpoint.address).map(|health| health.load()).unwrap_or_default();
        let slots_share = f64::from(load.requests) / f64::from(endpoint.slots.max(1));
        let Some(pipeline) = pipeline else { return Some(slots_share) };
        let kind = pipeline.accelerator(endpoint.accelerator.as_deref()?)?;
        let cache_size = pipeline.cache_size(kind.memory_mb, endpoint.layers?.len());
        Some(slots_share.max(load.cache / cache_size.max(1.0)))
    }
}
