//! Exchanges the state of dispatch with other gateways over UDP. Gossip makes no decisions from this state.
//!
//! Each exchange is a request and a reply. A gateway can therefore bound the age of a peer's state by its own clock,
//! even after it was suspended. Lost datagrams are not resent; the next exchange replaces them.

mod changes;
#[cfg(test)]
mod crash_tests;
#[cfg(test)]
mod ending_tests;
#[cfg(test)]
mod era_tests;
#[cfg(test)]
mod fleet;
mod members;
mod messages;
mod policy;
mod relays;
mod runtime;
mod sections;
#[cfg(test)]
mod tests;

pub use changes::{Change, Changes};
pub use messages::{Action, Event, GossipSettings, Mention, Message, READER_COUNT};
pub use policy::Gossip;
pub use runtime::{Links, spawn};
#[cfg(test)]
pub(super) use sections::{decode_datagram, encode_datagram};
pub(super) use sections::{decode_sections, encode_sections};
