//! What the peers hear and say, and what entries tell each other.

use crate::configuration::{Claim, PeerReport, VersionContent};
use crate::execution::Suspicion;
use crate::ids::{EndpointId, InstanceId, LogOffset};
use crate::membership::{Observation, ObservedState};
use crate::pipeline::Address;

/// What the peers hear.
#[derive(Clone, Debug)]
pub enum Event {
    /// Requests that were in flight when endpoints crashed.
    Suspected(Vec<Suspicion>),
    /// What membership observed.
    Observed(Vec<Observation>),
    /// The configuration that is in force here.
    Configured {
        /// Its content.
        stated: VersionContent,
        /// Offset of the log up to which it is known to be in force.
        through: LogOffset,
    },
    /// The entries on the instance list, without this one.
    Entries(Vec<EntryAddress>),
    /// Another entry calls.
    Asked {
        /// Call to reply to.
        call: CallId,
        /// What the other entry tells.
        digest: Box<Digest>,
    },
    /// Another entry answered a call.
    Answered {
        /// Where it listens.
        address: Address,
        /// What it tells.
        digest: Box<Digest>,
    },
    /// A call failed.
    Failed {
        /// Where the other entry was expected.
        address: Address,
    },
}

/// Numbers the calls of other entries.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u64);

/// Where another entry takes peers' connections.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct EntryAddress {
    /// Instance and incarnation of the entry.
    pub entry: EndpointId,
    /// Its peer port.
    pub address: Address,
}

/// What one entry tells another one.
#[derive(Clone, Debug, PartialEq)]
pub struct Digest {
    /// Entry that tells it. The incarnation is its start in Unix milliseconds.
    pub entry: EndpointId,
    /// Its operators' port, if operators can reach it under one address.
    pub operators: Option<Address>,
    /// Its configuration, with the content only if the other one has a lower version.
    pub claim: Option<Claim>,
    /// What was found lately and the other one may not know.
    pub findings: Vec<Found>,
}

/// Something found by one entry that all others should know.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Finding {
    /// The state of an endpoint.
    Observed {
        /// Entry that saw it. An entry that passes the finding on is no second observer.
        observer: InstanceId,
        /// Endpoint that it saw.
        endpoint: EndpointId,
        /// What it saw.
        state: ObservedState,
    },
    /// A request that was in flight when an endpoint crashed.
    Suspected(Suspicion),
}

/// A finding with its age.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Found {
    /// What was found.
    pub finding: Finding,
    /// How long ago.
    pub age_ms: u64,
}

/// What the peers want done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call another entry.
    Call {
        /// Where it listens.
        address: Address,
        /// What to tell it.
        digest: Box<Digest>,
    },
    /// Reply to another entry's call.
    Reply {
        /// Its call.
        call: CallId,
        /// What to tell it.
        digest: Box<Digest>,
    },
    /// Close the connection to another entry.
    Close(Address),
    /// Tell configuration.
    Report(Box<PeerReport>),
    /// Tell membership.
    Observed(Vec<Observation>),
    /// Tell execution.
    Suspected(Vec<Suspicion>),
}
