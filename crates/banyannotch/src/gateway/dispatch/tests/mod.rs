//! Tests of dispatch; most record its decisions (sends, retries and refusals) as snapshots.

mod announcements;
mod budgets;
mod chains;
mod crashes;
mod endings;
pub(crate) mod fixtures;
mod late;
mod outcomes;
mod paths;
mod random;
