//! Tests of configuration.

mod documents;
mod fake_log;
mod random_runs;
mod situations;
mod world;
