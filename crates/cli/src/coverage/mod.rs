//! Finds what a drain set leaves without an endpoint, before it is published.

mod gaps;
#[cfg(test)]
mod tests;

use banyannotch::configuration::{Change, Document, PresetName};
use serde_json::Value;

use crate::client::{EntryStatus, ask_all, get};
use crate::error::{CommandError, Result};
use crate::options::Fleet;
pub use gaps::{Gap, find_gaps};

/// Refuses a change whose active preset drains the last endpoint of some layers or of a service. Nothing is refused
/// while no entry knows any endpoints, because nothing can be said then.
pub async fn check_change(fleet: &Fleet, change: &Change) -> Result<()> {
    let Some(known) = known_endpoints(fleet).await else { return Ok(()) };
    let (text, preset) = match change {
        Change::Document(text) => (text.clone(), active_preset(&known)),
        Change::Preset(preset) => (document_in_force(fleet).await?, *preset),
        Change::Reset { document, preset, .. } => (document.clone(), *preset),
        // It states what is in force already.
        Change::Restate { .. } => return Ok(()),
    };
    let document = Document::parse(&text).map_err(|error| CommandError::Refused(error.to_string()))?;
    let gaps = find_gaps(&document, preset, &known.endpoints);
    if gaps.is_empty() {
        return Ok(());
    }
    let gaps = gaps.iter().map(Gap::to_string).collect::<Vec<_>>().join("; ");
    Err(CommandError::Uncovered { preset, gaps })
}

/// Returns the status of the first entry that knows endpoints.
pub async fn known_endpoints(fleet: &Fleet) -> Option<EntryStatus> {
    let asked = ask_all(fleet).await;
    let statuses = asked.into_iter().filter_map(|asked| asked.status.ok());
    statuses.map(|(status, _)| status).find(|status| !status.endpoints.is_empty())
}

/// A document that is published keeps the preset in force; the first one begins with the ordinary preset.
fn active_preset(status: &EntryStatus) -> PresetName {
    status.configuration.as_ref().map_or(PresetName::Ordinary, |in_force| in_force.preset)
}

async fn document_in_force(fleet: &Fleet) -> Result<String> {
    let mut last = CommandError::NoEntry("none was given".into());
    for address in &fleet.operators {
        match get(*address, "/v1/configuration").await {
            Ok(answer) => {
                let text = answer.get("document").and_then(Value::as_str).unwrap_or_default();
                return Ok(text.to_owned());
            }
            Err(error) => last = error,
        }
    }
    Err(last)
}
