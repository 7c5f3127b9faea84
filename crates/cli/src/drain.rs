//! `banyannotch drain`: drains entries and endpoints.

use banyannotch::configuration::{Change, Document, Preset};
use banyannotch::ids::InstanceId;
use serde_json::Value;

use crate::client::{get, post};
use crate::error::{CommandError, Result};
use crate::options::{DrainOptions, Fleet, Publishing};
use crate::publish::publish;

/// Drains the entries or the endpoint given in the options.
pub async fn run(options: &DrainOptions) -> Result<()> {
    match options {
        DrainOptions::Entry(fleet) => drain_entries(fleet).await,
        DrainOptions::Endpoint { publishing, instance } => drain_endpoint(publishing, instance).await,
    }
}

async fn drain_entries(fleet: &Fleet) -> Result<()> {
    for address in &fleet.operators {
        post(*address, "/v1/drain").await?;
        println!("{address} is draining");
    }
    Ok(())
}

/// Publishes the document in force with the instance added to the drain set of every preset.
async fn drain_endpoint(publishing: &Publishing, instance: &str) -> Result<()> {
    let address = publishing
        .fleet
        .operators
        .first()
        .ok_or(CommandError::NoEntry("no operators' port was given".into()))?;
    let answer = get(*address, "/v1/configuration").await?;
    let text = answer.get("document").and_then(Value::as_str).unwrap_or("");
    let version = answer.get("version").and_then(Value::as_u64).unwrap_or(0);
    let mut document = Document::parse(text).map_err(|error| CommandError::Refused(error.to_string()))?;
    let presets = &mut document.presets;
    for preset in [&mut presets.ordinary, &mut presets.peak, &mut presets.maintenance] {
        add_to_drain_set(preset, instance);
    }
    let text = toml::to_string(&document).map_err(|error| CommandError::Refused(error.to_string()))?;
    let publishing = Publishing { base: publishing.base.or(Some(version)), ..publishing.clone() };
    publish(&publishing, Change::Document(text)).await
}

fn add_to_drain_set(preset: &mut Preset, instance: &str) {
    let instance = InstanceId::from(instance);
    if !preset.drain.contains(&instance) {
        preset.drain.push(instance);
    }
}
