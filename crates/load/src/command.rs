//! Commands of the program and their dispatch.

use bpaf::Bpaf;

use crate::Result;
use crate::idle::{self, IdleOptions};
use crate::overhead::{self, OverheadOptions};
use crate::run::{self, RunOptions};
use crate::script::{self, Ask, Call, Get, Post};
use crate::slopes::{self, SlopesOptions};
use crate::soak::{self, SoakOptions};

/// Result of the checks of a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// All checks passed.
    Passed,
    /// At least one check failed.
    Failed,
}

impl Verdict {
    /// Returns [`Verdict::Passed`] when the condition holds.
    pub fn of(condition: bool) -> Self {
        if condition { Self::Passed } else { Self::Failed }
    }
}

/// Sends requests to entries, checks the answers and measures
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
pub enum Command {
    /// Runs one generation, prints the tokens as they arrive, and checks the answer
    #[bpaf(command)]
    Ask(#[bpaf(external(script::ask_options))] Ask),
    /// Calls a plain service once
    #[bpaf(command)]
    Call(#[bpaf(external(script::call_options))] Call),
    /// Posts JSON and prints the answer
    #[bpaf(command)]
    Post(#[bpaf(external(script::post_options))] Post),
    /// Fetches a path and prints the answer
    #[bpaf(command)]
    Get(#[bpaf(external(script::get_options))] Get),
    /// Runs a closed loop against engines without an entry
    #[bpaf(command)]
    Direct(#[bpaf(external(overhead::overhead_options))] OverheadOptions),
    /// Runs the same closed loop through one entry
    #[bpaf(command)]
    Routed(#[bpaf(external(overhead::overhead_options))] OverheadOptions),
    /// Compares direct and routed closed loops, and the token latencies of single requests
    #[bpaf(command)]
    Overhead(#[bpaf(external(overhead::overhead_options))] OverheadOptions),
    /// Measures the processor time and memory of idle entries
    #[bpaf(command)]
    Idle(#[bpaf(external(idle::idle_options))] IdleOptions),
    /// Measures what each additional endpoint, entry, team or configuration change costs an entry
    #[bpaf(command)]
    Slopes(#[bpaf(external(slopes::slopes_options))] SlopesOptions),
    /// Runs a scenario with open-loop load and faults
    #[bpaf(command)]
    Run(#[bpaf(external(run::run_options))] RunOptions),
    /// Injects random faults under moderate load and fails on any violation
    #[bpaf(command)]
    Soak(#[bpaf(external(soak::soak_options))] SoakOptions),
}

/// Returns the parser of the command line.
pub fn options() -> bpaf::OptionParser<Command> {
    command()
}

/// Runs a command.
///
/// # Errors
/// Returns [`crate::LoadError`] when the command could not be carried out.
pub async fn execute(command: Command) -> Result<Verdict> {
    match command {
        Command::Ask(ask) => script::ask(&ask, &mut std::io::stdout()).await,
        Command::Call(call) => script::call(&call, &mut std::io::stdout()).await,
        Command::Post(post) => script::post(&post, &mut std::io::stdout()).await,
        Command::Get(get) => script::get(&get, &mut std::io::stdout()).await,
        Command::Direct(options) => overhead::direct(&options).await,
        Command::Routed(options) => overhead::routed(&options).await,
        Command::Overhead(options) => overhead::overhead(&options).await,
        Command::Idle(options) => idle::idle(&options).await,
        Command::Slopes(options) => slopes::slopes(&options).await,
        Command::Run(options) => run::run(&options).await,
        Command::Soak(options) => soak::soak(&options).await,
    }
}
