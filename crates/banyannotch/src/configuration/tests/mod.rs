//! Tests of the configuration duty.

mod documents;
mod fake_log;
mod random_runs;
mod situations;
mod world;
