//! Daemon `banyannotch-entry`: reads the settings and runs an entry until it is stopped.

use std::io::Write;
use std::path::PathBuf;
use std::time::Duration;

use banyannotch::entry::Entry;
use banyannotch::settings::Settings;
use bpaf::Bpaf;
use eyre::WrapErr;

/// Time between the end of the drain and the exit, so that the last responses can still be written to their
/// sockets.
const FLUSH_DELAY: Duration = Duration::from_millis(500);

/// Routes requests to model pipelines and plain services.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    /// Settings file, in TOML
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
}

fn main() -> eyre::Result<()> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let options = options().run();
    let settings = Settings::read(&options.settings)?;
    actix_rt::System::new().block_on(run(settings))
}

async fn run(settings: Settings) -> eyre::Result<()> {
    let mut entry = Entry::start(settings)?;
    let addresses = entry.addresses();
    let mut stdout = std::io::stdout();
    let lines = format!(
        "listening callers {}\nlistening peers {}\nlistening operators {}",
        addresses.callers, addresses.peers, addresses.operators
    );
    writeln!(stdout, "{lines}").and_then(|()| stdout.flush()).wrap_err("cannot print the addresses")?;
    tokio::select! {
        result = wait_for_signal() => result?,
        () = entry.drained() => return stop().await,
        () = entry.failed() => eyre::bail!("the thread of a duty has ended unexpectedly"),
    }
    log::info!("event=draining");
    entry.drain();
    tokio::select! {
        () = entry.drained() => stop().await,
        () = entry.failed() => eyre::bail!("the thread of a duty has ended unexpectedly"),
    }
}

/// Waits [`FLUSH_DELAY`] for the last responses to be written, then logs the stop.
async fn stop() -> eyre::Result<()> {
    actix_rt::time::sleep(FLUSH_DELAY).await;
    log::info!("event=stopped");
    Ok(())
}

/// Waits for SIGTERM or SIGINT, which start a graceful shutdown.
async fn wait_for_signal() -> eyre::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate()).wrap_err("cannot listen for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("cannot listen for SIGINT")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
