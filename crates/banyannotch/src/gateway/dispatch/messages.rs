//! What dispatch is told and what it tells.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::health::Load;
use crate::gateway::{Configuration, Endpoint, EngineReport, ForwardingInfo, RequestInfo};
use crate::pipeline::Address;

/// A request that forwarding has read.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// Forwarding's number of the request.
    pub ticket: u64,
    /// What is asked for.
    pub request: RequestInfo,
}

/// How a send ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The whole answer was passed on.
    Completed {
        /// Time from the send to the first event or the head, in milliseconds.
        first_ms: u64,
    },
    /// The endpoint said that it did not run the request.
    NotRun {
        /// Status of the endpoint.
        status: u16,
        /// Engine at fault on a pipeline.
        fault_at: Option<Address>,
    },
    /// The request never left this process.
    Unsent,
    /// The request was not sent, because the configuration may have changed since the decision.
    Outdated,
    /// The endpoint answered with a failure of its own; forwarding holds the answer.
    Failed {
        /// Status of the endpoint.
        status: u16,
    },
    /// No whole answer came, and the request may have run.
    Broken {
        /// What was seen.
        by: BrokenBy,
    },
    /// The time of the request is over.
    Expired,
    /// The caller has left.
    Left,
}

/// How an answer broke.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BrokenBy {
    /// The connection ended or was reset.
    Connection,
    /// The bytes were no answer to this request.
    Garbled,
    /// No byte came for too long.
    Silence,
}

/// Contact with the store, own or of another gateway, that shows what is in force.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Proof {
    /// Version of the configuration, or offset of the last change of the endpoints.
    pub version: u64,
    /// When the call was sent, on the clock that counts suspended time.
    pub at_us: u64,
}

/// What one gateway tells the others.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PeerState {
    /// Name of the gateway.
    pub instance: String,
    /// Work in flight at each endpoint.
    pub loads: Vec<(Address, Load)>,
    /// Endpoints that do not answer.
    pub down: Vec<Address>,
    /// Digests of requests after which endpoints broke off, and how often.
    pub suspects: Vec<(u64, u32)>,
    /// Version of the configuration.
    pub version: u64,
    /// Age of the proof that it is in force, in milliseconds.
    pub proof_age_ms: u64,
    /// Offset of the last change of the endpoints that it has read.
    pub endpoints_change: u64,
    /// Age of the proof that there was no later change, in milliseconds.
    pub endpoints_age_ms: u64,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request was read.
    Submit(Box<Submission>),
    /// The first event of a stream has arrived: its prompt has been read.
    Started {
        /// Number of the request.
        ticket: u64,
    },
    /// A send ended.
    Ended {
        /// Number of the request.
        ticket: u64,
        /// How.
        ending: Ending,
    },
    /// A configuration came into force.
    Deployment(Arc<Configuration>),
    /// The endpoints changed.
    Engines(Arc<[Endpoint]>),
    /// It was shown that the configuration is in force.
    Proof(Proof),
    /// It was shown that the endpoints have not changed since the given offset.
    EndpointsProof(Proof),
    /// Another gateway told its state.
    Peer {
        /// Its state.
        state: Box<PeerState>,
        /// Gateways that are known, this one included.
        known: usize,
    },
    /// An engine was asked for its state; no report if it did not answer.
    Report {
        /// Address of the engine.
        address: Address,
        /// Its state.
        report: Option<EngineReport>,
    },
    /// The process is stopping.
    Draining,
}

/// Where and how a request is sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SendOrder {
    /// Endpoint that the request is sent to.
    pub address: Address,
    /// What is added to the head; its deadline counts from the decision.
    pub forwarding_info: ForwardingInfo,
    /// When the request must have its final answer.
    pub until_us: u64,
    /// The send must have left before this time, or it is not made.
    pub valid_until_us: u64,
    /// Longest wait for a connection, in milliseconds.
    pub connect_limit_ms: u64,
    /// Longest wait for the first byte of the answer, in milliseconds.
    pub first_limit_ms: u64,
    /// Longest wait between two events, in milliseconds.
    pub stall_limit_ms: u64,
    /// Whether the answer is a series of events.
    pub stream: bool,
    /// Most idle connections to keep to this endpoint.
    pub idle_connections: usize,
}

/// What forwarding is told about a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Send it.
    Send(Box<SendOrder>),
    /// Pass on the failure that the endpoint answered.
    Deliver,
    /// Answer it with a failure of our own.
    Refuse(Refusal),
}

/// An answer of our own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When the caller may come again, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// Why a request is answered with a failure of our own.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum RefusalReason {
    /// No route matches.
    #[error("no route matches")]
    NoRoute,
    /// The key is missing or unknown.
    #[error("the key is missing or unknown")]
    UnknownKey,
    /// The request cannot be used.
    #[error("the request cannot be used")]
    BadRequest,
    /// No configuration is known yet.
    #[error("no configuration is known yet")]
    NoConfiguration,
    /// It is not known whether the configuration is still in force.
    #[error("the configuration may be outdated")]
    StaleConfiguration,
    /// No endpoint can take the request.
    #[error("no endpoint can take the request")]
    NoCapacity,
    /// Endpoints rejected it and the retries are used up.
    #[error("endpoints rejected the request")]
    Rejected,
    /// The retry budget is used up.
    #[error("the retry budget is used up")]
    BudgetSpent,
    /// The request breaks the endpoints that run it.
    #[error("endpoints broke off each time the request ran")]
    Quarantined,
    /// It may have run, and no answer came.
    #[error("the endpoint broke off")]
    Broken,
    /// The time is over.
    #[error("the time of the request is over")]
    Expired,
}

impl RefusalReason {
    /// Returns the HTTP status. Statuses that promise that nothing ran belong to reasons that know it.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::UnknownKey => 401,
            Self::NoRoute => 404,
            Self::Broken => 502,
            Self::Expired => 504,
            Self::NoConfiguration
            | Self::StaleConfiguration
            | Self::NoCapacity
            | Self::Rejected
            | Self::BudgetSpent
            | Self::Quarantined => 503,
        }
    }
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Tell forwarding about a request.
    Reply {
        /// Number of the request.
        ticket: u64,
        /// What to do with it.
        verdict: Verdict,
    },
    /// Tell the balancer's checks whether this gateway takes requests.
    Ready(bool),
    /// Ask an engine for its state.
    Inspect(Address),
    /// Tell the other gateways.
    Share(Box<PeerState>),
    /// Log a decision.
    Decide(Decision),
}

/// A decision, as one line of the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A request is sent.
    Sent {
        /// Caller's name of the attempt.
        id: Arc<str>,
        /// Route.
        route: Arc<str>,
        /// Endpoint.
        endpoint: Arc<str>,
        /// Engines that it passes through.
        hops: usize,
        /// Which send of this attempt it is.
        send: u32,
        /// Expected cost, in milliseconds.
        cost_ms: u64,
        /// Version of the configuration.
        version: u64,
        /// Age of the proof, in milliseconds.
        proof_age_ms: u64,
    },
    /// A request is refused.
    Refused {
        /// Caller's name of the attempt.
        id: Arc<str>,
        /// Why.
        refusal: Refusal,
        /// Sends before.
        sends: u32,
        /// Version of the configuration.
        version: u64,
        /// Age of the proof, in milliseconds.
        proof_age_ms: u64,
    },
    /// A send ended otherwise than with a whole answer.
    Ended {
        /// Caller's name of the attempt.
        id: Arc<str>,
        /// Endpoint.
        endpoint: Arc<str>,
        /// How.
        ending: Ending,
        /// Time since the request was read, in milliseconds.
        age_ms: u64,
    },
    /// An endpoint is left out.
    Excluded {
        /// Address of the endpoint.
        address: Address,
        /// For how long, in milliseconds.
        for_ms: u64,
        /// Why.
        cause: &'static str,
    },
}

impl fmt::Display for Decision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Sent { id, route, endpoint, hops, send, cost_ms, version, proof_age_ms } => write!(
                formatter,
                "event=sent request={id} route={route} endpoint={endpoint} hops={hops} send={send} \
                 cost_ms={cost_ms} version={version} proof_age_ms={proof_age_ms}"
            ),
            Self::Refused { id, refusal, sends, version, proof_age_ms } => write!(
                formatter,
                "event=refused request={id} status={} reason=\"{}\" sends={sends} version={version} \
                 proof_age_ms={proof_age_ms}",
                refusal.reason.status(),
                refusal.reason
            ),
            Self::Ended { id, endpoint, ending, age_ms } => write!(
                formatter,
                "event=ended request={id} endpoint={endpoint} ending=\"{ending:?}\" age_ms={age_ms}"
            ),
            Self::Excluded { address, for_ms, cause } => {
                write!(formatter, "event=excluded endpoint_address={address} for_ms={for_ms} cause={cause}")
            }
        }
    }
}
