//! Events and actions of dispatch, and the state that it exchanges with other gateways.

use std::fmt;
use std::net::IpAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::crashes::Crash;
use super::health::Load;
use crate::gateway::{Configuration, Endpoint, EngineReport, ForwardingInfo, RequestInfo, StorePosition};
use crate::ids::{ServiceId, Zone};
use crate::pipeline::Address;

/// A request that forwarding has read and submits for a decision.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// Number that forwarding gave to the request.
    pub ticket: u64,
    /// Attributes of the request that routing needs.
    pub request: RequestInfo,
    /// Whether another gateway handed the request on.
    pub is_handed_on: bool,
}

/// How a send ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The whole answer was passed on to the caller.
    Completed {
        /// Time from the send to the first event of a stream, or until an answer without a stream was passed
        /// on, in milliseconds.
        first_ms: u64,
    },
    /// The endpoint answered that it did not run the request.
    NotRun {
        /// HTTP status of the answer.
        status: u16,
        /// Engine of the path that the answer names as the cause, if any.
        fault_at: Option<Address>,
    },
    /// No connection to the endpoint was made, so the request never left this process.
    Unsent,
    /// The request was not sent, because [`SendOrder::valid_until_us`] had passed and the configuration may
    /// have changed.
    Outdated,
    /// The request was not sent, because [`SendOrder::send_by_us`] had passed and the endpoint may have asked for
    /// no requests.
    Delayed,
    /// The endpoint answered with an error; forwarding keeps the answer for [`Verdict::Deliver`].
    Failed {
        /// HTTP status of the answer.
        status: u16,
    },
    /// No complete answer arrived, and the request may have run.
    Broken {
        /// How the answer broke.
        by: BrokenBy,
    },
    /// The deadline of the request has passed.
    Expired,
    /// The caller closed its connection.
    Left,
}

/// Why no complete answer arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BrokenBy {
    /// The connection ended or was reset, or the status promised that nothing ran and the endpoint did not
    /// confirm it.
    Connection,
    /// The response was not a valid answer to this request.
    Garbled,
    /// Nothing arrived within the time limit.
    Silence,
}

/// Confirmation that a version of the configuration was current at a given time, from a read of the store by this or
/// another gateway.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Proof {
    /// Version of the configuration.
    pub version: u64,
    /// Time at which the read was sent, in microseconds of the clock that includes suspended time.
    pub at_us: u64,
}

/// Confirmation that, at a given time, no record after a position in the store had changed an endpoint, from a read of the
/// store by this or another gateway.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EndpointsProof {
    /// Position after the last record that changed an endpoint.
    pub position: StorePosition,
    /// Time at which the read was sent, in microseconds of the clock that includes suspended time.
    pub at_us: u64,
}

/// A shared part of a prompt, or a whole request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Feature {
    /// Digest of the part or of the request.
    pub digest: u64,
    /// Position in the prompt; a deeper part is more specific.
    pub depth: u8,
}

/// A crash of an endpoint, with features that may have caused it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CrashReport {
    /// Address of the endpoint.
    pub address: Address,
    /// Start of the incarnation that crashed, as Unix time in milliseconds.
    pub born_ms: u64,
    /// Time since the crash, in milliseconds.
    pub age_ms: u32,
    /// Features of the requests that the endpoint had not begun to answer.
    pub features: Vec<Feature>,
}

impl Default for CrashReport {
    fn default() -> Self {
        let address = Address::from(([0, 0, 0, 0], 0));
        Self { address, born_ms: 0, age_ms: 0, features: Vec::new() }
    }
}

/// What a gateway knows of crashes and their causes.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CrashFindings {
    /// Crashes that are not explained yet, or by a quarantined feature.
    pub crashes: Vec<CrashReport>,
    /// Digests of features that other gateways suspect, with the time in milliseconds since a run began that cleared
    /// them.
    pub runs: Vec<(u64, u32)>,
    /// Quarantined features.
    pub quarantined: Vec<QuarantineReport>,
}

/// A feature that a gateway has quarantined.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct QuarantineReport {
    /// The feature.
    pub feature: Feature,
    /// Time since the last crash with it, in milliseconds.
    pub age_ms: u32,
    /// Number of trials of it that ended in a crash.
    pub failed_trials: u8,
}

/// Part of a gateway's state that datagrams carry in optional sections, because gateways of earlier versions do not know it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sections {
    /// Era of the store that the positions in the state belong to; none from a gateway that does not know eras.
    pub store_era: Option<u64>,
    /// What the gateway is as a helper; none if it takes no requests of other gateways.
    pub helper: Option<Helper>,
}

/// A gateway that takes requests of other gateways, which have lost their links to the endpoints.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Helper {
    /// Address at which it takes these requests.
    pub address: Address,
    /// Whether it can serve them: it reaches endpoints and is not stopping.
    pub is_available: bool,
    /// Whether an endpoint has answered it lately.
    pub is_proven: bool,
    /// Memory of its machine, in megabytes, as a measure of its size.
    pub size_mb: u32,
    /// Number of requests that it has in flight.
    pub requests: u32,
}

/// State that a gateway publishes to the other gateways.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PeerState {
    /// Name of the gateway.
    pub instance: String,
    /// Zone of the gateway.
    pub zone: Zone,
    /// Load that the gateway has in flight at each endpoint of its zone.
    pub zone_loads: Vec<(Address, Load)>,
    /// Load that the gateway has in flight at each endpoint of another zone.
    pub other_loads: Vec<(Address, Load)>,
    /// Endpoints that the gateway excludes because of failures that it observed itself.
    pub down: Vec<Address>,
    /// Crashes of endpoints and the requests and parts of prompts that may have caused them.
    pub crash_findings: CrashFindings,
    /// Version of the configuration.
    pub version: u64,
    /// Time since the configuration was last confirmed to be current, in milliseconds.
    pub proof_age_ms: u64,
    /// Position in the store after the last record known to the gateway that changed an endpoint.
    pub endpoints_change: StorePosition,
    /// Time since it was last confirmed that there is no later change, in milliseconds.
    pub endpoints_age_ms: u64,
    /// What gateways of earlier versions do not send.
    #[serde(skip)]
    pub sections: Sections,
}

impl PeerState {
    /// Returns the part that gateways of other zones need. They seldom use the endpoints of this zone, and most
    /// bytes of the state describe the load on these.
    pub fn for_other_zone(&self) -> Self {
        Self {
            instance: self.instance.clone(),
            zone: self.zone.clone(),
            zone_loads: Vec::new(),
            other_loads: self.other_loads.clone(),
            down: self.down.clone(),
            crash_findings: self.crash_findings.clone(),
            sections: self.sections.clone(),
            ..*self
        }
    }
}

/// One start of an endpoint, to which its answers belong. Another endpoint, or the same one after a restart, may have its
/// address.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointStart {
    /// Address of the endpoint.
    pub address: Address,
    /// Name of the endpoint.
    pub id: Arc<str>,
    /// Unix time of the start, in milliseconds.
    pub born_ms: u64,
}

impl EndpointStart {
    /// Returns the start that an entry describes.
    pub fn of(endpoint: &Endpoint) -> Self {
        Self { address: endpoint.address, id: Arc::clone(&endpoint.id), born_ms: endpoint.born_ms }
    }
}

/// Input of dispatch.
#[derive(Clone, Debug)]
pub enum Event {
    /// Forwarding submits a request.
    Submit(Box<Submission>),
    /// The first event of a stream arrived, so the engines have processed its prompt.
    StreamStarted {
        /// Number of the request.
        ticket: u64,
    },
    /// The answer or the next event of a stream did not arrive within its time limit; forwarding continues to wait.
    Waiting {
        /// Number of the request.
        ticket: u64,
        /// Number of the report within the send, from 1.
        report: u32,
        /// Time since the last event, or since the send if there was none, in milliseconds.
        silent_ms: u64,
    },
    /// The answer or the next event arrived after it was reported as late.
    Resumed {
        /// Number of the request.
        ticket: u64,
    },
    /// An endpoint announced in an answer that it is leaving.
    Leaving(EndpointStart),
    /// An endpoint rejected a request and wants no others for a time.
    HoldOff {
        /// The endpoint that answered.
        start: EndpointStart,
        /// Engine of the path that the answer names as the cause, if any.
        fault_at: Option<Address>,
        /// Time for which it wants no requests, in milliseconds.
        for_ms: u64,
    },
    /// A send ended.
    Ended {
        /// Number of the request.
        ticket: u64,
        /// How it ended.
        ending: Ending,
    },
    /// The catalog read a configuration.
    Configuration(Arc<Configuration>),
    /// The list of endpoints changed.
    Endpoints(Arc<[Endpoint]>),
    /// A version of the configuration was confirmed to be current.
    ConfigurationProof(Proof),
    /// It was confirmed that the endpoints have not changed after the given offset.
    EndpointsProof(EndpointsProof),
    /// The store is in the given era. Proofs that were sent before hold no longer, unless the era is the same.
    StoreEra(u64),
    /// A gossip message of another gateway arrived.
    Peer {
        /// State of the other gateway.
        state: Box<PeerState>,
        /// Number of known gateways, this one included.
        known: usize,
        /// Number of known gateways in the zone of the other gateway, without this one.
        zone_known: usize,
    },
    /// An inspection of an engine ended.
    Report {
        /// Address of the engine.
        address: Address,
        /// State of the engine; none if it did not answer.
        report: Option<EngineReport>,
    },
    /// An attempt to connect to an endpoint ended.
    Probed {
        /// Address of the endpoint.
        address: Address,
        /// How it ended.
        result: ProbeResult,
    },
    /// An endpoint answered on a connection that was just made.
    Reached,
    /// The process is stopping.
    Draining,
}

/// How an attempt to connect to an endpoint ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeResult {
    /// The connection was made; an engine has given a report on it.
    Reached,
    /// Nothing listens at the address, or something on the way to it refuses connections.
    Refused,
    /// There was no answer in time, or another error.
    Unanswered,
}

/// Destination and limits of one send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SendOrder {
    /// Address of the endpoint.
    pub address: Address,
    /// Unix time of the endpoint's start, in milliseconds.
    pub born_ms: u64,
    /// Fields that are added to the request head; the deadline among them counts from the decision.
    pub forwarding_info: ForwardingInfo,
    /// Time by which the request must have its final answer, in microseconds.
    pub deadline_us: u64,
    /// Time from which on the request must no longer be sent, in microseconds.
    pub valid_until_us: u64,
    /// Time from which on the request must not be sent without another decision, in microseconds.
    pub send_by_us: u64,
    /// Time limit for making a connection, in milliseconds.
    pub connect_limit_ms: u64,
    /// Time limit for the head of the answer and the first event of a stream, in milliseconds. The time taken
    /// to connect counts as well. A send that exceeds it is reported to dispatch.
    pub first_response_limit_ms: u64,
    /// Time between two events of a stream after which it is reported to dispatch, and time between two such reports, in
    /// milliseconds.
    pub stall_limit_ms: u64,
    /// Time without an event at which a further report is due, in milliseconds. Dispatch then needs no evidence against the
    /// path to continue the request elsewhere.
    pub silence_limit_ms: u64,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// Whether the destination is another gateway.
    pub is_handoff: bool,
    /// Maximum number of idle connections to keep to this endpoint.
    pub idle_connections: usize,
}

impl SendOrder {
    /// Returns how the send ends if it is too late to send the request.
    pub fn late_ending(&self, now_us: u64) -> Option<Ending> {
        if now_us >= self.valid_until_us {
            return Some(Ending::Outdated);
        }
        (now_us >= self.send_by_us).then_some(Ending::Delayed)
    }

    /// Returns the start of the endpoint that the request is sent to.
    pub fn endpoint_start(&self) -> EndpointStart {
        let id = Arc::clone(&self.forwarding_info.endpoint);
        EndpointStart { address: self.address, id, born_ms: self.born_ms }
    }
}

/// Decision on a request that dispatch returns to forwarding.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Send the request.
    Send(Box<SendOrder>),
    /// Pass on the error that the endpoint answered.
    Deliver,
    /// Leave the current endpoint if no event has arrived since the given report. The next endpoint is booked already.
    Abandon {
        /// Number of the report within the send.
        report: u32,
    },
    /// Answer with an error of the gateway.
    Refuse(Refusal),
}

/// An error answer of the gateway.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Reason, which also gives the HTTP status.
    pub reason: RefusalReason,
    /// Time after which the caller may retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// Reason for an error answer of the gateway.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum RefusalReason {
    /// No route matches the host and path of the request.
    #[error("no route matches")]
    NoRoute,
    /// The route requires a key, and the request has none or one that the configuration does not list.
    #[error("the key is missing or unknown")]
    UnknownKey,
    /// The request is malformed.
    #[error("the request cannot be used")]
    BadRequest,
    /// No configuration has been read yet.
    #[error("no configuration is known yet")]
    NoConfiguration,
    /// The configuration was not confirmed recently enough, so it may be outdated.
    #[error("the configuration may be outdated")]
    StaleConfiguration,
    /// No endpoint has capacity for the request.
    #[error("no endpoint can take the request")]
    NoCapacity,
    /// Endpoints rejected the request or could not be reached, and no retry is left.
    #[error("endpoints rejected the request")]
    Rejected,
    /// The retry budget of the service is used up.
    #[error("the retry budget is used up")]
    BudgetSpent,
    /// Endpoints crashed repeatedly while they ran the request.
    #[error("endpoints broke off each time the request ran")]
    Quarantined,
    /// Endpoints crashed repeatedly when they began to answer requests with one of the parts of the prompt.
    #[error("endpoints broke off each time a part of the prompt ran")]
    QuarantinedPart,
    /// The request may have run, and no complete answer arrived.
    #[error("the endpoint broke off")]
    Broken,
    /// The deadline has passed.
    #[error("the time of the request is over")]
    Expired,
}

impl RefusalReason {
    /// Returns the reason to refuse a request with a quarantined feature.
    pub(super) fn of_quarantined(feature: Feature) -> Self {
        if feature.is_request() { Self::Quarantined } else { Self::QuarantinedPart }
    }

    /// Returns the HTTP status. A status that promises callers that the request did not run, such as 503, is
    /// used only for reasons for which this is certain.
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
            | Self::Quarantined
            | Self::QuarantinedPart => 503,
        }
    }
}

/// Output of dispatch.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Return a verdict to forwarding.
    Reply {
        /// Number of the request.
        ticket: u64,
        /// The verdict.
        verdict: Verdict,
    },
    /// Set whether the balancer's readiness checks succeed.
    Ready(bool),
    /// Request a report from an engine.
    Inspect(Address),
    /// Find out whether anything listens at the address of an endpoint.
    Probe(Address),
    /// Find out whether an engine gives a report on a new connection. An open one may have outlived the links.
    ProbeEngine(Address),
    /// Only the gateways at these addresses may hand requests on to this one.
    Gateways(Arc<[IpAddr]>),
    /// Tell the catalog that an endpoint announced its departure.
    Leaving(EndpointStart),
    /// Publish the state to the other gateways.
    PublishState(Box<PeerState>),
    /// Log a decision.
    Decide(Decision),
    /// Publish the state of a service with priority admission control as metrics.
    MeasureAdmission(Box<AdmissionState>),
}

/// State of priority admission control for one service.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionState {
    /// The service.
    pub service: ServiceId,
    /// Share of the engines' KV cache that is free, by the known loads; none for a plain service.
    pub room: Option<f64>,
    /// Number of waiting requests by rank.
    pub waiting: Vec<usize>,
}

/// A decision that is logged as one line.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A request is sent.
    Sent {
        /// Id that the caller gave to the attempt.
        id: Arc<str>,
        /// Name of the route.
        route: Arc<str>,
        /// Name of the endpoint.
        endpoint: Arc<str>,
        /// Number of engines on the path; 0 for plain services.
        hops: usize,
        /// Number of this send within the attempt, from 1.
        send: u32,
        /// Number of known crashes of endpoints that ran the request.
        crashes: usize,
        /// Expected cost, in milliseconds.
        cost_ms: u64,
        /// Version of the configuration.
        version: u64,
        /// Time since the configuration was last confirmed, in milliseconds.
        proof_age_ms: u64,
    },
    /// A request is handed on to another gateway, because this one has lost its links to the endpoints.
    HandedOn {
        /// Id that the caller gave to the attempt.
        id: Arc<str>,
        /// Name of the route.
        route: Arc<str>,
        /// Name of the other gateway.
        helper: Arc<str>,
        /// Number of this send within the attempt, from 1.
        send: u32,
        /// Version of the configuration.
        version: u64,
        /// Time since the configuration was last confirmed, in milliseconds.
        proof_age_ms: u64,
    },
    /// This gateway has lost its links to the endpoints, or has them again.
    ReachabilityChanged {
        /// Whether the links are lost.
        is_cut_off: bool,
        /// Number of endpoints whose connections failed since one answered on a new connection.
        failed: usize,
        /// Number of gateways that take requests of this one.
        helpers: usize,
    },
    /// A request that finds no capacity waits.
    Queued {
        /// Id that the caller gave to the attempt.
        id: Arc<str>,
        /// Name of the route.
        route: Arc<str>,
        /// Rank of the class of the request.
        rank: u8,
        /// Number of requests that wait for the service, this one included.
        waiting: usize,
        /// Time after which it is refused if there is no capacity until then, in milliseconds.
        limit_ms: u64,
    },
    /// A request is refused.
    Refused {
        /// Id that the caller gave to the attempt.
        id: Arc<str>,
        /// Reason, and time until a retry.
        refusal: Refusal,
        /// Number of sends before the refusal.
        sends: u32,
        /// Rank of the class of the request, if its service is classed.
        rank: Option<u8>,
        /// Version of the configuration.
        version: u64,
        /// Time since the configuration was last confirmed, in milliseconds.
        proof_age_ms: u64,
    },
    /// A send ended without a complete answer.
    Ended {
        /// Id that the caller gave to the attempt.
        id: Arc<str>,
        /// Name of the endpoint.
        endpoint: Arc<str>,
        /// How it ended.
        ending: Ending,
        /// Time since the request was submitted, in milliseconds.
        age_ms: u64,
        /// Digest of the request, the same for all attempts at it.
        digest: u64,
    },
    /// An endpoint is known to have ended after connections to it broke while it ran requests.
    CrashCounted {
        /// The incarnation that ended.
        crash: Crash,
        /// Observation that shows its end.
        cause: &'static str,
        /// Number of sends that broke with it.
        sends: usize,
    },
    /// A send whose answer or next event is late continues or ends.
    Judged {
        /// Id that the caller gave to the attempt.
        id: Arc<str>,
        /// Address of the endpoint that the request was sent to.
        address: Address,
        /// Whether the send ends.
        abandoned: bool,
        /// What is known of the endpoint or its path.
        evidence: &'static str,
    },
    /// An endpoint announced its departure in an answer and gets no further requests.
    Leaving(EndpointStart),
    /// An endpoint asked for no requests for a time.
    HeldOff {
        /// Address of the endpoint.
        address: Address,
        /// Time for which it gets no requests, in milliseconds.
        for_ms: u64,
    },
    /// An endpoint was chosen although it takes no requests. The request is not sent.
    DecliningChosen {
        /// Address of the endpoint.
        address: Address,
    },
    /// A part of a prompt, or a whole request, is quarantined.
    FeatureQuarantined {
        /// Digest of the part or of the request.
        digest: u64,
        /// Whether it is a part or a whole request.
        kind: &'static str,
        /// Whether the crashes that this gateway knows or the report of another one led to it.
        by: &'static str,
        /// Number of separate incidents that it explains, for a request the crashes; 0 if another gateway found it.
        incidents: usize,
    },
    /// A quarantine ended.
    FeatureReleased {
        /// Digest of the part or of the request.
        digest: u64,
        /// Why it ended.
        cause: &'static str,
    },
    /// A request has a quarantined feature.
    FeatureRefused {
        /// Id that the caller gave to the attempt.
        id: Arc<str>,
        /// Digest of the part or of the request.
        digest: u64,
        /// Whether it is sent nevertheless, to find out whether the feature still crashes endpoints.
        is_trial: bool,
    },
    /// Routes or teams have priorities above the largest one.
    PriorityClamped {
        /// Version of the configuration.
        version: u64,
        /// Highest number of a priority in it.
        priority: u8,
    },
    /// No path was found for a request: why the endpoints of its service cannot be used. The others lack room, a slot or
    /// layers.
    NoPath {
        /// Id that the caller gave to the attempt.
        id: Arc<str>,
        /// Number of endpoints of the service.
        endpoints: usize,
        /// Number of these that are excluded because this gateway observed failures.
        failed: usize,
        /// Number of these that are excluded because another gateway reports them as down.
        reported: usize,
        /// Number of these that are excluded because they lacked room.
        full: usize,
        /// Number of these that take no requests or are leaving.
        declining: usize,
    },
    /// An endpoint that was down has given a sign of life.
    Readmitted {
        /// Address of the endpoint.
        address: Address,
    },
    /// An endpoint is excluded after a failure.
    Excluded {
        /// Address of the endpoint.
        address: Address,
        /// Duration of the exclusion, in milliseconds.
        for_ms: u64,
        /// Observation that led to the exclusion.
        cause: &'static str,
    },
}

impl fmt::Display for Decision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Sent { id, route, endpoint, hops, send, crashes, cost_ms, version, proof_age_ms } => {
                write!(
                    formatter,
                    "event=sent request={id} route={route} endpoint={endpoint} hops={hops} send={send} \
                 crashes={crashes} cost_ms={cost_ms} version={version} proof_age_ms={proof_age_ms}"
                )
            }
            Self::HandedOn { id, route, helper, send, version, proof_age_ms } => write!(
                formatter,
                "event=handed_on request={id} route={route} helper={helper} send={send} version={version} \
                 proof_age_ms={proof_age_ms}"
            ),
            Self::ReachabilityChanged { is_cut_off, failed, helpers } => write!(
                formatter,
                "event=reachability_changed cut_off={is_cut_off} failed={failed} helpers={helpers}"
            ),
            Self::Queued { id, route, rank, waiting, limit_ms } => write!(
                formatter,
                "event=queued request={id} route={route} rank={rank} waiting={waiting} limit_ms={limit_ms}"
            ),
            Self::Refused { id, refusal, sends, rank, version, proof_age_ms } => {
                write!(
                    formatter,
                    "event=refused request={id} status={} reason=\"{}\" sends={sends} version={version} \
                 proof_age_ms={proof_age_ms}",
                    refusal.reason.status(),
                    refusal.reason
                )?;
                match (rank, refusal.retry_after_ms) {
                    (Some(rank), Some(retry_ms)) => {
                        write!(formatter, " rank={rank} retry_after_ms={retry_ms}")
                    }
                    (Some(rank), None) => write!(formatter, " rank={rank}"),
                    (None, _) => Ok(()),
                }
            }
            Self::Ended { id, endpoint, ending, age_ms, digest } => write!(
                formatter,
                "event=ended request={id} endpoint={endpoint} ending=\"{ending:?}\" age_ms={age_ms} \
                 digest={digest:016x}"
            ),
            Self::CrashCounted { crash: Crash { address, born_ms }, cause, sends } => write!(
                formatter,
                "event=crash_counted endpoint_address={address} born_ms={born_ms} cause={cause} sends={sends}"
            ),
            Self::Judged { id, address, abandoned, evidence } => write!(
                formatter,
                "event=late_stream_judged request={id} endpoint_address={address} abandoned={abandoned} \
                 evidence={evidence}"
            ),
            Self::Leaving(EndpointStart { address, id, born_ms }) => write!(
                formatter,
                "event=endpoint_leaving endpoint={id} endpoint_address={address} born_ms={born_ms}"
            ),
            Self::HeldOff { address, for_ms } => {
                write!(formatter, "event=endpoint_held_off endpoint_address={address} for_ms={for_ms}")
            }
            Self::DecliningChosen { address } => write!(
                formatter,
                "event=invariant_violated invariant=no_request_to_declining_endpoint \
                 endpoint_address={address} action=refuse"
            ),
            Self::FeatureQuarantined { digest, kind, by, incidents } => write!(
                formatter,
                "event=feature_quarantined feature={digest:016x} kind={kind} by={by} incidents={incidents}"
            ),
            Self::FeatureReleased { digest, cause } => {
                write!(formatter, "event=feature_released feature={digest:016x} cause={cause}")
            }
            Self::FeatureRefused { id, digest, is_trial } => {
                let event = if *is_trial { "feature_tried" } else { "feature_refused" };
                write!(formatter, "event={event} request={id} feature={digest:016x}")
            }
            Self::PriorityClamped { version, priority } => {
                write!(formatter, "event=priority_clamped version={version} priority={priority}")
            }
            Self::NoPath { id, endpoints, failed, reported, full, declining } => write!(
                formatter,
                "event=no_path request={id} endpoints={endpoints} failed={failed} reported={reported} full={full} \
                 declining={declining}"
            ),
            Self::Readmitted { address } => {
                write!(formatter, "event=readmitted endpoint_address={address}")
            }
            Self::Excluded { address, for_ms, cause } => {
                write!(formatter, "event=excluded endpoint_address={address} for_ms={for_ms} cause={cause}")
            }
        }
    }
}
