//! Tests of routing.

mod cost;
mod fixtures;
mod invariants;
mod limits;
mod placement;
mod simulation;
