//! What execution hears and says.

use std::fmt;

use super::error::{CallFault, StepFault};
use crate::admission::Finished;
use crate::ids::{Attempt, CacheId, EndpointId, Fingerprint, ModelId, ModelVersion, RequestId};
use crate::ledger;
use crate::pipeline::{Address, LayerRange, Target};
use crate::request::Reply;
use crate::routing::{Observation, Reroute, Start, Substitute};

/// What execution hears.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request with its assignment.
    Start(Start),
    /// The caller went away.
    Cancel(RequestId),
    /// Routing's answer to a [`Reroute`].
    Substitute(Substitute),
    /// The caller took some tokens and may be sent as many more.
    Credit {
        /// Request whose caller read on.
        request: RequestId,
        /// Number of tokens that were taken.
        tokens: u32,
    },
    /// A step ended.
    Stepped(StepReport),
    /// A call of a plain service ended.
    Called(CallReport),
    /// The ledger's answer to a claim.
    Claimed(ledger::Answer),
    /// An endpoint was asked whether it makes progress.
    Probed {
        /// Endpoint that was asked.
        endpoint: EndpointId,
        /// What it answered.
        progress: Progress,
    },
    /// Other entries saw requests crash endpoints.
    Suspected(Vec<Suspicion>),
}

/// End of a step.
#[derive(Clone, Debug, PartialEq)]
pub struct StepReport {
    /// Request of the step.
    pub request: RequestId,
    /// Cache of the step.
    pub cache: CacheId,
    /// Position at which the step began.
    pub position: u32,
    /// What came of it.
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
    /// Activations for the next stage, one for each position.
    Hidden(Vec<u64>),
    /// The next token.
    Token {
        /// Token number.
        id: u32,
        /// Text of the token.
        text: String,
        /// Whether the answer ends here.
        end: bool,
    },
}

/// End of a call of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallReport {
    /// Request of the call.
    pub request: RequestId,
    /// Attempt of the call.
    pub attempt: Attempt,
    /// JSON text, or why there is none.
    pub result: std::result::Result<String, CallFault>,
}

/// What an endpoint answered to a probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// It answered and has finished this many batches since its start.
    Batches(u64),
    /// It refuses connections, as only a process that has ended does.
    Refused,
    /// It did not answer in time.
    Silent,
}

/// A request with this content was in flight when the endpoint crashed.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Suspicion {
    /// Content of the request.
    pub fingerprint: Fingerprint,
    /// Endpoint that crashed.
    pub endpoint: EndpointId,
}

/// What execution wants done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Run a step.
    Step(Box<StepOrder>),
    /// Call a plain service.
    Call(Box<CallOrder>),
    /// Free a cache at an endpoint.
    Release {
        /// Where the endpoint listens.
        address: Address,
        /// Cache to free.
        cache: CacheId,
    },
    /// Ask an endpoint whether it makes progress.
    Probe(Target),
    /// Answer the caller.
    Reply(Reply),
    /// Ask routing for a substitute.
    Reroute(Reroute),
    /// Tell admission and routing that a request ended.
    Finished(Finished),
    /// Tell routing what was measured.
    Observed(Observation),
    /// Tell membership that an endpoint failed.
    Failed {
        /// Endpoint that failed.
        endpoint: EndpointId,
        /// Whether it refused connections.
        refused: bool,
    },
    /// Ask the ledger.
    Ledger(ledger::Event),
    /// Tell the other entries which requests crashed endpoints.
    Announce(Vec<Suspicion>),
    /// Log a decision.
    Decide(Decision),
    /// Count and log that an invariant does not hold.
    Violated {
        /// Invariant that does not hold.
        invariant: Invariant,
        /// Request that it was seen at.
        request: RequestId,
    },
}

/// An invariant that guards a promise. It is checked in release builds too.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Invariant {
    /// An answer covers exactly the positions that were sent.
    PositionsMatch,
    /// A cache gets each position once.
    PositionOnce,
    /// Only the last stage gives tokens, and it gives nothing else.
    TokenFromLastStage,
    /// Tokens reach a caller once and in order.
    TokenOrder,
    /// A request has one outcome.
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

/// A step to run.
#[derive(Clone, Debug, PartialEq)]
pub struct StepOrder {
    /// Request of the step.
    pub request: RequestId,
    /// Attempt of the request.
    pub attempt: Attempt,
    /// Endpoint that runs the step.
    pub target: Target,
    /// Cache that the step extends.
    pub cache: CacheId,
    /// Model that is expected.
    pub model: ModelId,
    /// Version that is expected.
    pub version: ModelVersion,
    /// Layers that are expected.
    pub layers: LayerRange,
    /// Positions that the cache holds already.
    pub position: u32,
    /// Input of the first layer.
    pub input: StepInput,
    /// Higher runs first.
    pub priority: u8,
    /// How long the answer may take at most.
    pub limit_ms: u64,
}

/// Input of a step.
#[derive(Clone, Debug, PartialEq)]
pub enum StepInput {
    /// Prompt and tokens that are known already, for the first stage.
    Prompt {
        /// Prompt text.
        prompt: String,
        /// Tokens after it.
        tokens: Vec<u32>,
    },
    /// One token, for the first stage.
    Token(u32),
    /// Activations from the stage before.
    Hidden(Vec<u64>),
}

/// A call to make.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallOrder {
    /// Request of the call.
    pub request: RequestId,
    /// Attempt of the request.
    pub attempt: Attempt,
    /// Endpoint to call.
    pub target: Target,
    /// Operation of the service.
    pub operation: String,
    /// JSON text.
    pub payload: String,
    /// Caller's key.
    pub key: Option<String>,
    /// How long the answer may take at most.
    pub limit_ms: u64,
}

/// A decision of execution.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// An attempt began.
    Dispatched {
        /// Request.
        request: RequestId,
        /// Attempt.
        attempt: Attempt,
        /// First endpoint that gets work.
        endpoint: EndpointId,
    },
    /// A step or call failed.
    Fault {
        /// Request.
        request: RequestId,
        /// Endpoint that failed.
        endpoint: EndpointId,
        /// How, as the fault's name.
        fault: String,
    },
    /// A request goes on after a failure.
    Recovered {
        /// Request.
        request: RequestId,
        /// Attempt that goes on.
        attempt: Attempt,
        /// How.
        method: Method,
        /// Endpoint that failed.
        failed: EndpointId,
        /// Endpoint that takes over.
        endpoint: EndpointId,
        /// Positions that run again.
        positions: u32,
        /// Activations that are sent again.
        resent_bytes: u64,
        /// Time since the last progress.
        stalled_us: u64,
    },
    /// Requests with this content crashed two endpoints.
    Quarantined {
        /// Content.
        fingerprint: Fingerprint,
        /// Endpoints that crashed.
        endpoints: Vec<EndpointId>,
    },
    /// A request ended.
    Ended {
        /// Request.
        request: RequestId,
        /// Kind of outcome.
        outcome: &'static str,
        /// Typed reason.
        reason: Option<String>,
        /// Tokens that were delivered.
        tokens: u32,
        /// Time since the request arrived.
        elapsed_us: u64,
    },
}

/// How a request goes on after a failure.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Method {
    /// The kept inputs of one stage run again on a substitute.
    Replay,
    /// Everything runs again on a new route.
    NewAttempt,
    /// The call is made again.
    Retry,
}

impl Method {
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
