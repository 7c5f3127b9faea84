//! Finds the features that explain crashes best. See "Parts of prompts that crash engines" in `docs/platform.md`.

use super::crashes::{Crash, Crashes, Evidence, INCIDENT_GAP_US, INCIDENT_LIMIT, WHOLE_REQUEST_DEPTH};
use crate::pipeline::Address;

/// Number of addresses at which the crashes must have occurred, because an engine that crashes repeatedly may itself be
/// faulty.
const ADDRESS_LIMIT: usize = 2;

/// A feature that explains several incidents.
#[derive(Clone, Copy, Debug)]
pub(super) struct Explanation {
    pub digest: u64,
    pub depth: u8,
    pub incidents: usize,
    /// Time of the last incident that the quarantine requires.
    pub complete_us: u64,
    pub last_crash_us: u64,
    /// Whether a whole request explains as many incidents.
    pub is_alternative: bool,
}

impl Crashes {
    /// Returns the features that explain the most incidents, each without the crashes that an earlier one explains.
    pub(super) fn explanations(&self) -> Vec<Explanation> {
        let mut open: Vec<(&Crash, &Evidence)> =
            self.crashes.iter().map(|((crash, _), evidence)| (crash, evidence)).collect();
        let mut found = Vec::new();
        while open.len() >= INCIDENT_LIMIT {
            let mut suspects: Vec<(u64, u64, Address, u8)> = open
                .iter()
                .flat_map(|(crash, evidence)| {
                    let features = evidence.features.iter();
                    features.map(|(digest, depth)| (*digest, evidence.at_us, crash.address, *depth))
                })
                .collect();
            suspects.sort_unstable();
            let mut candidates: Vec<_> =
                suspects.chunk_by(|left, right| left.0 == right.0).filter_map(explain).collect();
            candidates.sort_by_key(|found| (found.incidents, found.depth, found.digest));
            let Some(best) = candidates.pop() else { break };
            if best.depth == WHOLE_REQUEST_DEPTH {
                // A request may be sent again so often that it explains as much as the part that crashes the engines.
                let is_alternative = |found: &&Explanation| {
                    found.depth < WHOLE_REQUEST_DEPTH && found.incidents == best.incidents
                };
                let part = candidates.iter().rfind(is_alternative);
                found.extend(part.map(|part| Explanation { is_alternative: true, ..*part }));
            }
            open.retain(|(_, evidence)| !evidence.features.contains(&best.digest));
            found.push(best);
        }
        found
    }
}

/// Returns the explanation that a feature offers for its crashes, which are sorted by time, if they are enough.
fn explain(crashes: &[(u64, u64, Address, u8)]) -> Option<Explanation> {
    let (mut incidents, mut complete_us, mut incident_us) = (0, 0, None);
    for (_, at_us, ..) in crashes {
        if incident_us.is_none_or(|begun_us| at_us - begun_us >= INCIDENT_GAP_US) {
            incident_us = Some(*at_us);
            incidents += 1;
            if incidents == INCIDENT_LIMIT {
                complete_us = *at_us;
            }
        }
    }
    let mut addresses: Vec<_> = crashes.iter().map(|(_, _, address, _)| *address).collect();
    addresses.sort_unstable();
    addresses.dedup();
    let (digest, last_crash_us, ..) = *crashes.last()?;
    let depth = crashes.iter().map(|(.., depth)| *depth).max()?;
    let is_enough = incidents >= INCIDENT_LIMIT && addresses.len() >= ADDRESS_LIMIT;
    is_enough.then_some(Explanation {
        digest,
        depth,
        incidents,
        complete_us,
        last_crash_us,
        is_alternative: false,
    })
}
