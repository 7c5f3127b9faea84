//! Messages and answers of an engine.

use banyannotch::engine::{CacheEvents, CacheName, CacheState, EngineLoad, Order, StepAnswer, StepRequest};
use banyannotch::ids::{Attempt, CacheId, RequestId};
use banyannotch::pipeline::LayerRange;
use serde::{Deserialize, Serialize};

use super::{EngineFaultPatch, EngineFaults, Refused};

/// A message to an engine.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Run a step.
    Step(StepRequest),
    /// Free a cache.
    Cancel(CacheName),
    /// Copy a cache out.
    Export(CacheName),
    /// Create a cache from a copy.
    Import(CacheState),
    /// Report the load.
    Load,
    /// List cache events.
    CacheEvents {
        /// First sequence number wanted.
        from: u64,
    },
    /// Hold other layers.
    Order(Order),
    /// Change faults.
    SetFaults(EngineFaultPatch),
    /// Report the counts.
    Counts,
    /// List what ran for each request.
    Requests,
}

impl Message {
    /// Returns whether the message comes from a test rather than over the published protocol.
    pub fn is_control(&self) -> bool {
        matches!(self, Self::SetFaults(_) | Self::Counts | Self::Requests)
    }
}

/// An answer of an engine.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The step ran.
    Step(StepAnswer),
    /// Nothing ran.
    Refused(Refused),
    /// It is done.
    Done,
    /// Copy of a cache.
    State(CacheState),
    /// Load report.
    Load(EngineLoad),
    /// Cache events.
    CacheEvents(CacheEvents),
    /// Faults in effect.
    Faults(EngineFaults),
    /// Counts since the start.
    Counts(Counts),
    /// What ran for each request.
    Requests(Vec<RequestRuns>),
}

/// What an engine did since it started.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Batches that were started.
    pub batches: u64,
    /// Steps that ran.
    pub steps: u64,
    /// Positions that ran.
    pub positions: u64,
    /// Positions that ran, once for each layer.
    pub layer_positions: u64,
    /// Tokens that were generated.
    pub tokens: u64,
    /// Triples of cache, position and layer that ran again.
    pub duplicates: u64,
    /// Steps that ran on a cache of another request or attempt.
    pub foreign: u64,
    /// Messages that were refused.
    pub refused: u64,
    /// Steps that ran and got no answer because of a fault.
    pub dropped_answers: u64,
    /// Caches that were cancelled.
    pub cancelled: u64,
    /// Caches that were freed because they were idle.
    pub idle_freed: u64,
    /// Orders that were taken.
    pub orders: u64,
    /// Caches that exist.
    pub caches: u64,
}

/// What ran for one request in one cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestRuns {
    /// Request.
    pub request: RequestId,
    /// Attempt.
    pub attempt: Attempt,
    /// Cache.
    pub cache: CacheId,
    /// Layers that ran.
    #[serde(flatten)]
    pub layers: LayerRange,
    /// First position that ran.
    pub first: u32,
    /// Position after the last one that ran.
    pub end: u32,
    /// Steps that ran.
    pub steps: u32,
    /// Pairs of position and layer that ran again.
    pub duplicates: u64,
}
