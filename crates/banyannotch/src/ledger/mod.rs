//! Ensures that a non-idempotent request runs at most once across all entries. The order of claims in the
//! platform's log decides which request may run.
//!
//! A claim is granted only after its record was read back as the first one of its key. A claim that is not
//! granted in time is never granted later, so the answer "not run" holds even if its record still reaches the
//! log. See "Ledger" in `docs/design.md`.

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
    Action, Answer, AppendResult, Claim, Decision, Event, Input, Invariant, Nonce, OutcomeReport,
    RecordedOutcome, Verdict,
};
pub use policy::Ledger;
pub use records::{Batch, Item, Page, PageRow, decode, decode_batch, encode_batch, stream_name};
pub use runtime::{Links, spawn};
pub use state::LedgerSettings;
