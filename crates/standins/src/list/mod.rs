//! Stand-in for the platform's instance list, in which changes become visible after a configurable lag.

mod messages;
mod options;
mod runtime;
mod settings;
#[cfg(test)]
mod tests;
mod versions;

pub use messages::{Answer, Change, Message};
pub use options::options;
pub use runtime::ListCodec;
pub use settings::{ListFaultPatch, ListFaults};
pub use versions::List;
