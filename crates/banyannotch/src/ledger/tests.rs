//! Tests of the ledger.
