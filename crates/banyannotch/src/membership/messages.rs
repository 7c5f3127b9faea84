//! Events, actions and decisions of the membership duty, and the endpoint table that it publishes.

use std::fmt;
use std::sync::Arc;

use crate::backing::{Fencing, Instances};
use crate::engine::{EngineLoad, ServiceLoad};
use crate::ids::{EndpointId, ModelId, ModelVersion, ServiceId, Zone};
use crate::peers::EntryAddress;
use crate::pipeline::{Address, LayerRange};

/// An endpoint as published to routing and placement.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Instance and incarnation.
    pub id: EndpointId,
    /// Zone of the instance.
    pub zone: Zone,
    /// Address that it listens on.
    pub address: Address,
    /// Model layers or service that it offers, as it last reported.
    pub role: Role,
    /// Whether it gets new work.
    pub health: Health,
    /// Load that it last reported.
    pub load: Load,
    /// Whether it checks the fencing numbers of orders and refuses old ones.
    pub fencing: Fencing,
    /// Time of its first answer, or of its first answer after it was removed. Routing ramps up its work from
    /// there.
    pub joined_us: u64,
}

/// Model layers or service that an endpoint offers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Role {
    /// An engine with a range of layers.
    Engine {
        /// Loaded model.
        model: ModelId,
        /// Loaded version.
        version: ModelVersion,
        /// Loaded layers.
        layers: LayerRange,
    },
    /// A plain service.
    Service {
        /// Service that it offers.
        service: ServiceId,
    },
}

/// Whether an endpoint gets new work. Dead endpoints are not in the table.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Health {
    /// It gets new work.
    Live,
    /// It showed signs of death. It gets new work only if no live endpoint can take it.
    Suspected,
    /// It finishes the work that it has and gets no new work.
    Leaving,
}

/// Reported load of an endpoint. It lags behind the actual load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Number of running steps or calls.
    pub running: u32,
    /// Number of queued steps.
    pub queued: u32,
    /// Mean time of a decode step.
    pub step_us: u64,
    /// Mean time of one prompt position.
    pub prefill_us_per_position: u64,
    /// Cache positions in use.
    pub cache_used: u64,
    /// Capacity of the caches in positions; 0 means unknown.
    pub cache_limit: u64,
    /// Time at which the load was measured.
    pub taken_us: u64,
}

/// Inputs of the policy.
#[derive(Clone, Debug)]
pub enum Event {
    /// The instance list, or none if it could not be fetched.
    Listed(Option<Instances>),
    /// An engine's load report.
    EngineReport {
        /// Polled endpoint.
        endpoint: EndpointId,
        /// Its report.
        report: EngineLoad,
    },
    /// A plain service's load report.
    ServiceReport {
        /// Polled endpoint.
        endpoint: EndpointId,
        /// Its report.
        report: ServiceLoad,
    },
    /// A fetch yielded no load report.
    NoReport {
        /// Polled endpoint.
        endpoint: EndpointId,
        /// Reason for the missing report.
        reason: MissingReportReason,
    },
    /// A call of execution to an endpoint failed.
    Failed {
        /// Endpoint that was called.
        endpoint: EndpointId,
        /// Whether no connection could be made.
        refused: bool,
    },
    /// Observations of other entries.
    Observed(Vec<Observation>),
}

/// Reason for a missing load report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MissingReportReason {
    /// No connection could be made.
    Refused,
    /// The connection broke, or there was no answer before the timeout.
    Silence,
    /// The answer was no load report. It still shows that the process runs.
    UnexpectedAnswer,
}

/// Observation of an endpoint by one entry, as exchanged between entries.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Observation {
    /// Observed endpoint.
    pub endpoint: EndpointId,
    /// Observed state.
    pub state: ObservedState,
}

/// State of an endpoint that entries report to each other.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ObservedState {
    /// It is leaving.
    Leaving,
    /// It refuses connections or does not answer.
    Dead,
}

/// Outputs of the policy, performed by the runtime.
#[derive(Clone, Debug)]
pub enum Action {
    /// Fetch the instance list.
    FetchList,
    /// Fetch a load report.
    FetchLoad {
        /// Endpoint whose report is fetched.
        endpoint: EndpointId,
        /// Address that it listens on.
        address: Address,
        /// Kind of the endpoint, which determines the format of its report.
        kind: EndpointKind,
    },
    /// Publish the endpoint table to the other duties.
    Publish(Arc<[Endpoint]>),
    /// Send observations to the other entries.
    Announce(Vec<Observation>),
    /// Notify the peers duty of the addresses of the other entries.
    Entries(Vec<EntryAddress>),
    /// Log a decision.
    Decide(Decision),
}

/// Kind of an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// A decision of the membership duty, as logged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Decision {
    /// Endpoint whose state changes.
    pub endpoint: EndpointId,
    /// New state of the endpoint.
    pub verdict: Verdict,
    /// Source of the observation that led to the decision.
    pub source: Source,
}

/// State change of an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It answered for the first time and gets work.
    Joined,
    /// It is leaving.
    Leaving,
    /// It is suspected to be dead.
    Suspected,
    /// It was suspected and answered again.
    Cleared,
    /// It is dead, or replaced by a newer incarnation or another instance.
    Removed,
    /// It was removed and answered again.
    Returned,
    /// It has been missing from the list and silent for the time set by `forget_ms`.
    Forgotten,
}

/// Source of an observation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The instance list.
    List,
    /// An answer of the endpoint itself.
    Endpoint,
    /// A failed call of execution.
    Execution,
    /// Another entry.
    Peer,
    /// A missing load report.
    Silence,
    /// A newer incarnation of the instance.
    Restart,
}

impl fmt::Display for Decision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = match self.verdict {
            Verdict::Joined => "joined",
            Verdict::Leaving => "leaving",
            Verdict::Suspected => "suspected",
            Verdict::Cleared => "cleared",
            Verdict::Removed => "removed",
            Verdict::Returned => "returned",
            Verdict::Forgotten => "forgotten",
        };
        let source = match self.source {
            Source::List => "list",
            Source::Endpoint => "endpoint",
            Source::Execution => "execution",
            Source::Peer => "peer",
            Source::Silence => "silence",
            Source::Restart => "restart",
        };
        write!(formatter, "decision={verdict} endpoint={} source={source}", self.endpoint)
    }
}
