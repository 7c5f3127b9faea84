//! Tests of the ledger: tables of faults, the form of the records, the thread, and random runs over several entries.

mod faults;
mod records;
mod simulation;
mod thread;
mod world;
