//! A complete deployment on loopback: the platform's stand-ins, endpoints and entries, each in a separate
//! process.

use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use banyannotch::backing::{Fencing, InstanceKind, InstanceState, ListedInstance};
use banyannotch::http::{Client, ClientSettings};
use banyannotch::ids::{Incarnation, InstanceId, Zone};
use banyannotch::pipeline::{Address, LayerRange};
use serde_json::{Value, json};

use super::{HarnessError, Process, Result, wait_until};

/// Timeout until an entry has its configuration and all endpoints.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Timeout of a request to the platform or to an operators' port, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 5_000;

/// Bearer token of the team `claims` in [`DOCUMENT`].
pub const TOKEN: &str = "claims-secret";

/// Name of the model in [`DOCUMENT`].
pub const MODEL: &str = "writer";

/// Number of layers of [`MODEL`].
pub const LAYERS: u16 = 12;

/// Configuration document that a deployment starts with.
pub const DOCUMENT: &str = r#"
[[models]]
name = "writer"
version = 1
layers = 12
hidden_bytes = 8192

[[services]]
name = "desk"

[[teams]]
name = "claims"
token_sha256 = "a0dddec17d1ca3525a0907e9e3464f1e5086a15dfd6f32dc1aa85fbb744f9d44"
weight = 1
"#;

/// Settings of an engine in a deployment.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Name of the instance.
    pub instance: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Range of layers that the engine holds.
    pub layers: LayerRange,
    /// Additional command-line options of the stand-in.
    pub options: Vec<String>,
}

/// Destination of the processes' log lines.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum Logs {
    /// The standard error of this process.
    #[default]
    Inherit,
    /// Log lines are discarded.
    Discard,
    /// One file per process in this directory.
    Directory(PathBuf),
}

impl Logs {
    fn open(&self, name: &str) -> Result<Stdio> {
        match self {
            Self::Inherit => Ok(Stdio::inherit()),
            Self::Discard => Ok(Stdio::null()),
            Self::Directory(directory) => {
                let path = directory.join(format!("{name}.log"));
                match std::fs::File::create(&path) {
                    Ok(file) => Ok(Stdio::from(file)),
                    Err(source) => Err(HarnessError::Start { binary: path, source }),
                }
            }
        }
    }
}

/// Paths of the binaries, and the destination of their log lines.
#[derive(Clone, Debug)]
pub struct Binaries {
    /// Path of the stand-ins' binary.
    pub standin: PathBuf,
    /// Path of the entry's binary.
    pub entry: PathBuf,
    /// Destination of the log lines of all processes.
    pub logs: Logs,
}

impl Binaries {
    /// Uses the entry's binary in the directory of the stand-ins' binary, where cargo puts both.
    pub fn beside(standin: &Path) -> Self {
        let entry = standin.with_file_name("banyannotch-entry");
        Self { standin: standin.to_owned(), entry, logs: Logs::default() }
    }

    /// Uses both binaries from a directory. For a program of another package that shares the target
    /// directory.
    pub fn within(directory: &Path) -> Self {
        Self::beside(&directory.join("banyannotch-standin"))
    }

    fn start_standin(&self, name: &str, arguments: &[&str]) -> Result<Process> {
        Process::start_logging(&self.standin, arguments, 1, self.logs.open(name)?)
    }
}

/// A running endpoint of a deployment.
#[derive(Debug)]
pub struct Endpoint {
    /// Its process.
    pub process: Process,
    /// Its row in the instance list.
    pub listed: ListedInstance,
}

/// A running entry of a deployment.
#[derive(Debug)]
pub struct EntryProcess {
    /// Name of the instance.
    pub instance: String,
    /// Its process.
    pub process: Process,
    /// Address of the callers' port.
    pub callers: Address,
    /// Address of the operators' port.
    pub operators: Address,
    /// Address of the peers' port, to which other entries connect.
    pub peers: Address,
    /// Path of the settings file, which is removed on drop.
    settings: PathBuf,
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        // The file may already be missing, and nothing depends on its removal.
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// A running deployment. Its processes are killed when it is dropped.
#[derive(Debug)]
pub struct Deployment {
    /// Process of the log service.
    pub log: Process,
    /// Process of the instance list.
    pub list: Process,
    /// Engines and plain services, in the order in which they were added.
    pub endpoints: Vec<Endpoint>,
    /// Entries, in the order in which they were added.
    pub entries: Vec<EntryProcess>,
    binaries: Binaries,
}

impl Deployment {
    /// Starts the log service and the instance list, without endpoints or entries.
    ///
    /// # Errors
    /// Returns [`HarnessError`] when one does not start.
    pub fn start(binaries: Binaries, log_options: &[&str]) -> Result<Self> {
        let log = binaries.start_standin("log", &[&["log"], log_options].concat())?;
        let list = binaries.start_standin("list", &["list"])?;
        Ok(Self { log, list, endpoints: Vec::new(), entries: Vec::new(), binaries })
    }

    /// Starts an engine. [`Deployment::announce`] adds it to the instance list.
    ///
    /// # Errors
    /// Returns [`HarnessError`] when it does not start.
    pub fn add_engine(&mut self, spec: &EngineSpec) -> Result<()> {
        let layers = format!("{}..{}", spec.layers.begin, spec.layers.end);
        let model_layers = LAYERS.to_string();
        let fixed = [
            "engine",
            "--instance",
            &spec.instance,
            "--zone",
            &spec.zone,
            "--model",
            MODEL,
            "--layers",
            &layers,
            "--model-layers",
            &model_layers,
        ];
        let options: Vec<&str> = fixed.into_iter().chain(spec.options.iter().map(String::as_str)).collect();
        let process = self.binaries.start_standin(&spec.instance, &options)?;
        let listed = listed(&spec.instance, &spec.zone, InstanceKind::Engine, process.address());
        self.endpoints.push(Endpoint { process, listed });
        Ok(())
    }

    /// Starts an endpoint of a plain service. [`Deployment::announce`] adds it to the instance list.
    ///
    /// # Errors
    /// Returns [`HarnessError`] when it does not start.
    pub fn add_service(&mut self, service: &str, instance: &str, zone: &str) -> Result<()> {
        let options = ["service", "--service", service, "--instance", instance];
        let process = self.binaries.start_standin(instance, &options)?;
        let listed = listed(instance, zone, InstanceKind::Service, process.address());
        self.endpoints.push(Endpoint { process, listed });
        Ok(())
    }

    /// Starts an entry. `extra_settings` is appended to its settings file.
    ///
    /// # Errors
    /// Returns [`HarnessError`] when it does not start.
    pub fn add_entry(&mut self, instance: &str, zone: &str, extra_settings: &str) -> Result<()> {
        let entry = self.start_entry(instance, zone, extra_settings)?;
        self.entries.push(entry);
        Ok(())
    }

    /// Starts an entry without adding it to [`Deployment::entries`]. `extra_settings` is appended to its
    /// settings file.
    ///
    /// # Errors
    /// Returns [`HarnessError`] when it does not start.
    pub fn start_entry(&self, instance: &str, zone: &str, extra_settings: &str) -> Result<EntryProcess> {
        let (log, list) = (self.log.address(), self.list.address());
        let text = format!(
            "instance = \"{instance}\"\nzone = \"{zone}\"\ncallers = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
             operators = \"127.0.0.1:0\"\nlog = \"{log}\"\ninstance_list = \"{list}\"\n{extra_settings}"
        );
        let name = format!("banyannotch-{}-{}-{instance}.toml", std::process::id(), log.port());
        let settings = std::env::temp_dir().join(name);
        std::fs::write(&settings, text)
            .map_err(|source| HarnessError::Start { binary: settings.clone(), source })?;
        let arguments = [Path::new("--settings"), &settings];
        let process =
            Process::start_logging(&self.binaries.entry, arguments, 3, self.binaries.logs.open(instance)?)?;
        let address = |name| {
            process.address_of(name).ok_or(HarnessError::NotListening {
                binary: self.binaries.entry.clone(),
                found: 0,
                expected: 3,
                limit: READY_TIMEOUT,
            })
        };
        let (callers, operators, peers) = (address("callers")?, address("operators")?, address("peers")?);
        Ok(EntryProcess { instance: instance.to_owned(), process, callers, operators, peers, settings })
    }

    /// Replaces the instance list by the endpoints and entries of the deployment.
    ///
    /// # Errors
    /// Returns [`HarnessError`] when the instance list does not accept them.
    pub async fn announce(&self) -> Result<()> {
        let endpoints = self.endpoints.iter().map(|endpoint| endpoint.listed.clone());
        let entries = self
            .entries
            .iter()
            .map(|entry| listed(&entry.instance, "zone-1", InstanceKind::Entry, entry.peers));
        let instances: Vec<ListedInstance> = endpoints.chain(entries).collect();
        self.post(self.list.address(), "/control/instances", &json!({ "instances": instances })).await
    }

    /// Appends a configuration record that is based on version `base`.
    ///
    /// # Errors
    /// Returns [`HarnessError`] when the log service does not accept it.
    pub async fn publish(&self, base: u64, change: &Value) -> Result<()> {
        let record = json!({ "base": base, "author": "test", "change": change });
        self.post(self.log.address(), "/v1/streams/configuration/records", &record).await
    }

    /// Announces all instances, publishes [`DOCUMENT`], and waits until each entry is ready as in
    /// [`Deployment::wait_ready`].
    ///
    /// # Errors
    /// Returns [`HarnessError`] when a request fails or the entries are not ready in time.
    pub async fn make_ready(&self) -> Result<()> {
        self.make_ready_with(DOCUMENT).await
    }

    /// Announces all instances, publishes a document, and waits until each entry is ready as in
    /// [`Deployment::wait_ready`].
    ///
    /// # Errors
    /// Returns [`HarnessError`] when a request fails or the entries are not ready in time.
    pub async fn make_ready_with(&self, document: &str) -> Result<()> {
        self.announce().await?;
        self.publish(0, &json!({ "document": document })).await?;
        for entry in &self.entries {
            self.wait_ready(entry).await?;
        }
        Ok(())
    }

    /// Waits until an entry has a configuration and at least as many endpoints as the deployment.
    ///
    /// # Errors
    /// Returns [`HarnessError`] when the entry is not ready in time.
    pub async fn wait_ready(&self, entry: &EntryProcess) -> Result<()> {
        wait_until(READY_TIMEOUT, async || match status(entry.operators).await {
            Some(status) => {
                let endpoints = status.get("endpoints").and_then(Value::as_array).map_or(0, Vec::len);
                let configured = status.get("configuration").is_some_and(|value| !value.is_null());
                configured && endpoints >= self.endpoints.len()
            }
            None => false,
        })
        .await
    }

    async fn post(&self, address: Address, path: &str, body: &Value) -> Result<()> {
        let answer =
            Client::new(ClientSettings::default()).post(address, path, body, REQUEST_TIMEOUT_MS).await;
        match answer {
            Ok(answer) if answer.status == 200 => Ok(()),
            Ok(answer) => Err(HarnessError::ControlStatus {
                path: path.to_owned(),
                status: answer.status,
                body: String::from_utf8_lossy(&answer.body).into_owned(),
            }),
            Err(source) => Err(HarnessError::Control { path: path.to_owned(), source }),
        }
    }
}

/// Fetches an entry's status from its operators' port. Returns `None` when the request fails.
pub async fn status(operators: Address) -> Option<Value> {
    let client = Client::new(ClientSettings::default());
    client.get(operators, "/v1/status", REQUEST_TIMEOUT_MS).await.ok()?.json().ok()
}

/// Fetches an entry's metrics and returns the sum over all series whose names begin with `name`, 0 if there
/// are none. Returns `None` when the request fails.
pub async fn metric(operators: Address, name: &str) -> Option<f64> {
    let client = Client::new(ClientSettings::default());
    let answer = client.get(operators, "/metrics", REQUEST_TIMEOUT_MS).await.ok()?;
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let lines = text.lines().filter(|line| line.starts_with(name));
    Some(lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum())
}

fn listed(instance: &str, zone: &str, kind: InstanceKind, address: Address) -> ListedInstance {
    ListedInstance {
        instance: InstanceId::from(instance),
        incarnation: Incarnation(1),
        kind,
        zone: Zone::from(zone),
        address,
        state: InstanceState::Live,
        fencing: Fencing::Checked,
    }
}
