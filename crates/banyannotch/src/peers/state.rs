//! Settings of the exchange, and the state of each peer.

use serde::{Deserialize, Serialize};

use crate::ids::{ConfigVersion, EndpointId};

/// Intervals, timeouts and limits of the exchange between entries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ExchangeSettings {
    /// Interval of the rounds.
    pub interval_ms: u64,
    /// Maximum number of entries that one round calls.
    pub fanout: usize,
    /// Timeout of a call, including the connect.
    pub call_timeout_ms: u64,
    /// Pause before an entry is called again after a failed call. It doubles with consecutive failures, up to
    /// a limit.
    pub retry_pause_ms: u64,
    /// How long observations are gossiped.
    pub observation_memory_ms: u64,
    /// How long suspicions are gossiped.
    pub suspicion_memory_ms: u64,
}

impl Default for ExchangeSettings {
    fn default() -> Self {
        Self {
            interval_ms: 500,
            fanout: 3,
            call_timeout_ms: 1_000,
            retry_pause_ms: 1_000,
            observation_memory_ms: 60_000,
            suspicion_memory_ms: 600_000,
        }
    }
}

/// State of one peer address.
#[derive(Clone, Debug, Default)]
pub(super) struct Peer {
    /// Entry that last answered at this address.
    pub entry: Option<EndpointId>,
    /// Highest configuration version that the peer is known to have, as of its last answer.
    pub version: ConfigVersion,
    /// The peer has received the findings up to this sequence number.
    pub acknowledged_sequence: u64,
    /// Call to the peer that has neither been answered nor failed.
    pub pending_call: Option<Call>,
    /// Number of calls that failed since the last answer.
    pub consecutive_failures: u32,
    /// No round or urgent update starts a call to the peer before this time.
    pub paused_until_us: u64,
    /// Round of the last call.
    pub last_called_round: u64,
}

/// A call in flight.
#[derive(Clone, Copy, Debug)]
pub(super) struct Call {
    pub sent_us: u64,
    /// Sequence number of findings up to which the peer is up to date if it answers the call.
    pub last_sequence: u64,
    /// Configuration version whose content the call contains; 0 means none.
    pub content_version: ConfigVersion,
}
