//! Appends a configuration record and follows it until it is in force or refused.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use banyannotch::backing::{HttpLog, LogService};
use banyannotch::configuration::{Change, ChangeRecord, STREAM};
use banyannotch::http::{CallError, Client, ClientSettings};
use banyannotch::ids::ConfigVersion;
use serde_json::Value;

use crate::check;
use crate::client::{first_status, get, query_entries};
use crate::coverage::check_change;
use crate::error::{CommandError, Result};
use crate::options::{Fleet, PublishOptions, Publishing};

/// Interval between two queries of the entries.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Checks and publishes a configuration document.
pub async fn run(options: &PublishOptions) -> Result<()> {
    let document = check::read_document(&options.file)?;
    publish(&options.publishing, Change::Document(document)).await
}

/// Appends a change to the log and waits until it is in force at all entries. If the entries refuse it, for
/// example because another record took precedence, the error holds their decision.
pub async fn publish(publishing: &Publishing, change: Change) -> Result<()> {
    if !publishing.force {
        check_change(&publishing.fleet, &change).await?;
    }
    let base = match publishing.base {
        Some(base) => base,
        None => first_status(&publishing.fleet).await?.configuration.map_or(0, |in_force| in_force.version),
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
        Err(error) if error.may_have_been_appended() => Err(CommandError::AppendUnknown(error)),
        Err(error) => Err(CommandError::NotAppended(error)),
    }
}

/// Waits until one entry has accepted or refused the record. All entries reach the same decision.
async fn await_verdict(fleet: &Fleet, version: u64) -> Result<()> {
    let begin = Instant::now();
    while begin.elapsed() < Duration::from_millis(fleet.timeout_ms) {
        for address in &fleet.operators {
            if let Some((accepted, decision)) = fetch_verdict(*address, version).await {
                println!("{decision}");
                return if accepted { Ok(()) } else { Err(CommandError::Refused(decision)) };
            }
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    Err(CommandError::NotInForceYet {
        version,
        missing: "all entries; none has accepted or refused it yet".into(),
    })
}

async fn fetch_verdict(address: SocketAddr, version: u64) -> Option<(bool, String)> {
    let answer = get(address, &format!("/v1/verdict?offset={version}")).await.ok()?;
    let accepted = answer.get("accepted").and_then(Value::as_bool)?;
    let decision = answer.get("decision").and_then(Value::as_str)?;
    Some((accepted, decision.to_owned()))
}

async fn await_everywhere(fleet: &Fleet, version: u64) -> Result<()> {
    let begin = Instant::now();
    loop {
        let missing = entries_behind(fleet, version).await;
        if missing.is_empty() {
            println!("version {version} is in force everywhere after {} ms", begin.elapsed().as_millis());
            return Ok(());
        }
        if begin.elapsed() >= Duration::from_millis(fleet.timeout_ms) {
            return Err(CommandError::NotInForceYet { version, missing: missing.join(", ") });
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the names of the entries, queried or reported as peers, that are behind the version, and the
/// addresses of those that did not answer.
async fn entries_behind(fleet: &Fleet, version: u64) -> Vec<String> {
    let mut missing = Vec::new();
    for reply in query_entries(fleet).await {
        match reply.status {
            Ok((status, _)) => {
                if status.configuration.is_none_or(|in_force| in_force.version < version) {
                    missing.push(status.instance);
                }
                let behind = status.peers.into_iter().filter(|peer| peer.answers && peer.version < version);
                missing.extend(behind.map(|peer| peer.instance));
            }
            Err(_) => missing.push(reply.address.to_string()),
        }
    }
    missing.sort();
    missing.dedup();
    missing
}
