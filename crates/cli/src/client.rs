//! Client of the operators' ports.

use std::net::SocketAddr;

use banyannotch::configuration::PresetName;
use banyannotch::http::{Client, ClientSettings};
use banyannotch::ids::{ModelId, ModelVersion, ServiceId};
use banyannotch::pipeline::LayerRange;
use serde::Deserialize;
use serde_json::Value;

use crate::error::{CommandError, Result};
use crate::options::Fleet;

/// Longest time of one request to an entry; a frozen entry must not hold up the others.
const REQUEST_LIMIT_MS: u64 = 2_000;

/// What one entry reports.
#[derive(Clone, Debug, Deserialize)]
pub struct EntryStatus {
    /// Name of the instance.
    pub instance: String,
    /// Zone of the instance.
    pub zone: String,
    /// Whether it is draining.
    pub draining: bool,
    /// Configuration in force, if there is one.
    pub configuration: Option<InForce>,
    /// What the other entries last reported.
    #[serde(default)]
    pub peers: Vec<PeerStatus>,
    /// Endpoints as the entry sees them.
    #[serde(default)]
    pub endpoints: Vec<EndpointStatus>,
}

/// Configuration that is in force.
#[derive(Clone, Debug, Deserialize)]
pub struct InForce {
    /// Version.
    pub version: u64,
    /// Preset.
    pub preset: PresetName,
}

/// Last version that another entry reported.
#[derive(Clone, Debug, Deserialize)]
pub struct PeerStatus {
    /// Name of the instance.
    pub instance: String,
    /// Version in force there; 0 means none.
    pub version: u64,
    /// Whether it still answers.
    pub answers: bool,
    /// Its operators' port, if it told one.
    #[serde(default)]
    pub operators: Option<SocketAddr>,
}

/// An endpoint as an entry sees it.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointStatus {
    /// Name of the instance.
    pub instance: String,
    /// Start of the instance.
    pub incarnation: u64,
    /// Zone.
    pub zone: String,
    /// `live`, `suspected` or `leaving`.
    pub health: String,
    /// What it offers.
    pub role: RoleStatus,
    /// Steps or calls that are running.
    pub running: u32,
    /// Steps that wait.
    pub queued: u32,
    /// Mean time of a decode step.
    pub step_us: u64,
}

/// What an endpoint offers.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub enum RoleStatus {
    /// An engine with a range of layers.
    Engine {
        /// Model that is loaded.
        model: ModelId,
        /// Version that is loaded.
        version: ModelVersion,
        /// Layers that are loaded.
        #[serde(flatten)]
        layers: LayerRange,
    },
    /// A plain service.
    Service {
        /// Service that it offers.
        service: ServiceId,
    },
}

/// One entry that was asked, with its status or why there is none.
#[derive(Debug)]
pub struct Asked {
    /// Operators' port.
    pub address: SocketAddr,
    /// Status as typed values and as the entry sent it.
    pub status: Result<(EntryStatus, Value)>,
}

/// Asks every given entry, and then those that they name as their peers.
pub async fn ask_all(fleet: &Fleet) -> Vec<Asked> {
    let client = Client::new(ClientSettings::default());
    let mut asked = Vec::new();
    for address in &fleet.operators {
        asked.push(Asked { address: *address, status: ask(&client, *address).await });
    }
    for address in named_by(&asked) {
        asked.push(Asked { address, status: ask(&client, address).await });
    }
    asked
}

/// Returns the operators' ports of the peers that answer and have not been asked, each once.
fn named_by(asked: &[Asked]) -> Vec<SocketAddr> {
    let statuses = || asked.iter().filter_map(|asked| asked.status.as_ref().ok());
    let known = |peer: &PeerStatus| statuses().any(|(status, _)| status.instance == peer.instance);
    let peers = statuses().flat_map(|(status, _)| &status.peers);
    let mut named: Vec<SocketAddr> =
        peers.filter(|peer| peer.answers && !known(peer)).filter_map(|peer| peer.operators).collect();
    named.retain(|address| asked.iter().all(|asked| asked.address != *address));
    named.sort_unstable();
    named.dedup();
    named
}

/// Returns the first status that can be had.
pub async fn any_status(fleet: &Fleet) -> Result<EntryStatus> {
    let mut last = String::from("none was given");
    for asked in ask_all(fleet).await {
        match asked.status {
            Ok((status, _)) => return Ok(status),
            Err(error) => last = error.to_string(),
        }
    }
    Err(CommandError::NoEntry(last))
}

/// Fetches a path from an entry.
pub async fn get(address: SocketAddr, path: &str) -> Result<Value> {
    let client = Client::new(ClientSettings::default());
    fetch(&client, address, path).await
}

/// Posts an empty body to an entry.
pub async fn post(address: SocketAddr, path: &str) -> Result<Value> {
    let client = Client::new(ClientSettings::default());
    let answer = client.post(address, path, &Value::Null, REQUEST_LIMIT_MS).await?;
    accepted(address, &answer)
}

async fn ask(client: &Client, address: SocketAddr) -> Result<(EntryStatus, Value)> {
    let raw = fetch(client, address, "/v1/status").await?;
    let status = serde_json::from_value(raw.clone()).map_err(|error| CommandError::Answer {
        entry: address.to_string(),
        status: 200,
        body: error.to_string(),
    })?;
    Ok((status, raw))
}

async fn fetch(client: &Client, address: SocketAddr, path: &str) -> Result<Value> {
    let answer = client.get(address, path, REQUEST_LIMIT_MS).await?;
    accepted(address, &answer)
}

fn accepted(address: SocketAddr, answer: &banyannotch::http::Answer) -> Result<Value> {
    if !(200..300).contains(&answer.status) {
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        return Err(CommandError::Answer { entry: address.to_string(), status: answer.status, body });
    }
    Ok(answer.json()?)
}
