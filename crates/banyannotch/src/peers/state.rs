//! Settings of the exchange, and what is known of each other entry.

use serde::{Deserialize, Serialize};

use crate::ids::{ConfigVersion, EndpointId};

/// Times and limits of the exchange between entries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ExchangeSettings {
    /// Time between two rounds.
    pub interval_ms: u64,
    /// Entries that are called in one round.
    pub fanout: usize,
    /// How long a call may take, with connecting.
    pub call_timeout_ms: u64,
    /// Pause after a failed call.
    pub retry_pause_ms: u64,
    /// How long observations are passed on.
    pub observation_memory_ms: u64,
    /// How long suspicions are passed on.
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

/// Another entry, by its address.
#[derive(Clone, Debug, Default)]
pub(super) struct Peer {
    /// Who answered there last.
    pub entry: Option<EndpointId>,
    /// Version that it told last.
    pub version: ConfigVersion,
    /// Findings up to this number have reached it.
    pub reached: u64,
    /// The call that is under way.
    pub call: Option<Call>,
    /// Calls that failed since it last answered.
    pub failures: u32,
    /// No call before this time.
    pub paused_until_us: u64,
    /// Round in which it was called last.
    pub called_round: u64,
}

/// A call that is under way.
#[derive(Clone, Copy, Debug)]
pub(super) struct Call {
    pub sent_us: u64,
    /// Findings up to this number are in it.
    pub findings: u64,
    /// Version whose content is in it; 0 means none.
    pub content: ConfigVersion,
}
