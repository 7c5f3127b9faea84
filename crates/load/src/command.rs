//! Commands of the program and what runs them.

use bpaf::Bpaf;

use crate::Result;
use crate::script::{self, Ask, Call, Get, Post};

/// Whether what was checked was right.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// All checks held.
    Passed,
    /// A check failed.
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
    /// Asks for one generation, prints the tokens as they arrive, and checks the answer
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
    }
}
