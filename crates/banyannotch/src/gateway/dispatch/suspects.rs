//! Counts broken connections for each request, so that a request that breaks every endpoint it reaches is
//! quarantined instead of being sent to more of them.

use crate::table::Table;

/// Number of breaks at which further attempts of a request are refused. The users allow a request to break
/// three endpoints; breaks of the same endpoint count each time.
const BREAK_LIMIT: u32 = 3;
/// Time after the last break or the last report of another gateway for which a request stays quarantined, in
/// microseconds. Callers retry within their deadline.
const BREAK_RETENTION_US: u64 = 60_000_000;
/// Maximum number of requests for which breaks are counted.
const SUSPECT_LIMIT: usize = 4_096;

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

/// Breaks by the digest of the request.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspects(Table<u64, Breaks>);

impl Suspects {
    /// Records that the connection to an endpoint broke while it ran the request.
    pub fn record_break(&mut self, digest: u64, now_us: u64) {
        self.0.retain(|_, breaks| breaks.last_us + BREAK_RETENTION_US > now_us);
        if self.0.len() < SUSPECT_LIMIT || self.0.contains(&digest) {
            let breaks = self.0.entry(digest);
            breaks.own += 1;
            breaks.last_us = now_us;
        }
    }

    /// Records the number of breaks that another gateway observed so far. The highest number of any gateway
    /// is kept.
    pub fn record_peer_breaks(&mut self, digest: u64, count: u32, now_us: u64) {
        if self.0.len() < SUSPECT_LIMIT || self.0.contains(&digest) {
            let breaks = self.0.entry(digest);
            breaks.peer_max = breaks.peer_max.max(count);
            breaks.last_us = now_us;
        }
    }

    /// Removes a request that was answered.
    pub fn clear(&mut self, digest: u64) {
        self.0.remove(&digest);
    }

    /// Returns whether new attempts of the request are refused.
    pub fn is_quarantined(&self, digest: u64, now_us: u64) -> bool {
        self.0.get(&digest).is_some_and(|breaks| {
            breaks.own + breaks.peer_max >= BREAK_LIMIT && breaks.last_us + BREAK_RETENTION_US > now_us
        })
    }

    /// Returns the requests and the numbers of breaks that this gateway observed.
    pub fn observed(&self) -> impl Iterator<Item = (u64, u32)> {
        self.0.iter().filter(|(_, breaks)| breaks.own > 0).map(|(digest, breaks)| (*digest, breaks.own))
    }
}
