//! Output of reports: text on standard output, JSON in a file.

mod figures;
#[cfg(test)]
mod tests;

use std::io::Write;
use std::path::Path;

use serde::Serialize;

pub use figures::{Quantiles, median};

use crate::{LoadError, Result};

/// Prints a line on standard output.
///
/// # Errors
/// Returns [`LoadError::Write`] when standard output cannot be written.
pub fn print(text: &str) -> Result<()> {
    let mut output = std::io::stdout();
    writeln!(output, "{text}")
        .and_then(|()| output.flush())
        .map_err(|source| LoadError::Write { name: "standard output".to_owned(), source })
}

/// Writes a report as JSON if a path is given.
///
/// # Errors
/// Returns [`LoadError::Write`] when the file cannot be written.
pub fn write_json<T: Serialize>(path: Option<&Path>, report: &T) -> Result<()> {
    let Some(path) = path else { return Ok(()) };
    let text = serde_json::to_string_pretty(report).unwrap_or_default();
    std::fs::write(path, text).map_err(|source| LoadError::Write { name: path.display().to_string(), source })
}
