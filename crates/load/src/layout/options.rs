//! Options that every measurement has.

use std::path::PathBuf;

use banyannotch_standins::harness::{Binaries, Logs};
use bpaf::Bpaf;

use crate::{LoadError, Result};

/// Where the programs are and where results go.
#[derive(Bpaf, Clone, Debug, Default)]
#[bpaf(generate(site_options))]
pub struct SiteOptions {
    /// Directory of the programs; the directory of this program if it is not given
    #[bpaf(argument("DIR"), optional)]
    pub binaries: Option<PathBuf>,
    /// Existing directory for the log lines of the processes; without it they are dropped
    #[bpaf(argument("DIR"), optional)]
    pub logs: Option<PathBuf>,
    /// File for the report in JSON
    #[bpaf(argument("FILE"), optional)]
    pub json: Option<PathBuf>,
}

impl SiteOptions {
    /// Finds the programs.
    ///
    /// # Errors
    /// Returns [`LoadError::Read`] when the directory of this program is not known.
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
