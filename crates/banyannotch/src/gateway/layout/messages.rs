//! What layout is told and what it tells.

use std::fmt;
use std::sync::Arc;

use crate::gateway::{Configuration, Endpoint, EngineReport, Group, OrderReply};
use crate::pipeline::{Address, LayerRange};

/// Settings of layout.
#[derive(Clone, Debug, PartialEq)]
pub struct LayoutSettings {
    /// Share of a card's memory that layers may take; the rest holds the KV cache of requests.
    pub layer_share: f64,
    /// Time without a new endpoint after which the first plan is made, in milliseconds.
    pub settle_ms: u64,
    /// Time after which the first plan is made with whatever endpoints there are, in milliseconds.
    pub settle_most_ms: u64,
    /// Interval at which the state of ordered engines is looked at, in milliseconds.
    pub check_interval_ms: u64,
    /// Interval at which the membership of the ordering group is renewed, in milliseconds.
    pub join_interval_ms: u64,
    /// How long the membership lasts without renewal, in milliseconds.
    pub group_ttl_ms: u64,
    /// Gateways that join the group. One owner and others that can take over at once.
    pub members: usize,
    /// Pause before an engine is ordered again after an order without effect, in milliseconds.
    pub order_retry_ms: u64,
}

impl Default for LayoutSettings {
    fn default() -> Self {
        Self {
            layer_share: 0.88,
            settle_ms: 400,
            settle_most_ms: 4_000,
            check_interval_ms: 300,
            join_interval_ms: 600,
            group_ttl_ms: 2_000,
            members: 4,
            order_retry_ms: 1_500,
        }
    }
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A configuration came into force.
    Deployment(Arc<Configuration>),
    /// The endpoints changed.
    Engines(Arc<[Endpoint]>),
    /// The group was joined; `sent_us` is when the call was sent.
    Joined {
        /// Membership.
        group: Group,
        /// When the call was sent.
        sent_us: u64,
    },
    /// The group could not be joined.
    NotJoined {
        /// Why.
        fault: String,
    },
    /// An engine told its state; no report if it did not answer.
    Report {
        /// Address of the engine.
        address: Address,
        /// Its state.
        report: Option<EngineReport>,
    },
    /// An order was answered.
    Ordered {
        /// Address of the engine.
        address: Address,
        /// What it said.
        reply: OrderReply,
    },
    /// Gateways before this one in the order that all share; only the first ones join the group.
    Rank(usize),
    /// The group could not be left.
    NotLeft {
        /// Why.
        fault: String,
    },
    /// The process is stopping.
    Draining,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Join the group or stay in it.
    Join {
        /// Generation that was last seen.
        generation: u64,
        /// How long the membership lasts, in milliseconds.
        ttl_ms: u64,
    },
    /// Leave the group.
    Leave,
    /// Ask an engine for its state.
    Inspect(Address),
    /// Order an engine to hold the given layers.
    Place {
        /// Address of the engine.
        address: Address,
        /// Layers that it is to hold.
        layers: LayerRange,
        /// Orders that it has accepted.
        orders: u64,
    },
    /// Log a decision.
    Decide(Decision),
}

/// A decision, as one line of the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// This gateway began or ceased to give orders.
    Owner {
        /// Whether it gives orders.
        owner: bool,
        /// Generation of the group.
        generation: u64,
    },
    /// An engine is to hold other layers.
    Planned {
        /// The engine.
        engine: Arc<str>,
        /// Layers that it held.
        before: Option<LayerRange>,
        /// Layers that it is to hold.
        layers: LayerRange,
    },
    /// An order was sent.
    Ordered {
        /// The engine.
        address: Address,
        /// Layers.
        layers: LayerRange,
        /// Orders that it has accepted before.
        orders: u64,
    },
    /// An order was answered.
    Answered {
        /// The engine.
        address: Address,
        /// What it said.
        reply: OrderReply,
    },
    /// The group could not be joined.
    NotJoined {
        /// Why.
        fault: String,
    },
    /// The group could not be left; a new try follows.
    NotLeft {
        /// Why.
        fault: String,
    },
}

impl fmt::Display for Decision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Owner { owner, generation } => {
                write!(formatter, "event=ordering_owner_changed owner={owner} generation={generation}")
            }
            Self::Planned { engine, before, layers } => {
                let before = before.map_or_else(|| "none".to_owned(), |layers| layers.to_string());
                write!(formatter, "event=layers_planned endpoint={engine} before={before} layers={layers}")
            }
            Self::Ordered { address, layers, orders } => {
                write!(
                    formatter,
                    "event=order_sent endpoint_address={address} layers={layers} orders={orders}"
                )
            }
            Self::Answered { address, reply } => {
                write!(formatter, "event=order_answered endpoint_address={address} reply=\"{reply:?}\"")
            }
            Self::NotLeft { fault } => write!(formatter, "event=group_not_left fault=\"{fault}\""),
            Self::NotJoined { fault } => write!(formatter, "event=group_not_joined fault=\"{fault}\""),
        }
    }
}
