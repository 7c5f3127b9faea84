//! Settings and injectable faults of an engine.

use banyannotch::backing::Fencing;
use banyannotch::ids::{Incarnation, InstanceId, Zone};
use banyannotch::pipeline::LayerRange;

use crate::control::faults;
use crate::model::Model;

/// Identity, capacity and speed of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSettings {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Identifies this start of the instance.
    pub incarnation: Incarnation,
    /// Availability zone; informational only.
    pub zone: Zone,
    /// Model that is loaded at startup.
    pub model: Model,
    /// Layers that are loaded at startup.
    pub layers: LayerRange,
    /// Number of layers of the whole model.
    pub model_layers: u16,
    /// Fixed time of a batch per layer, in microseconds.
    pub step_us: u64,
    /// Additional time per layer for each step of a batch, in microseconds.
    pub item_us: u64,
    /// Additional time per layer for each position of a step after its first, in microseconds. Positions in
    /// the prefix cache take no time.
    pub prefill_us: u64,
    /// Maximum number of steps in a batch.
    pub batch_limit: usize,
    /// Maximum number of queued steps.
    pub queue_limit: usize,
    /// Maximum number of positions in all caches together.
    pub cache_limit: u64,
    /// Capacity of the prefix cache in positions; 0 disables it.
    pub prefix_cache: u64,
    /// Age of the reported load, in milliseconds.
    pub load_lag_ms: u64,
    /// Delay after which a cache event becomes visible, in milliseconds.
    pub event_lag_ms: u64,
    /// One in this many cache events is lost; 0 disables the loss.
    pub event_gap_every: u64,
    /// Whether an order with an old fencing number is refused.
    pub fencing: Fencing,
    /// Time to load the model and layers that an order names, in milliseconds.
    pub load_time_ms: u64,
    /// Time without use after which a cache is freed, in milliseconds; 0 disables freeing.
    pub idle_cache_ms: u64,
    /// Faults that are active at startup.
    pub faults: EngineFaults,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            instance: "engine".into(),
            incarnation: Incarnation(1),
            zone: "zone-1".into(),
            model: Model::new("m", 1),
            layers: LayerRange::new(0, 8),
            model_layers: 8,
            step_us: 200,
            item_us: 20,
            prefill_us: 10,
            batch_limit: 32,
            queue_limit: 1_024,
            cache_limit: 1_000_000,
            prefix_cache: 0,
            load_lag_ms: 100,
            event_lag_ms: 100,
            event_gap_every: 0,
            fencing: Fencing::Checked,
            load_time_ms: 500,
            idle_cache_ms: 30_000,
            faults: EngineFaults::default(),
        }
    }
}

faults! {
    /// Faults that can be injected into an engine.
    EngineFaults, EngineFaultPatch {
        /// Defer all messages (except control messages) and all answers until this is cleared.
        freeze: bool = false,
        /// Number of next steps that are accepted but neither run nor answered.
        freeze_next: u32 = 0,
        /// Factor by which the time of each batch is multiplied.
        slow_factor: f64 = 1.0,
        /// Delay of each answer, except to control messages, in microseconds.
        link_delay_us: u64 = 0,
        /// Exit when a batch starts with a prompt that contains this text; empty disables the fault.
        crash_on: String = String::new(),
        /// Report that the instance is leaving, and create no new caches.
        leaving: bool = false,
        /// Number of next steps that run and whose connection is then closed without an answer.
        drop_answer_next: u32 = 0,
        /// Refuse each step with this error code; empty disables the fault.
        refuse: String = String::new(),
    }
}
