//! Many idle engines in this process, each on its own port, so that an entry can be measured with more
//! endpoints than the machine can run as processes.

use banyannotch::backing::{Fencing, InstanceKind, InstanceState, ListedInstance};
use banyannotch::engine::EngineLoad;
use banyannotch::http::{Handler, Request, Response, ServerSettings, empty, json, serve};
use banyannotch::ids::{Incarnation, InstanceId, ModelVersion, Zone};
use banyannotch::pipeline::LayerRange;
use banyannotch_standins::harness::{LAYERS, MODEL};
use tokio::net::TcpListener;

use crate::{LoadError, Result};

/// An engine without work, which serves only load reports.
#[derive(Clone)]
struct IdleEngine {
    instance: InstanceId,
}

impl Handler for IdleEngine {
    async fn handle(&self, request: Request) -> Response {
        if request.path() != "/v1/load" {
            return empty(404);
        }
        let load = EngineLoad {
            instance: self.instance.clone(),
            incarnation: Incarnation(1),
            model: MODEL.into(),
            version: ModelVersion(1),
            layers: LayerRange::new(0, LAYERS),
            running: 0,
            queued: 0,
            batches: 0,
            step_us: 1_000,
            prefill_us_per_position: 10,
            cache_used: 0,
            cache_limit: 1_000_000,
            leaving: false,
            age_ms: 0,
        };
        json(200, &load)
    }
}

/// Starts engines on the current thread and returns their entries for the instance list.
///
/// # Errors
/// Returns [`LoadError`] when no port can be bound.
pub async fn start(count: usize) -> Result<Vec<ListedInstance>> {
    let mut listed = Vec::with_capacity(count);
    for number in 0..count {
        let instance = InstanceId::new(format!("engine-{number}"));
        let failed = |source| LoadError::Read { name: "a port on 127.0.0.1".into(), source };
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let engine = IdleEngine { instance: instance.clone() };
        actix_rt::spawn(serve(listener, ServerSettings::default(), engine));
        listed.push(ListedInstance {
            instance,
            incarnation: Incarnation(1),
            kind: InstanceKind::Engine,
            zone: Zone::new(format!("zone-{}", number % 3 + 1)),
            address,
            state: InstanceState::Live,
            fencing: Fencing::Checked,
        });
    }
    Ok(listed)
}
