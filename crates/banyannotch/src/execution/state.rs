//! Settings of execution, and what its parts share while they handle one event.

use serde::{Deserialize, Serialize};

use super::Action;
use super::budget::RetryBudget;
use crate::clock::US_PER_MS;
use crate::ids::CacheId;
use crate::random::Random;

/// Limits of execution.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ExecutionSettings {
    /// Time beyond four times the expected one after which a step is late and its endpoint is probed.
    pub step_timeout_ms: u64,
    /// How long an endpoint may take to answer a probe.
    pub probe_timeout_ms: u64,
    /// How long an idempotent call may take before it is made again elsewhere.
    pub call_timeout_ms: u64,
    /// Pause between two requests for a substitute while there is none.
    pub reroute_interval_ms: u64,
    /// Most recoveries of one request.
    pub recoveries_limit: u32,
    /// Activations that are kept for replay, over all requests.
    pub retained_limit_bytes: u64,
    /// Most tokens of one request that its caller has not taken yet.
    pub credit_tokens: u32,
    /// How long a crash counts against a request's content.
    pub suspect_memory_ms: u64,
    /// Most contents that are remembered.
    pub suspect_limit: usize,
    /// Shortest pause of a request whose first step crashed an endpoint, so that news of the same content from another
    /// entry arrives first; the pause is random up to twice as long.
    pub suspect_pause_ms: u64,
    /// How long the outcome of a quarantined request is held back, so that the other entries refuse its resend. It covers
    /// an exchange between busy entries.
    pub quarantine_notice_ms: u64,
    /// How long a content is held back here after another entry reported a crash with it, because that entry is trying
    /// it again.
    pub shared_turn_ms: u64,
    /// Endpoints of one zone that fail within the window before nobody is blamed.
    pub common_cause_endpoints: usize,
    /// Window for failures of one zone.
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

/// What the parts of execution share while they handle one event.
pub(super) struct Context<'a> {
    /// Time of the event.
    pub now_us: u64,
    /// Limits.
    pub settings: &'a ExecutionSettings,
    /// Source of cache identifiers.
    pub random: &'a mut Random,
    /// Retries that are allowed at present.
    pub budget: &'a mut RetryBudget,
    /// Activations that are kept for replay at present.
    pub retained_bytes: &'a mut u64,
    /// What is to be done.
    pub actions: &'a mut Vec<Action>,
}

impl Context<'_> {
    /// Creates the identifier of a new cache. No cache is ever used for two attempts or stages.
    pub fn new_cache(&mut self) -> CacheId {
        CacheId(self.random.bits())
    }

    /// Adds an action.
    pub fn act(&mut self, action: Action) {
        self.actions.push(action);
    }
}

/// Whether a request goes on after an event.
#[derive(Debug, Eq, PartialEq)]
pub(super) enum Flow {
    /// It goes on.
    Continue,
    /// It ends.
    End(Ending),
}

/// How a request ends; the phase decides whether it counts as not run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Ending {
    /// The whole answer was delivered.
    Completed,
    /// A plain service gave this JSON text.
    Called(String),
    /// The caller went away.
    Cancelled,
    /// The deadline passed.
    Deadline,
    /// The deadline passed while no substitute was found for a failed endpoint.
    NoSubstitute,
    /// The endpoint or its substitutes refused it or failed too often.
    Exhausted,
    /// Requests with this content crash endpoints.
    Quarantined,
    /// The service reported a failure.
    ServiceFailed,
    /// A call that must not be repeated has no answer, and may have run.
    Doubtful(crate::request::UnknownReason),
    /// The ledger refused the claim before anything ran.
    NotGranted(crate::request::NotRun),
    /// The ledger knows the outcome of the key.
    Recorded(crate::ledger::Recorded),
}
