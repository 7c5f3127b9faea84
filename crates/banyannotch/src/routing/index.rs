//! Endpoints grouped by model version and layer range, or by service, so that a placement examines few of
//! them.

use crate::ids::{InstanceId, ModelId, ModelVersion, ServiceId};
use crate::membership::{Endpoint, Health, Role};
use crate::pipeline::LayerRange;
use crate::table::Table;

use super::meter::Meter;

/// Replicas of one layer range or service, as indices into the endpoint table in ascending order.
#[derive(Clone, Debug, Default)]
pub(super) struct Group {
    /// Number of the group among all groups, from 0.
    pub number: usize,
    /// Layers of an engine; none for a plain service.
    pub layers: Option<LayerRange>,
    /// Replicas that are live.
    pub live: Vec<usize>,
    /// Replicas that are suspected. They get work only if no live replica can take it.
    pub suspected: Vec<usize>,
    /// Mean number of steps of other entries at the live replicas.
    pub mean_other_steps: f64,
}

/// All groups. The index is rebuilt when the set, role or health of endpoints or the configuration changes,
/// not for each request.
#[derive(Debug, Default)]
pub(super) struct Index {
    models: Table<(ModelId, ModelVersion), Vec<Group>>,
    services: Table<ServiceId, Group>,
}

impl Index {
    /// Groups the endpoints that may get new work, which are those that are neither leaving nor drained.
    pub fn build(endpoints: &[Endpoint], drain: &[InstanceId]) -> Self {
        let mut index = Self::default();
        for (endpoint_index, endpoint) in endpoints.iter().enumerate() {
            if endpoint.health == Health::Leaving || drain.contains(&endpoint.id.instance) {
                continue;
            }
            if let Some(group) = index.group_of(&endpoint.role) {
                match endpoint.health {
                    Health::Live => group.live.push(endpoint_index),
                    Health::Suspected | Health::Leaving => group.suspected.push(endpoint_index),
                }
            }
        }
        for (number, group) in index.groups_mut().enumerate() {
            group.number = number;
        }
        index
    }

    /// Returns the groups of a model version, sorted by first layer.
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

    /// Computes the mean steps of other entries, which replace the figures of a replica's report as it ages.
    pub fn update_mean_other_steps(&mut self, meters: &[Meter]) {
        for group in self.groups_mut() {
            let other_steps =
                group.live.iter().filter_map(|member| meters.get(*member)).map(|meter| meter.other_steps);
            group.mean_other_steps = other_steps.sum::<f64>() / group.live.len().max(1) as f64;
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
        let group_index = match groups.binary_search_by_key(&layers, |group| group.layers) {
            Ok(group_index) => group_index,
            Err(group_index) => {
                groups.insert(group_index, Group { layers, ..Group::default() });
                group_index
            }
        };
        groups.get_mut(group_index)
    }
}

/// Replicas of a group from which one is chosen.
#[derive(Clone, Copy, Debug)]
pub struct Pool<'a> {
    /// Number of the group that the replicas belong to.
    pub group_number: usize,
    /// Indices of the replicas in the endpoint table, in ascending order.
    pub members: &'a [usize],
    /// Mean number of steps of other entries at the live replicas of the group.
    pub mean_other_steps: f64,
}
