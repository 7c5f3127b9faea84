//! Program `banyannotch-load`: a thin shell around the library.

use std::process::ExitCode;

use banyannotch_load::{Verdict, execute, options};

fn main() -> eyre::Result<ExitCode> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let command = options().run();
    let verdict = actix_rt::System::new().block_on(execute(command))?;
    Ok(match verdict {
        Verdict::Passed => ExitCode::SUCCESS,
        Verdict::Failed => ExitCode::FAILURE,
    })
}
