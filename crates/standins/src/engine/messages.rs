//! Messages to an engine and its answers.

use banyannotch::engine::{CacheEvents, CacheName, CacheState, EngineLoad, Order, StepAnswer, StepRequest};
use banyannotch::ids::{Attempt, CacheId, RequestId};
use banyannotch::pipeline::LayerRange;
use serde::{Deserialize, Serialize};

use super::{EngineFaultPatch, EngineFaults, Refused};

/// A message to an engine.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Runs a step.
    Step(StepRequest),
    /// Frees a cache and refuses its queued steps.
    Cancel(CacheName),
    /// Returns a copy of a cache.
    Export(CacheName),
    /// Creates a cache from an exported copy.
    Import(CacheState),
    /// Returns the load report.
    Load,
    /// Lists cache events.
    CacheEvents {
        /// First sequence number to return.
        from: u64,
    },
    /// Loads other layers, or another model or version.
    Order(Order),
    /// Changes the injected faults.
    SetFaults(EngineFaultPatch),
    /// Returns the counters.
    Counts,
    /// Lists the steps that ran for each request.
    Requests,
}

impl Message {
    /// Returns whether the message belongs to the control interface for tests, not to the engine's protocol.
    pub fn is_control(&self) -> bool {
        matches!(self, Self::SetFaults(_) | Self::Counts | Self::Requests)
    }
}

/// An answer of an engine.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The step ran.
    Step(StepAnswer),
    /// The message was refused and nothing ran.
    Refused(Refused),
    /// The message was carried out and has no result.
    Done,
    /// Copy of a cache.
    State(CacheState),
    /// Load report.
    Load(EngineLoad),
    /// Cache events.
    CacheEvents(CacheEvents),
    /// Active faults.
    Faults(EngineFaults),
    /// Counters since startup.
    Counts(Counts),
    /// Steps that ran for each request.
    Requests(Vec<RequestRuns>),
}

/// Counters of an engine since startup.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Batches that were started.
    pub batches: u64,
    /// Steps that ran.
    pub steps: u64,
    /// Positions that ran.
    pub positions: u64,
    /// Positions that ran, counted once for each layer.
    pub layer_positions: u64,
    /// Tokens that were generated.
    pub tokens: u64,
    /// Repeated runs of a position through a layer in the same cache.
    pub duplicates: u64,
    /// Steps that ran on a cache that belongs to another request or attempt.
    pub foreign: u64,
    /// Messages that were refused.
    pub refused: u64,
    /// Steps that ran but were not answered because of an injected fault.
    pub dropped_answers: u64,
    /// Caches that were freed by a cancellation.
    pub cancelled: u64,
    /// Caches that were freed after the idle time.
    pub idle_freed: u64,
    /// Orders that were accepted.
    pub orders: u64,
    /// Caches that exist now.
    pub caches: u64,
}

/// Contiguous positions that ran for one attempt of a request in one cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestRuns {
    /// Request that the steps belong to.
    pub request: RequestId,
    /// Attempt that the steps belong to.
    pub attempt: Attempt,
    /// Cache in which the steps ran.
    pub cache: CacheId,
    /// Layers through which the positions ran.
    #[serde(flatten)]
    pub layers: LayerRange,
    /// First position that ran.
    pub first: u32,
    /// End of the range of positions that ran, exclusive.
    pub end: u32,
    /// Number of steps that ran.
    pub steps: u32,
    /// Repeated runs of a position through a layer.
    pub duplicates: u64,
}
