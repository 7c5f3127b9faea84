//! Layout of a deployment and the speeds of its engines.

use banyannotch::pipeline::LayerRange;
use serde::Serialize;

/// Speed of an engine; the members correspond to the engine stand-in's options of the same names.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Speed {
    /// Fixed time per layer of a batch.
    pub step_us: u64,
    /// Additional time per layer for each step of a batch.
    pub item_us: u64,
    /// Additional time per layer for each position of a step after its first.
    pub prefill_us: u64,
    /// Maximum number of steps in a batch.
    pub batch_limit: u64,
}

impl Speed {
    /// Returns the time per layer of a batch of `items` steps, without prefill work.
    pub fn batch_us(&self, items: u64) -> u64 {
        self.step_us + self.item_us * items
    }

    /// Returns this speed with all times multiplied by a factor.
    pub fn scaled(&self, factor: f64) -> Self {
        let scale = |time_us: u64| (time_us as f64 * factor).round() as u64;
        Self {
            step_us: scale(self.step_us),
            item_us: scale(self.item_us),
            prefill_us: scale(self.prefill_us),
            ..*self
        }
    }
}

/// One engine of a layout.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EnginePlan {
    /// Name of the instance.
    pub instance: String,
    /// Zone of the instance.
    pub zone: String,
    /// Layers that the engine serves.
    #[serde(flatten)]
    pub layers: LayerRange,
    /// Speed of the engine.
    pub speed: Speed,
}

/// Engines, service endpoints and entries of a deployment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Layout {
    /// Engines in start order.
    pub engines: Vec<EnginePlan>,
    /// Instances of the plain service, with their zones.
    pub services: Vec<(String, String)>,
    /// Entries, with their zones.
    pub entries: Vec<(String, String)>,
    /// Capacity of the prefix cache of each engine in positions; 0 for none.
    pub prefix_cache: u64,
}

impl Layout {
    /// Returns a layout of `stages` stages with `replicas` equal engines each, one entry and no service
    /// endpoint.
    pub fn uniform(layers: u16, stages: u16, replicas: u16, speed: Speed) -> Self {
        let per_stage = layers / stages.max(1);
        let mut engines = Vec::new();
        for replica in 0..replicas {
            for stage in 0..stages {
                let end = if stage + 1 == stages { layers } else { (stage + 1) * per_stage };
                engines.push(EnginePlan {
                    instance: format!("engine-{stage}-{replica}"),
                    zone: "zone-1".to_owned(),
                    layers: LayerRange::new(stage * per_stage, end),
                    speed,
                });
            }
        }
        Self {
            engines,
            services: Vec::new(),
            entries: vec![("entry-1".to_owned(), "zone-1".to_owned())],
            prefix_cache: 0,
        }
    }

    /// Returns the distinct layer ranges in order; each is a stage of the pipeline.
    pub fn stages(&self) -> Vec<LayerRange> {
        let mut stages: Vec<LayerRange> = self.engines.iter().map(|engine| engine.layers).collect();
        stages.sort();
        stages.dedup();
        stages
    }
}
