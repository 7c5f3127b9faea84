//! Client of an entry that sends requests as a caller does and decodes the answers event by event.

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
