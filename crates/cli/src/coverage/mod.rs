//! Checks before publication that a drain set leaves an endpoint for every layer and service.

mod gaps;
#[cfg(test)]
mod tests;

use banyannotch::configuration::{Change, Document, PresetName};
use serde_json::Value;

use crate::client::{EntryStatus, get, query_entries};
use crate::error::{CommandError, Result};
use crate::options::Fleet;
pub use gaps::{Gap, find_gaps};

/// Refuses a change whose active preset drains the last endpoint of some layers or of a service. If no entry
/// reports any endpoints, coverage cannot be checked and the change is accepted.
pub async fn check_change(fleet: &Fleet, change: &Change) -> Result<()> {
    let Some(status) = status_with_endpoints(fleet).await else { return Ok(()) };
    let (text, preset) = match change {
        Change::Document(text) => (text.clone(), active_preset(&status)),
        Change::Preset(preset) => (active_document(fleet).await?, *preset),
        Change::Reset { document, preset, .. } => (document.clone(), *preset),
        // A restatement repeats the configuration that is already in force.
        Change::Restate { .. } => return Ok(()),
    };
    let document = Document::parse(&text).map_err(|error| CommandError::Refused(error.to_string()))?;
    let gaps = find_gaps(&document, preset, &status.endpoints);
    if gaps.is_empty() {
        return Ok(());
    }
    let gaps = gaps.iter().map(Gap::to_string).collect::<Vec<_>>().join("; ");
    Err(CommandError::Uncovered { preset, gaps })
}

/// Returns the status of the first entry that reports any endpoints.
pub async fn status_with_endpoints(fleet: &Fleet) -> Option<EntryStatus> {
    let replies = query_entries(fleet).await;
    let statuses = replies.into_iter().filter_map(|reply| reply.status.ok());
    statuses.map(|(status, _)| status).find(|status| !status.endpoints.is_empty())
}

/// Returns the preset that applies to a new document: the one in force, or the ordinary preset for the first
/// document.
fn active_preset(status: &EntryStatus) -> PresetName {
    status.configuration.as_ref().map_or(PresetName::Ordinary, |in_force| in_force.preset)
}

async fn active_document(fleet: &Fleet) -> Result<String> {
    let mut last_error = CommandError::NoEntry("no operators' port was given".into());
    for address in &fleet.operators {
        match get(*address, "/v1/configuration").await {
            Ok(answer) => {
                let text = answer.get("document").and_then(Value::as_str).unwrap_or_default();
                return Ok(text.to_owned());
            }
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}
