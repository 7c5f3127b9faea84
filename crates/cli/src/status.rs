//! `banyannotch status`: shows the fleet as tables or JSON.

use serde_json::{Value, json};

use crate::client::{EndpointStatus, EntryReply, EntryStatus, RoleStatus, query_entries};
use crate::error::{CommandError, Result};
use crate::options::StatusOptions;

/// Prints all entries, and the endpoints that the first entry to answer reports.
pub async fn run(options: &StatusOptions) -> Result<()> {
    let replies = query_entries(&options.fleet).await;
    if options.json {
        println!("{}", as_json(&replies));
    } else {
        print_entries(&replies);
    }
    let first = replies.iter().find_map(|reply| reply.status.as_ref().ok());
    let Some((status, _)) = first else {
        return Err(CommandError::NoEntry("none of the given operators' ports answered".into()));
    };
    if !options.json {
        print_endpoints(status);
    }
    Ok(())
}

fn as_json(replies: &[EntryReply]) -> Value {
    let entries = replies.iter().map(|reply| match &reply.status {
        Ok((_, raw)) => raw.clone(),
        Err(error) => json!({ "address": reply.address, "error": error.to_string() }),
    });
    json!({ "entries": entries.collect::<Vec<_>>() })
}

fn print_entries(replies: &[EntryReply]) {
    println!("{:<16} {:<12} {:>8} {:<12} {:<8}", "ENTRY", "ZONE", "VERSION", "PRESET", "STATE");
    for reply in replies {
        let Ok((status, _)) = &reply.status else {
            println!("{:<16} {:<12} {:>8} {:<12} {:<8}", reply.address, "-", "-", "-", "silent");
            continue;
        };
        let (version, preset) = match &status.configuration {
            Some(in_force) => (in_force.version.to_string(), in_force.preset.to_string()),
            None => ("-".to_owned(), "-".to_owned()),
        };
        let state = if status.draining { "draining" } else { "live" };
        println!("{:<16} {:<12} {version:>8} {preset:<12} {state:<8}", status.instance, status.zone);
    }
}

fn print_endpoints(status: &EntryStatus) {
    println!();
    println!(
        "{:<20} {:<12} {:<24} {:<10} {:>7} {:>7} {:>8}",
        "ENDPOINT", "ZONE", "ROLE", "HEALTH", "RUNNING", "QUEUED", "STEP_US"
    );
    for endpoint in &status.endpoints {
        let name = format!("{}#{}", endpoint.instance, endpoint.incarnation);
        println!(
            "{name:<20} {:<12} {:<24} {:<10} {:>7} {:>7} {:>8}",
            endpoint.zone,
            role_text(endpoint),
            endpoint.health,
            endpoint.running,
            endpoint.queued,
            endpoint.step_us
        );
    }
}

fn role_text(endpoint: &EndpointStatus) -> String {
    match &endpoint.role {
        RoleStatus::Engine { model, version, layers } => format!("{model} v{version} layers {layers}"),
        RoleStatus::Service { service } => service.to_string(),
    }
}
