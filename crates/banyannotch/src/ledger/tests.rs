//! Tests of the ledger: single faults, the format of the records, the thread, and random fault scripts over
//! several entries.

mod faults;
mod records;
mod simulation;
mod thread;
mod world;
