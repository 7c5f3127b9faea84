//! Tests of dispatch; most record its decisions (sends, retries and refusals) as snapshots.

mod announcements;
mod budgets;
pub(super) mod candidates;
mod chains;
mod crashes;
pub(crate) mod fixtures;
mod fleet;
mod late;
mod outcomes;
mod paths;
mod random;
mod spread;
