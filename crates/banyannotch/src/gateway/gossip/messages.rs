//! What gateways send each other.

use serde::{Deserialize, Serialize};

use super::Changes;
use crate::gateway::dispatch::PeerState;
use crate::pipeline::Address;

/// Gateways that read the store for the others. One of two may be cut off from the store.
pub const READERS: usize = 2;

/// Settings of gossip.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GossipSettings {
    /// Gateways that are asked in one round.
    pub fanout: usize,
    /// Other gateways that a message names.
    pub named_limit: usize,
    /// Time without a word after which a gateway is forgotten, in milliseconds.
    pub memory_ms: u64,
    /// Gateways, first in the order that all share, that are asked in each round: they read the store.
    pub readers: usize,
}

impl Default for GossipSettings {
    fn default() -> Self {
        Self { fanout: 8, named_limit: 32, memory_ms: 20_000, readers: READERS }
    }
}

/// A datagram.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// Asks for the state of the receiver.
    Ask {
        /// When it was sent, on the sender's clock; the answer repeats it.
        asked_us: u64,
        /// State of the sender. Its age is not known, so it proves nothing.
        state: PeerState,
        /// Other gateways.
        known: Vec<Address>,
    },
    /// Answers with the state of the sender.
    Tell {
        /// Repeated from the question.
        asked_us: u64,
        /// State of the sender.
        state: PeerState,
        /// Changes of endpoints that the sender of the question did not know.
        changes: Option<Changes>,
        /// Other gateways.
        known: Vec<Address>,
    },
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Dispatch told its state; a round begins.
    State(Box<PeerState>),
    /// The catalog learned of changes of endpoints.
    Changed(Changes),
    /// A datagram arrived.
    Received {
        /// Its sender.
        from: Address,
        /// Its content.
        message: Box<Message>,
    },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Its receiver.
        to: Address,
        /// Its content.
        message: Box<Message>,
    },
    /// Tell the other duties the state of another gateway.
    Heard {
        /// Its state.
        state: Box<PeerState>,
        /// When it was asked, on this gateway's clock; none if it told by itself.
        asked_us: Option<u64>,
        /// Changes of endpoints that the other gateway knows and this one did not when it asked.
        changes: Option<Box<Changes>>,
        /// Gateways that are known, this one included.
        known: usize,
        /// Gateways before this one in an order that all gateways share.
        rank: usize,
    },
}
