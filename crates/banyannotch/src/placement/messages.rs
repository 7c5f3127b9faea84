//! What placement says.

use std::fmt;

use crate::ids::{EndpointId, FencingNumber};
use crate::pipeline::LayerRange;

/// A decision of placement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// An engine is ordered to hold a range of layers.
    Ordered {
        /// Engine.
        endpoint: EndpointId,
        /// Layers.
        layers: LayerRange,
        /// Fencing number of the lease.
        fencing: FencingNumber,
    },
}

impl fmt::Display for Decision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Ordered { endpoint, layers, fencing } => {
                write!(formatter, "decision=ordered endpoint={endpoint} layers={layers} fencing={fencing}")
            }
        }
    }
}
