//! Checks files before they are used.

use std::path::Path;

use banyannotch::configuration::Document;
use banyannotch::settings::Settings;

use crate::error::{CommandError, Result};
use crate::options::CheckOptions;

/// Prints every error of the files.
pub fn run(options: &CheckOptions) -> Result<()> {
    let mut errors = Vec::new();
    for path in &options.settings {
        match read(path) {
            Ok(text) => {
                let found = Settings::check_text(&path.display().to_string(), &text);
                errors.extend(found.iter().map(|error| error.to_string().trim_end().to_owned()));
            }
            Err(error) => errors.push(error.to_string()),
        }
    }
    for path in &options.configuration {
        errors.extend(document_errors(path)?);
    }
    for error in &errors {
        println!("{error}");
    }
    if errors.is_empty() { Ok(()) } else { Err(CommandError::Invalid { errors: errors.len() }) }
}

/// Reads a document, or prints its errors.
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
