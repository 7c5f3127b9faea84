//! Endpoints grouped by what they can do, so that a placement looks at few of them.

use crate::ids::{InstanceId, ModelId, ModelVersion, ServiceId};
use crate::membership::{Endpoint, Health, Role};
use crate::pipeline::LayerRange;
use crate::table::Table;

use super::meter::Meter;

/// Replicas that can do the same work, as indices into the endpoint table in ascending order.
#[derive(Clone, Debug, Default)]
pub(super) struct Group {
    /// Number of the group among all groups.
    pub number: usize,
    /// Layers of an engine; none for a plain service.
    pub layers: Option<LayerRange>,
    /// Replicas that get work.
    pub live: Vec<usize>,
    /// Replicas that get work only when no other one can take it.
    pub suspected: Vec<usize>,
    /// Mean load by other entries.
    pub mean_others: f64,
}

/// All groups. It is built when endpoints come, go or change, not for each request.
#[derive(Debug, Default)]
pub(super) struct Index {
    models: Table<(ModelId, ModelVersion), Vec<Group>>,
    services: Table<ServiceId, Group>,
}

impl Index {
    /// Groups the endpoints that may get new work: neither leaving nor drained.
    pub fn build(endpoints: &[Endpoint], drain: &[InstanceId]) -> Self {
        let mut index = Self::default();
        for (place, endpoint) in endpoints.iter().enumerate() {
            if endpoint.health == Health::Leaving || drain.contains(&endpoint.id.instance) {
                continue;
            }
            if let Some(group) = index.group_of(&endpoint.role) {
                match endpoint.health {
                    Health::Live => group.live.push(place),
                    Health::Suspected | Health::Leaving => group.suspected.push(place),
                }
            }
        }
        for (number, group) in index.groups_mut().enumerate() {
            group.number = number;
        }
        index
    }

    /// Returns the groups of a model version, by first layer.
    pub fn model(&self, model: &ModelId, version: ModelVersion) -> &[Group] {
        self.models.get(&(model.clone(), version)).map_or(&[], Vec::as_slice)
    }

    /// Returns the group of a model version with the given layers.
    pub fn range(&self, model: &ModelId, version: ModelVersion, layers: LayerRange) -> Option<&Group> {
        self.model(model, version).iter().find(|group| group.layers == Some(layers))
    }

    /// Returns the group of a plain service.
    pub fn service(&self, service: &ServiceId) -> Option<&Group> {
        self.services.get(service)
    }

    /// Returns the group of an endpoint's role.
    pub fn role(&self, role: &Role) -> Option<&Group> {
        match role {
            Role::Engine { model, version, layers } => self.range(model, *version, *layers),
            Role::Service { service } => self.service(service),
        }
    }

    /// Computes the means that stand in for old reports.
    pub fn refresh(&mut self, meters: &[Meter]) {
        for group in self.groups_mut() {
            let loads = group.live.iter().filter_map(|place| meters.get(*place)).map(|meter| meter.others);
            group.mean_others = loads.sum::<f64>() / group.live.len().max(1) as f64;
        }
    }

    fn groups_mut(&mut self) -> impl Iterator<Item = &mut Group> {
        let engines = self.models.iter_mut().flat_map(|(_, groups)| groups.iter_mut());
        engines.chain(self.services.iter_mut().map(|(_, group)| group))
    }

    fn group_of(&mut self, role: &Role) -> Option<&mut Group> {
        let (groups, layers) = match role {
            Role::Service { service } => return Some(self.services.entry(service.clone())),
            Role::Engine { layers, .. } if layers.is_empty() => return None,
            Role::Engine { model, version, layers } => {
                (self.models.entry((model.clone(), *version)), Some(*layers))
            }
        };
        let place = match groups.binary_search_by_key(&layers, |group| group.layers) {
            Ok(place) => place,
            Err(place) => {
                groups.insert(place, Group { layers, ..Group::default() });
                place
            }
        };
        groups.get_mut(place)
    }
}

/// Replicas among which one placement chooses.
#[derive(Clone, Copy, Debug)]
pub struct Pool<'a> {
    /// Number of the group that the replicas belong to.
    pub number: usize,
    /// Indices of the replicas, ascending.
    pub members: &'a [usize],
    /// Mean load by other entries.
    pub mean_others: f64,
}
