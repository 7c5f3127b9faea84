//! Command-line options.

use std::net::SocketAddr;
use std::path::PathBuf;

use banyannotch::configuration::PresetName;
use bpaf::{Bpaf, Parser};

/// Operates a fleet of entries
#[derive(Bpaf, Clone, Debug)]
#[bpaf(
    options,
    version,
    footer(
        "Exit codes: 0 done, 1 failed, 2 wrong input, 3 refused (another record was first, or the content is \
         wrong), 4 not known, or not in force everywhere in time."
    )
)]
pub enum Command {
    /// Checks settings and configuration files and prints every error.
    ///
    /// Example: banyannotch check --settings entry.toml --configuration riga.toml
    #[bpaf(command)]
    Check(#[bpaf(external(check_options))] CheckOptions),
    /// Publishes a configuration and waits until it is in force.
    ///
    /// Example: banyannotch publish --log 10.0.0.5:9000 --operators 10.0.0.11:8082 --author ilze riga.toml
    #[bpaf(command)]
    Publish(#[bpaf(external(publish_options))] PublishOptions),
    /// Shows or switches the preset
    #[bpaf(command)]
    Preset(#[bpaf(external(preset_command))] PresetCommand),
    /// Shows instances, versions in force and endpoints.
    ///
    /// Example: banyannotch status --operators 10.0.0.11:8082 --operators 10.0.0.12:8082
    #[bpaf(command)]
    Status(#[bpaf(external(status_options))] StatusOptions),
    /// Prints the decisions about one request.
    ///
    /// Example: banyannotch explain --operators 10.0.0.11:8082 6be1a08e22076aad0000000000000001
    #[bpaf(command)]
    Explain(#[bpaf(external(explain_options))] ExplainOptions),
    /// Drains an entry, or an endpoint in every preset.
    ///
    /// Example: banyannotch drain entry --operators 10.0.0.11:8082
    #[bpaf(command)]
    Drain(#[bpaf(external(drain_options))] DrainOptions),
}

/// Files to check.
#[derive(Bpaf, Clone, Debug)]
pub struct CheckOptions {
    /// Settings file of an entry
    #[bpaf(long, argument("FILE"))]
    pub settings: Vec<PathBuf>,
    /// Configuration document
    #[bpaf(long, argument("FILE"))]
    pub configuration: Vec<PathBuf>,
    /// Operators' port of an entry; the drain set of each preset is checked against the endpoints that it
    /// reports
    #[bpaf(long, argument("IP:PORT"))]
    pub operators: Vec<SocketAddr>,
}

/// Entries to contact and the time to wait for them.
#[derive(Bpaf, Clone, Debug)]
pub struct Fleet {
    /// Operators' port of an entry; the peers that it reports are queried as well
    #[bpaf(long, argument("IP:PORT"), some("at least one --operators is needed"))]
    pub operators: Vec<SocketAddr>,
    /// Maximum time to wait
    #[bpaf(long, argument("MS"), fallback(10_000), display_fallback)]
    pub timeout_ms: u64,
}

/// Options for publishing a configuration record.
#[derive(Bpaf, Clone, Debug)]
pub struct Publishing {
    /// The platform's log service
    #[bpaf(long, argument("IP:PORT"))]
    pub log: SocketAddr,
    /// Author of the record
    #[bpaf(long, argument("NAME"))]
    pub author: String,
    /// Version that the record is based on; by default the one in force
    #[bpaf(long, argument("VERSION"))]
    pub base: Option<u64>,
    /// Publish even if the active preset drains the last endpoint of some layers or of a service
    #[bpaf(long)]
    pub force: bool,
    #[bpaf(external)]
    pub fleet: Fleet,
}

/// Document to publish and how.
#[derive(Bpaf, Clone, Debug)]
pub struct PublishOptions {
    #[bpaf(external)]
    pub publishing: Publishing,
    /// Configuration document
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

/// Shows or switches the preset.
#[derive(Bpaf, Clone, Debug)]
pub enum PresetCommand {
    /// Shows the preset in force at each entry.
    ///
    /// Example: banyannotch preset show --operators 10.0.0.11:8082
    #[bpaf(command)]
    Show(#[bpaf(external(status_options))] StatusOptions),
    /// Switches the preset and waits until it is in force everywhere.
    ///
    /// Example: banyannotch preset switch --log 10.0.0.5:9000 --operators 10.0.0.11:8082 --author ilze peak
    #[bpaf(command)]
    Switch(#[bpaf(external(switch_options))] SwitchOptions),
}

/// Preset to switch to and how to publish the switch.
#[derive(Bpaf, Clone, Debug)]
pub struct SwitchOptions {
    #[bpaf(external)]
    pub publishing: Publishing,
    #[bpaf(external(preset_name))]
    pub preset: PresetName,
}

/// Entries to show, and the output format.
#[derive(Bpaf, Clone, Debug)]
pub struct StatusOptions {
    #[bpaf(external)]
    pub fleet: Fleet,
    /// Print JSON
    #[bpaf(long)]
    pub json: bool,
}

/// Request to explain and the entries to query.
#[derive(Bpaf, Clone, Debug)]
pub struct ExplainOptions {
    #[bpaf(external)]
    pub fleet: Fleet,
    /// Identifier of the request, as its outcome reports it
    #[bpaf(positional("REQUEST"))]
    pub request: String,
}

/// Entries or endpoint to drain.
#[derive(Bpaf, Clone, Debug)]
pub enum DrainOptions {
    /// Drains the entries with the given operators' ports
    #[bpaf(command)]
    Entry(#[bpaf(external(fleet))] Fleet),
    /// Adds an instance to the drain set of every preset
    #[bpaf(command)]
    Endpoint {
        #[bpaf(external)]
        publishing: Publishing,
        /// Name of the instance
        #[bpaf(positional("INSTANCE"))]
        instance: String,
    },
}

fn preset_name() -> impl Parser<PresetName> {
    bpaf::positional::<String>("PRESET").help("ordinary, peak or maintenance").parse(|text| {
        match text.as_str() {
            "ordinary" => Ok(PresetName::Ordinary),
            "peak" => Ok(PresetName::Peak),
            "maintenance" => Ok(PresetName::Maintenance),
            other => Err(format!("{other:?} is not a preset; allowed are ordinary, peak, maintenance")),
        }
    })
}
