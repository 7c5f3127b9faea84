//! The policy of the catalog.

use std::sync::Arc;

use super::{Action, CatalogSettings, Decision, Event, Heard};
use crate::clock::US_PER_MS;
use crate::duty::Duty;
use crate::gateway::dispatch::Proof;
use crate::gateway::gossip::{Change, Changes, READER_COUNT};
use crate::gateway::{Batch, Configuration, Endpoint, Feed, Record, StoreError};
use crate::random::Random;
use crate::table::Table;

/// Most departures that are remembered, so that a late record does not bring an endpoint back.
const DEPARTURE_LIMIT: usize = 4_096;

/// Time without a word of other gateways after which this one reads for itself, in microseconds.
const ALONE_US: u64 = 3_000_000;
/// Spread of the times at which gateways read for themselves, in microseconds: the first one tells the others.
const SPREAD_US: u64 = 400_000;

/// Most doublings of the pause after a failure.
const DOUBLING_LIMIT: u32 = 8;

/// Reading of one feed.
#[derive(Clone, Copy, Debug, Default)]
struct Channel {
    /// Offset at which reading goes on; none before the first reading and after records have expired.
    next: Option<u64>,
    in_flight: bool,
    due_us: u64,
    /// When it was last shown that nothing has changed, by an own read or by another gateway.
    proof_us: Option<u64>,
    /// When the store came back after an outage.
    returned_us: Option<u64>,
    lost: bool,
    /// When this gateway will read what another one knows and has not told.
    behind_until_us: Option<u64>,
    /// Failures in a row.
    failures: u32,
}

/// Follows the configuration and the endpoints.
#[derive(Debug)]
pub struct Catalog {
    settings: CatalogSettings,
    version: u64,
    engines: Table<Arc<str>, Endpoint>,
    /// Endpoints whose entry is missing, and when they count as gone.
    missing: Table<Arc<str>, u64>,
    /// Starts of endpoints that have said that they leave.
    departures: Table<(Arc<str>, u64), ()>,
    /// Offset after the last record that changed an endpoint.
    change: u64,
    configuration: Channel,
    endpoints: Channel,
    /// Whether this gateway reads for the others.
    leads: bool,
    heard_us: u64,
    random: Random,
}

impl Catalog {
    /// Creates the policy of a gateway that knows nothing.
    pub fn new(settings: CatalogSettings, seed: u64) -> Self {
        Self {
            settings,
            version: 0,
            engines: Table::default(),
            missing: Table::default(),
            departures: Table::default(),
            change: 0,
            configuration: Channel::default(),
            endpoints: Channel::default(),
            leads: true,
            heard_us: 0,
            random: Random::seeded(seed),
        }
    }

    fn read(
        &mut self,
        now_us: u64,
        feed: Feed,
        batch: Batch,
        whole: bool,
        sent_us: u64,
        out: &mut Vec<Action>,
    ) {
        self.note_contact(now_us, feed, sent_us, out);
        let mut batch = batch;
        if !whole && self.channel(feed).next > Some(batch.next) {
            // Another gateway has told later changes while the store was read.
            batch = Batch { next: self.channel(feed).next.unwrap_or(batch.next), ..Batch::default() };
        }
        let next = batch.next;
        let (mut changed, mut news) = (false, false);
        let mut named = Vec::new();
        let mut changes = Vec::new();
        for record in batch.records {
            match record {
                Record::Configuration(deployment) => self.apply(deployment, out),
                Record::Endpoint(engine) => {
                    named.push(Arc::clone(&engine.id));
                    if self.know(engine.clone(), out) {
                        changed = true;
                        changes.push(Change::Known(engine));
                    }
                }
                Record::NoEndpoint { id, fault } => {
                    if let Some(fault) = fault {
                        out.push(Action::Decide(Decision::Unusable { key: id.to_string(), fault }));
                    }
                    named.retain(|known| *known != id);
                    if self.miss(now_us, &id) {
                        news = true;
                        changes.push(Change::Missing(id));
                    }
                }
                Record::Unreadable { key, fault } => {
                    out.push(Action::Decide(Decision::Unusable { key, fault }));
                }
            }
        }
        if whole && feed == Feed::Endpoints {
            named.sort_unstable();
            let absent: Vec<_> = self
                .engines
                .iter()
                .map(|(id, _)| id)
                .filter(|id| named.binary_search(id).is_err())
                .cloned()
                .collect();
            for id in absent {
                news |= self.miss(now_us, &id);
            }
        }
        let dropped = self.drop_missing(now_us, out);
        if changed || news {
            // After a reading of the newest records it is not known which changes led to them.
            let (from, list) = if whole { (next, Vec::new()) } else { (self.change, changes) };
            out.push(Action::Changed(Changes { from, through: next, list }));
            self.change = next;
        }
        if changed || dropped {
            self.publish(out);
        }
        let channel = self.channel(feed);
        channel.next = Some(next);
        channel.in_flight = false;
        channel.behind_until_us = None;
        self.prove(feed, sent_us, out);
        self.plan_read(now_us, feed, sent_us);
    }

    /// Tells when it was last known that nothing has changed.
    fn prove(&mut self, feed: Feed, at_us: u64, out: &mut Vec<Action>) {
        let channel = self.channel(feed);
        channel.proof_us = channel.proof_us.max(Some(at_us));
        match feed {
            Feed::Configuration if self.version > 0 => {
                out.push(Action::Proof(Proof { version: self.version, at_us }));
            }
            Feed::Configuration => {}
            Feed::Endpoints => out.push(Action::EndpointsProof(Proof { version: self.change, at_us })),
        }
    }

    /// Plans the next read of a feed after one that was sent at the given time.
    fn plan_read(&mut self, now_us: u64, feed: Feed, sent_us: u64) {
        let spread_us = self.random.below(SPREAD_US as usize) as u64;
        let settings = self.settings;
        let leads = self.leads || now_us >= self.heard_us + ALONE_US;
        let channel = self.channel(feed);
        let proof_us = channel.proof_us.unwrap_or(0);
        channel.due_us = match (leads, feed) {
            (true, Feed::Configuration) => now_us,
            (true, Feed::Endpoints) => sent_us + settings.endpoints_interval_ms * US_PER_MS,
            (false, Feed::Configuration) => proof_us + settings.own_configuration_ms * US_PER_MS + spread_us,
            (false, Feed::Endpoints) => proof_us + settings.own_endpoints_ms * US_PER_MS + spread_us,
        };
    }

    /// Returns the offset after the last record that changed an endpoint.
    #[cfg(test)]
    pub(super) fn change(&self) -> u64 {
        self.change
    }

    /// Takes what another gateway has read as a proof, or reads what it has read and this one has not.
    fn heard(&mut self, now_us: u64, heard: Heard, out: &mut Vec<Action>) {
        self.heard_us = now_us;
        self.leads = heard.rank < READER_COUNT;
        let asked_us = heard.asked_us;
        let proof_us =
            |age_ms: u64| asked_us.map(|at_us| at_us.saturating_sub(age_ms.saturating_mul(US_PER_MS)));
        let (version_us, change_us) = (proof_us(heard.version_age_ms), proof_us(heard.change_age_ms));
        if let (Some(changes), Some(at_us)) = (heard.changes, change_us) {
            self.take_changes(now_us, *changes, at_us, out);
        }
        let knows_version = heard.version <= self.version;
        let proves_version = heard.version == self.version;
        self.compare(now_us, Feed::Configuration, knows_version, version_us.filter(|_| proves_version), out);
        let knows_change = self.endpoints.next.is_some_and(|next| heard.change <= next);
        let proves_change = heard.change > 0;
        self.compare(now_us, Feed::Endpoints, knows_change, change_us.filter(|_| proves_change), out);
    }

    /// Plans a read of what another gateway knows and this one does not, or takes its proof.
    fn compare(
        &mut self,
        now_us: u64,
        feed: Feed,
        knows: bool,
        proof_us: Option<u64>,
        out: &mut Vec<Action>,
    ) {
        if !knows {
            let wait_us = match feed {
                Feed::Configuration => 0,
                // The changes come with the answer to the next question, unless datagrams are lost.
                Feed::Endpoints => {
                    self.settings.news_wait_ms * US_PER_MS + self.random.below(SPREAD_US as usize) as u64
                }
            };
            let channel = self.channel(feed);
            let until_us = *channel.behind_until_us.get_or_insert(now_us + wait_us);
            channel.due_us = channel.due_us.min(until_us);
            return;
        }
        let channel = self.channel(feed);
        channel.behind_until_us = None;
        let Some(at_us) = proof_us.filter(|at_us| channel.proof_us.is_some_and(|known_us| known_us < *at_us))
        else {
            return;
        };
        self.note_gap(now_us, feed, at_us);
        self.prove(feed, at_us, out);
        if !self.leads {
            self.plan_read(now_us, feed, at_us);
        }
    }

    /// Takes changes of the endpoints that another gateway has read.
    fn take_changes(&mut self, now_us: u64, changes: Changes, at_us: u64, out: &mut Vec<Action>) {
        let Some(next) = self.endpoints.next else { return };
        if changes.from > next || changes.through <= next {
            return;
        }
        self.note_gap(now_us, Feed::Endpoints, at_us);
        let mut changed = false;
        for change in &changes.list {
            match change {
                Change::Known(engine) => changed |= self.know(engine.clone(), out),
                Change::Missing(id) => {
                    self.miss(now_us, id);
                }
            }
        }
        let dropped = self.drop_missing(now_us, out);
        self.endpoints.next = Some(changes.through);
        self.change = changes.through;
        out.push(Action::Changed(changes));
        if changed || dropped {
            self.publish(out);
        }
    }

    fn failed(&mut self, now_us: u64, feed: Feed, error: StoreError, out: &mut Vec<Action>) {
        let settings = self.settings;
        let most_ms = if self.leads { settings.reader_retry_most_ms } else { settings.retry_most_ms };
        let channel = self.channel(feed);
        let pause_ms = (settings.retry_interval_ms << channel.failures.min(DOUBLING_LIMIT)).min(most_ms);
        channel.failures += 1;
        channel.in_flight = false;
        channel.due_us = now_us + pause_ms * US_PER_MS;
        // What others know is read after the pause as well.
        channel.behind_until_us = channel.behind_until_us.map(|until_us| until_us.max(channel.due_us));
        if error == StoreError::Expired {
            channel.next = None;
        }
        if !channel.lost {
            channel.lost = true;
            out.push(Action::Decide(Decision::Lost { feed, error }));
        }
    }

    fn start_reads(&mut self, now_us: u64, out: &mut Vec<Action>) {
        let leads = self.leads;
        let wait_ms = self.settings.wait_ms;
        for feed in [Feed::Configuration, Feed::Endpoints] {
            let channel = self.channel(feed);
            if channel.in_flight || now_us < channel.due_us {
                continue;
            }
            channel.in_flight = true;
            let wait_ms = if leads && feed == Feed::Configuration { wait_ms } else { 0 };
            out.push(Action::Read { feed, from: channel.next, wait_ms });
        }
    }

    fn apply(&mut self, deployment: Arc<Configuration>, out: &mut Vec<Action>) {
        if deployment.version <= self.version {
            return;
        }
        out.push(Action::Decide(Decision::Applied {
            version: deployment.version,
            before: self.version,
            routes: deployment.routes.len(),
            keys: deployment.credentials.len(),
        }));
        self.version = deployment.version;
        out.push(Action::Deployment(deployment));
    }

    /// Takes an endpoint's entry. Returns whether anything but its heartbeat changed.
    fn know(&mut self, mut engine: Endpoint, out: &mut Vec<Action>) -> bool {
        let known = self.engines.get(&engine.id);
        if known.is_some_and(|known| known.born_ms > engine.born_ms) {
            // A late record of an earlier start.
            return false;
        }
        let start = (Arc::clone(&engine.id), engine.born_ms);
        if engine.leaving && self.departures.len() < DEPARTURE_LIMIT {
            self.departures.insert(start, ());
        } else if self.departures.contains(&start) {
            engine.leaving = true;
        }
        self.missing.remove(&engine.id);
        if known == Some(&engine) {
            return false;
        }
        let state = format!(
            "service={} address={} zone={} born_ms={} leaving={} accelerator={} layers={}",
            engine.service,
            engine.address,
            engine.zone,
            engine.born_ms,
            engine.leaving,
            engine.accelerator.as_deref().unwrap_or("none"),
            engine.layers.map_or_else(|| "none".to_owned(), |layers| layers.to_string()),
        );
        out.push(Action::Decide(Decision::Known { id: Arc::clone(&engine.id), state }));
        self.engines.insert(Arc::clone(&engine.id), engine);
        true
    }

    /// Notes that an endpoint's entry is missing. It may have lapsed while the store was away. Returns whether that is news.
    fn miss(&mut self, now_us: u64, id: &Arc<str>) -> bool {
        if !self.engines.contains(id) || self.missing.contains(id) {
            return false;
        }
        let grace_us = self.settings.return_grace_ms * US_PER_MS;
        let gone_us =
            self.endpoints.returned_us.map_or(now_us, |returned_us| (returned_us + grace_us).max(now_us));
        self.missing.insert(Arc::clone(id), gone_us);
        true
    }

    fn drop_missing(&mut self, now_us: u64, out: &mut Vec<Action>) -> bool {
        let after_outage = self
            .endpoints
            .returned_us
            .is_some_and(|returned_us| now_us < returned_us + 2 * self.settings.return_grace_ms * US_PER_MS);
        let due: Vec<_> = self
            .missing
            .iter()
            .filter(|(_, gone_us)| **gone_us <= now_us)
            .map(|(id, _)| Arc::clone(id))
            .collect();
        for id in &due {
            self.missing.remove(id);
            self.engines.remove(id);
            out.push(Action::Decide(Decision::Gone { id: Arc::clone(id), after_outage }));
        }
        !due.is_empty()
    }

    /// Publishes one endpoint for each address: the one that started last.
    fn publish(&self, out: &mut Vec<Action>) {
        let mut by_address: Vec<&Endpoint> = self.engines.iter().map(|(_, engine)| engine).collect();
        by_address.sort_by_key(|engine| (engine.address, std::cmp::Reverse(engine.born_ms)));
        by_address.dedup_by_key(|engine| engine.address);
        out.push(Action::Engines(by_address.into_iter().cloned().collect()));
    }

    fn note_contact(&mut self, now_us: u64, feed: Feed, sent_us: u64, out: &mut Vec<Action>) {
        let gap_us = self.note_gap(now_us, feed, sent_us);
        let channel = self.channel(feed);
        if channel.lost {
            out.push(Action::Decide(Decision::Regained { feed, gap_ms: gap_us / US_PER_MS }));
        }
        channel.lost = false;
        channel.failures = 0;
    }

    /// Notes the return of the store if nothing was known of it for long before the given proof. Returns the gap.
    fn note_gap(&mut self, now_us: u64, feed: Feed, at_us: u64) -> u64 {
        let outage_us = self.settings.outage_gap_ms * US_PER_MS;
        let channel = self.channel(feed);
        let gap_us = channel.proof_us.map_or(0, |proof_us| at_us.saturating_sub(proof_us));
        if gap_us > outage_us {
            channel.returned_us = Some(now_us);
        }
        gap_us
    }

    fn channel(&mut self, feed: Feed) -> &mut Channel {
        match feed {
            Feed::Configuration => &mut self.configuration,
            Feed::Endpoints => &mut self.endpoints,
        }
    }
}

impl Duty for Catalog {
    type Event = Event;
    type Action = Action;

    fn on_event(&mut self, now_us: u64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Read { feed, batch, whole, sent_us } => {
                self.read(now_us, feed, batch, whole, sent_us, actions);
            }
            Event::Failed { feed, error } => self.failed(now_us, feed, error, actions),
            Event::Heard(heard) => self.heard(now_us, heard, actions),
        }
        self.start_reads(now_us, actions);
    }

    fn next_timer_us(&self) -> Option<u64> {
        let reads = [self.configuration, self.endpoints];
        let due = reads.iter().filter(|channel| !channel.in_flight).map(|channel| channel.due_us);
        due.chain(self.missing.iter().map(|(_, gone_us)| *gone_us)).min()
    }

    fn on_timer(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        self.start_reads(now_us, actions);
        // Without contact it is not known whether an entry has come back.
        if self.endpoints.lost {
            let later_us = now_us + self.settings.return_grace_ms * US_PER_MS;
            for (_, gone_us) in self.missing.iter_mut() {
                *gone_us = (*gone_us).max(later_us);
            }
        } else if self.drop_missing(now_us, actions) {
            self.publish(actions);
        }
    }
}
