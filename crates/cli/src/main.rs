//! Command `banyannotch`, with which an operator checks, configures and inspects a fleet of entries.

mod check;
mod client;
mod coverage;
mod drain;
mod error;
mod explain;
mod options;
mod preset;
mod publish;
mod status;

use std::process::ExitCode;

use options::{Command, PresetCommand};

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let command = options::command().run();
    let result = actix_rt::System::new().block_on(run(command));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("banyannotch: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

async fn run(command: Command) -> error::Result<()> {
    match command {
        Command::Check(options) => check::run(&options).await,
        Command::Publish(options) => publish::run(&options).await,
        Command::Preset(PresetCommand::Show(options)) => preset::show(&options).await,
        Command::Preset(PresetCommand::Switch(options)) => preset::switch(&options).await,
        Command::Status(options) => status::run(&options).await,
        Command::Explain(options) => explain::run(&options).await,
        Command::Drain(options) => drain::run(&options).await,
    }
}
