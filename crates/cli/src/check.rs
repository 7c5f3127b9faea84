//! `banyannotch check`: validates settings files and configuration documents.

use std::path::Path;

use banyannotch::configuration::{Document, PresetName};
use banyannotch::settings::Settings;

use crate::coverage::{find_gaps, status_with_endpoints};
use crate::error::{CommandError, Result};
use crate::options::{CheckOptions, Fleet};

/// Prints every error in the given files and fails if there is one.
pub async fn run(options: &CheckOptions) -> Result<()> {
    let mut errors = Vec::new();
    for path in &options.settings {
        match read(path) {
            Ok(text) => {
                let file_errors = Settings::check_text(&path.display().to_string(), &text);
                errors.extend(file_errors.iter().map(|error| error.to_string().trim_end().to_owned()));
            }
            Err(error) => errors.push(error.to_string()),
        }
    }
    for path in &options.configuration {
        errors.extend(document_errors(path)?);
    }
    errors.extend(coverage_errors(options).await?);
    for error in &errors {
        println!("{error}");
    }
    if errors.is_empty() { Ok(()) } else { Err(CommandError::Invalid { errors: errors.len() }) }
}

/// Returns an error for each model or service that the drain set of a preset leaves without an endpoint, or
/// nothing if no entries are given. All presets are checked, because an operator can switch to any of them
/// later.
async fn coverage_errors(options: &CheckOptions) -> Result<Vec<String>> {
    if options.operators.is_empty() {
        return Ok(Vec::new());
    }
    let fleet = Fleet { operators: options.operators.clone(), timeout_ms: 0 };
    let Some(status) = status_with_endpoints(&fleet).await else {
        return Err(CommandError::NoEntry("no entry that answered reports any endpoint".into()));
    };
    let mut errors = Vec::new();
    for path in &options.configuration {
        let Ok(document) = Document::parse(&read(path)?) else { continue };
        for preset in [PresetName::Ordinary, PresetName::Peak, PresetName::Maintenance] {
            let gaps = find_gaps(&document, preset, &status.endpoints);
            errors
                .extend(gaps.iter().map(|gap| format!("{}: presets.{preset}.drain: {gap}", path.display())));
        }
    }
    Ok(errors)
}

/// Reads a configuration document. Prints the errors of an invalid one and fails.
pub fn read_document(path: &Path) -> Result<String> {
    let errors = document_errors(path)?;
    for error in &errors {
        println!("{error}");
    }
    if errors.is_empty() { read(path) } else { Err(CommandError::Invalid { errors: errors.len() }) }
}

fn document_errors(path: &Path) -> Result<Vec<String>> {
    let name = path.display();
    let errors = Document::check_text(&read(path)?);
    Ok(errors.iter().map(|error| format!("{name}: {error}")).collect())
}

fn read(path: &Path) -> Result<String> {
    std::fs::read_to_string(path)
        .map_err(|source| CommandError::File { path: path.display().to_string(), source })
}
