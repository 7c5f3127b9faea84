//! Finds requests whose content crashes endpoints, and keeps them from crashing more than two.
//!
//! Every request that was in flight at a crash is a suspect. Suspects resume one at a time at each endpoint, so that a
//! second crash blames exactly one of them. See "Poison requests" in `docs/design.md`.

use std::collections::VecDeque;

use super::{ExecutionSettings, Suspicion};
use crate::clock::US_PER_MS;
use crate::ids::{EndpointId, Fingerprint, RequestId, Zone};
use crate::table::Table;

/// Crashes of different endpoints after which a content is refused.
const QUARANTINE_CRASHES: usize = 2;

/// Crashes that a content took part in.
#[derive(Clone, Debug, Default)]
struct Blame {
    endpoints: Vec<EndpointId>,
    last_us: u64,
    /// No request with the content is sent before this time.
    held_until_us: u64,
}

/// A failure of an endpoint, for telling a common cause from a poison request.
#[derive(Clone, Debug)]
struct ZoneFailure {
    at_us: u64,
    zone: Zone,
    endpoint: EndpointId,
}

/// The suspect that an endpoint runs at present, and those that wait for their turn.
#[derive(Clone, Debug)]
struct Trial {
    running: RequestId,
    waiting: VecDeque<RequestId>,
}

/// Crashes, their suspects, and the suspects' turns.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspects {
    blames: Table<Fingerprint, Blame>,
    failures: VecDeque<ZoneFailure>,
    trials: Table<EndpointId, Trial>,
}

impl Suspects {
    /// Notes that an endpoint failed in whatever way.
    pub fn note_failure(
        &mut self,
        now_us: u64,
        zone: &Zone,
        endpoint: &EndpointId,
        settings: &ExecutionSettings,
    ) {
        let window_us = settings.common_cause_window_ms * US_PER_MS;
        while self.failures.front().is_some_and(|failure| failure.at_us + window_us < now_us) {
            self.failures.pop_front();
        }
        if !self.failures.iter().any(|failure| failure.endpoint == *endpoint) {
            self.failures.push_back(ZoneFailure {
                at_us: now_us,
                zone: zone.clone(),
                endpoint: endpoint.clone(),
            });
        }
        self.forgive_common_cause(zone, settings);
    }

    /// Blames a content for the crash of an endpoint. Returns whether it is quarantined from now on.
    pub fn blame(
        &mut self,
        now_us: u64,
        suspicion: &Suspicion,
        zone: Option<&Zone>,
        settings: &ExecutionSettings,
    ) -> bool {
        if zone.is_some_and(|zone| self.has_common_cause(zone, settings)) {
            return false;
        }
        if self.blames.len() >= settings.suspect_limit && !self.blames.contains(&suspicion.fingerprint) {
            self.forget_oldest();
        }
        let blame = self.blames.entry(suspicion.fingerprint);
        blame.last_us = now_us;
        if let Err(index) = blame.endpoints.binary_search(&suspicion.endpoint) {
            blame.endpoints.insert(index, suspicion.endpoint.clone());
        }
        blame.endpoints.len() >= QUARANTINE_CRASHES
    }

    /// Returns whether a content was in flight at a crash.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.blames.contains(&fingerprint)
    }

    /// Returns whether a content is refused.
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.blamed_endpoints(fingerprint).len() >= QUARANTINE_CRASHES
    }

    /// Returns the endpoints whose crashes a content is blamed for.
    pub fn blamed_endpoints(&self, fingerprint: Fingerprint) -> &[EndpointId] {
        self.blames.get(&fingerprint).map_or(&[], |blame| &blame.endpoints)
    }

    /// Holds back the requests with a suspected content.
    pub fn hold(&mut self, fingerprint: Fingerprint, until_us: u64) {
        if let Some(blame) = self.blames.get_mut(&fingerprint) {
            blame.held_until_us = blame.held_until_us.max(until_us);
        }
    }

    /// Returns whether the requests with a content are held back at present.
    pub fn is_held(&self, fingerprint: Fingerprint, now_us: u64) -> bool {
        self.blames.get(&fingerprint).is_some_and(|blame| now_us < blame.held_until_us)
    }

    /// Clears a content that an endpoint has survived.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        if !self.is_quarantined(fingerprint) {
            self.blames.remove(&fingerprint);
        }
    }

    /// Forgets crashes that are long past.
    pub fn expire(&mut self, now_us: u64, settings: &ExecutionSettings) {
        let memory_us = settings.suspect_memory_ms * US_PER_MS;
        self.blames.retain(|_, blame| blame.last_us + memory_us >= now_us);
    }

    /// Asks for the turn of a suspect at an endpoint. Returns false when it has to wait.
    pub fn take_turn(&mut self, endpoint: &EndpointId, request: RequestId) -> bool {
        match self.trials.get_mut(endpoint) {
            Some(trial) if trial.running == request => true,
            Some(trial) => {
                if !trial.waiting.contains(&request) {
                    trial.waiting.push_back(request);
                }
                false
            }
            None => {
                self.trials.insert(endpoint.clone(), Trial { running: request, waiting: VecDeque::new() });
                true
            }
        }
    }

    /// Ends every turn and every wait of a request. Returns the requests whose turn it is now.
    pub fn leave(&mut self, request: RequestId) -> Vec<RequestId> {
        let mut next = Vec::new();
        self.trials.retain(|_, trial| {
            trial.waiting.retain(|waiting| *waiting != request);
            if trial.running != request {
                return true;
            }
            match trial.waiting.pop_front() {
                Some(waiting) => {
                    trial.running = waiting;
                    next.push(waiting);
                    true
                }
                None => false,
            }
        });
        next
    }

    /// Returns whether any request has a turn or waits for one.
    pub fn has_trials(&self) -> bool {
        !self.trials.is_empty()
    }

    fn has_common_cause(&self, zone: &Zone, settings: &ExecutionSettings) -> bool {
        let failed = self.failures.iter().filter(|failure| failure.zone == *zone).count();
        failed >= settings.common_cause_endpoints
    }

    /// Takes back the blame for endpoints of a zone that fails as a whole.
    fn forgive_common_cause(&mut self, zone: &Zone, settings: &ExecutionSettings) {
        if !self.has_common_cause(zone, settings) {
            return;
        }
        let failures = &self.failures;
        self.blames.retain(|_, blame| {
            blame.endpoints.retain(|endpoint| {
                !failures.iter().any(|failure| failure.zone == *zone && failure.endpoint == *endpoint)
            });
            !blame.endpoints.is_empty()
        });
    }

    fn forget_oldest(&mut self) {
        let oldest = self.blames.iter().min_by_key(|(_, blame)| blame.last_us).map(|(key, _)| *key);
        if let Some(fingerprint) = oldest {
            self.blames.remove(&fingerprint);
        }
    }
}
