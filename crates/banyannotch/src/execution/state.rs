//! Settings of execution, and the context and control-flow types that its modules share.

use serde::{Deserialize, Serialize};

use super::Action;
use super::budget::RetryBudget;
use crate::clock::US_PER_MS;
use crate::ids::CacheId;
use crate::random::Random;

/// Timeouts and limits of execution.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ExecutionSettings {
    /// Time that a step may take beyond four times its expected time. After it, the step is late and its
    /// endpoint is probed.
    pub step_timeout_ms: u64,
    /// Time limit for the answer to a probe.
    pub probe_timeout_ms: u64,
    /// Time limit for an idempotent call, after which it is retried on another endpoint.
    pub call_timeout_ms: u64,
    /// Pause between two requests for a substitute while none is available.
    pub reroute_interval_ms: u64,
    /// Maximum number of recoveries of one request.
    pub recoveries_limit: u32,
    /// Size limit of the activations that are retained for replay, over all requests.
    pub retained_limit_bytes: u64,
    /// Maximum number of tokens of one request that were sent and that its caller has not read yet.
    pub credit_tokens: u32,
    /// How long after its last recorded crash a content stays suspect or quarantined.
    pub suspect_memory_ms: u64,
    /// Maximum number of contents for which crashes are recorded.
    pub suspect_limit: usize,
    /// Minimum pause of a request whose first step crashed an endpoint, so that reports about the same
    /// content from other entries arrive before it is retried. The actual pause is random, up to twice as
    /// long.
    pub suspect_pause_ms: u64,
    /// Minimum time for which the outcome of a quarantined request is delayed, so that the other entries
    /// already refuse a resend of it. It covers a gossip exchange between busy entries. The actual delay is
    /// random, up to twice as long.
    pub quarantine_notice_ms: u64,
    /// How long requests with a content are held here after another entry reported a crash with it, because
    /// that entry is retrying the content.
    pub shared_turn_ms: u64,
    /// Number of endpoints of one zone that fail within the window at which the failures are attributed to a
    /// common cause and not to requests.
    pub common_cause_endpoints: usize,
    /// Window in which failures of one zone are counted.
    pub common_cause_window_ms: u64,
}

impl Default for ExecutionSettings {
    fn default() -> Self {
        Self {
            step_timeout_ms: 350,
            probe_timeout_ms: 250,
            call_timeout_ms: 2_000,
            reroute_interval_ms: 50,
            recoveries_limit: 8,
            retained_limit_bytes: 256 << 20,
            credit_tokens: 64,
            suspect_memory_ms: 600_000,
            suspect_limit: 1_024,
            suspect_pause_ms: 30,
            quarantine_notice_ms: 300,
            shared_turn_ms: 300,
            common_cause_endpoints: 3,
            common_cause_window_ms: 2_000,
        }
    }
}

impl ExecutionSettings {
    /// Returns the step timeout in microseconds.
    pub fn step_timeout_us(&self) -> u64 {
        self.step_timeout_ms * US_PER_MS
    }
}

/// State that the modules of execution share while they handle one event.
pub(super) struct Context<'a> {
    /// Time of the event, in microseconds.
    pub now_us: u64,
    /// Settings of execution.
    pub settings: &'a ExecutionSettings,
    /// Random source of cache identifiers.
    pub random: &'a mut Random,
    /// Retries that are currently allowed.
    pub budget: &'a mut RetryBudget,
    /// Size of the activations that are currently retained for replay.
    pub retained_bytes: &'a mut u64,
    /// Actions that result from the event.
    pub actions: &'a mut Vec<Action>,
}

impl Context<'_> {
    /// Creates the identifier of a new cache. A cache is never shared by two attempts or stages.
    pub fn new_cache(&mut self) -> CacheId {
        CacheId(self.random.bits())
    }

    /// Adds an action.
    pub fn emit(&mut self, action: Action) {
        self.actions.push(action);
    }
}

/// Whether a request continues after an event.
#[derive(Debug, Eq, PartialEq)]
pub(super) enum Flow {
    /// The request stays in flight.
    Continue,
    /// The request ends.
    End(Ending),
}

/// How a request ends. Together with the phase it determines the outcome, in particular whether the request
/// counts as not run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Ending {
    /// The whole answer was delivered.
    Completed,
    /// A plain service returned this JSON text.
    ServiceResult(String),
    /// The caller disconnected.
    Cancelled,
    /// The deadline passed.
    Deadline,
    /// The deadline passed while no substitute was found for a failed endpoint.
    NoSubstitute,
    /// The recovery limit or the retry budget is exhausted, or the stages disagree about positions.
    Exhausted,
    /// The content is quarantined because requests with it crashed endpoints.
    Quarantined,
    /// The service reported a failure.
    ServiceError,
    /// A call that must not be repeated may have run, and its result is not known.
    OutcomeUnknown(crate::request::UnknownReason),
    /// The ledger refused the claim before anything ran.
    ClaimRefused(crate::request::NotRun),
    /// The ledger has recorded an outcome for the key.
    Recorded(crate::ledger::RecordedOutcome),
}
