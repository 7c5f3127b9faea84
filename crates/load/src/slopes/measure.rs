//! Measures one entry at each size and fits a line through the measurements.

use std::time::{Duration, Instant};

use banyannotch::backing::{InstanceKind, ListedInstance};
use banyannotch::http::{Client, ClientSettings};
use banyannotch::pipeline::LayerRange;
use banyannotch_standins::harness::{Deployment, EngineSpec, LAYERS, status, wait_until};
use serde::Serialize;
use serde_json::{Value, json};

use super::dimension::{aliased_entries, document};
use super::fleet;
use super::{Dimension, SlopesOptions};
use crate::machine::{ProcessSample, build_profile};
use crate::report::{print, write_json};
use crate::{Result, Verdict};

/// Time from readiness to the measurement, in which the entry processes the change of size.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Timeout for the entry to list all expected endpoints.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout of a request to a stand-in.
const REQUEST_TIMEOUT_MS: u64 = 10_000;

/// Measurement at one size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
struct Point {
    size: usize,
    core_share: f64,
    resident_kib: f64,
}

/// Measurements of one dimension, with the slopes of the lines fitted through them.
#[derive(Clone, Debug, PartialEq, Serialize)]
struct Slope {
    dimension: Dimension,
    points: Vec<Point>,
    core_share_per_unit: f64,
    resident_kib_per_unit: f64,
}

/// Measures the chosen dimensions and prints their slopes.
///
/// # Errors
/// Returns [`crate::LoadError`] when the deployment does not start.
pub async fn slopes(options: &SlopesOptions) -> Result<Verdict> {
    let chosen = if options.dimension.is_empty() { &Dimension::ALL[..] } else { &options.dimension };
    let mut slopes = Vec::new();
    for dimension in chosen {
        let mut points = Vec::new();
        for size in dimension.sizes() {
            let point = measure(options, *dimension, size).await?;
            print(&format!(
                "slopes {dimension}={size} profile={} seconds={} core_share={:.5} resident_kib={:.0}",
                build_profile(),
                options.seconds,
                point.core_share,
                point.resident_kib
            ))?;
            points.push(point);
        }
        let slope = Slope {
            dimension: *dimension,
            core_share_per_unit: fitted_slope(&points, |point| point.core_share),
            resident_kib_per_unit: fitted_slope(&points, |point| point.resident_kib),
            points,
        };
        print(&format!(
            "slopes {dimension}: {:.3} us of processor time per second and {:.2} KiB of resident memory \
             per unit",
            slope.core_share_per_unit * 1e6,
            slope.resident_kib_per_unit
        ))?;
        slopes.push(slope);
    }
    write_json(options.site_options.json.as_deref(), &slopes)?;
    Ok(Verdict::Passed)
}

async fn measure(options: &SlopesOptions, dimension: Dimension, size: usize) -> Result<Point> {
    let mut deployment = Deployment::start(options.site_options.binaries()?, &[])?;
    let spec = EngineSpec {
        instance: "engine".into(),
        zone: "zone-1".into(),
        layers: LayerRange::new(0, LAYERS),
        options: Vec::new(),
    };
    deployment.add_engine(&spec)?;
    deployment.add_entry("entry-1", "zone-1", "")?;
    if dimension == Dimension::Entries {
        deployment.add_entry("entry-2", "zone-1", "")?;
    }
    let teams = if dimension == Dimension::Teams { size } else { 1 };
    deployment.make_ready_with(&document(teams)).await?;
    let listed = instances_to_list(&deployment, dimension, size).await?;
    let expected = listed.iter().filter(|instance| instance.kind == InstanceKind::Engine).count();
    if !listed.is_empty() {
        post(deployment.list.address(), "/control/instances", &json!({ "instances": listed })).await?;
        await_endpoints(&deployment, expected).await?;
    }
    actix_rt::time::sleep(SETTLE_TIME).await;
    let id = deployment.entries.first().map(|entry| entry.process.id()).unwrap_or_default();
    let (begin, before) = (Instant::now(), ProcessSample::take(id));
    let changes = if dimension == Dimension::Changes { size } else { 0 };
    publish_changes(&deployment, changes, Duration::from_secs(options.seconds)).await?;
    actix_rt::time::sleep(Duration::from_secs(options.seconds).saturating_sub(begin.elapsed())).await;
    let (elapsed, after) = (begin.elapsed(), ProcessSample::take(id));
    let run_ns = after.zip(before).map_or(0, |(after, before)| after.run_ns.saturating_sub(before.run_ns));
    Ok(Point {
        size,
        core_share: run_ns as f64 / 1e9 / elapsed.as_secs_f64(),
        resident_kib: after.map_or(0.0, |after| after.resident_bytes as f64 / 1024.0),
    })
}

async fn instances_to_list(
    deployment: &Deployment,
    dimension: Dimension,
    size: usize,
) -> Result<Vec<ListedInstance>> {
    match dimension {
        Dimension::Endpoints => fleet::start(size).await,
        Dimension::Entries => {
            let address = deployment.entries.last().map(|entry| entry.peers);
            Ok(address.map(|address| aliased_entries(size, address)).unwrap_or_default())
        }
        Dimension::Teams | Dimension::Changes => Ok(Vec::new()),
    }
}

async fn await_endpoints(deployment: &Deployment, expected: usize) -> Result<()> {
    let Some(entry) = deployment.entries.first() else { return Ok(()) };
    wait_until(READY_TIMEOUT, async || {
        let status = status(entry.operators).await;
        let endpoints = status.as_ref().and_then(|status| status.get("endpoints")).and_then(Value::as_array);
        endpoints.map_or(0, Vec::len) >= expected
    })
    .await?;
    Ok(())
}

/// Publishes switches of the preset, spread evenly over the given time.
async fn publish_changes(deployment: &Deployment, changes: usize, within: Duration) -> Result<()> {
    let Some(pause) = within.checked_div(u32::try_from(changes).unwrap_or(u32::MAX)) else { return Ok(()) };
    for number in 0..changes {
        let preset = if number % 2 == 0 { "peak" } else { "ordinary" };
        deployment.publish(number as u64 + 1, &json!({ "preset": preset })).await?;
        actix_rt::time::sleep(pause).await;
    }
    Ok(())
}

async fn post(address: banyannotch::pipeline::Address, path: &str, body: &Value) -> Result<()> {
    let client = Client::new(ClientSettings::default());
    client.post(address, path, body, REQUEST_TIMEOUT_MS).await?;
    Ok(())
}

/// Returns the slope of the least-squares line through the points.
fn fitted_slope(points: &[Point], value: impl Fn(&Point) -> f64) -> f64 {
    let count = points.len() as f64;
    let mean_size = points.iter().map(|point| point.size as f64).sum::<f64>() / count;
    let mean_value = points.iter().map(&value).sum::<f64>() / count;
    let covariance: f64 =
        points.iter().map(|point| (point.size as f64 - mean_size) * (value(point) - mean_value)).sum();
    let variance: f64 = points.iter().map(|point| (point.size as f64 - mean_size).powi(2)).sum();
    covariance / variance
}
