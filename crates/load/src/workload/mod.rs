//! What callers ask for.

mod prompts;

pub use prompts::prompt;
