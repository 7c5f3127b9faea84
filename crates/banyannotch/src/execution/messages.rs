//! Events and actions of execution, and the types that they carry.

use std::fmt;

use super::error::{CallFault, StepFault};
use crate::admission::Finished;
use crate::ids::{Attempt, CacheId, EndpointId, Fingerprint, ModelId, ModelVersion, RequestId};
use crate::ledger;
use crate::pipeline::{Address, LayerRange, Target};
use crate::request::Reply;
use crate::routing::{Observation, Reroute, RerouteResult, Start};

/// An event that execution handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// Routing assigned a new request, or reported why it cannot run.
    Start(Start),
    /// The caller disconnected.
    Cancel(RequestId),
    /// Routing answered a [`Reroute`].
    RerouteResult(RerouteResult),
    /// The caller read some tokens, so that as many more may be sent.
    Credit {
        /// Request whose caller read the tokens.
        request: RequestId,
        /// Number of tokens that were read.
        tokens: u32,
    },
    /// A step finished or failed.
    StepFinished(StepReport),
    /// A call of a plain service finished or failed.
    CallFinished(CallReport),
    /// The ledger answered a claim.
    Claimed(ledger::Answer),
    /// A probe of an endpoint ended.
    Probed {
        /// Endpoint that was probed.
        endpoint: EndpointId,
        /// Result of the probe.
        result: ProbeResult,
    },
    /// Other entries reported requests that were in flight when an endpoint crashed.
    Suspected(Vec<Suspicion>),
}

/// Report that a step finished or failed.
#[derive(Clone, Debug, PartialEq)]
pub struct StepReport {
    /// Request of the step.
    pub request: RequestId,
    /// Cache of the step.
    pub cache: CacheId,
    /// First position of the step.
    pub position: u32,
    /// Result of the step, or why there is none.
    pub result: std::result::Result<StepResult, StepFault>,
}

/// Result of a step that ran.
#[derive(Clone, Debug, PartialEq)]
pub struct StepResult {
    /// Number of positions that ran.
    pub count: u32,
    /// Output of the last layer.
    pub output: StepOutput,
}

/// Output of a step.
#[derive(Clone, Debug, PartialEq)]
pub enum StepOutput {
    /// Activations for the next stage, one value for each position.
    Hidden(Vec<u64>),
    /// The next token.
    Token {
        /// Token identifier.
        id: u32,
        /// Text of the token.
        text: String,
        /// Whether this is the last token of the answer.
        end: bool,
    },
}

/// Report that a call of a plain service finished or failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallReport {
    /// Request of the call.
    pub request: RequestId,
    /// Attempt of the call.
    pub attempt: Attempt,
    /// Result as JSON text, or why there is none.
    pub result: std::result::Result<String, CallFault>,
}

/// Result of a probe, which checks whether an endpoint makes progress.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeResult {
    /// The endpoint answered that it has finished this many batches since its start. The number is 0 if its
    /// answer is not an engine's load report, as is the case for a plain service.
    Batches(u64),
    /// No connection could be made, which is taken to mean that the process has ended, or another incarnation
    /// answers at the address.
    Refused,
    /// The endpoint gave no usable answer in time.
    NoAnswer,
}

/// Report that a request with this content was in flight when the endpoint crashed.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Suspicion {
    /// Digest of the request's content.
    pub fingerprint: Fingerprint,
    /// Endpoint that crashed.
    pub endpoint: EndpointId,
}

/// An action that execution requests.
#[derive(Clone, Debug)]
pub enum Action {
    /// Run a step.
    Step(Box<StepCommand>),
    /// Call a plain service.
    Call(Box<CallCommand>),
    /// Free a cache at an endpoint.
    Release {
        /// Address of the endpoint.
        address: Address,
        /// Cache to free.
        cache: CacheId,
    },
    /// Probe an endpoint for progress.
    Probe(Target),
    /// Send the caller a token or the outcome.
    Reply(Reply),
    /// Ask routing for a substitute.
    Reroute(Reroute),
    /// Notify admission and routing that a request ended.
    Finished(Finished),
    /// Report the measured time of a step to routing.
    Observed(Observation),
    /// Report a failed endpoint to membership.
    Failed {
        /// Endpoint that failed.
        endpoint: EndpointId,
        /// Whether no connection could be made or a probe found its process ended.
        refused: bool,
    },
    /// Send an event to the ledger.
    Ledger(ledger::Event),
    /// Report to the other entries which requests were in flight when an endpoint crashed.
    Announce(Vec<Suspicion>),
    /// Log a decision.
    Decide(Decision),
    /// Count and log that an invariant does not hold.
    Violated {
        /// Invariant that does not hold.
        invariant: Invariant,
        /// Request at which the violation was found.
        request: RequestId,
    },
}

/// An invariant behind a guarantee to callers. It is checked in release builds too.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Invariant {
    /// The output of a step covers exactly the positions that were sent.
    PositionsMatch,
    /// Each position is sent to a cache once.
    PositionOnce,
    /// Only the last stage returns tokens, and it returns nothing else.
    TokenFromLastStage,
    /// A caller receives each token once and in order.
    TokenOrder,
    /// A request has exactly one outcome.
    OneOutcome,
}

impl Invariant {
    /// Returns the name that logs and metrics use.
    pub fn name(self) -> &'static str {
        match self {
            Self::PositionsMatch => "positions_match",
            Self::PositionOnce => "position_once",
            Self::TokenFromLastStage => "token_from_last_stage",
            Self::TokenOrder => "token_order",
            Self::OneOutcome => "one_outcome",
        }
    }
}

/// A command to run a step.
#[derive(Clone, Debug, PartialEq)]
pub struct StepCommand {
    /// Request of the step.
    pub request: RequestId,
    /// Attempt of the request.
    pub attempt: Attempt,
    /// Endpoint that runs the step.
    pub target: Target,
    /// Cache that the step extends.
    pub cache: CacheId,
    /// Model that the endpoint is expected to serve.
    pub model: ModelId,
    /// Model version that the endpoint is expected to serve.
    pub version: ModelVersion,
    /// Layers that the endpoint is expected to serve.
    pub layers: LayerRange,
    /// Number of positions that the cache already holds.
    pub position: u32,
    /// Input of the stage's first layer.
    pub input: StepInput,
    /// Priority of the request; higher values run first.
    pub priority: u8,
    /// Time limit for the answer.
    pub timeout_ms: u64,
}

/// Input of a step.
#[derive(Clone, Debug, PartialEq)]
pub enum StepInput {
    /// Prompt and the tokens generated so far, for the first stage.
    Prompt {
        /// Prompt text.
        prompt: String,
        /// Tokens that follow the prompt.
        tokens: Vec<u32>,
    },
    /// One token, for the first stage.
    Token(u32),
    /// Activations from the previous stage.
    Hidden(Vec<u64>),
}

/// A command to call a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallCommand {
    /// Request of the call.
    pub request: RequestId,
    /// Attempt of the request.
    pub attempt: Attempt,
    /// Endpoint to call.
    pub target: Target,
    /// Operation of the service.
    pub operation: String,
    /// Payload as JSON text.
    pub payload: String,
    /// Caller's idempotency key, for a call that must not be repeated.
    pub key: Option<String>,
    /// Time limit for the answer.
    pub timeout_ms: u64,
}

/// A decision of execution, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// An attempt was started.
    Dispatched {
        /// Identifier of the request.
        request: RequestId,
        /// Number of the attempt.
        attempt: Attempt,
        /// Endpoint of the first step or of the call.
        endpoint: EndpointId,
    },
    /// A step or call failed.
    Fault {
        /// Identifier of the request.
        request: RequestId,
        /// Endpoint that failed.
        endpoint: EndpointId,
        /// Text of the fault.
        fault: String,
    },
    /// A request continues on another endpoint or route after a failure.
    Recovered {
        /// Identifier of the request.
        request: RequestId,
        /// Attempt that continues.
        attempt: Attempt,
        /// Method of recovery.
        method: RecoveryMethod,
        /// Endpoint that failed.
        failed: EndpointId,
        /// Endpoint that replaces it, or the first endpoint of the new route.
        endpoint: EndpointId,
        /// Number of positions that run again.
        positions: u32,
        /// Size of the activations that are sent again.
        resent_bytes: u64,
        /// Time since the request last made progress.
        stalled_us: u64,
    },
    /// A content was quarantined because requests with it crashed two endpoints.
    Quarantined {
        /// Digest of the content.
        fingerprint: Fingerprint,
        /// Endpoints that crashed.
        endpoints: Vec<EndpointId>,
    },
    /// A request ended.
    Ended {
        /// Identifier of the request.
        request: RequestId,
        /// Kind of outcome.
        outcome: &'static str,
        /// Reason of the outcome, if it has one.
        reason: Option<String>,
        /// Tokens that were delivered.
        tokens: u32,
        /// Time since the request arrived.
        elapsed_us: u64,
    },
}

/// Method by which a request recovers from a failure.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecoveryMethod {
    /// The retained inputs of one stage run again on a substitute endpoint.
    Replay,
    /// All positions run again on a new route.
    NewAttempt,
    /// The call is sent again to another endpoint.
    Retry,
}

impl RecoveryMethod {
    /// Returns the name that logs and metrics use.
    pub fn name(self) -> &'static str {
        match self {
            Self::Replay => "replay",
            Self::NewAttempt => "new_attempt",
            Self::Retry => "retry",
        }
    }
}

impl Decision {
    /// Returns the request that the decision is about, if it is about one.
    pub fn request(&self) -> Option<RequestId> {
        match self {
            Self::Dispatched { request, .. }
            | Self::Fault { request, .. }
            | Self::Recovered { request, .. }
            | Self::Ended { request, .. } => Some(*request),
            Self::Quarantined { .. } => None,
        }
    }
}

impl fmt::Display for Decision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Dispatched { request, attempt, endpoint } => {
                write!(
                    formatter,
                    "decision=dispatched request={request} attempt={attempt} endpoint={endpoint}"
                )
            }
            Self::Fault { request, endpoint, fault } => {
                write!(formatter, "decision=fault request={request} endpoint={endpoint} fault={fault}")
            }
            Self::Recovered {
                request,
                attempt,
                method,
                failed,
                endpoint,
                positions,
                resent_bytes,
                stalled_us,
            } => {
                write!(
                    formatter,
                    "decision=recovered request={request} attempt={attempt} method={} failed={failed} \
                     endpoint={endpoint} positions={positions} resent_bytes={resent_bytes} stalled_us={stalled_us}",
                    method.name()
                )
            }
            Self::Quarantined { fingerprint, endpoints } => {
                write!(formatter, "decision=quarantined fingerprint={fingerprint} endpoints=")?;
                for (index, endpoint) in endpoints.iter().enumerate() {
                    let comma = if index == 0 { "" } else { "," };
                    write!(formatter, "{comma}{endpoint}")?;
                }
                Ok(())
            }
            Self::Ended { request, outcome, reason, tokens, elapsed_us } => {
                let reason = reason.as_deref().unwrap_or("none");
                write!(
                    formatter,
                    "decision=ended request={request} outcome={outcome} reason={reason} tokens={tokens} \
                     elapsed_us={elapsed_us}"
                )
            }
        }
    }
}
