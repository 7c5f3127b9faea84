//! Options that all measurements share.

use std::path::PathBuf;

use banyannotch_standins::harness::{Binaries, Logs};
use bpaf::Bpaf;

use crate::{LoadError, Result};

/// Directories of the programs and logs, and the file for the report.
#[derive(Bpaf, Clone, Debug, Default)]
#[bpaf(generate(site_options))]
pub struct SiteOptions {
    /// Directory of the programs; by default the directory of this program
    #[bpaf(argument("DIR"), optional)]
    pub binaries: Option<PathBuf>,
    /// Existing directory for the logs of the processes; by default logs are discarded
    #[bpaf(argument("DIR"), optional)]
    pub logs: Option<PathBuf>,
    /// File for the report in JSON
    #[bpaf(argument("FILE"), optional)]
    pub json: Option<PathBuf>,
}

impl SiteOptions {
    /// Returns the paths of the programs and the destination of their logs.
    ///
    /// # Errors
    /// Returns [`LoadError::Read`] when the path of this program cannot be determined.
    pub fn binaries(&self) -> Result<Binaries> {
        let directory = match &self.binaries {
            Some(directory) => directory.clone(),
            None => {
                let program = std::env::current_exe()
                    .map_err(|source| LoadError::Read { name: "path of this program".to_owned(), source })?;
                program.parent().map(PathBuf::from).unwrap_or_default()
            }
        };
        let logs = self.logs.clone().map_or(Logs::Discard, Logs::Directory);
        Ok(Binaries { logs, ..Binaries::within(&directory) })
    }
}
