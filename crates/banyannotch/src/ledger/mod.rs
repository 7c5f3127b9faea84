//! Makes a non-idempotent request run at most once over all entries, by the order of claims in the platform's log.
//!
//! A claim is granted only after its record was read back as the first one of its key. A claim that is not granted in
//! time is given up for good, so "not run" is true whatever becomes of its record. See "Ledger" in `docs/design.md`.

mod error;
mod messages;
mod policy;
mod records;
mod runtime;
mod shard;
mod state;

#[cfg(test)]
mod tests;

pub use error::{RecordError, Result};
pub use messages::{
    Action, Answer, Appending, Claim, Decision, Event, Input, Invariant, Nonce, Record, Recorded, Verdict,
};
pub use policy::Ledger;
pub use records::{Batch, Item, Page, PageRow, decode, decode_batch, encode_batch, stream_name};
pub use runtime::{Links, spawn};
pub use state::LedgerSettings;
