//! Daemon `banyannotch-gateway`: a thin shell around the library's gateway and the adapter to the platform.

use std::path::PathBuf;
use std::time::Duration;

use banyannotch::gateway::{Gateway, GatewaySettings, journal};
use banyannotch_platform::{PlatformDialect, PlatformEngines, PlatformStore, http_client};
use bpaf::Bpaf;
use eyre::WrapErr;
use tokio::signal::unix::{SignalKind, signal};

/// Time for the last bytes to leave after the last answer.
const LINGER: Duration = Duration::from_millis(50);

/// Routes requests to engines that drive a pipeline themselves, and to plain services.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    /// Settings file, in TOML
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Check the settings file and exit
    check: bool,
    /// Least level of log lines: error, warn, info or debug
    #[bpaf(argument("LEVEL"), fallback(log::LevelFilter::Info), display_fallback)]
    log: log::LevelFilter,
}

fn main() -> eyre::Result<()> {
    let options = options().run();
    let settings = GatewaySettings::read(&options.settings)?;
    if options.check {
        return Ok(());
    }
    journal::install(options.log).wrap_err("cannot start the log's thread")?;
    actix_rt::System::new().block_on(run(&options, settings))
}

async fn run(options: &Options, settings: GatewaySettings) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("cannot listen for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("cannot listen for SIGINT")?;
    let mut hang_up = signal(SignalKind::hangup()).wrap_err("cannot listen for SIGHUP")?;
    let store = settings.store;
    let clients = move || (PlatformStore::new(store, http_client()), PlatformEngines::new(http_client()));
    let mut gateway = Gateway::start(&settings, PlatformDialect, clients)?;
    log::info!("event=started settings=\"{settings:?}\"");
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hang_up.recv() => reload(options, &settings),
            () = gateway.failed() => eyre::bail!("a duty's thread has ended"),
        }
    }
    gateway.drain();
    tokio::select! {
        () = gateway.drained() => {}
        () = gateway.failed() => eyre::bail!("a duty's thread has ended"),
    }
    log::info!("event=stopped");
    actix_rt::time::sleep(LINGER).await;
    Ok(())
}

/// Reads the settings again. Addresses and bounds hold for the life of a process; a change is logged and takes effect
/// at the next start.
fn reload(options: &Options, settings: &GatewaySettings) {
    match GatewaySettings::read(&options.settings) {
        Ok(read) => log::info!("event=reloaded changed={} effective=next_start", read != *settings),
        Err(error) => log::error!("event=reload_refused error=\"{error}\""),
    }
}
