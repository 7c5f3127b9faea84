//! Program `banyannotch-load`: runs the commands of the library.

use std::process::ExitCode;

use banyannotch_load::{Command, Verdict, execute, options};
use eyre::WrapErr;
use tokio::signal::unix::{SignalKind, signal};

fn main() -> eyre::Result<ExitCode> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let command = options().run();
    let verdict = actix_rt::System::new().block_on(run(command))?;
    Ok(match verdict {
        Verdict::Passed => ExitCode::SUCCESS,
        Verdict::Failed => ExitCode::FAILURE,
    })
}

/// Runs the command until it ends or a signal arrives. In both cases the deployment is dropped, which ends
/// its processes.
async fn run(command: Command) -> eyre::Result<Verdict> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("cannot listen for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("cannot listen for SIGINT")?;
    tokio::select! {
        verdict = execute(command) => Ok(verdict?),
        _ = terminate.recv() => eyre::bail!("stopped by SIGTERM"),
        _ = interrupt.recv() => eyre::bail!("stopped by SIGINT"),
    }
}
