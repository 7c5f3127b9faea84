//! Whether this gateway has lost its links to the endpoints.
//!
//! A connection that fails does not show whether the endpoint or the gateway is at fault. After failures at several endpoints
//! in a row, others are probed, and if none of them answers on a new connection either, it is the gateway. See
//! `docs/design/handoff.md`.

use super::crashes::EndSign;
use crate::clock::US_PER_MS;
use crate::gateway::Endpoint;
use crate::pipeline::Address;
use crate::random::Random;
use crate::table::Table;

/// Number of endpoints whose connections fail before others are probed, if no endpoint answers any more.
const SILENT_FAILED_LIMIT: usize = 2;
/// Number of endpoints whose connections fail before others are probed although some still answer on open connections.
const FAILED_LIMIT: usize = 5;
/// Time without any answer after which none is expected, in milliseconds.
const SILENCE_MS: u64 = 250;
/// Time for which a failure counts, in milliseconds.
const FAILURE_RETENTION_MS: u64 = 5_000;
/// Number of other endpoints that are probed, and of endpoints that are probed to find out whether the links are back.
const SAMPLE_SIZE: usize = 4;
/// Least time between two samples, in milliseconds.
const SAMPLE_INTERVAL_MS: u64 = 500;

/// Results of the latest attempts to connect to endpoints.
#[derive(Clone, Debug, Default)]
pub(super) struct Reachability {
    /// Endpoints whose connections failed since one answered on a new connection, with the time of the failure.
    failed: Table<Address, u64>,
    /// Endpoints that are being probed.
    probed: Table<Address, ()>,
    /// Signs that endpoints have ended, which count only if the links turn out to be sound.
    deferred: Vec<(Address, EndSign)>,
    last_answer_us: u64,
    next_sample_us: u64,
    is_cut_off: bool,
}

impl Reachability {
    /// Returns whether this gateway has lost its links to the endpoints.
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Returns whether failures of connections may be the fault of this gateway.
    pub fn is_in_doubt(&self) -> bool {
        self.is_cut_off || !self.probed.is_empty()
    }

    /// Returns the number of endpoints whose connections failed since one answered on a new connection.
    pub fn failed_count(&self) -> usize {
        self.failed.len()
    }

    /// Keeps a sign that an endpoint has ended until it is known whether the links are lost. A gateway without links finds
    /// all endpoints gone, and the store shows which of them have ended.
    pub fn defer(&mut self, address: Address, sign: EndSign) {
        if !self.is_cut_off {
            self.deferred.push((address, sign));
        }
    }

    /// Returns the signs that count, because the links are sound.
    pub fn take_deferred(&mut self) -> Vec<(Address, EndSign)> {
        if self.is_cut_off {
            self.deferred.clear();
        }
        if self.is_in_doubt() { Vec::new() } else { std::mem::take(&mut self.deferred) }
    }

    /// Records that an endpoint could not be connected, or that its connection broke.
    pub fn record_failure(&mut self, now_us: u64, address: Address) {
        self.failed.insert(address, now_us);
    }

    /// Returns whether an endpoint has answered within the given time.
    pub fn has_answer_within(&self, now_us: u64, within_ms: u64) -> bool {
        now_us < self.last_answer_us + within_ms * US_PER_MS
    }

    /// Records an answer, which may have come on a connection that was open before the links were lost.
    pub fn record_answer(&mut self, now_us: u64) {
        self.last_answer_us = now_us;
    }

    /// Records that an endpoint answered on a new connection.
    pub fn record_contact(&mut self) {
        self.failed.retain(|_, _| false);
        self.probed.retain(|_, ()| false);
        self.is_cut_off = false;
    }

    /// Records the result of a probe. A result that comes after another endpoint answered is ignored.
    pub fn record_probe(&mut self, now_us: u64, address: Address, is_reached: bool) {
        if self.probed.remove(&address).is_none() {
            return;
        }
        if is_reached {
            return self.record_contact();
        }
        self.record_failure(now_us, address);
        self.is_cut_off |= self.probed.is_empty();
    }

    /// Returns the endpoints that are to be probed now.
    pub fn due_probes(&mut self, now_us: u64, endpoints: &[Endpoint], random: &mut Random) -> Vec<Address> {
        self.failed.retain(|_, at_us| *at_us + FAILURE_RETENTION_MS * US_PER_MS > now_us);
        let is_silent = !self.has_answer_within(now_us, SILENCE_MS);
        let limit = if is_silent { SILENT_FAILED_LIMIT } else { FAILED_LIMIT };
        let is_suspected = self.is_cut_off || self.failed.len() >= limit || self.has_lost_service(endpoints);
        if !is_suspected || now_us < self.next_sample_us || !self.probed.is_empty() {
            return Vec::new();
        }
        // Only an answer shows that the links are sound, and only engines can be asked for one.
        let has_engines = endpoints.iter().any(|endpoint| endpoint.accelerator.is_some());
        let can_show = |endpoint: &&Endpoint| !has_engines || endpoint.accelerator.is_some();
        let mut candidates: Vec<Address> =
            endpoints.iter().filter(can_show).map(|endpoint| endpoint.address).collect();
        candidates.dedup();
        if !self.is_cut_off {
            candidates.retain(|address| !self.failed.contains(address));
            // Several endpoints failed, and there is no other one to ask.
            self.is_cut_off = candidates.is_empty() && self.failed.len() >= SILENT_FAILED_LIMIT;
        }
        for index in 0..SAMPLE_SIZE.min(candidates.len()) {
            let other = index + random.below(candidates.len() - index);
            candidates.swap(index, other);
        }
        candidates.truncate(SAMPLE_SIZE);
        self.next_sample_us = now_us + SAMPLE_INTERVAL_MS * US_PER_MS;
        for address in &candidates {
            self.probed.insert(*address, ());
        }
        candidates
    }

    /// Returns whether the connections to all endpoints of a service have failed.
    fn has_lost_service(&self, endpoints: &[Endpoint]) -> bool {
        let has_failed = |endpoint: &Endpoint| self.failed.contains(&endpoint.address);
        endpoints.iter().filter(|endpoint| has_failed(endpoint)).any(|failed| {
            endpoints.iter().filter(|endpoint| endpoint.service == failed.service).all(has_failed)
        })
    }
}
