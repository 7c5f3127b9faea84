//! Runs the policy of execution against fake endpoints that compute checkable answers.

mod calls;
mod model;
mod poison;
mod random;
mod recovery;
mod world;
