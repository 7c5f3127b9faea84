//! Datagrams, events and actions of gossip.

use serde::{Deserialize, Serialize};

use super::Changes;
use crate::gateway::dispatch::PeerState;
use crate::pipeline::Address;

/// Number of gateways that read the store on behalf of the others. If one of two loses contact with the store, the
/// other still reads it.
pub const READER_COUNT: usize = 2;

/// Settings of gossip.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GossipSettings {
    /// Number of gateways that receive a request in each round.
    pub fanout: usize,
    /// Maximum number of gateway addresses in a datagram.
    pub address_limit: usize,
    /// Time without contact after which a gateway is removed, and maximum age of a request whose reply is accepted, in
    /// milliseconds.
    pub expiry_ms: u64,
    /// Number of gateways, the first in the common order, that receive a request in every round because they read the
    /// store.
    pub reader_count: usize,
}

impl Default for GossipSettings {
    fn default() -> Self {
        Self { fanout: 8, address_limit: 32, expiry_ms: 20_000, reader_count: READER_COUNT }
    }
}

/// Content of a datagram.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// Requests the state of the receiver.
    Ask {
        /// Time of sending in microseconds, on the sender's clock. The reply repeats it.
        asked_us: u64,
        /// State of the sender. Its age is unknown, so it does not prove that the configuration is current.
        state: PeerState,
        /// Addresses of other gateways.
        known: Vec<Address>,
    },
    /// Replies with the state of the sender.
    Tell {
        /// Time of sending from the request.
        asked_us: u64,
        /// State of the sender.
        state: PeerState,
        /// Changes of endpoints that the sender of the request lacks.
        changes: Option<Changes>,
        /// Addresses of other gateways.
        known: Vec<Address>,
    },
}

/// Input of the policy.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Dispatch published its state, which starts a round.
    State(Box<PeerState>),
    /// The catalog reported changes of endpoints.
    Changed(Changes),
    /// A datagram was received.
    Received {
        /// Address of the sender.
        from: Address,
        /// Content of the datagram.
        message: Box<Message>,
    },
}

/// Output of the policy.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Address of the receiver.
        to: Address,
        /// Content of the datagram.
        message: Box<Message>,
    },
    /// Report the state of another gateway to the other duties.
    PeerUpdate {
        /// State of the other gateway.
        state: Box<PeerState>,
        /// Time at which this gateway requested the state, in microseconds on its own clock; none if the state
        /// came with a request of the other gateway.
        asked_us: Option<u64>,
        /// Changes of endpoints that this gateway lacked when it sent the request.
        changes: Option<Box<Changes>>,
        /// Number of gateways with recent contact, including this one.
        known: usize,
        /// Number of gateways before this one in the order that is common to all gateways.
        rank: usize,
    },
}
