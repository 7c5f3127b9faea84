//! Hints about which endpoints ran a prompt prefix recently and may have it cached. A wrong hint only costs
//! time.

use std::collections::VecDeque;

use crate::ids::{EndpointId, Fingerprint};
use crate::request::{Generation, digest};
use crate::table::Table;

/// Maximum number of records, and so of prefixes, that are kept.
const HINT_LIMIT: usize = 4_096;

/// Time after which a hint is dropped, because engines evict prefixes from caches of limited size.
const HINT_TTL_US: u64 = 60_000_000;

/// Maximum length of the prefix of a prompt that is compared.
const PREFIX_BYTES: usize = 256;

#[derive(Debug)]
struct Hint {
    recorded_us: u64,
    endpoints: Vec<EndpointId>,
}

/// Endpoints of the most recent route of each prefix.
#[derive(Debug, Default)]
pub(super) struct Prefixes {
    hints: Table<Fingerprint, Hint>,
    /// Time and prefix of each record, oldest first.
    recorded: VecDeque<(u64, Fingerprint)>,
}

impl Prefixes {
    /// Returns the digest of the model and the prompt's prefix.
    pub fn digest(generation: &Generation) -> Fingerprint {
        let prompt = &generation.prompt;
        let end = prompt.floor_char_boundary(PREFIX_BYTES.min(prompt.len()));
        digest(&[generation.model.as_str(), prompt.get(..end).unwrap_or(prompt)])
    }

    /// Records that the endpoints run the prefix.
    pub fn record(&mut self, now_us: u64, prefix: Fingerprint, endpoints: &[EndpointId]) {
        self.hints.insert(prefix, Hint { recorded_us: now_us, endpoints: endpoints.to_vec() });
        self.recorded.push_back((now_us, prefix));
        while self.recorded.len() > HINT_LIMIT
            || self.recorded.front().is_some_and(|(recorded_us, _)| expired(now_us, *recorded_us))
        {
            let Some((recorded_us, oldest)) = self.recorded.pop_front() else { break };
            // A prefix that was recorded again since then has a newer record in the queue.
            if self.hints.get(&oldest).is_some_and(|hint| hint.recorded_us == recorded_us) {
                self.hints.remove(&oldest);
            }
        }
    }

    /// Returns the endpoints that ran the prefix last, if the hint has not expired.
    pub fn holders(&self, now_us: u64, prefix: Fingerprint) -> &[EndpointId] {
        let hint = self.hints.get(&prefix).filter(|hint| !expired(now_us, hint.recorded_us));
        hint.map_or(&[], |hint| &hint.endpoints)
    }
}

fn expired(now_us: u64, recorded_us: u64) -> bool {
    now_us.saturating_sub(recorded_us) > HINT_TTL_US
}
