//! Refusals: nothing ran.

use banyannotch::ids::{FencingNumber, ModelId, ModelVersion};
use banyannotch::pipeline::LayerRange;
use thiserror::Error;

/// Result of a check.
pub type Result<T> = std::result::Result<T, Refused>;

/// Why an engine ran nothing.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Refused {
    /// The cache holds another number of positions.
    #[error("the cache holds {positions} positions")]
    CacheMismatch {
        /// Positions in the cache.
        positions: u32,
    },
    /// The engine holds other layers.
    #[error("the engine holds layers {held}")]
    WrongLayers {
        /// Layers of the engine.
        held: LayerRange,
    },
    /// The engine holds another version.
    #[error("the engine holds version {held}")]
    WrongVersion {
        /// Version of the engine.
        held: ModelVersion,
    },
    /// The engine holds another model.
    #[error("the engine holds model {held}")]
    UnknownModel {
        /// Model of the engine.
        held: ModelId,
    },
    /// The engine is leaving and takes no new cache.
    #[error("the engine is leaving")]
    Leaving,
    /// The engine has no room or is loading.
    #[error("the engine is busy: {limit}")]
    Busy {
        /// What is exhausted.
        limit: &'static str,
    },
    /// The input does not fit the engine's layers or the step.
    #[error("bad input: {expected} expected")]
    BadInput {
        /// What would have been accepted.
        expected: &'static str,
    },
    /// The order's fencing number is older than one already taken.
    #[error("the fencing number is older than {current}")]
    StaleFencing {
        /// Highest number that was taken.
        current: FencingNumber,
    },
    /// A fault that was set asks for this refusal.
    #[error("refused by a fault: {error}")]
    Fault {
        /// Code of the refusal.
        error: String,
    },
}
