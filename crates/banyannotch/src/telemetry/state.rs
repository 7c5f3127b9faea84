//! What telemetry keeps for the operators' port.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::configuration::{Configuration, PeerVersion};
use crate::ids::{RequestId, Zone};
use crate::membership::Endpoint;

/// Decisions that are kept for `explain`.
const DECISION_LIMIT: usize = 8_192;

/// Verdicts on configuration records that are kept for operators who wait for theirs.
const VERDICT_LIMIT: usize = 256;

/// What this entry decided about a configuration record.
#[derive(Clone, Debug)]
pub(super) struct RecordVerdict {
    pub offset: u64,
    pub accepted: bool,
    pub text: String,
}

/// A logged decision.
#[derive(Clone, Debug)]
pub(super) struct Line {
    pub unix_ms: u64,
    pub request: Option<RequestId>,
    pub text: String,
}

/// Latest state of the entry, for operators.
#[derive(Debug)]
pub(super) struct State {
    pub instance: String,
    pub zone: Zone,
    pub configuration: Option<Arc<Configuration>>,
    pub endpoints: Arc<[Endpoint]>,
    pub peers: Arc<[PeerVersion]>,
    pub draining: bool,
    lines: VecDeque<Line>,
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
            lines: VecDeque::new(),
            verdicts: VecDeque::new(),
        }
    }

    /// Keeps a decision and forgets the oldest beyond the limit.
    pub fn keep(&mut self, line: Line) {
        if self.lines.len() >= DECISION_LIMIT {
            self.lines.pop_front();
        }
        self.lines.push_back(line);
    }

    /// Returns the decisions about a request, oldest first.
    pub fn explain(&self, request: RequestId) -> impl Iterator<Item = &Line> {
        self.lines.iter().filter(move |line| line.request == Some(request))
    }

    /// Keeps a verdict on a configuration record and forgets the oldest beyond the limit.
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
