//! Tests of the ledger: tables of faults, and random runs over several entries.

mod simulation;
mod world;
