//! Follows the configuration and the endpoints in the store, and publishes both with proofs of how fresh they
//! are.
//!
//! State is monotonic: the version of the configuration never decreases, and an endpoint that announced its
//! departure stays leaving until it restarts. See `docs/platform.md`.

mod departures;
mod entries;
mod exchange;
#[cfg(test)]
mod exchange_tests;
mod messages;
mod policy;
mod runtime;
#[cfg(test)]
mod tests;

pub use messages::{Action, CatalogSettings, Decision, Event, PeerUpdate, ProofSource};
pub use policy::Catalog;
pub use runtime::{Links, spawn};
