//! Stand-in for the platform's append-only log service, with a rate limit, a retention time and outages.

mod messages;
mod options;
mod rate;
mod runtime;
mod settings;
mod streams;
#[cfg(test)]
mod tests;

pub use messages::{Answer, Counts, Message, ReadRequest, Refused};
pub use options::options;
pub use runtime::LogCodec;
pub use settings::{LogFaultPatch, LogFaults, LogSettings};
pub use streams::Log;
