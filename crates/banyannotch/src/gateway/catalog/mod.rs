//! Follows the configuration and the endpoints in the store, and publishes both with proofs of how fresh they
//! are.
//!
//! State is monotonic: the version of the configuration never decreases, and an endpoint that announced its
//! departure stays leaving until it restarts. See `docs/platform.md`, and `docs/design/store-era.md` for a store that comes
//! back from a backup.

mod departures;
mod entries;
#[cfg(test)]
mod era_response_tests;
#[cfg(test)]
mod era_tests;
mod eras;
mod exchange;
#[cfg(test)]
mod exchange_tests;
#[cfg(test)]
mod fleet;
mod messages;
mod policy;
mod runtime;
#[cfg(test)]
mod tests;

pub use messages::{Action, CatalogSettings, Decision, EraSource, Event, PeerUpdate, ProofSource};
pub use policy::Catalog;
pub use runtime::{Links, spawn};
