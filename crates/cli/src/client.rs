//! HTTP client for the operators' ports of entries, and the types of their status.

use std::net::SocketAddr;

use banyannotch::configuration::PresetName;
use banyannotch::http::{Client, ClientSettings};
use banyannotch::ids::{ModelId, ModelVersion, ServiceId};
use banyannotch::pipeline::LayerRange;
use serde::Deserialize;
use serde_json::Value;

use crate::error::{CommandError, Result};
use crate::options::Fleet;

/// Timeout of one request to an entry. Entries are queried one after another, so it is short enough that an
/// entry that hangs does not hold up the others.
const REQUEST_TIMEOUT_MS: u64 = 2_000;

/// Status that one entry reports at `/v1/status`.
#[derive(Clone, Debug, Deserialize)]
pub struct EntryStatus {
    /// Name of the instance.
    pub instance: String,
    /// Zone of the instance.
    pub zone: String,
    /// Whether the entry is draining.
    pub draining: bool,
    /// Configuration in force, if there is one.
    pub configuration: Option<InForce>,
    /// Other entries, with what they last reported to this one.
    #[serde(default)]
    pub peers: Vec<PeerStatus>,
    /// Endpoints in the membership view of this entry.
    #[serde(default)]
    pub endpoints: Vec<EndpointStatus>,
}

/// Version and preset of the configuration in force.
#[derive(Clone, Debug, Deserialize)]
pub struct InForce {
    /// Version of the configuration.
    pub version: u64,
    /// Active preset.
    pub preset: PresetName,
}

/// Another entry, as last reported to the entry queried.
#[derive(Clone, Debug, Deserialize)]
pub struct PeerStatus {
    /// Name of the instance.
    pub instance: String,
    /// Configuration version in force there; 0 means none.
    pub version: u64,
    /// Whether the queried entry had contact with the peer recently.
    pub answers: bool,
    /// Operators' port of the peer, if it has announced one.
    #[serde(default)]
    pub operators: Option<SocketAddr>,
}

/// Status of an endpoint in the membership view of an entry.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointStatus {
    /// Name of the instance.
    pub instance: String,
    /// Incarnation, which changes with each start of the instance.
    pub incarnation: u64,
    /// Zone of the instance.
    pub zone: String,
    /// `live`, `suspected` or `leaving`.
    pub health: String,
    /// Model layers or service that the endpoint offers.
    pub role: RoleStatus,
    /// Number of steps or calls in progress.
    pub running: u32,
    /// Number of queued steps.
    pub queued: u32,
    /// Mean duration of a decode step.
    pub step_us: u64,
}

/// Role of an endpoint: what it can serve.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub enum RoleStatus {
    /// An engine that serves a range of layers of a model.
    Engine {
        /// Loaded model.
        model: ModelId,
        /// Version of the loaded model.
        version: ModelVersion,
        /// Loaded layers.
        #[serde(flatten)]
        layers: LayerRange,
    },
    /// A plain service.
    Service {
        /// Service offered.
        service: ServiceId,
    },
}

/// Result of a status query to one entry.
#[derive(Debug)]
pub struct EntryReply {
    /// Operators' port of the entry.
    pub address: SocketAddr,
    /// Status, parsed and as raw JSON, or the error of the query.
    pub status: Result<(EntryStatus, Value)>,
}

/// Queries the status of every given entry, and then of the live peers that they report.
pub async fn query_entries(fleet: &Fleet) -> Vec<EntryReply> {
    let client = Client::new(ClientSettings::default());
    let mut replies = Vec::new();
    for address in &fleet.operators {
        replies.push(EntryReply { address: *address, status: query_entry(&client, *address).await });
    }
    for address in unqueried_peers(&replies) {
        replies.push(EntryReply { address, status: query_entry(&client, address).await });
    }
    replies
}

/// Returns the operators' ports of the reported peers that are live and not queried yet, without duplicates.
fn unqueried_peers(replies: &[EntryReply]) -> Vec<SocketAddr> {
    let statuses = || replies.iter().filter_map(|reply| reply.status.as_ref().ok());
    let queried = |peer: &PeerStatus| statuses().any(|(status, _)| status.instance == peer.instance);
    let peers = statuses().flat_map(|(status, _)| &status.peers);
    let mut addresses: Vec<SocketAddr> =
        peers.filter(|peer| peer.answers && !queried(peer)).filter_map(|peer| peer.operators).collect();
    addresses.retain(|address| replies.iter().all(|reply| reply.address != *address));
    addresses.sort_unstable();
    addresses.dedup();
    addresses
}

/// Returns the status of the first entry that answers.
pub async fn first_status(fleet: &Fleet) -> Result<EntryStatus> {
    let mut last_error = String::from("no operators' port was given");
    for reply in query_entries(fleet).await {
        match reply.status {
            Ok((status, _)) => return Ok(status),
            Err(error) => last_error = error.to_string(),
        }
    }
    Err(CommandError::NoEntry(last_error))
}

/// Sends a GET request to an entry and returns the JSON of its response.
pub async fn get(address: SocketAddr, path: &str) -> Result<Value> {
    let client = Client::new(ClientSettings::default());
    fetch(&client, address, path).await
}

/// Sends a POST request with the JSON body `null` to an entry and returns the JSON of its response.
pub async fn post(address: SocketAddr, path: &str) -> Result<Value> {
    let client = Client::new(ClientSettings::default());
    let answer = client.post(address, path, &Value::Null, REQUEST_TIMEOUT_MS).await?;
    success_body(address, &answer)
}

async fn query_entry(client: &Client, address: SocketAddr) -> Result<(EntryStatus, Value)> {
    let raw = fetch(client, address, "/v1/status").await?;
    let status = serde_json::from_value(raw.clone()).map_err(|error| CommandError::Answer {
        entry: address.to_string(),
        status: 200,
        body: error.to_string(),
    })?;
    Ok((status, raw))
}

async fn fetch(client: &Client, address: SocketAddr, path: &str) -> Result<Value> {
    let answer = client.get(address, path, REQUEST_TIMEOUT_MS).await?;
    success_body(address, &answer)
}

fn success_body(address: SocketAddr, answer: &banyannotch::http::Answer) -> Result<Value> {
    if !(200..300).contains(&answer.status) {
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        return Err(CommandError::Answer { entry: address.to_string(), status: answer.status, body });
    }
    Ok(answer.json()?)
}
