//! Counts the endpoints that crashed while they ran a request, so that a request that crashes every endpoint it
//! reaches is quarantined instead of being sent to more of them.
//!
//! A broken connection alone is no evidence: a network fault breaks the connections of all requests. It counts once
//! the endpoint is found to be down or to have started anew.

use super::crashes::Crash;
use crate::pipeline::Address;
use crate::table::Table;

/// Number of crashes at which further attempts of a request are refused. The users allow a request to crash three
/// endpoints.
const CRASH_LIMIT: usize = 3;
/// Maximum number of crashes that are kept for a request.
const KEPT_CRASH_LIMIT: usize = 8;
/// Time after the last crash that became known for which a request stays quarantined, in microseconds. Callers retry within
/// their deadline.
const RETENTION_US: u64 = 60_000_000;
/// Maximum number of requests for which crashes are counted.
const SUSPECT_LIMIT: usize = 4_096;
/// Time after a break in which the endpoint must be found down for the break to count, in microseconds. The entry of
/// a crashed endpoint expires within a few seconds.
const CONFIRMATION_US: u64 = 6_000_000;
/// Maximum number of breaks that wait for a confirmation.
const UNCONFIRMED_LIMIT: usize = 256;

/// Crashes while endpoints ran one request. Two sends that end with the same crash, also of two gateways, count once.
#[derive(Clone, Debug, Default)]
struct CrashesOfRequest {
    /// Crashes that this gateway observed.
    own: Table<Crash, ()>,
    /// Crashes that this gateway observed or heard of.
    all: Table<Crash, ()>,
    /// Time at which the last crash became known, in microseconds.
    last_us: u64,
}

impl CrashesOfRequest {
    /// Adds a crash. Only a crash that was not known prolongs the quarantine.
    fn add(&mut self, crash: Crash, now_us: u64) {
        if self.all.len() < KEPT_CRASH_LIMIT && self.all.insert(crash, ()).is_none() {
            self.last_us = now_us;
        }
    }
}

/// A broken connection whose endpoint has not been found down so far.
#[derive(Clone, Copy, Debug, PartialEq)]
struct UnconfirmedBreak {
    digest: u64,
    crash: Crash,
    at_us: u64,
}

/// Crashes by the digest of the request.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspects {
    crashes: Table<u64, CrashesOfRequest>,
    /// Breaks that wait for a confirmation, oldest first.
    unconfirmed: Vec<UnconfirmedBreak>,
}

impl Suspects {
    /// Records that the connection to an endpoint broke while it ran the request.
    pub fn record_break(&mut self, digest: u64, crash: Crash, now_us: u64) {
        self.unconfirmed.retain(|unconfirmed| unconfirmed.at_us + CONFIRMATION_US > now_us);
        if self.unconfirmed.len() < UNCONFIRMED_LIMIT {
            self.unconfirmed.push(UnconfirmedBreak { digest, crash, at_us: now_us });
        }
    }

    /// Counts the recent breaks of an endpoint as its crash, because it was found to be down or to have started anew.
    /// Returns the crash of each break.
    pub fn confirm_breaks(&mut self, address: Address, now_us: u64) -> Vec<Crash> {
        let is_confirmed = |unconfirmed: &mut UnconfirmedBreak| unconfirmed.crash.address == address;
        let mut confirmed: Vec<_> = self.unconfirmed.extract_if(.., is_confirmed).collect();
        confirmed.retain(|unconfirmed| unconfirmed.at_us + CONFIRMATION_US > now_us);
        self.crashes.retain(|_, crashes| crashes.last_us + RETENTION_US > now_us);
        for unconfirmed in &confirmed {
            if let Some(crashes) = self.entry(unconfirmed.digest) {
                crashes.add(unconfirmed.crash, now_us);
                if crashes.own.len() < KEPT_CRASH_LIMIT {
                    crashes.own.insert(unconfirmed.crash, ());
                }
            }
        }
        let mut crashes: Vec<_> = confirmed.iter().map(|unconfirmed| unconfirmed.crash).collect();
        crashes.sort_unstable();
        crashes
    }

    /// Records a crash that another gateway observed. A repeated report does not prolong the quarantine.
    pub fn record_peer_crash(&mut self, digest: u64, crash: Crash, now_us: u64) {
        if let Some(crashes) = self.entry(digest) {
            crashes.add(crash, now_us);
        }
    }

    fn entry(&mut self, digest: u64) -> Option<&mut CrashesOfRequest> {
        let has_room = self.crashes.len() < SUSPECT_LIMIT || self.crashes.contains(&digest);
        has_room.then(|| self.crashes.entry(digest))
    }

    /// Removes a request that was answered.
    pub fn clear(&mut self, digest: u64) {
        self.crashes.remove(&digest);
        self.unconfirmed.retain(|unconfirmed| unconfirmed.digest != digest);
    }

    /// Returns the number of known crashes under a request.
    pub fn crash_count(&self, digest: u64) -> usize {
        self.crashes.get(&digest).map_or(0, |crashes| crashes.all.len())
    }

    /// Returns whether new attempts of the request are refused.
    pub fn is_quarantined(&self, digest: u64, now_us: u64) -> bool {
        self.crashes.get(&digest).is_some_and(|crashes| {
            crashes.all.len() >= CRASH_LIMIT && crashes.last_us + RETENTION_US > now_us
        })
    }

    /// Returns the requests and the crashes that this gateway observed and that still count.
    pub fn observed(&self, now_us: u64) -> impl Iterator<Item = (u64, Crash)> {
        let counts = move |crashes: &CrashesOfRequest| crashes.last_us + RETENTION_US > now_us;
        self.crashes
            .iter()
            .filter(move |(_, crashes)| counts(crashes))
            .flat_map(|(digest, crashes)| crashes.own.iter().map(|(crash, ())| (*digest, *crash)))
    }
}
