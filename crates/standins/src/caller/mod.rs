//! A caller of an entry: sends requests, reads answers token by token, and checks them.

mod client;
mod error;
mod messages;
mod stream;
#[cfg(test)]
mod tests;

pub use client::Caller;
pub use error::{CallerError, Result};
pub use messages::{CallBody, Event, GenerateBody, OutcomeBody, TokenBody};
pub use stream::{Answer, AnswerStream, EventParser};
