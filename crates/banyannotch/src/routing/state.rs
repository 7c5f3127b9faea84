//! The endpoints that routing chooses from, with the work that this entry has given them.

use std::sync::Arc;

use crate::ids::{EndpointId, RequestId};
use crate::membership::{Endpoint, Health};
use crate::pipeline::LayerRange;
use crate::request::Submission;
use crate::table::Table;

/// A request that routing has placed.
#[derive(Debug)]
pub(super) struct Placed {
    pub submission: Box<Submission>,
    pub endpoints: Vec<EndpointId>,
    pub layers: Vec<LayerRange>,
}

/// Endpoints and own work.
#[derive(Debug)]
pub(super) struct State {
    pub endpoints: Arc<[Endpoint]>,
    pub in_flight: Table<EndpointId, u32>,
    pub placed: Table<RequestId, Placed>,
}

impl Default for State {
    fn default() -> Self {
        Self { endpoints: Arc::new([]), in_flight: Table::default(), placed: Table::default() }
    }
}

impl State {
    /// Returns the endpoints that may get new work.
    pub fn usable(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.iter().filter(|endpoint| endpoint.health != Health::Leaving)
    }

    /// Returns how many requests of this entry an endpoint has.
    pub fn in_flight(&self, endpoint: &EndpointId) -> u32 {
        self.in_flight.get(endpoint).copied().unwrap_or(0)
    }

    /// Counts a request at an endpoint.
    pub fn add(&mut self, endpoint: &EndpointId) {
        *self.in_flight.entry(endpoint.clone()) += 1;
    }

    /// Takes a request off an endpoint.
    pub fn subtract(&mut self, endpoint: &EndpointId) {
        if let Some(count) = self.in_flight.get_mut(endpoint) {
            *count = count.saturating_sub(1);
        }
    }
}
