//! Daemon `banyannotch-gateway`, which runs the library's gateway with the adapter to the platform.

use std::path::PathBuf;
use std::time::Duration;

use banyannotch::gateway::{Gateway, GatewaySettings, journal};
use banyannotch_platform::{PlatformDialect, PlatformEngines, PlatformStore, engine_client, store_client};
use bpaf::Bpaf;
use eyre::WrapErr;
use tokio::signal::unix::{SignalKind, signal};

/// Delay before the process exits, so that the last bytes of the last response are still sent.
const EXIT_DELAY: Duration = Duration::from_millis(50);

/// Routes requests to engines that drive their own pipeline, and to plain services.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    /// Settings file, in TOML
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Check the settings file and exit
    check: bool,
    /// Minimum level of log lines: error, warn, info or debug
    #[bpaf(argument("LEVEL"), fallback(log::LevelFilter::Info), display_fallback)]
    log: log::LevelFilter,
}

fn main() -> eyre::Result<()> {
    let options = options().run();
    let settings = GatewaySettings::read(&options.settings)?;
    if options.check {
        return Ok(());
    }
    journal::install(options.log).wrap_err("cannot start the log thread")?;
    actix_rt::System::new().block_on(run(&options, settings))
}

async fn run(options: &Options, settings: GatewaySettings) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("cannot listen for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("cannot listen for SIGINT")?;
    let mut hang_up = signal(SignalKind::hangup()).wrap_err("cannot listen for SIGHUP")?;
    let store = settings.store;
    let clients = move || (PlatformStore::new(store, store_client()), PlatformEngines::new(engine_client()));
    let mut gateway = Gateway::start(&settings, PlatformDialect, clients)?;
    log::info!("event=started settings=\"{settings:?}\"");
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hang_up.recv() => reload(options, &settings),
            () = gateway.failed() => eyre::bail!("a thread of the gateway has ended unexpectedly"),
        }
    }
    gateway.drain();
    tokio::select! {
        () = gateway.drained() => {}
        () = gateway.failed() => eyre::bail!("a thread of the gateway has ended unexpectedly"),
    }
    log::info!("event=stopped");
    actix_rt::time::sleep(EXIT_DELAY).await;
    Ok(())
}

/// Reads the settings file again and logs whether it has changed. The process keeps its addresses and limits until it
/// ends, so changes take effect at the next start.
fn reload(options: &Options, settings: &GatewaySettings) {
    match GatewaySettings::read(&options.settings) {
        Ok(read) => log::info!("event=reloaded changed={} effective=next_start", read != *settings),
        Err(error) => log::error!("event=reload_refused error=\"{error}\""),
    }
}
