//! Single requests for scripts. A generation or a call fails unless its answer is complete and correct; plain
//! HTTP requests fail on an error status.

mod ask;
mod call;
mod options;
mod raw;
mod summary;
#[cfg(test)]
mod tests;

pub use ask::ask;
pub use call::call;
pub(crate) use call::echoes;
pub use options::{Ask, Call, Get, KeyTime, Post, ask_options, call_options, get_options, post_options};
pub use raw::{get, post};
pub use summary::Summary;
