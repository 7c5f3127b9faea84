//! Tests of the execution policy against fake endpoints that run a model whose answers can be checked.

mod calls;
mod model;
mod poison;
mod random;
mod recovery;
mod world;
