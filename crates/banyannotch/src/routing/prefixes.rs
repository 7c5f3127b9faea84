//! Hints which endpoints ran a prompt prefix recently. A wrong hint costs time and nothing else.

use std::collections::VecDeque;

use crate::ids::{EndpointId, Fingerprint};
use crate::request::{Generation, digest};
use crate::table::Table;

/// Prefixes that are remembered.
const HINT_LIMIT: usize = 4_096;

/// A hint is not used after this time, because caches are limited.
const HINT_LIFE_US: u64 = 60_000_000;

/// Bytes of the prompt that make its prefix.
const PREFIX_BYTES: usize = 256;

#[derive(Debug)]
struct Hint {
    noted_us: u64,
    endpoints: Vec<EndpointId>,
}

/// Which endpoints ran a prefix last.
#[derive(Debug, Default)]
pub(super) struct Prefixes {
    hints: Table<Fingerprint, Hint>,
    noted: VecDeque<(u64, Fingerprint)>,
}

impl Prefixes {
    /// Returns the digest of a prompt's prefix.
    pub fn digest(generation: &Generation) -> Fingerprint {
        let prompt = &generation.prompt;
        let end = prompt.floor_char_boundary(PREFIX_BYTES.min(prompt.len()));
        digest(&[generation.model.as_str(), prompt.get(..end).unwrap_or(prompt)])
    }

    /// Notes that the endpoints run the prefix.
    pub fn note(&mut self, now_us: u64, prefix: Fingerprint, endpoints: &[EndpointId]) {
        self.hints.insert(prefix, Hint { noted_us: now_us, endpoints: endpoints.to_vec() });
        self.noted.push_back((now_us, prefix));
        while self.noted.len() > HINT_LIMIT || self.noted.front().is_some_and(|(at, _)| expired(now_us, *at))
        {
            let Some((noted_us, oldest)) = self.noted.pop_front() else { break };
            // A prefix that was noted again since then has a newer place in the queue.
            if self.hints.get(&oldest).is_some_and(|hint| hint.noted_us == noted_us) {
                self.hints.remove(&oldest);
            }
        }
    }

    /// Returns the endpoints that ran the prefix last.
    pub fn holders(&self, now_us: u64, prefix: Fingerprint) -> &[EndpointId] {
        let hint = self.hints.get(&prefix).filter(|hint| !expired(now_us, hint.noted_us));
        hint.map_or(&[], |hint| &hint.endpoints)
    }
}

fn expired(now_us: u64, noted_us: u64) -> bool {
    now_us.saturating_sub(noted_us) > HINT_LIFE_US
}
