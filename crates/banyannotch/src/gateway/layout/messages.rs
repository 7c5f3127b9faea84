//! Settings, events, actions and logged decisions of layout.

use std::fmt;
use std::sync::Arc;

use crate::gateway::{Configuration, Endpoint, EngineReport, Group, OrderReply};
use crate::pipeline::{Address, LayerRange};

/// Settings of layout.
#[derive(Clone, Debug, PartialEq)]
pub struct LayoutSettings {
    /// Share of a card's memory that layers may occupy; the rest holds the KV cache of requests.
    pub layer_share: f64,
    /// Time without a new endpoint after which the first plan is made, in milliseconds.
    pub settle_ms: u64,
    /// Time since the first endpoint after which the first plan is made in any case, in milliseconds.
    pub settle_max_ms: u64,
    /// Interval at which the owner compares plan and engines, in milliseconds.
    pub check_interval_ms: u64,
    /// Interval at which the membership of the ordering group is renewed, in milliseconds.
    pub join_interval_ms: u64,
    /// Time to live of the membership without renewal, in milliseconds.
    pub group_ttl_ms: u64,
    /// Number of gateways that join the group: one owner, and others that can take over at once.
    pub member_limit: usize,
    /// Number of partitions that the members of the group divide among them.
    pub partitions: u64,
    /// Number of engines of a service up to which the owner of the first partition orders all of them. The zones of
    /// larger services are divided among the partitions.
    pub undivided_engines: usize,
    /// Maximum number of inspections and orders in progress. A small instance that calls thousands of engines at once
    /// gets no answer in time.
    pub calls_in_progress: usize,
    /// Pause before an engine that does not hold its planned layers is inspected again, in milliseconds.
    pub order_retry_ms: u64,
}

impl Default for LayoutSettings {
    fn default() -> Self {
        Self {
            layer_share: 0.88,
            settle_ms: 400,
            settle_max_ms: 4_000,
            check_interval_ms: 300,
            join_interval_ms: 600,
            group_ttl_ms: 2_000,
            member_limit: 4,
            partitions: 1,
            undivided_engines: 256,
            calls_in_progress: 48,
            order_retry_ms: 1_500,
        }
    }
}

/// Input of layout.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A configuration came into force.
    Configuration(Arc<Configuration>),
    /// The endpoints changed.
    Endpoints(Arc<[Endpoint]>),
    /// The ordering group was joined, or the membership was renewed.
    Joined {
        /// Membership in the group.
        group: Group,
        /// When the call was sent.
        sent_us: u64,
    },
    /// A call to join the group failed.
    NotJoined {
        /// Error of the store.
        fault: String,
        /// Era of the store that answered; none if there was no answer that states it.
        era: Option<u64>,
    },
    /// The store is in the given era.
    StoreEra(u64),
    /// An inspection of an engine has ended.
    Report {
        /// Address of the engine.
        address: Address,
        /// State of the engine; none if it did not answer.
        report: Option<EngineReport>,
    },
    /// An order was answered, or its outcome is unknown.
    OrderAnswered {
        /// Address of the engine.
        address: Address,
        /// Reply of the engine.
        reply: OrderReply,
    },
    /// Number of gateways before this one in the order that all gateways share; only the first ones join the
    /// group.
    Rank(usize),
    /// A call to leave the group failed.
    NotLeft {
        /// Error of the store.
        fault: String,
    },
    /// The process is stopping.
    Draining,
}

/// Output of layout.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Join the group or renew the membership.
    Join {
        /// Generation of the group that was last seen.
        generation: u64,
        /// Time to live of the membership, in milliseconds.
        ttl_ms: u64,
    },
    /// Leave the group.
    Leave,
    /// Report the era of the store that a response stated.
    StoreEra(u64),
    /// Request a report from an engine.
    Inspect(Address),
    /// Order an engine to hold the given layers.
    Place {
        /// Address of the engine.
        address: Address,
        /// Layers that the engine is to hold.
        layers: LayerRange,
        /// Number of orders that the engine has accepted.
        orders: u64,
    },
    /// Log a decision.
    Decide(Decision),
}

/// A decision that is logged as one line.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// This gateway became an owner of partitions, which entitle it to send orders, or ceased to be one.
    Owner {
        /// Whether it owns partitions now.
        owner: bool,
        /// Generation of the group.
        generation: u64,
        /// Partitions that the last join returned.
        partitions: Vec<u64>,
    },
    /// Other layers were planned for an engine.
    Planned {
        /// Name of the engine.
        engine: Arc<str>,
        /// Layers that were planned before, or that the engine held.
        before: Option<LayerRange>,
        /// Layers that the engine is to hold.
        layers: LayerRange,
    },
    /// An order was sent.
    OrderSent {
        /// Address of the engine.
        address: Address,
        /// Layers that the engine is to hold.
        layers: LayerRange,
        /// Number of orders that the engine had accepted.
        orders: u64,
    },
    /// An order was answered, or its outcome is unknown.
    OrderAnswered {
        /// Address of the engine.
        address: Address,
        /// Reply of the engine.
        reply: OrderReply,
    },
    /// A call to join the group failed.
    NotJoined {
        /// Error of the store.
        fault: String,
    },
    /// A call to leave the group failed; it is repeated.
    NotLeft {
        /// Error of the store.
        fault: String,
    },
}

impl fmt::Display for Decision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Owner { owner, generation, partitions } => write!(
                formatter,
                "event=ordering_owner_changed owner={owner} generation={generation} \
                 partitions=\"{partitions:?}\""
            ),
            Self::Planned { engine, before, layers } => {
                let before = before.map_or_else(|| "none".to_owned(), |layers| layers.to_string());
                write!(formatter, "event=layers_planned endpoint={engine} before={before} layers={layers}")
            }
            Self::OrderSent { address, layers, orders } => {
                write!(
                    formatter,
                    "event=order_sent endpoint_address={address} layers={layers} orders={orders}"
                )
            }
            Self::OrderAnswered { address, reply } => {
                write!(formatter, "event=order_answered endpoint_address={address} reply=\"{reply:?}\"")
            }
            Self::NotLeft { fault } => write!(formatter, "event=group_not_left fault=\"{fault}\""),
            Self::NotJoined { fault } => write!(formatter, "event=group_not_joined fault=\"{fault}\""),
        }
    }
}
