//! The endpoints that routing chooses from, with the work that this entry has given them.

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

/// Endpoints that a request failed on and that it avoids.
const FAILED_LIMIT: usize = 8;

/// How long the failure of an endpoint counts against its zone.
const ZONE_FAILURE_US: u64 = 2_000_000;

/// Endpoints of one zone that fail within [`ZONE_FAILURE_US`] before substitutes come from another zone.
const ZONE_FAILURES: usize = 2;

/// What a placed request needs from its endpoints.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Task {
    /// Stages of a model version.
    Generate {
        /// The model.
        model: ModelId,
        /// Version that the request was admitted under.
        version: ModelVersion,
        /// Layers of the model.
        layers: u16,
        /// Estimated positions of the prompt.
        positions: u32,
        /// Most tokens of the answer.
        tokens: u32,
        /// Digest of the prompt's prefix.
        prefix: Fingerprint,
    },
    /// A plain service.
    Call {
        /// The service.
        service: ServiceId,
    },
}

/// One endpoint of a placed request.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Part {
    pub endpoint: EndpointId,
    pub layers: Option<LayerRange>,
    /// Share of the request's time that it spends here.
    pub share: f64,
}

/// A request that routing has placed.
#[derive(Debug)]
pub(super) struct Placed {
    pub task: Task,
    pub parts: Vec<Part>,
    /// Endpoints that the request failed on, the newest last.
    pub failed: VecDeque<EndpointId>,
}

impl Placed {
    /// Remembers that the request failed on an endpoint.
    pub fn note_failed(&mut self, endpoint: &EndpointId) {
        self.failed.retain(|known| known != endpoint);
        if self.failed.len() >= FAILED_LIMIT {
            self.failed.pop_front();
        }
        self.failed.push_back(endpoint.clone());
    }
}

/// Endpoints and own work.
#[derive(Debug)]
pub(super) struct State {
    pub endpoints: Arc<[Endpoint]>,
    /// One for each endpoint, in the same order.
    pub meters: Vec<Meter>,
    /// Endpoints that left the table while they had own work.
    pub gone: Table<EndpointId, Meter>,
    pub index: Index,
    pub configuration: Option<Arc<Configuration>>,
    pub placed: Table<RequestId, Placed>,
    zone_failures: VecDeque<(u64, EndpointId, Zone)>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            endpoints: Arc::new([]),
            meters: Vec::new(),
            gone: Table::default(),
            index: Index::default(),
            configuration: None,
            placed: Table::default(),
            zone_failures: VecDeque::new(),
        }
    }
}

impl State {
    /// Returns the place of an endpoint in the table.
    pub fn place(&self, id: &EndpointId) -> Option<usize> {
        self.endpoints.binary_search_by(|endpoint| endpoint.id.cmp(id)).ok()
    }

    /// Takes a new table. Counts of own work stay with their endpoints.
    pub fn set_endpoints(&mut self, endpoints: Arc<[Endpoint]>) {
        let endpoints = sorted(endpoints);
        let same = endpoints.len() == self.endpoints.len()
            && endpoints
                .iter()
                .zip(self.endpoints.iter())
                .all(|(new, old)| new.id == old.id && new.role == old.role && new.health == old.health);
        if !same {
            self.move_meters(&endpoints);
        }
        self.endpoints = endpoints;
        for (meter, endpoint) in self.meters.iter_mut().zip(self.endpoints.iter()) {
            meter.on_report(endpoint.load);
        }
        if !same {
            self.rebuild();
        }
        self.index.refresh(&self.meters);
    }

    /// Takes a configuration if it is newer than the known one.
    pub fn set_configuration(&mut self, configuration: &Arc<Configuration>) {
        let newer = self.configuration.as_ref().is_none_or(|known| known.version < configuration.version);
        if newer {
            self.configuration = Some(Arc::clone(configuration));
            self.rebuild();
            self.index.refresh(&self.meters);
        }
    }

    /// Takes measurements. Endpoints that are gone are of no interest.
    pub fn observe(&mut self, now_us: u64, observations: &[Observation]) {
        for observation in observations {
            let Some(place) = self.place(&observation.endpoint) else { continue };
            let group = self.endpoints.get(place).and_then(|endpoint| self.index.role(&endpoint.role));
            let mean_others = group.map_or(0.0, |group| group.mean_others);
            if let Some(meter) = self.meters.get_mut(place) {
                meter.on_observation(now_us, observation, mean_others);
            }
        }
    }

    /// Counts the parts of a request.
    pub fn add(&mut self, now_us: u64, parts: &[Part]) {
        for part in parts {
            if let Some(meter) = self.meter_mut(&part.endpoint) {
                meter.add(now_us, part.share);
            }
        }
    }

    /// Takes the parts of a request off their endpoints. Returns how many had not been counted.
    pub fn subtract(&mut self, now_us: u64, parts: &[Part]) -> u64 {
        let mut missing = 0;
        for part in parts {
            let counted =
                self.meter_mut(&part.endpoint).is_some_and(|meter| meter.subtract(now_us, part.share));
            missing += u64::from(!counted);
            if self.gone.get(&part.endpoint).is_some_and(|meter| meter.own == 0) {
                self.gone.remove(&part.endpoint);
            }
        }
        missing
    }

    /// Returns the own work counted at the endpoints and the own work of the placed requests; they have to be equal.
    pub fn totals(&self) -> (u64, u64) {
        let meters = self.meters.iter().chain(self.gone.iter().map(|(_, meter)| meter));
        let counted = meters.map(|meter| u64::from(meter.own)).sum();
        let placed = self.placed.iter().map(|(_, placed)| placed.parts.len() as u64).sum();
        (counted, placed)
    }

    /// Remembers a failure, for the choice of a zone.
    pub fn note_failure(&mut self, now_us: u64, endpoint: &EndpointId) {
        self.forget_failures(now_us);
        let Some(zone) = self.place(endpoint).and_then(|place| self.endpoints.get(place)) else { return };
        if !self.zone_failures.iter().any(|(_, known, _)| known == endpoint) {
            self.zone_failures.push_back((now_us, endpoint.clone(), zone.zone.clone()));
        }
    }

    /// Returns the replicas of a group that a rerouted request may use, in the order of preference: live ones that it
    /// has not failed on, outside a failing zone if possible; suspected ones; live ones that it failed on.
    pub fn substitutes(&self, group: &Group, failed: &VecDeque<EndpointId>) -> Vec<usize> {
        let has_failed =
            |place: &usize| self.endpoints.get(*place).is_some_and(|endpoint| failed.contains(&endpoint.id));
        let in_failing_zone = |place: &usize| {
            self.endpoints.get(*place).is_some_and(|endpoint| self.is_failing(&endpoint.zone))
        };
        let fresh = |members: &[usize]| -> Vec<usize> {
            members.iter().copied().filter(|place| !has_failed(place)).collect()
        };
        let live = fresh(&group.live);
        let elsewhere: Vec<usize> = live.iter().copied().filter(|place| !in_failing_zone(place)).collect();
        let suspected = fresh(&group.suspected);
        let tiers = [elsewhere, live, suspected];
        let first = tiers.into_iter().find(|tier| !tier.is_empty());
        first.unwrap_or_else(|| group.live.clone())
    }

    fn is_failing(&self, zone: &Zone) -> bool {
        self.zone_failures.iter().filter(|(_, _, failed)| failed == zone).count() >= ZONE_FAILURES
    }

    /// Forgets failures that no longer count against their zone.
    pub fn forget_failures(&mut self, now_us: u64) {
        while self
            .zone_failures
            .front()
            .is_some_and(|(at_us, _, _)| now_us.saturating_sub(*at_us) > ZONE_FAILURE_US)
        {
            self.zone_failures.pop_front();
        }
    }

    fn meter_mut(&mut self, id: &EndpointId) -> Option<&mut Meter> {
        match self.place(id) {
            Some(place) => self.meters.get_mut(place),
            None => self.gone.get_mut(id),
        }
    }

    fn move_meters(&mut self, endpoints: &[Endpoint]) {
        let old = std::mem::take(&mut self.meters);
        for (endpoint, meter) in self.endpoints.iter().zip(old) {
            self.gone.insert(endpoint.id.clone(), meter);
        }
        // Taken, not removed: a removal from the front of a sorted vector moves all other rows.
        let mut known = |endpoint: &Endpoint| self.gone.get_mut(&endpoint.id).map(std::mem::take);
        self.meters = endpoints.iter().map(|endpoint| known(endpoint).unwrap_or_default()).collect();
        self.gone.retain(|_, meter| meter.own > 0);
    }

    fn rebuild(&mut self) {
        let drain = self.configuration.as_ref().map_or(&[][..], |known| known.active().drain.as_slice());
        self.index = Index::build(&self.endpoints, drain);
    }
}

impl Group {
    /// Returns the replicas for a new request: suspected ones only when there is no other one.
    pub fn pool(&self) -> Pool<'_> {
        let members = if self.live.is_empty() { &self.suspected } else { &self.live };
        self.pool_of(members)
    }

    /// Returns the given replicas of the group as a pool.
    pub fn pool_of<'a>(&self, members: &'a [usize]) -> Pool<'a> {
        Pool { number: self.number, members, mean_others: self.mean_others }
    }
}

impl Need {
    /// Returns the stage that is needed, if it is only one.
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
