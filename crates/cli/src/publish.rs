//! Appends a configuration record and follows it until it is in force or refused.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use banyannotch::backing::{HttpLog, LogService};
use banyannotch::configuration::{Change, ChangeRecord, STREAM};
use banyannotch::http::{CallError, Client, ClientSettings};
use banyannotch::ids::ConfigVersion;
use serde_json::Value;

use crate::check;
use crate::client::{any_status, ask_all, get};
use crate::coverage::check_change;
use crate::error::{CommandError, Result};
use crate::options::{Fleet, PublishOptions, Publishing};

/// Pause between two looks at the entries.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Publishes a document.
pub async fn run(options: &PublishOptions) -> Result<()> {
    let document = check::read_document(&options.file)?;
    publish(&options.publishing, Change::Document(document)).await
}

/// Appends a change, reports the record that took precedence if one did, and waits until it is in force everywhere.
pub async fn publish(publishing: &Publishing, change: Change) -> Result<()> {
    if !publishing.force {
        check_change(&publishing.fleet, &change).await?;
    }
    let base = match publishing.base {
        Some(base) => base,
        None => any_status(&publishing.fleet).await?.configuration.map_or(0, |in_force| in_force.version),
    };
    let record = ChangeRecord { base: ConfigVersion(base), author: publishing.author.clone(), change };
    let version = append(publishing, &record).await?;
    println!("appended version {version} on base {base}");
    await_verdict(&publishing.fleet, version).await?;
    await_everywhere(&publishing.fleet, version).await
}

async fn append(publishing: &Publishing, record: &ChangeRecord) -> Result<u64> {
    let log = HttpLog::new(Client::new(ClientSettings::default()), publishing.log);
    let bytes = serde_json::to_vec(record).map_err(|error| CallError::NotSent(error.to_string()))?;
    match log.append(STREAM, &bytes, publishing.fleet.timeout_ms).await {
        Ok(offset) => Ok(offset.0),
        Err(error) if error.may_have_been_appended() => Err(CommandError::MaybeAppended(error)),
        Err(error) => Err(CommandError::NotAppended(error)),
    }
}

/// Waits until any entry has judged the record. All entries judge alike.
async fn await_verdict(fleet: &Fleet, version: u64) -> Result<()> {
    let begin = Instant::now();
    while begin.elapsed() < Duration::from_millis(fleet.timeout_ms) {
        for address in &fleet.operators {
            if let Some((accepted, decision)) = verdict(*address, version).await {
                println!("{decision}");
                return if accepted { Ok(()) } else { Err(CommandError::Refused(decision)) };
            }
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    Err(CommandError::NotEverywhere { version, missing: "no entry has judged it yet".into() })
}

async fn verdict(address: SocketAddr, version: u64) -> Option<(bool, String)> {
    let answer = get(address, &format!("/v1/verdict?offset={version}")).await.ok()?;
    let accepted = answer.get("accepted").and_then(Value::as_bool)?;
    let decision = answer.get("decision").and_then(Value::as_str)?;
    Some((accepted, decision.to_owned()))
}

async fn await_everywhere(fleet: &Fleet, version: u64) -> Result<()> {
    let begin = Instant::now();
    loop {
        let missing = entries_without(fleet, version).await;
        if missing.is_empty() {
            println!("version {version} is in force everywhere after {} ms", begin.elapsed().as_millis());
            return Ok(());
        }
        if begin.elapsed() >= Duration::from_millis(fleet.timeout_ms) {
            return Err(CommandError::NotEverywhere { version, missing: missing.join(", ") });
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

/// Names the entries, asked or known to those asked, that do not have the version.
async fn entries_without(fleet: &Fleet, version: u64) -> Vec<String> {
    let mut missing = Vec::new();
    for asked in ask_all(fleet).await {
        match asked.status {
            Ok((status, _)) => {
                if status.configuration.is_none_or(|in_force| in_force.version < version) {
                    missing.push(status.instance);
                }
                let behind = status.peers.into_iter().filter(|peer| peer.answers && peer.version < version);
                missing.extend(behind.map(|peer| peer.instance));
            }
            Err(_) => missing.push(asked.address.to_string()),
        }
    }
    missing.sort();
    missing.dedup();
    missing
}
