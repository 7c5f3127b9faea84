//! Exchanges the state of dispatch with other gateways over datagrams. It decides nothing.
//!
//! Each exchange is a question and an answer, so that the age of what another gateway tells is bounded by this one's
//! own clock, also after it was suspended. A lost datagram is replaced by the next exchange.

mod changes;
mod messages;
mod policy;
mod runtime;
#[cfg(test)]
mod tests;

pub use changes::{Change, Changes};
pub use messages::{Action, Event, GossipSettings, Message, READERS};
pub use policy::Gossip;
pub use runtime::{Links, spawn};
