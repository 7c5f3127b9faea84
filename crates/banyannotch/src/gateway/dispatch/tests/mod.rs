//! Tests of dispatch; most record its decisions (sends, retries and refusals) as snapshots.

mod admission;
mod announcements;
mod budgets;
pub(super) mod candidates;
mod chains;
mod crashes;
mod endings;
mod eras;
pub(crate) mod fixtures;
mod fleet;
mod handoffs;
mod late;
mod outcomes;
mod paths;
mod random;
mod returns;
mod shares;
mod spread;
mod stranded;
mod suspicion;
mod waiting;
