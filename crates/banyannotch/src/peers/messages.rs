//! Events and actions of the exchange, and the digests that entries exchange.

use crate::configuration::{Claim, PeerReport, VersionContent};
use crate::execution::Suspicion;
use crate::ids::{EndpointId, InstanceId, LogOffset};
use crate::membership::{Observation, ObservedState};
use crate::pipeline::Address;

/// Events of the exchange.
#[derive(Clone, Debug)]
pub enum Event {
    /// Execution suspects requests that were in flight when endpoints crashed.
    Suspected(Vec<Suspicion>),
    /// Membership observed the states of endpoints.
    Observed(Vec<Observation>),
    /// The configuration in force at this entry.
    Configured {
        /// Content of the configuration.
        content: VersionContent,
        /// Log offset up to which the configuration is known to be in force.
        through: LogOffset,
    },
    /// The other entries on the instance list.
    Entries(Vec<EntryAddress>),
    /// Another entry called this one.
    CallReceived {
        /// Call to reply to.
        call: CallId,
        /// Digest of the caller.
        digest: Box<Digest>,
    },
    /// Another entry answered a call of this one.
    CallAnswered {
        /// Peer address that was called.
        address: Address,
        /// Digest of the entry that answered.
        digest: Box<Digest>,
    },
    /// A call of this entry failed.
    CallFailed {
        /// Peer address that was called.
        address: Address,
    },
}

/// Number of a call from another entry.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u64);

/// Another entry and the address at which it accepts connections of peers.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct EntryAddress {
    /// Instance and incarnation of the entry.
    pub entry: EndpointId,
    /// Address of its peer port.
    pub address: Address,
}

/// State and findings that one entry sends to another one.
#[derive(Clone, Debug, PartialEq)]
pub struct Digest {
    /// Entry that sends the digest. The incarnation is its start time in Unix milliseconds.
    pub entry: EndpointId,
    /// Address of its operators' port, if operators can reach it at a single address.
    pub operators: Option<Address>,
    /// Its configuration version, with the content only if the receiver is known to have a lower version.
    pub claim: Option<Claim>,
    /// Recent findings that the receiver may not have.
    pub findings: Vec<AgedFinding>,
}

/// A finding of one entry that is gossiped to all others.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Finding {
    /// The state of an endpoint.
    Observed {
        /// Entry that made the observation. An entry that forwards the finding does not count as a second
        /// observer.
        observer: InstanceId,
        /// Observed endpoint.
        endpoint: EndpointId,
        /// Observed state.
        state: ObservedState,
    },
    /// A request that was in flight when an endpoint crashed.
    Suspected(Suspicion),
}

/// A finding with its age.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AgedFinding {
    /// The finding.
    pub finding: Finding,
    /// Time since the finding was made.
    pub age_ms: u64,
}

/// Actions of the exchange.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call another entry.
    Call {
        /// Peer address of the entry.
        address: Address,
        /// Digest to send.
        digest: Box<Digest>,
    },
    /// Reply to another entry's call.
    Reply {
        /// Call to reply to.
        call: CallId,
        /// Digest to send.
        digest: Box<Digest>,
    },
    /// Close the connection to a peer address.
    Close(Address),
    /// Report the configuration state of another entry to the configuration duty.
    Report(Box<PeerReport>),
    /// Send observations of other entries to membership.
    Observed(Vec<Observation>),
    /// Send suspicions of other entries to execution.
    Suspected(Vec<Suspicion>),
}
