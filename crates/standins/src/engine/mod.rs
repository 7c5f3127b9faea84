//! Stand-in for an engine that serves a range of layers of the deterministic [`crate::model`].
//!
//! A step runs only if its model, version and layers match the engine and its position matches the cache. A
//! step that is repeated, follows a lost one or reaches the wrong engine is therefore refused before anything
//! runs. Work that ran is counted, and a position that ran twice through a layer in one cache is reported as
//! a duplicate. See section 6 of `docs/design.md`.

mod batching;
mod caches;
mod error;
mod load;
mod messages;
mod options;
mod prefixes;
mod queue;
mod runs;
mod runtime;
mod settings;
#[cfg(test)]
mod tests;

pub use batching::Engine;
pub use error::{Refused, Result};
pub use messages::{Answer, Counts, Message, RequestRuns};
pub use options::options;
pub use prefixes::PREFIX_BLOCK_POSITIONS;
pub use runtime::EngineCodec;
pub use settings::{EngineFaultPatch, EngineFaults, EngineSettings};
