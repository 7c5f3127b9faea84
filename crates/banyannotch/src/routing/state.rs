//! Endpoints that routing chooses from, and this entry's placed requests.

use std::collections::VecDeque;
use std::sync::Arc;

use super::index::{Group, Index, Pool};
use super::meter::Meter;
use super::{Need, Observation};
use crate::configuration::Configuration;
use crate::ids::{EndpointId, Fingerprint, ModelId, ModelVersion, RequestId, ServiceId, Zone};
use crate::membership::Endpoint;
use crate::pipeline::LayerRange;
use crate::table::Table;

/// Maximum number of failed endpoints that are kept for a request.
const FAILED_ENDPOINT_LIMIT: usize = 8;

/// Period in which the failure of an endpoint counts against its zone.
const ZONE_FAILURE_WINDOW_US: u64 = 2_000_000;

/// Number of endpoints of one zone that have to fail within [`ZONE_FAILURE_WINDOW_US`] before substitutes are
/// taken from other zones.
const ZONE_FAILURE_THRESHOLD: usize = 2;

/// What a placed request needs from its endpoints.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Task {
    /// Stages that cover all layers of a model version.
    Generate {
        /// The model.
        model: ModelId,
        /// Version that the request was admitted under.
        version: ModelVersion,
        /// Number of layers of the model.
        layers: u16,
        /// Estimated number of token positions of the prompt.
        prompt_positions: u32,
        /// Maximum number of tokens of the answer.
        max_tokens: u32,
        /// Digest of the prompt's prefix.
        prefix: Fingerprint,
    },
    /// One endpoint of a plain service.
    Call {
        /// The service.
        service: ServiceId,
    },
}

/// Work of one request at one endpoint: a stage of a generation, or a call.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Allocation {
    pub endpoint: EndpointId,
    /// Layers of the stage; none for a call.
    pub layers: Option<LayerRange>,
    /// Share of the request's time that it spends at the endpoint, from 0 to 1.
    pub share: f64,
}

/// A request that routing has placed.
#[derive(Debug)]
pub(super) struct Placed {
    pub task: Task,
    pub allocations: Vec<Allocation>,
    /// Endpoints that the request failed on, the most recent last.
    pub failed: VecDeque<EndpointId>,
}

impl Placed {
    /// Records that the request failed on an endpoint, and drops the oldest record at the limit.
    pub fn record_failed_endpoint(&mut self, endpoint: &EndpointId) {
        self.failed.retain(|known| known != endpoint);
        if self.failed.len() >= FAILED_ENDPOINT_LIMIT {
            self.failed.pop_front();
        }
        self.failed.push_back(endpoint.clone());
    }
}

/// Endpoints, their meters, and the requests that this entry has placed.
#[derive(Debug)]
pub(super) struct State {
    /// Sorted by identifier.
    pub endpoints: Arc<[Endpoint]>,
    /// One meter for each endpoint, in the same order.
    pub meters: Vec<Meter>,
    /// Meters of endpoints that left the endpoint table while requests of this entry were placed on them.
    pub departed: Table<EndpointId, Meter>,
    pub index: Index,
    pub configuration: Option<Arc<Configuration>>,
    pub placed: Table<RequestId, Placed>,
    /// Time of failure in microseconds, endpoint and its zone, oldest first.
    zone_failures: VecDeque<(u64, EndpointId, Zone)>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            endpoints: Arc::new([]),
            meters: Vec::new(),
            departed: Table::default(),
            index: Index::default(),
            configuration: None,
            placed: Table::default(),
            zone_failures: VecDeque::new(),
        }
    }
}

impl State {
    /// Returns the index of an endpoint in the endpoint table.
    pub fn endpoint_index(&self, id: &EndpointId) -> Option<usize> {
        self.endpoints.binary_search_by(|endpoint| endpoint.id.cmp(id)).ok()
    }

    /// Replaces the endpoint table. Meters, with their counts of own work, stay with their endpoints.
    pub fn set_endpoints(&mut self, endpoints: Arc<[Endpoint]>) {
        let endpoints = sorted(endpoints);
        let unchanged = endpoints.len() == self.endpoints.len()
            && endpoints
                .iter()
                .zip(self.endpoints.iter())
                .all(|(new, old)| new.id == old.id && new.role == old.role && new.health == old.health);
        if !unchanged {
            self.reassign_meters(&endpoints);
        }
        self.endpoints = endpoints;
        for (meter, endpoint) in self.meters.iter_mut().zip(self.endpoints.iter()) {
            meter.on_report(endpoint.load);
        }
        if !unchanged {
            self.rebuild_index();
        }
        self.index.update_mean_other_steps(&self.meters);
    }

    /// Sets the configuration if it is newer than the current one.
    pub fn set_configuration(&mut self, configuration: &Arc<Configuration>) {
        let is_newer =
            self.configuration.as_ref().is_none_or(|current| current.version < configuration.version);
        if is_newer {
            self.configuration = Some(Arc::clone(configuration));
            self.rebuild_index();
            self.index.update_mean_other_steps(&self.meters);
        }
    }

    /// Adds measurements to the meters. Measurements of endpoints that left the table are ignored.
    pub fn observe(&mut self, now_us: u64, observations: &[Observation]) {
        for observation in observations {
            let Some(endpoint_index) = self.endpoint_index(&observation.endpoint) else { continue };
            let group =
                self.endpoints.get(endpoint_index).and_then(|endpoint| self.index.role(&endpoint.role));
            let mean_other_steps = group.map_or(0.0, |group| group.mean_other_steps);
            if let Some(meter) = self.meters.get_mut(endpoint_index) {
                meter.on_observation(now_us, observation, mean_other_steps);
            }
        }
    }

    /// Counts the allocations of a request at their endpoints.
    pub fn add(&mut self, now_us: u64, allocations: &[Allocation]) {
        for allocation in allocations {
            if let Some(meter) = self.meter_mut(&allocation.endpoint) {
                meter.add(now_us, allocation.share);
            }
        }
    }

    /// Removes the allocations of a request from the counts of their endpoints. Returns how many had not been
    /// counted.
    pub fn subtract(&mut self, now_us: u64, allocations: &[Allocation]) -> u64 {
        let mut uncounted = 0;
        for allocation in allocations {
            let counted = self
                .meter_mut(&allocation.endpoint)
                .is_some_and(|meter| meter.subtract(now_us, allocation.share));
            uncounted += u64::from(!counted);
            if self.departed.get(&allocation.endpoint).is_some_and(|meter| meter.own_requests == 0) {
                self.departed.remove(&allocation.endpoint);
            }
        }
        uncounted
    }

    /// Returns the number of allocations that are counted at the endpoints, and the number of allocations of
    /// the placed requests. The two have to be equal.
    pub fn totals(&self) -> (u64, u64) {
        let meters = self.meters.iter().chain(self.departed.iter().map(|(_, meter)| meter));
        let counted = meters.map(|meter| u64::from(meter.own_requests)).sum();
        let placed = self.placed.iter().map(|(_, placed)| placed.allocations.len() as u64).sum();
        (counted, placed)
    }

    /// Records the failure of an endpoint against its zone. An endpoint counts once within the window.
    pub fn record_zone_failure(&mut self, now_us: u64, endpoint: &EndpointId) {
        self.expire_zone_failures(now_us);
        let Some(failed) =
            self.endpoint_index(endpoint).and_then(|endpoint_index| self.endpoints.get(endpoint_index))
        else {
            return;
        };
        if !self.zone_failures.iter().any(|(_, known, _)| known == endpoint) {
            self.zone_failures.push_back((now_us, endpoint.clone(), failed.zone.clone()));
        }
    }

    /// Returns the replicas of a group among which a substitute is chosen. It is the first of these sets that
    /// is not empty: live replicas that the request has not failed on, outside failing zones; the same in any
    /// zone; suspected replicas that it has not failed on; all live replicas.
    pub fn substitutes(&self, group: &Group, failed: &VecDeque<EndpointId>) -> Vec<usize> {
        let has_failed = |member: &usize| {
            self.endpoints.get(*member).is_some_and(|endpoint| failed.contains(&endpoint.id))
        };
        let in_failing_zone = |member: &usize| {
            self.endpoints.get(*member).is_some_and(|endpoint| self.is_zone_failing(&endpoint.zone))
        };
        let not_failed = |members: &[usize]| -> Vec<usize> {
            members.iter().copied().filter(|member| !has_failed(member)).collect()
        };
        let live = not_failed(&group.live);
        let outside_failing_zones: Vec<usize> =
            live.iter().copied().filter(|member| !in_failing_zone(member)).collect();
        let suspected = not_failed(&group.suspected);
        let tiers = [outside_failing_zones, live, suspected];
        let first = tiers.into_iter().find(|tier| !tier.is_empty());
        first.unwrap_or_else(|| group.live.clone())
    }

    fn is_zone_failing(&self, zone: &Zone) -> bool {
        self.zone_failures.iter().filter(|(_, _, failed)| failed == zone).count() >= ZONE_FAILURE_THRESHOLD
    }

    /// Removes the failures that are older than [`ZONE_FAILURE_WINDOW_US`].
    pub fn expire_zone_failures(&mut self, now_us: u64) {
        while self
            .zone_failures
            .front()
            .is_some_and(|(at_us, _, _)| now_us.saturating_sub(*at_us) > ZONE_FAILURE_WINDOW_US)
        {
            self.zone_failures.pop_front();
        }
    }

    fn meter_mut(&mut self, id: &EndpointId) -> Option<&mut Meter> {
        match self.endpoint_index(id) {
            Some(endpoint_index) => self.meters.get_mut(endpoint_index),
            None => self.departed.get_mut(id),
        }
    }

    fn reassign_meters(&mut self, endpoints: &[Endpoint]) {
        let old = std::mem::take(&mut self.meters);
        for (endpoint, meter) in self.endpoints.iter().zip(old) {
            self.departed.insert(endpoint.id.clone(), meter);
        }
        // Meters are taken out without removing their rows: a removal near the front of a sorted vector moves
        // all later rows.
        let mut take_meter = |endpoint: &Endpoint| self.departed.get_mut(&endpoint.id).map(std::mem::take);
        self.meters = endpoints.iter().map(|endpoint| take_meter(endpoint).unwrap_or_default()).collect();
        self.departed.retain(|_, meter| meter.own_requests > 0);
    }

    fn rebuild_index(&mut self) {
        let drain = self
            .configuration
            .as_ref()
            .map_or(&[][..], |configuration| configuration.active().drain.as_slice());
        self.index = Index::build(&self.endpoints, drain);
    }
}

impl Group {
    /// Returns the replicas for a new request: the live ones, or the suspected ones if none is live.
    pub fn pool(&self) -> Pool<'_> {
        let members = if self.live.is_empty() { &self.suspected } else { &self.live };
        self.pool_of(members)
    }

    /// Returns the given replicas of the group as a pool.
    pub fn pool_of<'a>(&self, members: &'a [usize]) -> Pool<'a> {
        Pool { group_number: self.number, members, mean_other_steps: self.mean_other_steps }
    }
}

impl Need {
    /// Returns the index of the stage if only one stage has to be replaced.
    pub(super) fn stage(self) -> Option<usize> {
        match self {
            Self::Stage { stage } => Some(stage),
            Self::Route | Self::Service => None,
        }
    }
}

fn sorted(endpoints: Arc<[Endpoint]>) -> Arc<[Endpoint]> {
    if endpoints.is_sorted_by(|a, b| a.id < b.id) {
        return endpoints;
    }
    let mut endpoints = endpoints.to_vec();
    endpoints.sort_by(|a, b| a.id.cmp(&b.id));
    endpoints.dedup_by(|a, b| a.id == b.id);
    endpoints.into()
}
