//! What the catalog does when the store comes back from a backup, which starts a new era of the store.
//!
//! See `docs/design/store-era.md`.

use super::entries::EntryChange;
use super::exchange::Snapshot;
use super::policy::{Catalog, FeedState};
use super::{Action, Decision, EraSource, PeerUpdate};
use crate::clock::US_PER_MS;
use crate::gateway::gossip::Changes;
use crate::gateway::{Feed, StoreError, StorePosition};

/// Time after the start in which a gateway waits for the state of a peer before it proves its configuration, in microseconds.
const HEARING_US: u64 = 1_000_000;
/// Maximum number of doublings of the pause after a read that did not confirm the version in force.
const UNCONFIRMED_DOUBLING_LIMIT: u32 = 8;

impl Catalog {
    /// Returns the era of the store; 0 as long as none is known.
    pub(super) fn known_era(&self) -> u64 {
        self.era.unwrap_or_default()
    }

    /// Enters an era if it is later than the known one. What was proved in earlier ones does not hold any more, and their
    /// offsets are void, so both feeds are read anew. The configuration and the endpoints stay as they are.
    pub(super) fn enter_era(&mut self, now_us: u64, era: u64, by: EraSource, out: &mut Vec<Action>) {
        if self.era >= Some(era) {
            return;
        }
        let before = self.era.replace(era);
        self.first_era.get_or_insert(era);
        if let Some(before) = before {
            out.push(Action::Decide(Decision::StoreRestored { era, before, by }));
        }
        out.push(Action::StoreEra(era));
        if before.unwrap_or_default() == era {
            return;
        }
        self.era_us = now_us;
        self.change = StorePosition::new(era, 0);
        self.confirmed_version = 0;
        self.entries.drop_withheld();
        for feed in [Feed::Configuration, Feed::Endpoints] {
            let state = self.state(feed);
            let failed_us = state.failed_us.filter(|_| state.is_failing());
            let (next, proof_us, catch_up_us) = (None, None, None);
            *state = FeedState { next, proof_us, failed_us, catch_up_us, failures: 0, ..*state };
            if !state.in_flight {
                self.schedule_first_read(now_us, feed);
            }
        }
    }

    /// Schedules the first read of an era. Gateways that get the proofs of others wait for these, because all of them would
    /// read all entries from the store at the same time otherwise.
    fn schedule_first_read(&mut self, now_us: u64, feed: Feed) {
        if self.is_starting() {
            return;
        }
        if self.reads_as_reader(now_us, feed) || self.rank.is_none() {
            self.state(feed).due_us = now_us;
        } else {
            self.schedule_read(now_us, feed, now_us);
        }
    }

    /// Returns the time from which the age of the last proof of a feed counts.
    pub(super) fn reference_us(&mut self, feed: Feed) -> u64 {
        let era_us = self.era_us;
        self.state(feed).proof_us.unwrap_or(era_us)
    }

    /// Returns whether the version in force is known to be that of the store in this era.
    pub(super) fn is_confirmed(&self) -> bool {
        self.version > 0 && self.confirmed_version == self.version
    }

    /// Returns whether a proof of the configuration is held back, because a peer may know a later version than the store, which
    /// may have come back with an earlier one. Otherwise a gateway that starts would accept a key that was revoked.
    pub(super) fn holds_back_proof(&self, at_us: u64) -> bool {
        let is_new = self.started_us.is_some_and(|started_us| at_us < started_us + HEARING_US);
        let fetches_later = self.fetching.as_ref().is_some_and(|update| update.version > self.version);
        self.known_era() > 0 && ((is_new && !self.has_heard_of_peers) || fetches_later)
    }

    /// Returns whether a feed was read in this era without a proof of the version in force.
    pub(super) fn is_unconfirmed(&self, feed: Feed) -> bool {
        feed == Feed::Configuration && self.version > 0 && !self.is_confirmed()
    }

    /// Returns when to read the configuration again after a read that did not confirm the version in force. Proofs of others
    /// would not come earlier, and each gateway would read at once again.
    pub(super) fn unconfirmed_pause_us(&mut self, feed: Feed, sent_us: u64) -> Option<u64> {
        if !self.is_unconfirmed(feed) || self.state(feed).proof_us.is_none() {
            return None;
        }
        let doublings = self.state(feed).failures.min(UNCONFIRMED_DOUBLING_LIMIT);
        let pause_ms = (self.settings.retry_min_ms << doublings).min(self.settings.retry_max_ms);
        Some(sent_us + pause_ms * US_PER_MS)
    }

    /// Returns whether this is the first reading of a feed since the store came back, whose records may be older than what
    /// is known.
    pub(super) fn is_first_read_of_era(&mut self, feed: Feed) -> bool {
        self.first_era != self.era && self.state(feed).proof_us.is_none()
    }

    /// Checks the era of a response to a read. A response of an earlier era, and records that follow an offset of one, are
    /// not used.
    pub(super) fn accepts_read(
        &mut self,
        now_us: u64,
        feed: Feed,
        era: u64,
        snapshot: bool,
        sent_us: u64,
        out: &mut Vec<Action>,
    ) -> bool {
        let known = self.known_era();
        if era < known {
            self.discard_earlier(now_us, feed, era, sent_us, out);
            return false;
        }
        self.enter_era(now_us, era, EraSource::Store, out);
        let is_placed = snapshot || self.state(feed).sent_from.is_none_or(|from| from.era() == era);
        if !is_placed {
            self.read_again(now_us, feed);
        }
        is_placed
    }

    /// Handles a failed read, which may tell of a new era as well.
    pub(super) fn handle_failed_read(
        &mut self,
        now_us: u64,
        feed: Feed,
        error: StoreError,
        era: Option<u64>,
        out: &mut Vec<Action>,
    ) {
        let known = self.known_era();
        if let Some(era) = era.filter(|era| *era < known) {
            let sent_us = self.state(feed).sent_us;
            return self.discard_earlier(now_us, feed, era, sent_us, out);
        }
        if let Some(era) = era {
            self.enter_era(now_us, era, EraSource::Store, out);
        }
        let era = self.known_era();
        if error == StoreError::Expired && self.state(feed).sent_from.is_some_and(|from| from.era() != era) {
            // The offset is not of this era, in which a snapshot is read anyway.
            return self.read_again(now_us, feed);
        }
        self.handle_failure(now_us, feed, error, out);
    }

    /// Discards a response of an earlier era. One to a call from before the new era is only late. Otherwise the store does
    /// not keep its order of eras, and is not used until it does.
    fn discard_earlier(&mut self, now_us: u64, feed: Feed, era: u64, sent_us: u64, out: &mut Vec<Action>) {
        let known = self.known_era();
        if sent_us <= self.era_us {
            self.read_again(now_us, feed);
        } else {
            self.handle_failure(now_us, feed, StoreError::EarlierEra { era, known }, out);
        }
    }

    /// Schedules the read that takes the place of one whose response cannot be used.
    fn read_again(&mut self, now_us: u64, feed: Feed) {
        self.state(feed).in_flight = false;
        if self.state(feed).next.is_none() {
            self.schedule_first_read(now_us, feed);
        } else {
            self.schedule_read(now_us, feed, now_us);
        }
    }

    /// Returns the update of a peer with its positions and proofs as they count here. A peer that does not know eras is taken
    /// to be in that of this gateway until the store has come back. Later, only its version counts, because versions only
    /// grow; the same holds for a peer in an earlier era.
    pub(super) fn in_own_era(&self, update: &PeerUpdate) -> PeerUpdate {
        let own = self.known_era();
        let era = update.store_era.or((self.era == self.first_era).then_some(own));
        if era == Some(own) {
            let changes = update.changes.clone().map(|changes| {
                let (from, through) = (changes.from.in_era(own), changes.through.in_era(own));
                Box::new(Changes { from, through, ..*changes })
            });
            return PeerUpdate { change: update.change.in_era(own), changes, ..update.clone() };
        }
        PeerUpdate {
            change: StorePosition::new(update.store_era.unwrap_or_default(), 0),
            changes: None,
            asked_us: None,
            ..update.clone()
        }
    }

    /// Returns the snapshot of a peer with its positions as they count here, see [`Self::in_own_era`].
    pub(super) fn snapshot_in_own_era(
        &mut self,
        now_us: u64,
        snapshot: Snapshot,
        out: &mut Vec<Action>,
    ) -> Snapshot {
        if let Some(era) = snapshot.store_era {
            self.enter_era(now_us, era, EraSource::Peer, out);
        }
        if snapshot.store_era.is_none() && self.era == self.first_era {
            let own = self.known_era();
            return snapshot.in_era(own);
        }
        snapshot
    }

    /// Uses the withheld entries that are still in the store after the grace period. Returns whether there were any.
    pub(super) fn release_withheld(&mut self, now_us: u64, out: &mut Vec<Action>) -> bool {
        let mut changed = false;
        for endpoint in self.entries.take_due_withheld(now_us) {
            changed |= self.entries.upsert(endpoint, out) == EntryChange::Changed;
        }
        changed
    }
}
