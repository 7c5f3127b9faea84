//! Shows and switches the preset.

use banyannotch::configuration::Change;

use crate::client::ask_all;
use crate::error::Result;
use crate::options::{StatusOptions, SwitchOptions};
use crate::publish::publish;

/// Prints the preset and version in force at each entry.
pub async fn show(options: &StatusOptions) -> Result<()> {
    for asked in ask_all(&options.fleet).await {
        match asked.status {
            Ok((status, _)) => match status.configuration {
                Some(in_force) => {
                    println!("{} preset={} version={}", status.instance, in_force.preset, in_force.version);
                }
                None => println!("{} has no configuration", status.instance),
            },
            Err(error) => println!("{} does not answer: {error}", asked.address),
        }
    }
    Ok(())
}

/// Publishes a switch and waits until it is in force.
pub async fn switch(options: &SwitchOptions) -> Result<()> {
    publish(&options.publishing, Change::Preset(options.preset)).await
}
