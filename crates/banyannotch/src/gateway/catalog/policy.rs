//! Policy of the catalog: when to read the store, and what to publish from reads and from updates of peers.

use std::sync::Arc;

use super::entries::{Entries, EntryChange};
use super::exchange::Snapshot;
use super::{Action, CatalogSettings, Decision, EraSource, Event, PeerUpdate, ProofSource};
use crate::clock::US_PER_MS;
use crate::duty::Duty;
use crate::gateway::dispatch::{EndpointsProof, Proof};
use crate::gateway::gossip::{Change, Changes};
use crate::gateway::{Batch, Configuration, Feed, Record, StoreError, StorePosition};
use crate::pipeline::Address;
use crate::random::Random;

/// Rank of the gateway that reads the store for the others.
const READER_RANK: usize = 0;
/// Rank of the gateway that reads the store as well once the reader's proofs are late.
const STANDBY_RANK: usize = 1;
/// Number of gateways that read the store as soon as proofs are late: those at the top of the relay tree and their
/// children. The others get the proofs of these.
const FIRST_FALLBACK_RANKS: usize = 18;
/// How much longer the other gateways wait for these proofs, in microseconds.
const LATER_FALLBACK_US: u64 = 1_000_000;
/// Time since the last update of a peer within which a gateway relies on the proofs of others, in microseconds.
const RECENT_CONTACT_US: u64 = 600_000;
/// Interval at which a gateway that waits for the proofs of others checks whether they have come, in microseconds.
const FALLBACK_CHECK_US: u64 = 200_000;
/// Time without an update from a peer after which this gateway schedules its reads as the reader does, in
/// microseconds.
const PEER_SILENCE_LIMIT_US: u64 = 3_000_000;
/// Range of the random delay of a read, in microseconds, so that the first gateway to read informs the
/// others before they read.
const READ_JITTER_US: u64 = 400_000;

/// Pause after a peer did not send its snapshot, before another one is asked, in microseconds.
const FETCH_PAUSE_US: u64 = 200_000;
/// How many times longer a starting gateway waits for a snapshot when peers answer.
const START_PATIENCE_FACTOR: u64 = 3;

/// Maximum number of doublings of the pause after a failed read.
const BACKOFF_DOUBLING_LIMIT: u32 = 8;

/// State of reading one feed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FeedState {
    /// Position of the next read; none before the first read, and after records have expired or the store has come back
    /// from a backup, when a snapshot is read.
    pub next: Option<StorePosition>,
    pub in_flight: bool,
    pub due_us: u64,
    /// Time of the latest proof that nothing has changed, from an own read or from a peer, in the era of the store.
    pub proof_us: Option<u64>,
    /// When the last outage of the store ended.
    pub recovered_us: Option<u64>,
    /// When the latest read was sent.
    pub sent_us: u64,
    /// Position from which the latest read was sent; none for a snapshot.
    pub sent_from: Option<StorePosition>,
    /// When the latest read was sent if it failed.
    pub failed_us: Option<u64>,
    /// Whether the standby reads, because the reader's proofs were late, and no later one has arrived since.
    pub standby_reads: bool,
    /// When to read what a peer has read and this gateway lacks, unless gossip delivers it first.
    pub catch_up_us: Option<u64>,
    /// Consecutive failed reads, and reads that did not confirm the version in force.
    pub failures: u32,
}

impl FeedState {
    /// Returns whether the latest read failed and nobody has read the feed since it was sent. A proof of a peer ends the
    /// failure as an own read does, because reads are put off while peers send proofs.
    pub fn is_failing(&self) -> bool {
        self.failed_us.is_some_and(|failed_us| self.proof_us < Some(failed_us))
    }
}

/// Follows the configuration and the endpoints in the store and in updates of peers.
#[derive(Debug)]
pub struct Catalog {
    pub(super) settings: CatalogSettings,
    pub(super) version: u64,
    pub(super) entries: Entries,
    /// Position after the last read or update that changed an endpoint.
    pub(super) change: StorePosition,
    /// Era of the store; none before the first response of the store or update of a peer that states one.
    pub(super) era: Option<u64>,
    /// The first era that was known.
    pub(super) first_era: Option<u64>,
    /// When the current era was first known.
    pub(super) era_us: u64,
    /// Latest version of the configuration that the store had in this era, as far as is known. Versions only grow, so a
    /// store that came back with an earlier one proves nothing about the version in force.
    pub(super) confirmed_version: u64,
    pub(super) configuration_feed: FeedState,
    pub(super) endpoints_feed: FeedState,
    /// The update that led to the request of a peer's snapshot, while the request is in progress.
    pub(super) fetching: Option<PeerUpdate>,
    /// Configuration in force.
    configuration: Arc<Configuration>,
    /// When the first timer was handled.
    pub(super) started_us: Option<u64>,
    /// Whether a peer has sent its state.
    pub(super) has_heard_of_peers: bool,
    /// Whether they were put off, because peers answer.
    put_off: bool,
    /// Time before which no peer is asked for its snapshot.
    next_fetch_us: u64,
    /// Number of gateways before this one in the order that all gateways share; none before the first update of a
    /// peer.
    pub(super) rank: Option<usize>,
    /// When a peer's update was last received, or when the first read ended if there was none.
    last_contact_us: Option<u64>,
    pub(super) random: Random,
}

impl Catalog {
    /// Creates the policy of a gateway that has read nothing yet.
    pub fn new(settings: CatalogSettings, seed: u64) -> Self {
        Self {
            settings,
            version: 0,
            entries: Entries::new(settings.return_grace_ms),
            change: StorePosition::default(),
            era: None,
            first_era: None,
            era_us: 0,
            confirmed_version: 0,
            configuration_feed: FeedState::default(),
            endpoints_feed: FeedState::default(),
            fetching: None,
            configuration: Arc::default(),
            started_us: None,
            has_heard_of_peers: false,
            put_off: false,
            next_fetch_us: 0,
            rank: None,
            last_contact_us: None,
            random: Random::seeded(seed),
        }
    }

    fn handle_read(
        &mut self,
        now_us: u64,
        feed: Feed,
        batch: Batch,
        snapshot: bool,
        sent_us: u64,
        out: &mut Vec<Action>,
    ) {
        if !self.accepts_read(now_us, feed, batch.era, snapshot, sent_us, out) {
            return;
        }
        let version_before = self.version;
        self.record_success(now_us, feed, sent_us, out);
        self.last_contact_us.get_or_insert(now_us);
        let mut batch = batch;
        let mut next = batch.position();
        if !snapshot && let Some(later) = self.state(feed).next.filter(|known| known.is_after(next)) {
            // A peer delivered later changes while the read was in progress, so its records are outdated.
            batch.records.clear();
            next = later;
        }
        // Whether an endpoint is new or has changed, and whether an entry went missing or returned.
        let (mut changed, mut presence_changed) = (false, false);
        let recovered_us = self.endpoints_feed.recovered_us;
        let mut present = Vec::new();
        let mut changes = Vec::new();
        for record in batch.records {
            match record {
                Record::Configuration(configuration) => {
                    self.confirmed_version = self.confirmed_version.max(configuration.version);
                    self.apply_configuration(configuration, out);
                }
                Record::Endpoint(endpoint) => {
                    if snapshot && self.is_first_read_of_era(feed) && self.entries.withhold(now_us, &endpoint)
                    {
                        continue;
                    }
                    present.push(Arc::clone(&endpoint.id));
                    match self.entries.upsert(endpoint.clone(), out) {
                        EntryChange::Unchanged => continue,
                        EntryChange::Returned => presence_changed = true,
                        EntryChange::Changed => changed = true,
                    }
                    changes.push(Change::Known(endpoint));
                }
                Record::NoEndpoint { id, fault } => {
                    if let Some(fault) = fault {
                        out.push(Action::Decide(Decision::Unusable { key: id.to_string(), fault }));
                    }
                    present.retain(|known| *known != id);
                    if self.entries.mark_missing(now_us, &id, recovered_us) {
                        presence_changed = true;
                        changes.push(Change::Missing(id));
                    }
                }
                Record::Unreadable { key, fault } => {
                    out.push(Action::Decide(Decision::Unusable { key, fault }));
                }
            }
        }
        if snapshot && feed == Feed::Endpoints {
            presence_changed |= self.entries.mark_absent(now_us, present, recovered_us);
        }
        let dropped = self.entries.drop_missing(now_us, self.endpoints_feed.recovered_us, out);
        // Others fetch the endpoints of a new era from this gateway only if its position shows that it has read them.
        let is_anew = feed == Feed::Endpoints && self.known_era() > 0 && !self.change.is_read();
        if changed || presence_changed || is_anew {
            // A snapshot does not show which changes led to it.
            let (from, list) = if snapshot { (next, Vec::new()) } else { (self.change, changes) };
            out.push(Action::Changed(Changes { from, through: next, list }));
            self.change = next;
        }
        if changed || dropped {
            self.entries.publish(out);
        }
        let state = self.state(feed);
        let is_first = state.next.is_none();
        state.next = Some(next);
        if changed || dropped || presence_changed || is_first || self.version != version_before {
            self.offer(out);
        }
        let state = self.state(feed);
        state.in_flight = false;
        state.catch_up_us = None;
        let is_unconfirmed = self.is_unconfirmed(feed);
        let state = self.state(feed);
        state.failures = if is_unconfirmed { state.failures.saturating_add(1) } else { 0 };
        self.publish_proof(feed, sent_us, out);
        self.schedule_read(now_us, feed, sent_us);
    }

    /// Records a proof that a feed had not changed at the given time, and publishes it.
    fn publish_proof(&mut self, feed: Feed, at_us: u64, out: &mut Vec<Action>) {
        let is_confirmed = self.is_confirmed();
        let state = self.state(feed);
        state.proof_us = state.proof_us.max(Some(at_us));
        match feed {
            Feed::Configuration if is_confirmed && !self.holds_back_proof(at_us) => {
                out.push(Action::ConfigurationProof(Proof { version: self.version, at_us }));
            }
            Feed::Configuration => {}
            Feed::Endpoints => {
                out.push(Action::EndpointsProof(EndpointsProof { position: self.change, at_us }));
            }
        }
    }

    /// Schedules the next read of a feed after one that was sent at the given time.
    pub(super) fn schedule_read(&mut self, now_us: u64, feed: Feed, sent_us: u64) {
        let jitter_us = self.random.below(READ_JITTER_US as usize) as u64;
        let settings = self.settings;
        let reads_as_reader = self.reads_as_reader(now_us, feed);
        let is_standby = self.rank == Some(STANDBY_RANK);
        let (interval_ms, fallback_age_ms) = match feed {
            Feed::Configuration => (settings.configuration_wait_ms, settings.configuration_fallback_age_ms),
            Feed::Endpoints => (settings.endpoints_interval_ms, settings.endpoints_fallback_age_ms),
        };
        let unconfirmed_us = self.unconfirmed_pause_us(feed, sent_us);
        let reference_us = self.reference_us(feed);
        let state = self.state(feed);
        state.due_us = match feed {
            // The read waits in the store.
            Feed::Configuration if reads_as_reader => now_us,
            Feed::Endpoints if reads_as_reader => sent_us + interval_ms * US_PER_MS,
            _ if is_standby => reference_us + (interval_ms + settings.standby_delay_ms) * US_PER_MS,
            _ => unconfirmed_us.unwrap_or(reference_us + fallback_age_ms * US_PER_MS) + jitter_us,
        };
    }

    /// Returns when to check again whether a read is necessary, if the proofs of the first gateways may still come. While
    /// the store is away, hundreds of gateways would otherwise call it in vain.
    fn later_fallback_us(&self, now_us: u64, feed: Feed) -> Option<u64> {
        let is_later = self.rank.is_some_and(|rank| (FIRST_FALLBACK_RANKS..usize::MAX).contains(&rank));
        let in_contact =
            self.last_contact_us.is_some_and(|contact_us| now_us < contact_us + RECENT_CONTACT_US);
        let (state, fallback_age_ms) = match feed {
            Feed::Configuration => (&self.configuration_feed, self.settings.configuration_fallback_age_ms),
            Feed::Endpoints => (&self.endpoints_feed, self.settings.endpoints_fallback_age_ms),
        };
        let known_us = state.proof_us.or(self.first_era.filter(|_| self.version > 0).map(|_| self.era_us))?;
        let latest_us = known_us + fallback_age_ms * US_PER_MS + LATER_FALLBACK_US;
        let waits = is_later && in_contact && state.catch_up_us.is_none() && now_us < latest_us;
        waits.then_some(now_us + FALLBACK_CHECK_US)
    }

    /// Returns whether this gateway reads the store at the pace of the reader.
    pub(super) fn reads_as_reader(&mut self, now_us: u64, feed: Feed) -> bool {
        let is_alone =
            self.last_contact_us.is_some_and(|contact_us| now_us >= contact_us + PEER_SILENCE_LIMIT_US);
        let replaces_reader = self.rank == Some(STANDBY_RANK) && self.state(feed).standby_reads;
        self.rank == Some(READER_RANK) || is_alone || replaces_reader
    }

    /// Returns the position after the last read or update that changed an endpoint.
    #[cfg(test)]
    pub(super) fn change(&self) -> StorePosition {
        self.change
    }

    /// Applies the changes and proofs of a peer's update, and schedules reads of what only the peer has.
    fn handle_peer_update(&mut self, now_us: u64, update: &PeerUpdate, out: &mut Vec<Action>) {
        self.last_contact_us = Some(now_us);
        self.has_heard_of_peers = true;
        self.rank = Some(update.rank);
        self.put_off_first_reads(now_us);
        if let Some(era) = update.store_era {
            self.enter_era(now_us, era, EraSource::Peer, out);
        }
        let update = &self.in_own_era(update);
        let is_current = update.change.era() == self.known_era();
        // A peer without a proof states the largest age.
        let version_us = update.version_proof_us().filter(|at_us| *at_us > 0);
        let change_us = update.change_proof_us();
        if let (Some(changes), Some(_)) = (&update.changes, change_us) {
            self.apply_changes(now_us, changes, out);
        }
        let has_version = update.version <= self.version;
        // A gateway that starts takes nothing from a peer whose own proofs are old.
        let is_useful = self.lacks_endpoints_of(update) || (!has_version && !self.is_starting());
        if self.fetching.is_none() && is_useful && now_us >= self.next_fetch_us {
            out.push(Action::Fetch { from: update.from });
            self.fetching = Some(PeerUpdate { changes: None, ..update.clone() });
        }
        let proves_version = is_current && update.version == self.version && self.version > 0;
        if proves_version && version_us.is_some() {
            self.confirmed_version = self.confirmed_version.max(update.version);
        }
        self.reconcile(now_us, Feed::Configuration, has_version, version_us.filter(|_| proves_version), out);
        if !is_current {
            return;
        }
        let has_change = self.endpoints_feed.next.is_some_and(|next| next.reaches(update.change));
        let proves_change = update.change.is_read();
        if !has_change && !proves_change && self.first_era != self.era {
            // The peer has not read the endpoints since the store came back either.
            return;
        }
        self.reconcile(now_us, Feed::Endpoints, has_change, change_us.filter(|_| proves_change), out);
    }

    /// Schedules a read of a feed that a peer has read further; otherwise takes the peer's proof if it is
    /// newer.
    fn reconcile(
        &mut self,
        now_us: u64,
        feed: Feed,
        up_to_date: bool,
        proof_us: Option<u64>,
        out: &mut Vec<Action>,
    ) {
        if !up_to_date && self.is_starting() {
            return;
        }
        if !up_to_date {
            let wait_us = match feed {
                // The peer is asked for it at the same time.
                Feed::Configuration => self.settings.fetch_timeout_ms * US_PER_MS,
                // The peer sends the changes with its answer to the next gossip request, unless datagrams are
                // lost.
                Feed::Endpoints => {
                    self.settings.gossip_wait_ms * US_PER_MS
                        + self.random.below(READ_JITTER_US as usize) as u64
                }
            };
            let state = self.state(feed);
            let catch_up_us = *state.catch_up_us.get_or_insert(now_us + wait_us);
            state.due_us = state.due_us.min(catch_up_us);
            return;
        }
        let state = self.state(feed);
        state.catch_up_us = None;
        let has_read = match feed {
            Feed::Configuration => self.version > 0,
            Feed::Endpoints => self.endpoints_feed.next.is_some(),
        };
        let state = self.state(feed);
        let Some(at_us) = proof_us.filter(|at_us| has_read && state.proof_us < Some(*at_us)) else {
            return;
        };
        state.standby_reads = false;
        let was_failing = state.is_failing();
        let gap_us = self.detect_outage(now_us, feed, at_us);
        self.publish_proof(feed, at_us, out);
        if was_failing && !self.state(feed).is_failing() {
            let gap_ms = gap_us / US_PER_MS;
            out.push(Action::Decide(Decision::Regained { feed, gap_ms, by: ProofSource::Peer }));
        }
        if self.rank != Some(READER_RANK) {
            self.schedule_read(now_us, feed, at_us);
        }
    }

    /// Returns whether this gateway waits for the snapshot of a peer before it reads the store.
    pub(super) fn is_starting(&self) -> bool {
        self.settings.start_wait_ms > 0 && self.version == 0 && self.endpoints_feed.next.is_none()
    }

    /// Puts off the first reads once, if peers answer. They may be starting as well, and hundreds of gateways that read
    /// all entries at the same time get none of them in time.
    fn put_off_first_reads(&mut self, now_us: u64) {
        if self.put_off || !self.is_starting() {
            return;
        }
        self.put_off = true;
        let wait_us = START_PATIENCE_FACTOR * self.settings.start_wait_ms * US_PER_MS;
        let due_us = now_us + wait_us + self.random.below(READ_JITTER_US as usize) as u64;
        for feed in [Feed::Configuration, Feed::Endpoints] {
            let state = self.state(feed);
            state.due_us = state.due_us.max(due_us);
        }
    }

    /// Returns whether this gateway has no endpoints yet, and the peer has some that were confirmed recently.
    fn lacks_endpoints_of(&self, update: &PeerUpdate) -> bool {
        // Nobody can confirm the version after the store has come back with an earlier one, which must not make all gateways
        // read the endpoints from the store.
        let is_confirmed = update.asked_us.is_some()
            && update.change_proof_age_ms < self.settings.endpoints_fallback_age_ms
            && (self.version > 0
                || update.store_era > Some(0)
                || update.version_proof_age_ms < self.settings.configuration_fallback_age_ms);
        let is_current = update.change.is_read() && update.change.era() == self.known_era();
        self.endpoints_feed.next.is_none() && is_current && is_confirmed
    }

    /// Takes the configuration of a peer if it is newer, and its endpoints if this gateway has none yet.
    fn handle_fetched(&mut self, now_us: u64, snapshot: Snapshot, out: &mut Vec<Action>) {
        let Some(update) = self.fetching.take() else { return };
        let snapshot = self.snapshot_in_own_era(now_us, snapshot, out);
        self.apply_configuration(Arc::clone(&snapshot.configuration), out);
        if self.lacks_endpoints_of(&update) && snapshot.next.is_read() {
            if snapshot.next.reaches(self.change) {
                self.take_endpoints(now_us, snapshot, out);
            } else {
                // The store is read instead.
                self.next_fetch_us = now_us + FETCH_PAUSE_US;
                let fault =
                    "the snapshot is not of this era or earlier than the last known change".to_owned();
                out.push(Action::Decide(Decision::NotFetched { from: update.from, fault }));
            }
        }
        self.offer(out);
        let state = &mut self.configuration_feed;
        if state.catch_up_us.take().is_some() && !state.in_flight {
            let proof_us = state.proof_us.unwrap_or(0);
            self.schedule_read(now_us, Feed::Configuration, proof_us);
        }
        // The proofs that came with the peer's update also hold for what it has sent.
        self.handle_peer_update(now_us, &update, out);
    }

    /// Replaces the endpoints by those of a peer's snapshot. Those that it lacks have no entry any more, as with a snapshot
    /// of the store: their removal is before the offset at which reads go on.
    fn take_endpoints(&mut self, now_us: u64, snapshot: Snapshot, out: &mut Vec<Action>) {
        self.detect_outage(now_us, Feed::Endpoints, now_us);
        let recovered_us = self.endpoints_feed.recovered_us;
        let mut present = Vec::new();
        for endpoint in snapshot.endpoints {
            if self.is_first_read_of_era(Feed::Endpoints) && self.entries.withhold(now_us, &endpoint) {
                continue;
            }
            present.push(Arc::clone(&endpoint.id));
            self.entries.upsert(endpoint, out);
        }
        self.entries.mark_absent(now_us, present, recovered_us);
        self.entries.drop_missing(now_us, recovered_us, out);
        self.endpoints_feed.next = Some(snapshot.next);
        self.change = self.change.advanced_to(snapshot.change);
        let (from, through) = (snapshot.next, snapshot.next);
        out.push(Action::Changed(Changes { from, through, list: Vec::new() }));
        self.entries.publish(out);
    }

    /// Offers what this gateway has to peers. Endpoints whose entry is missing are left out: the removal is before the
    /// offset of the snapshot, so that no later record would tell a peer of it.
    fn offer(&self, out: &mut Vec<Action>) {
        let (Some(next), true) = (self.endpoints_feed.next, self.version > 0) else { return };
        out.push(Action::Offer(Box::new(Snapshot {
            configuration: Arc::clone(&self.configuration),
            endpoints: self.entries.present().cloned().collect(),
            change: self.change,
            next,
            store_era: self.era,
        })));
    }

    /// Reads the store for the version that a peer has and did not send, unless a pause after a failed read is running.
    fn handle_failed_fetch(&mut self, now_us: u64, from: Address, fault: String, out: &mut Vec<Action>) {
        if self.fetching.take().is_none() {
            return;
        }
        self.next_fetch_us = now_us + FETCH_PAUSE_US;
        out.push(Action::Decide(Decision::NotFetched { from, fault }));
        let state = &mut self.configuration_feed;
        if state.catch_up_us.is_some() && state.failures == 0 {
            state.due_us = now_us;
        }
    }

    /// Applies endpoint changes that a peer has read. Changes that leave a gap or are all known are ignored.
    ///
    /// The proof of the read that returned them may still be on its way, so the time since this gateway's last proof tells
    /// whether they follow an outage.
    fn apply_changes(&mut self, now_us: u64, changes: &Changes, out: &mut Vec<Action>) {
        let Some(next) = self.endpoints_feed.next else { return };
        if !next.reaches(changes.from) || !changes.through.is_after(next) {
            return;
        }
        self.detect_outage(now_us, Feed::Endpoints, now_us);
        let mut changed = false;
        let recovered_us = self.endpoints_feed.recovered_us;
        for change in &changes.list {
            match change {
                Change::Known(endpoint) => {
                    changed |= self.entries.upsert(endpoint.clone(), out) == EntryChange::Changed;
                }
                Change::Missing(id) => {
                    self.entries.mark_missing(now_us, id, recovered_us);
                }
            }
        }
        let dropped = self.entries.drop_missing(now_us, self.endpoints_feed.recovered_us, out);
        self.endpoints_feed.next = Some(changes.through);
        self.change = changes.through;
        out.push(Action::Changed(changes.clone()));
        if changed || dropped {
            self.entries.publish(out);
        }
        self.offer(out);
    }

    pub(super) fn handle_failure(
        &mut self,
        now_us: u64,
        feed: Feed,
        error: StoreError,
        out: &mut Vec<Action>,
    ) {
        let settings = self.settings;
        let relies_on_peers =
            self.rank.is_some_and(|rank| rank > STANDBY_RANK) && !self.reads_as_reader(now_us, feed);
        let (min_ms, max_ms) = if relies_on_peers {
            (settings.retry_min_ms, settings.retry_max_ms)
        } else {
            (settings.reader_retry_min_ms, settings.reader_retry_max_ms)
        };
        let state = self.state(feed);
        let pause_ms = (min_ms << state.failures.min(BACKOFF_DOUBLING_LIMIT)).min(max_ms);
        state.failures += 1;
        state.in_flight = false;
        state.due_us = now_us + pause_ms * US_PER_MS;
        // A read to catch up with peers also waits for the end of the pause.
        state.catch_up_us = state.catch_up_us.map(|catch_up_us| catch_up_us.max(state.due_us));
        if error == StoreError::Expired {
            state.next = None;
        }
        let was_failing = state.is_failing();
        state.failed_us = Some(state.sent_us);
        if !was_failing && state.is_failing() {
            out.push(Action::Decide(Decision::Lost { feed, error }));
        }
    }

    fn start_reads(&mut self, now_us: u64, out: &mut Vec<Action>) {
        let is_standby = self.rank == Some(STANDBY_RANK);
        for feed in [Feed::Configuration, Feed::Endpoints] {
            let state = self.state(feed);
            if state.in_flight || now_us < state.due_us {
                continue;
            }
            if let Some(due_us) = self.later_fallback_us(now_us, feed) {
                self.state(feed).due_us = due_us;
                continue;
            }
            let state = self.state(feed);
            state.in_flight = true;
            state.sent_us = now_us;
            state.sent_from = state.next;
            state.standby_reads |= is_standby;
            let waits = feed == Feed::Configuration && self.reads_as_reader(now_us, feed);
            let wait_ms = if waits { self.settings.configuration_wait_ms } else { 0 };
            let state = self.state(feed);
            out.push(Action::Read { feed, from: state.next, wait_ms });
        }
    }

    fn apply_configuration(&mut self, configuration: Arc<Configuration>, out: &mut Vec<Action>) {
        if configuration.version <= self.version {
            return;
        }
        out.push(Action::Decide(Decision::Applied {
            version: configuration.version,
            before: self.version,
            routes: configuration.routes.len(),
            keys: configuration.credentials.len(),
        }));
        self.version = configuration.version;
        self.configuration = Arc::clone(&configuration);
        out.push(Action::Configuration(configuration));
    }

    /// Records a successful read: ends the state of failure and resets the pause.
    fn record_success(&mut self, now_us: u64, feed: Feed, sent_us: u64, out: &mut Vec<Action>) {
        let gap_us = self.detect_outage(now_us, feed, sent_us);
        let is_unconfirmed = self.is_unconfirmed(feed);
        let state = self.state(feed);
        if state.is_failing() {
            let gap_ms = gap_us / US_PER_MS;
            out.push(Action::Decide(Decision::Regained { feed, gap_ms, by: ProofSource::OwnRead }));
        }
        state.failed_us = None;
        // Reads that do not confirm the version in force are counted, so that a fleet does not repeat them at once.
        if !is_unconfirmed {
            state.failures = 0;
        }
    }

    /// Records the end of an outage if the given proof is long after the previous one, or the first one since the store came
    /// back from a backup, when entries may be missing until they are written again. Returns the gap between them.
    fn detect_outage(&mut self, now_us: u64, feed: Feed, at_us: u64) -> u64 {
        let outage_us = self.settings.outage_gap_ms * US_PER_MS;
        let is_restored = self.era != self.first_era;
        let state = self.state(feed);
        let gap_us = state.proof_us.map_or(0, |proof_us| at_us.saturating_sub(proof_us));
        if gap_us > outage_us || (is_restored && state.proof_us.is_none()) {
            state.recovered_us = Some(now_us);
        }
        gap_us
    }

    pub(super) fn state(&mut self, feed: Feed) -> &mut FeedState {
        match feed {
            Feed::Configuration => &mut self.configuration_feed,
            Feed::Endpoints => &mut self.endpoints_feed,
        }
    }
}

impl Duty for Catalog {
    type Event = Event;
    type Action = Action;

    fn on_event(&mut self, now_us: u64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Read { feed, batch, snapshot, sent_us } => {
                self.handle_read(now_us, feed, batch, snapshot, sent_us, actions);
            }
            Event::Fetched(snapshot) => self.handle_fetched(now_us, *snapshot, actions),
            Event::NotFetched { from, fault } => self.handle_failed_fetch(now_us, from, fault, actions),
            Event::Failed { feed, error, era } => {
                self.handle_failed_read(now_us, feed, error, era, actions);
            }
            Event::StoreEra(era) => self.enter_era(now_us, era, EraSource::Store, actions),
            Event::Leaving { id, born_ms } => {
                if self.entries.mark_leaving(id, born_ms) {
                    self.entries.publish(actions);
                }
            }
            Event::PeerUpdate(update) => self.handle_peer_update(now_us, &update, actions),
        }
        self.start_reads(now_us, actions);
    }

    fn next_timer_us(&self) -> Option<u64> {
        let reads = [self.configuration_feed, self.endpoints_feed];
        let due = reads.iter().filter(|state| !state.in_flight).map(|state| state.due_us);
        due.chain(self.entries.next_removal_us()).min()
    }

    fn on_timer(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        if self.started_us.is_none() {
            self.started_us = Some(now_us);
            let wait_us = self.settings.start_wait_ms * US_PER_MS;
            let jitter_us = if wait_us > 0 { self.random.below(READ_JITTER_US as usize) as u64 } else { 0 };
            self.configuration_feed.due_us = now_us + wait_us + jitter_us;
            self.endpoints_feed.due_us = now_us + wait_us + jitter_us;
        }
        self.start_reads(now_us, actions);
        if self.endpoints_feed.is_failing() {
            self.entries.extend_grace(now_us);
        } else {
            let is_changed = self.release_withheld(now_us, actions);
            if self.entries.drop_missing(now_us, self.endpoints_feed.recovered_us, actions) || is_changed {
                self.entries.publish(actions);
            }
        }
    }
}
