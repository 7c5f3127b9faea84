//! Finds the layers and services that a drain set leaves without an endpoint.

use std::fmt;

use banyannotch::configuration::{Document, Model, PresetName};
use banyannotch::ids::{InstanceId, ModelId, ServiceId};
use banyannotch::pipeline::LayerRange;
use banyannotch::placement::uncovered_layers;

use crate::client::{EndpointStatus, RoleStatus};

/// Health of an endpoint that counts towards coverage. A suspected endpoint may have failed, so it does not
/// count.
const LIVE_HEALTH: &str = "live";

/// Layers of a model, or a service, that a drain set leaves without an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Gap {
    /// Layers of a model that no chain of the remaining engines covers.
    Layers {
        /// Name of the model.
        model: ModelId,
        /// Layer ranges that are not covered.
        missing: Vec<LayerRange>,
    },
    /// A service that no remaining endpoint offers.
    Service(ServiceId),
}

impl fmt::Display for Gap {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Layers { model, missing } => {
                write!(formatter, "model {model} would have no engine for layers ")?;
                let ranges: Vec<String> = missing.iter().map(LayerRange::to_string).collect();
                formatter.write_str(&ranges.join(", "))
            }
            Self::Service(service) => write!(formatter, "service {service} would have no endpoint"),
        }
    }
}

/// Returns the gaps that the drain set of a preset causes. Gaps that exist without it, such as a new model
/// that no engine has loaded yet, are left out, because they are not a reason to refuse the preset.
pub fn find_gaps(document: &Document, preset: PresetName, endpoints: &[EndpointStatus]) -> Vec<Gap> {
    let drain = document.presets.get(preset).drain.as_slice();
    let models = document.models.iter().filter_map(|model| {
        let missing = uncovered_layers(&held_layers(model, endpoints, drain), model.layers);
        let before = uncovered_layers(&held_layers(model, endpoints, &[]), model.layers);
        (missing != before).then(|| Gap::Layers { model: model.name.clone(), missing })
    });
    let services = document.services.iter().filter_map(|service| {
        let offered = |drain: &[InstanceId]| {
            live_endpoints(endpoints, drain).any(
                |endpoint| matches!(&endpoint.role, RoleStatus::Service { service: name } if *name == service.name),
            )
        };
        (offered(&[]) && !offered(drain)).then(|| Gap::Service(service.name.clone()))
    });
    models.chain(services).collect()
}

fn held_layers(model: &Model, endpoints: &[EndpointStatus], drain: &[InstanceId]) -> Vec<LayerRange> {
    live_endpoints(endpoints, drain)
        .filter_map(|endpoint| match &endpoint.role {
            RoleStatus::Engine { model: name, version, layers }
                if *name == model.name && *version == model.version =>
            {
                Some(*layers)
            }
            _ => None,
        })
        .collect()
}

fn live_endpoints<'a>(
    endpoints: &'a [EndpointStatus],
    drain: &'a [InstanceId],
) -> impl Iterator<Item = &'a EndpointStatus> {
    endpoints.iter().filter(move |endpoint| {
        endpoint.health == LIVE_HEALTH && !drain.iter().any(|name| name.as_str() == endpoint.instance)
    })
}
