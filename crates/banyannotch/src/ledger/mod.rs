//! Makes a non-idempotent request run at most once over all entries, by the order of claims in the platform's log.
//!
//! See "Ledger" in `docs/design.md`.

mod messages;
mod runtime;

pub use messages::{Answer, Claim, Decision, Event, Nonce, Record, Recorded, Verdict};
pub use runtime::{Links, spawn};
