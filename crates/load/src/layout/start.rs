//! Start of the processes of a layout.

use banyannotch_standins::harness::{Binaries, Deployment, EngineSpec};

use super::{Layout, Speed};
use crate::Result;

/// Name of the plain service in every layout.
const SERVICE: &str = "desk";

/// A running deployment and the layout that it was started from. `deployment.endpoints` holds the engines of
/// the layout first, in the order of the layout.
#[derive(Debug)]
pub struct Site {
    /// Processes of the deployment.
    pub deployment: Deployment,
    /// Layout of the deployment.
    pub layout: Layout,
}

/// Starts the processes of a layout, publishes the document, and waits until all entries list all endpoints.
///
/// # Errors
/// Returns [`crate::LoadError`] when a process does not start or is not ready in time.
pub async fn start(binaries: Binaries, layout: Layout, document: &str) -> Result<Site> {
    let mut deployment = Deployment::start(binaries, &[])?;
    for engine in &layout.engines {
        deployment.add_engine(&EngineSpec {
            instance: engine.instance.clone(),
            zone: engine.zone.clone(),
            layers: engine.layers,
            options: engine_options(engine.speed, layout.prefix_cache),
        })?;
    }
    for (instance, zone) in &layout.services {
        deployment.add_service(SERVICE, instance, zone)?;
    }
    for (instance, zone) in &layout.entries {
        deployment.add_entry(instance, zone, "")?;
    }
    deployment.make_ready_with(document).await?;
    Ok(Site { deployment, layout })
}

/// Returns the command-line options of an engine stand-in with the given speed and prefix cache.
pub fn engine_options(speed: Speed, prefix_cache: u64) -> Vec<String> {
    let options = [
        ("--step-us", speed.step_us),
        ("--item-us", speed.item_us),
        ("--prefill-us", speed.prefill_us),
        ("--batch-limit", speed.batch_limit),
        ("--prefix-cache", prefix_cache),
    ];
    options.into_iter().flat_map(|(name, value)| [name.to_owned(), value.to_string()]).collect()
}
