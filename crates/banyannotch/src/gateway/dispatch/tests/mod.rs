//! Tests of dispatch; most record its decisions (sends, retries and refusals) as snapshots.

mod budgets;
mod chains;
mod crashes;
pub(crate) mod fixtures;
mod outcomes;
mod paths;
mod random;
