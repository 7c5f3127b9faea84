//! Stand-in for a plain service. It counts the runs of each idempotency key, so that a call that ran twice is
//! detected.

mod calls;
mod messages;
mod options;
mod runtime;
mod settings;
#[cfg(test)]
mod tests;

pub use calls::Service;
pub use messages::{Answer, Counts, Message, Refused, Runs};
pub use options::options;
pub use runtime::ServiceCodec;
pub use settings::{ServiceFaultPatch, ServiceFaults, ServiceSettings};
