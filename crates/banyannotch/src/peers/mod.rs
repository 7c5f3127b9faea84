//! Gossips configurations, observations and suspicions between entries, so that a change reaches every entry
//! within seconds even while the log is slow. It forwards them without evaluating them.
//!
//! See "Between entries" in `docs/design.md`.

mod codec;
mod connection;
mod error;
mod messages;
#[allow(
    clippy::all,
    clippy::semicolon_if_nothing_returned,
    clippy::unimplemented,
    clippy::unwrap_used,
    dead_code,
    missing_docs,
    reason = "generated from schemas/peer.capnp"
)]
#[rustfmt::skip]
mod peer_capnp;
mod findings;
mod policy;
mod runtime;
mod server;
mod state;
#[cfg(test)]
mod tests;

pub use codec::{read_digest, write_digest};
pub use error::{PeerError, Result};
pub use messages::{Action, AgedFinding, CallId, Digest, EntryAddress, Event, Finding};
pub use policy::Exchange;
pub use runtime::{Links, spawn};
pub use state::ExchangeSettings;
