//! Detects requests whose content crashes endpoints, and keeps them from crashing more than two.
//!
//! Every request that was in flight at a crash is a suspect. Suspects resume one at a time at each endpoint,
//! so that a second crash can be attributed to exactly one of them. See "Poison requests" in
//! `docs/design.md`.

use std::collections::VecDeque;

use super::{ExecutionSettings, Suspicion};
use crate::clock::US_PER_MS;
use crate::ids::{EndpointId, Fingerprint, RequestId, Zone};
use crate::table::Table;

/// Number of crashed endpoints at which a content is quarantined.
const QUARANTINE_CRASHES: usize = 2;

/// Crashes during which requests with one content were in flight.
#[derive(Clone, Debug, Default)]
struct CrashRecord {
    endpoints: Vec<EndpointId>,
    last_us: u64,
    /// No step of a generation with the content is sent before this time.
    held_until_us: u64,
}

/// A failure of an endpoint, to distinguish a common cause in a zone from a poison request.
#[derive(Clone, Debug)]
struct ZoneFailure {
    at_us: u64,
    zone: Zone,
    endpoint: EndpointId,
}

/// The suspect that currently runs at an endpoint, and those that wait for their turn.
#[derive(Clone, Debug)]
struct TurnQueue {
    running: RequestId,
    waiting: VecDeque<RequestId>,
}

/// Recorded crashes and failures, and the turns of suspects at endpoints.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspects {
    crash_records: Table<Fingerprint, CrashRecord>,
    failures: VecDeque<ZoneFailure>,
    turn_queues: Table<EndpointId, TurnQueue>,
}

impl Suspects {
    /// Records that an endpoint failed, whatever the kind of failure.
    pub fn record_failure(
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
        self.clear_common_cause(zone, settings);
    }

    /// Records that a request with a content was in flight when an endpoint crashed, unless the recent
    /// failures in the endpoint's zone have a common cause. Returns whether the content is quarantined now,
    /// or false in the case of a common cause.
    pub fn record_crash(
        &mut self,
        now_us: u64,
        suspicion: &Suspicion,
        zone: Option<&Zone>,
        settings: &ExecutionSettings,
    ) -> bool {
        if zone.is_some_and(|zone| self.has_common_cause(zone, settings)) {
            return false;
        }
        if self.crash_records.len() >= settings.suspect_limit
            && !self.crash_records.contains(&suspicion.fingerprint)
        {
            self.evict_oldest();
        }
        let record = self.crash_records.entry(suspicion.fingerprint);
        record.last_us = now_us;
        if let Err(index) = record.endpoints.binary_search(&suspicion.endpoint) {
            record.endpoints.insert(index, suspicion.endpoint.clone());
        }
        record.endpoints.len() >= QUARANTINE_CRASHES
    }

    /// Returns whether crashes are recorded for a content.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.crash_records.contains(&fingerprint)
    }

    /// Returns whether a content is quarantined.
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.crashed_endpoints(fingerprint).len() >= QUARANTINE_CRASHES
    }

    /// Returns the endpoints that crashed while a request with the content was in flight.
    pub fn crashed_endpoints(&self, fingerprint: Fingerprint) -> &[EndpointId] {
        self.crash_records.get(&fingerprint).map_or(&[], |record| &record.endpoints)
    }

    /// Holds the requests with a suspect content until the given time. An existing hold is never shortened.
    pub fn hold(&mut self, fingerprint: Fingerprint, until_us: u64) {
        if let Some(record) = self.crash_records.get_mut(&fingerprint) {
            record.held_until_us = record.held_until_us.max(until_us);
        }
    }

    /// Returns whether the requests with a content are currently held.
    pub fn is_held(&self, fingerprint: Fingerprint, now_us: u64) -> bool {
        self.crash_records.get(&fingerprint).is_some_and(|record| now_us < record.held_until_us)
    }

    /// Removes the crash record of a content after an endpoint ran it without a crash, unless the content is
    /// quarantined.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        if !self.is_quarantined(fingerprint) {
            self.crash_records.remove(&fingerprint);
        }
    }

    /// Removes the contents whose last crash is older than the retention time.
    pub fn expire(&mut self, now_us: u64, settings: &ExecutionSettings) {
        let retention_us = settings.suspect_memory_ms * US_PER_MS;
        self.crash_records.retain(|_, record| record.last_us + retention_us >= now_us);
    }

    /// Acquires the turn at an endpoint for a suspect. Returns false, and queues the request, if another
    /// suspect has it.
    pub fn try_acquire_turn(&mut self, endpoint: &EndpointId, request: RequestId) -> bool {
        match self.turn_queues.get_mut(endpoint) {
            Some(queue) if queue.running == request => true,
            Some(queue) => {
                if !queue.waiting.contains(&request) {
                    queue.waiting.push_back(request);
                }
                false
            }
            None => {
                self.turn_queues
                    .insert(endpoint.clone(), TurnQueue { running: request, waiting: VecDeque::new() });
                true
            }
        }
    }

    /// Releases the turns of a request and removes it from all queues. Returns the requests that have a turn
    /// now.
    pub fn release_turns(&mut self, request: RequestId) -> Vec<RequestId> {
        let mut next = Vec::new();
        self.turn_queues.retain(|_, queue| {
            queue.waiting.retain(|waiting| *waiting != request);
            if queue.running != request {
                return true;
            }
            match queue.waiting.pop_front() {
                Some(waiting) => {
                    queue.running = waiting;
                    next.push(waiting);
                    true
                }
                None => false,
            }
        });
        next
    }

    /// Returns whether any request has a turn.
    pub fn has_turns(&self) -> bool {
        !self.turn_queues.is_empty()
    }

    fn has_common_cause(&self, zone: &Zone, settings: &ExecutionSettings) -> bool {
        let failed_endpoints = self.failures.iter().filter(|failure| failure.zone == *zone).count();
        failed_endpoints >= settings.common_cause_endpoints
    }

    /// Removes the recorded crashes of endpoints in a zone whose failures have a common cause.
    fn clear_common_cause(&mut self, zone: &Zone, settings: &ExecutionSettings) {
        if !self.has_common_cause(zone, settings) {
            return;
        }
        let failures = &self.failures;
        self.crash_records.retain(|_, record| {
            record.endpoints.retain(|endpoint| {
                !failures.iter().any(|failure| failure.zone == *zone && failure.endpoint == *endpoint)
            });
            !record.endpoints.is_empty()
        });
    }

    fn evict_oldest(&mut self) {
        let oldest = self.crash_records.iter().min_by_key(|(_, record)| record.last_us).map(|(key, _)| *key);
        if let Some(fingerprint) = oldest {
            self.crash_records.remove(&fingerprint);
        }
    }
}
