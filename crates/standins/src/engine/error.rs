//! Reasons for which an engine refuses a message without running anything.

use banyannotch::ids::{FencingNumber, ModelId, ModelVersion};
use banyannotch::pipeline::LayerRange;
use thiserror::Error;

/// Result of handling a message, or the reason for its refusal.
pub type Result<T> = std::result::Result<T, Refused>;

/// Reason for which an engine refused a message; nothing ran.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Refused {
    /// The cache does not have the number of positions that the message requires. A missing cache has none.
    #[error("the cache holds {positions} positions")]
    CacheMismatch {
        /// Positions in the cache.
        positions: u32,
    },
    /// The step names layers that the engine does not serve.
    #[error("the engine holds layers {held}")]
    WrongLayers {
        /// Layers that the engine serves.
        held: LayerRange,
    },
    /// The step names a version of the model that the engine does not serve.
    #[error("the engine holds version {held}")]
    WrongVersion {
        /// Version that the engine serves.
        held: ModelVersion,
    },
    /// The step names a model that the engine does not serve.
    #[error("the engine holds model {held}")]
    UnknownModel {
        /// Model that the engine serves.
        held: ModelId,
    },
    /// The engine is leaving and creates no new caches.
    #[error("the engine is leaving")]
    Leaving,
    /// The queue or the caches are full, or layers are being loaded.
    #[error("the engine is busy: {reason}")]
    Busy {
        /// The limit that was reached, or that layers are being loaded.
        reason: &'static str,
    },
    /// The input of a step, an import or an order does not fit the layers, the position or the model.
    #[error("bad input: {expected} expected")]
    BadInput {
        /// Description of the expected input.
        expected: &'static str,
    },
    /// The order's fencing number is lower than that of an accepted order.
    #[error("the fencing number is older than {current}")]
    StaleFencing {
        /// Highest fencing number that was accepted.
        current: FencingNumber,
    },
    /// An injected fault requests this refusal.
    #[error("refused by a fault: {error}")]
    Fault {
        /// Error code that the fault sets.
        error: String,
    },
}
