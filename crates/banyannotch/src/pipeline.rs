//! Layer ranges and routes. A [`Route`] can only be built from stages that cover each layer of the model exactly once.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{EndpointId, ModelId, ModelVersion, Zone};

/// Result of building a route.
pub type Result<T> = std::result::Result<T, RouteError>;

/// A half-open range of layers, `begin..end`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LayerRange {
    /// First layer of the range.
    #[serde(rename = "layer_begin")]
    pub begin: u16,
    /// Layer after the last one of the range.
    #[serde(rename = "layer_end")]
    pub end: u16,
}

impl LayerRange {
    /// Creates the range `begin..end`.
    pub fn new(begin: u16, end: u16) -> Self {
        Self { begin, end }
    }

    /// Returns the number of layers.
    pub fn len(&self) -> u16 {
        self.end.saturating_sub(self.begin)
    }

    /// Returns whether the range contains no layer.
    pub fn is_empty(&self) -> bool {
        self.end <= self.begin
    }
}

impl std::fmt::Display for LayerRange {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}..{}", self.begin, self.end)
    }
}

/// IP address and port that a process listens on.
pub type Address = std::net::SocketAddr;

/// An endpoint with its address and its zone. The zone is used to find failures with a common cause.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Identifier of the endpoint.
    pub endpoint: EndpointId,
    /// Address that the endpoint listens on.
    pub address: Address,
    /// Zone of the endpoint.
    pub zone: Zone,
}

/// One stage of a route: an endpoint and the layers that it runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Stage {
    /// Endpoint that runs the stage.
    pub target: Target,
    /// Layers that the endpoint holds.
    pub layers: LayerRange,
}

/// Error in the stages of a route.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum RouteError {
    /// The list of stages is empty.
    #[error("a route needs at least one stage")]
    Empty,
    /// A stage does not begin where the previous one ends, so a layer would be missing or run twice.
    #[error("stage {stage} begins at layer {begin}, expected layer {expected}")]
    Misaligned {
        /// Index of the stage.
        stage: usize,
        /// Layer at which the stage begins.
        begin: u16,
        /// Layer after the last one of the previous stage; 0 for the first stage.
        expected: u16,
    },
    /// The layer range of a stage is empty.
    #[error("stage {stage} holds no layer")]
    EmptyStage {
        /// Index of the stage.
        stage: usize,
    },
    /// The last stage does not end at the last layer of the model.
    #[error("the route ends at layer {end}, the model has {layers} layers")]
    WrongEnd {
        /// Layer after the last one of the route.
        end: u16,
        /// Number of layers of the model.
        layers: u16,
    },
    /// A replacement does not hold the layers of the stage that it replaces.
    #[error("the replacement holds layers {offered}, the stage needs {needed}")]
    LayerMismatch {
        /// Layers of the replacement.
        offered: LayerRange,
        /// Layers of the stage.
        needed: LayerRange,
    },
    /// The route has no stage with this index.
    #[error("the route has no stage {stage}")]
    NoSuchStage {
        /// Index of the stage.
        stage: usize,
    },
}

/// Stages that run every layer of a model version exactly once, in order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    model: ModelId,
    version: ModelVersion,
    stages: Vec<Stage>,
}

impl Route {
    /// Builds a route over a model of `layers` layers.
    ///
    /// # Errors
    /// Returns [`RouteError`] when there is no stage, a range is empty, or the ranges leave a gap, overlap or do not
    /// end at the last layer.
    pub fn new(model: ModelId, version: ModelVersion, layers: u16, stages: Vec<Stage>) -> Result<Self> {
        let mut expected = 0;
        for (index, stage) in stages.iter().enumerate() {
            if stage.layers.begin != expected {
                return Err(RouteError::Misaligned { stage: index, begin: stage.layers.begin, expected });
            }
            if stage.layers.is_empty() {
                return Err(RouteError::EmptyStage { stage: index });
            }
            expected = stage.layers.end;
        }
        if stages.is_empty() {
            return Err(RouteError::Empty);
        }
        if expected != layers {
            return Err(RouteError::WrongEnd { end: expected, layers });
        }
        Ok(Self { model, version, stages })
    }

    /// Returns the model that the route runs.
    pub fn model(&self) -> &ModelId {
        &self.model
    }

    /// Returns the model version that the route runs.
    pub fn version(&self) -> ModelVersion {
        self.version
    }

    /// Returns the stages in layer order.
    pub fn stages(&self) -> &[Stage] {
        &self.stages
    }

    /// Replaces one stage by another endpoint with the same layers.
    ///
    /// # Errors
    /// Returns [`RouteError`] when the layers differ or the stage does not exist.
    pub fn replace(&mut self, index: usize, stage: Stage) -> Result<()> {
        let current = self.stages.get_mut(index).ok_or(RouteError::NoSuchStage { stage: index })?;
        if current.layers != stage.layers {
            return Err(RouteError::LayerMismatch { offered: stage.layers, needed: current.layers });
        }
        *current = stage;
        Ok(())
    }
}
