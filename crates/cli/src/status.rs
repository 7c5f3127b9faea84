//! Shows the fleet as tables or JSON.

use serde_json::{Value, json};

use crate::client::{Asked, EndpointStatus, EntryStatus, RoleStatus, ask_all};
use crate::error::{CommandError, Result};
use crate::options::StatusOptions;

/// Prints the entries and, from the first that answers, the endpoints.
pub async fn run(options: &StatusOptions) -> Result<()> {
    let asked = ask_all(&options.fleet).await;
    if options.json {
        println!("{}", as_json(&asked));
    } else {
        print_entries(&asked);
    }
    let answered = asked.iter().find_map(|asked| asked.status.as_ref().ok());
    let Some((status, _)) = answered else {
        return Err(CommandError::NoEntry("none of the given operators' ports answers".into()));
    };
    if !options.json {
        print_endpoints(status);
    }
    Ok(())
}

fn as_json(asked: &[Asked]) -> Value {
    let entries = asked.iter().map(|asked| match &asked.status {
        Ok((_, raw)) => raw.clone(),
        Err(error) => json!({ "address": asked.address, "error": error.to_string() }),
    });
    json!({ "entries": entries.collect::<Vec<_>>() })
}

fn print_entries(asked: &[Asked]) {
    println!("{:<16} {:<12} {:>8} {:<12} {:<8}", "ENTRY", "ZONE", "VERSION", "PRESET", "STATE");
    for asked in asked {
        let Ok((status, _)) = &asked.status else {
            println!("{:<16} {:<12} {:>8} {:<12} {:<8}", asked.address, "-", "-", "-", "silent");
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
            role(endpoint),
            endpoint.health,
            endpoint.running,
            endpoint.queued,
            endpoint.step_us
        );
    }
}

fn role(endpoint: &EndpointStatus) -> String {
    match &endpoint.role {
        RoleStatus::Engine { model, version, layers } => format!("{model} v{version} layers {layers}"),
        RoleStatus::Service { service } => service.to_string(),
    }
}
