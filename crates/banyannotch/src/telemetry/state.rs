//! State that telemetry keeps for the operators' port.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::configuration::{Configuration, PeerVersion};
use crate::ids::{RequestId, Zone};
use crate::membership::Endpoint;

/// Maximum number of decisions that are kept for `explain`.
const DECISION_LIMIT: usize = 8_192;

/// Maximum number of verdicts on configuration records that are kept for operators who poll for them.
const VERDICT_LIMIT: usize = 256;

/// Verdict of this entry on a configuration record.
#[derive(Clone, Debug)]
pub(super) struct RecordVerdict {
    pub offset: u64,
    pub accepted: bool,
    pub text: String,
}

/// A logged decision.
#[derive(Clone, Debug)]
pub(super) struct LoggedDecision {
    pub unix_ms: u64,
    pub request: Option<RequestId>,
    pub text: String,
}

/// Latest state of the entry, as shown to operators.
#[derive(Debug)]
pub(super) struct State {
    pub instance: String,
    pub zone: Zone,
    pub configuration: Option<Arc<Configuration>>,
    pub endpoints: Arc<[Endpoint]>,
    pub peers: Arc<[PeerVersion]>,
    pub draining: bool,
    decisions: VecDeque<LoggedDecision>,
    verdicts: VecDeque<RecordVerdict>,
}

impl State {
    /// Creates the state of an entry that has just started.
    pub fn new(instance: String, zone: Zone) -> Self {
        Self {
            instance,
            zone,
            configuration: None,
            endpoints: Arc::new([]),
            peers: Arc::new([]),
            draining: false,
            decisions: VecDeque::new(),
            verdicts: VecDeque::new(),
        }
    }

    /// Adds a decision. At [`DECISION_LIMIT`], the oldest one is dropped.
    pub fn keep_decision(&mut self, decision: LoggedDecision) {
        if self.decisions.len() >= DECISION_LIMIT {
            self.decisions.pop_front();
        }
        self.decisions.push_back(decision);
    }

    /// Returns the kept decisions about a request, oldest first.
    pub fn explain(&self, request: RequestId) -> impl Iterator<Item = &LoggedDecision> {
        self.decisions.iter().filter(move |decision| decision.request == Some(request))
    }

    /// Adds a verdict on a configuration record. At [`VERDICT_LIMIT`], the oldest one is dropped.
    pub fn keep_verdict(&mut self, verdict: RecordVerdict) {
        if self.verdicts.len() >= VERDICT_LIMIT {
            self.verdicts.pop_front();
        }
        self.verdicts.push_back(verdict);
    }

    /// Returns the verdict on the record at an offset, if it is still kept.
    pub fn verdict(&self, offset: u64) -> Option<&RecordVerdict> {
        self.verdicts.iter().find(|verdict| verdict.offset == offset)
    }
}
