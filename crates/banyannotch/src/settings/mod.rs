//! Settings of an entry, read from a TOML file and checked before any thread starts.
//!
//! Every key is listed in `docs/configuration.md`.

mod check;
mod error;
mod file;
#[cfg(test)]
mod tests;

pub use error::{Result, Result as SettingsResult, SettingsError};
pub use file::Settings;
