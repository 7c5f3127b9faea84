//! Tests of admission.

mod cost;
mod decisions;
mod fixtures;
mod invariants;
mod shares;
