//! Counts the endpoints that crashed while they ran a request, so that a request that crashes every endpoint it
//! reaches is quarantined instead of being sent to more of them.
//!
//! A broken connection alone is no evidence: a network fault breaks the connections of all requests. It counts once
//! the endpoint is found to be down or to have started anew.

use crate::pipeline::Address;
use crate::table::Table;

/// Number of breaks at which further attempts of a request are refused. The users allow a request to break
/// three endpoints; breaks of the same endpoint count each time.
const BREAK_LIMIT: u32 = 3;
/// Time after the last break or the last report of another gateway for which a request stays quarantined, in
/// microseconds. Callers retry within their deadline.
const BREAK_RETENTION_US: u64 = 60_000_000;
/// Maximum number of requests for which breaks are counted.
const SUSPECT_LIMIT: usize = 4_096;
/// Time after a break in which the endpoint must be found down for the break to count, in microseconds. The entry of
/// a crashed endpoint expires within a few seconds.
const CONFIRMATION_US: u64 = 6_000_000;
/// Maximum number of breaks that wait for a confirmation.
const UNCONFIRMED_LIMIT: usize = 256;

/// Breaks of one request.
#[derive(Clone, Copy, Debug, Default)]
struct Breaks {
    /// Breaks that this gateway observed.
    own: u32,
    /// Highest number of breaks that any other gateway reported.
    peer_max: u32,
    /// Time of the last break or report, in microseconds.
    last_us: u64,
}

/// A broken connection whose endpoint has not been found down so far.
#[derive(Clone, Copy, Debug, PartialEq)]
struct UnconfirmedBreak {
    digest: u64,
    address: Address,
    at_us: u64,
}

/// Breaks by the digest of the request.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspects {
    breaks: Table<u64, Breaks>,
    /// Breaks that wait for a confirmation, oldest first.
    unconfirmed: Vec<UnconfirmedBreak>,
}

impl Suspects {
    /// Records that the connection to an endpoint broke while it ran the request.
    pub fn record_break(&mut self, digest: u64, address: Address, now_us: u64) {
        self.unconfirmed.retain(|unconfirmed| unconfirmed.at_us + CONFIRMATION_US > now_us);
        if self.unconfirmed.len() < UNCONFIRMED_LIMIT {
            self.unconfirmed.push(UnconfirmedBreak { digest, address, at_us: now_us });
        }
    }

    /// Counts the recent breaks of an endpoint, because it was found to be down or to have started anew.
    pub fn confirm_breaks(&mut self, address: Address, now_us: u64) {
        let is_confirmed = |unconfirmed: &mut UnconfirmedBreak| unconfirmed.address == address;
        let confirmed: Vec<_> = self.unconfirmed.extract_if(.., is_confirmed).collect();
        self.breaks.retain(|_, breaks| breaks.last_us + BREAK_RETENTION_US > now_us);
        for unconfirmed in confirmed {
            let is_recent = unconfirmed.at_us + CONFIRMATION_US > now_us;
            if is_recent && (self.breaks.len() < SUSPECT_LIMIT || self.breaks.contains(&unconfirmed.digest)) {
                let breaks = self.breaks.entry(unconfirmed.digest);
                breaks.own += 1;
                breaks.last_us = now_us;
            }
        }
    }

    /// Records the number of breaks that another gateway observed so far. The highest number of any gateway is kept.
    /// A repeated report does not prolong the quarantine.
    pub fn record_peer_breaks(&mut self, digest: u64, count: u32, now_us: u64) {
        if self.breaks.len() < SUSPECT_LIMIT || self.breaks.contains(&digest) {
            let breaks = self.breaks.entry(digest);
            if count > breaks.peer_max {
                breaks.peer_max = count;
                breaks.last_us = now_us;
            }
        }
    }

    /// Removes a request that was answered.
    pub fn clear(&mut self, digest: u64) {
        self.breaks.remove(&digest);
        self.unconfirmed.retain(|unconfirmed| unconfirmed.digest != digest);
    }

    /// Returns whether new attempts of the request are refused.
    pub fn is_quarantined(&self, digest: u64, now_us: u64) -> bool {
        self.breaks.get(&digest).is_some_and(|breaks| {
            breaks.own + breaks.peer_max >= BREAK_LIMIT && breaks.last_us + BREAK_RETENTION_US > now_us
        })
    }

    /// Returns the requests and the numbers of breaks that this gateway observed and that still count.
    pub fn observed(&self, now_us: u64) -> impl Iterator<Item = (u64, u32)> {
        let counts = move |breaks: &Breaks| breaks.own > 0 && breaks.last_us + BREAK_RETENTION_US > now_us;
        self.breaks
            .iter()
            .filter(move |(_, breaks)| counts(breaks))
            .map(|(digest, breaks)| (*digest, breaks.own))
    }
}
