//! Runs one stand-in as a process that listens on the loopback interface.

use banyannotch::clock::{Clock, SystemClock};
use banyannotch_standins::engine::{Engine, EngineCodec, EngineSettings};
use banyannotch_standins::list::{List, ListCodec, ListFaults};
use banyannotch_standins::log::{Log, LogCodec, LogFaults, LogSettings};
use banyannotch_standins::service::{Service, ServiceCodec, ServiceSettings};
use banyannotch_standins::{engine, list, log, process, service};
use bpaf::{OptionParser, Parser, construct};

/// The stand-in to run: its port and its settings or faults.
enum Command {
    Engine(u16, EngineSettings),
    Service(u16, ServiceSettings),
    Log(u16, LogFaults),
    List(u16, ListFaults),
}

fn main() -> eyre::Result<()> {
    env_logger::init();
    let command = options().run();
    actix_rt::System::new().block_on(start(command))?;
    Ok(())
}

fn options() -> OptionParser<Command> {
    let engine =
        command("engine", "An engine that holds a range of layers", engine::options(), Command::Engine);
    let service = command("service", "A plain service", service::options(), Command::Service);
    let log = command("log", "The append-only log service", log::options(), Command::Log);
    let list = command("list", "The list of instances", list::options(), Command::List);
    construct!([engine, service, log, list])
        .to_options()
        .descr("Stand-ins for the platform; each listens on loopback and prints its address")
}

fn command<T: 'static>(
    name: &'static str,
    help: &'static str,
    settings: impl Parser<T> + 'static,
    to_command: fn(u16, T) -> Command,
) -> impl Parser<Command> {
    let port = process::port_option();
    construct!(port, settings)
        .map(move |(port, settings)| to_command(port, settings))
        .to_options()
        .descr(help)
        .command(name)
}

async fn start(command: Command) -> std::result::Result<(), process::StartError> {
    match command {
        Command::Engine(port, settings) => process::start(port, EngineCodec, Engine::new(settings)).await,
        Command::Service(port, settings) => process::start(port, ServiceCodec, Service::new(settings)).await,
        Command::Log(port, faults) => {
            let origin_unix_ms = SystemClock::start().unix_ms();
            process::start(port, LogCodec, Log::new(LogSettings { origin_unix_ms, faults })).await
        }
        Command::List(port, faults) => process::start(port, ListCodec, List::new(faults)).await,
    }
}
