//! `banyannotch preset`: shows and switches the preset.

use banyannotch::configuration::Change;

use crate::client::query_entries;
use crate::error::Result;
use crate::options::{StatusOptions, SwitchOptions};
use crate::publish::publish;

/// Prints the preset and version in force at each entry.
pub async fn show(options: &StatusOptions) -> Result<()> {
    for reply in query_entries(&options.fleet).await {
        match reply.status {
            Ok((status, _)) => match status.configuration {
                Some(in_force) => {
                    println!("{} preset={} version={}", status.instance, in_force.preset, in_force.version);
                }
                None => println!("{} has no configuration", status.instance),
            },
            Err(error) => println!("{} does not answer: {error}", reply.address),
        }
    }
    Ok(())
}

/// Publishes a switch of the preset and waits until it is in force at all entries.
pub async fn switch(options: &SwitchOptions) -> Result<()> {
    publish(&options.publishing, Change::Preset(options.preset)).await
}
