//! Settings, events, actions and decisions of the placement duty.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::LeaseRecord;
use crate::backing::Records;
use crate::configuration::Configuration;
use crate::ids::{EndpointId, FencingNumber, LogOffset, ModelId, ModelVersion};
use crate::membership::Endpoint;
use crate::pipeline::{Address, LayerRange};

/// Settings of the placement duty.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlacementSettings {
    /// Whether this entry claims the controller lease. While no entry does, the layouts are not changed.
    pub enabled: bool,
    /// Term of a lease.
    pub term_ms: u64,
    /// Timeout of sending an order.
    pub order_limit_ms: u64,
    /// Time that an engine may take to load layers before it may be ordered again.
    pub load_limit_ms: u64,
    /// Maximum number of engines that load at the same time, because the rate of the weight store is limited.
    pub loads_at_once: usize,
    /// The layout in use is kept if its throughput is at most this many percent below that of the best plan.
    pub hysteresis_percent: u32,
    /// Maximum number of layers that an engine can hold. For an engine that holds more, the held number is
    /// used.
    pub most_layers: u16,
    /// Time for passing a token's activations from one layer range to the next.
    pub hop_us: u64,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            enabled: false,
            term_ms: 10_000,
            order_limit_ms: 500,
            load_limit_ms: 60_000,
            loads_at_once: 2,
            hysteresis_percent: 5,
            most_layers: 8,
            hop_us: 1_000,
        }
    }
}

/// Inputs of the policy.
#[derive(Clone, Debug)]
pub enum Event {
    /// Result of the last [`Action::Read`].
    Read {
        /// Time at which the read began.
        requested_us: u64,
        /// Page of the lease stream, or none if the log could not be read.
        page: Option<Records>,
    },
    /// The endpoint table of membership.
    Endpoints(Arc<[Endpoint]>),
    /// The configuration in force.
    Configured(Arc<Configuration>),
    /// Result of an order.
    Ordered {
        /// Engine to which the order was addressed.
        endpoint: EndpointId,
        /// Result of sending it.
        result: OrderResult,
    },
}

/// Result of an order. A success leads to no decision, because the engine's load report shows which layers it
/// holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderResult {
    /// The engine accepted it.
    Taken,
    /// The engine refused it, because it has seen a newer fencing number.
    Stale,
    /// The lease ended before the send was complete.
    NotSent,
    /// There was no answer, or the engine refused it for another reason.
    Failed,
}

/// Outputs of the policy, performed by the runtime.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the lease stream.
    Read {
        /// First offset to read.
        from: LogOffset,
        /// Delay before the read.
        after_ms: u64,
    },
    /// Append a record to the lease stream.
    Append(LeaseRecord),
    /// Send an order, unless the lease has ended by then.
    Order(OrderAction),
    /// Log a decision.
    Decide(Decision),
}

/// An order to an engine to hold a layer range.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderAction {
    /// Engine to which the order is addressed.
    pub endpoint: EndpointId,
    /// Address that it listens on.
    pub address: Address,
    /// Fencing number of the lease.
    pub fencing: FencingNumber,
    /// Model to hold.
    pub model: ModelId,
    /// Version to hold.
    pub version: ModelVersion,
    /// Layers to hold.
    pub layers: LayerRange,
    /// End of the lease. Sending does not begin, and is abandoned, from this time on.
    pub until_us: u64,
}

/// A decision of the placement duty, as logged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// This entry became the controller.
    Gained(FencingNumber),
    /// Another entry became the controller.
    Passed(FencingNumber),
    /// An engine is ordered to hold a range of layers.
    Ordered {
        /// Engine to which the order is addressed.
        endpoint: EndpointId,
        /// Layers to hold.
        layers: LayerRange,
        /// Fencing number of the lease.
        fencing: FencingNumber,
    },
    /// An order failed or was not sent.
    NotOrdered {
        /// Engine to which the order was addressed.
        endpoint: EndpointId,
        /// Result of sending it.
        result: OrderResult,
    },
    /// The live engines do not cover all layers of a model.
    Uncovered {
        /// Model with missing layers.
        model: ModelId,
        /// Layers that no chain of adjoining ranges covers.
        layers: LayerRange,
    },
}

impl fmt::Display for Decision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gained(fencing) => write!(formatter, "decision=lease_gained fencing={fencing}"),
            Self::Passed(fencing) => write!(formatter, "decision=lease_passed fencing={fencing}"),
            Self::Ordered { endpoint, layers, fencing } => {
                write!(formatter, "decision=ordered endpoint={endpoint} layers={layers} fencing={fencing}")
            }
            Self::NotOrdered { endpoint, result } => {
                let result = match result {
                    OrderResult::Taken => "taken",
                    OrderResult::Stale => "stale",
                    OrderResult::NotSent => "not_sent",
                    OrderResult::Failed => "failed",
                };
                write!(formatter, "decision=not_ordered endpoint={endpoint} result={result}")
            }
            Self::Uncovered { model, layers } => {
                write!(formatter, "decision=uncovered model={model} layers={layers}")
            }
        }
    }
}
