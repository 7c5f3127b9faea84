//! Datagrams, events and actions of gossip.

use serde::{Deserialize, Serialize};

use super::Changes;
use crate::gateway::dispatch::PeerState;
use crate::ids::Zone;
use crate::pipeline::Address;

/// Number of gateways at the top of the relay tree, the reader of the store and the standby. If the reader loses contact
/// with the store, the standby reads it.
pub const READER_COUNT: usize = 2;

/// Settings of gossip.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GossipSettings {
    /// Number of gateways that receive a request in each round.
    pub fanout: usize,
    /// Number of these that are drawn from the gateways of the own zone, besides the relays.
    pub zone_fanout: usize,
    /// Maximum number of other gateways that a datagram mentions.
    pub mention_limit: usize,
    /// Time without contact after which a gateway is removed, and maximum age of a request whose reply is accepted, in
    /// milliseconds.
    pub expiry_ms: u64,
}

impl Default for GossipSettings {
    fn default() -> Self {
        Self { fanout: 8, zone_fanout: 5, mention_limit: 12, expiry_ms: 20_000 }
    }
}

/// Another gateway, as mentioned in a datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Mention {
    /// Address of the gateway.
    pub address: Address,
    /// Zone of the gateway.
    pub zone: Zone,
    /// Time since any gateway was last in contact with it, in milliseconds.
    pub contact_age_ms: u32,
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
        /// Some of the other gateways that the sender knows.
        known: Vec<Mention>,
    },
    /// Replies with the state of the sender.
    Tell {
        /// Time of sending from the request.
        asked_us: u64,
        /// State of the sender.
        state: PeerState,
        /// Changes of endpoints that the sender of the request lacks.
        changes: Option<Changes>,
        /// Some of the other gateways that the sender knows.
        known: Vec<Mention>,
    },
}

impl Message {
    /// Returns the state of the sender.
    pub fn state(&self) -> &PeerState {
        match self {
            Self::Ask { state, .. } | Self::Tell { state, .. } => state,
        }
    }

    /// Sets the era of all positions, which the encoded message does not contain.
    pub(super) fn set_era(&mut self, era: u64) {
        let state = self.state_mut();
        state.endpoints_change = state.endpoints_change.in_era(era);
        if let Self::Tell { changes: Some(changes), .. } = self {
            (changes.from, changes.through) = (changes.from.in_era(era), changes.through.in_era(era));
        }
    }

    /// Returns the state of the sender for changes.
    pub(super) fn state_mut(&mut self) -> &mut PeerState {
        match self {
            Self::Ask { state, .. } | Self::Tell { state, .. } => state,
        }
    }
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
    /// Report the number of alive gateways before this one in the order that is common to all gateways.
    Rank(usize),
    /// Send a datagram.
    Send {
        /// Address of the receiver.
        to: Address,
        /// Content of the datagram.
        message: Box<Message>,
    },
    /// Report the state of another gateway to the other duties.
    PeerUpdate {
        /// Address of the other gateway.
        from: Address,
        /// State of the other gateway.
        state: Box<PeerState>,
        /// Time at which this gateway requested the state, in microseconds on its own clock; none if the state
        /// came with a request of the other gateway.
        asked_us: Option<u64>,
        /// Changes of endpoints that this gateway lacked when it sent the request.
        changes: Option<Box<Changes>>,
        /// Number of alive gateways, including this one.
        known: usize,
        /// Number of alive gateways in the zone of the other gateway, without this one.
        zone_known: usize,
        /// Number of gateways before this one in the order that is common to all gateways.
        rank: usize,
    },
}
