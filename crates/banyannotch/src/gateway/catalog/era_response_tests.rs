//! Tests of one catalog that gets responses and updates of several eras of the store.

use std::sync::Arc;

use super::tests::update_of_peer;
use super::{Action, Catalog, CatalogSettings, Decision, Event, PeerUpdate};
use crate::clock::US_PER_MS;
use crate::duty::Duty;
use crate::gateway::dispatch::fixtures::{address, configuration, plain_endpoint};
use crate::gateway::gossip::{Change, Changes};
use crate::gateway::{Batch, Feed, Record, StoreError, StorePosition};

/// Drives one catalog and records its actions.
struct World {
    catalog: Catalog,
    now_us: u64,
    actions: Vec<Action>,
}

impl World {
    /// Creates the reader of a store in era 2, which has read version 5 and two endpoints up to offset 100.
    fn new() -> Self {
        let catalog = Catalog::new(CatalogSettings::default(), 1);
        let mut world = Self { catalog, now_us: 10_000_000, actions: Vec::new() };
        world.event(Event::PeerUpdate(PeerUpdate { rank: 0, ..update_of_peer() }));
        world.read(Feed::Configuration, 2, 5, vec![version(5)], true);
        world.read(Feed::Endpoints, 2, 100, vec![entry(1), entry(2)], true);
        world.run_ms(10);
        world.actions.clear();
        world
    }

    fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.catalog.on_event(self.now_us, event, &mut actions);
        self.actions.extend(actions);
    }

    /// Answers a read that was sent 10 ms ago.
    fn read(&mut self, feed: Feed, era: u64, next: u64, records: Vec<Record>, snapshot: bool) {
        self.read_sent_at(self.now_us - 10 * US_PER_MS, feed, era, next, records, snapshot);
    }

    fn read_sent_at(
        &mut self,
        sent_us: u64,
        feed: Feed,
        era: u64,
        next: u64,
        records: Vec<Record>,
        snapshot: bool,
    ) {
        let batch = Batch { records, next, era, bytes: 0 };
        self.event(Event::Read { feed, batch, snapshot, sent_us });
    }

    fn run_ms(&mut self, ms: u64) {
        let end_us = self.now_us + ms * US_PER_MS;
        while let Some(due_us) = self.catalog.next_timer_us().filter(|due_us| *due_us <= end_us) {
            self.now_us = self.now_us.max(due_us);
            let mut actions = Vec::new();
            self.catalog.on_timer(self.now_us, &mut actions);
            self.actions.extend(actions);
        }
        self.now_us = end_us;
    }

    /// Returns the positions from which a feed was read since the last call.
    fn reads(&mut self, wanted: Feed) -> Vec<Option<StorePosition>> {
        let reads = self.actions.iter().filter_map(|action| match action {
            Action::Read { feed, from, .. } if *feed == wanted => Some(*from),
            _ => None,
        });
        reads.collect()
    }

    /// Returns what was published besides reads and log lines.
    fn published(&self) -> Vec<&Action> {
        let is_published = |action: &&Action| !matches!(action, Action::Read { .. } | Action::Decide(_));
        self.actions.iter().filter(is_published).collect()
    }

    fn lines(&self) -> Vec<String> {
        let lines = self.actions.iter().filter_map(|action| match action {
            Action::Decide(decision) => Some(decision.to_string()),
            _ => None,
        });
        lines.collect()
    }
}

fn version(version: u64) -> Record {
    Record::Configuration(Arc::new(configuration(version)))
}

fn entry(host: u8) -> Record {
    Record::Endpoint(plain_endpoint(host, "a"))
}

fn in_era(era: u64, offset: u64) -> StorePosition {
    StorePosition::new(era, offset)
}

/// A response to a call from before the store came back may arrive long after the first one of the new era.
#[test]
fn a_late_response_of_an_earlier_era_changes_nothing() {
    let late_responses = |sent_us| {
        let batch = |records| Batch { records, next: 300, era: 2, bytes: 0 };
        let read = |feed, records, snapshot| Event::Read { feed, batch: batch(records), snapshot, sent_us };
        let failed = |feed, error| Event::Failed { feed, error, era: Some(2) };
        [
            read(Feed::Configuration, vec![version(9)], false),
            read(Feed::Configuration, vec![version(9)], true),
            read(Feed::Endpoints, vec![entry(7)], false),
            read(Feed::Endpoints, vec![entry(7)], true),
            failed(Feed::Endpoints, StoreError::Expired),
            failed(Feed::Configuration, StoreError::Unavailable),
        ]
    };
    for index in 0..late_responses(0).len() {
        let mut world = World::new();
        let sent_us = world.now_us;
        world.run_ms(100);
        world.event(Event::StoreEra(3));
        world.read(Feed::Configuration, 3, 4, vec![version(5)], true);
        world.read(Feed::Endpoints, 3, 50, vec![entry(1), entry(2)], true);
        world.actions.clear();
        let late = late_responses(sent_us)[index].clone();
        world.event(late.clone());
        assert_eq!((world.published(), world.lines()), (vec![], vec![]), "{late:?}");
        world.actions.clear();
        world.run_ms(800);
        let from = world.reads(Feed::Endpoints);
        assert!(
            from.iter().all(|from| *from == Some(in_era(3, 50))) && !from.is_empty(),
            "{late:?}: {from:?}"
        );
    }
}

/// The records that follow an offset of an earlier era are others than those that the gateway lacks.
#[test]
fn records_after_an_offset_of_an_earlier_era_are_not_used() {
    let mut world = World::new();
    world.run_ms(700);
    assert_eq!(world.reads(Feed::Endpoints), [Some(in_era(2, 100))]);
    world.event(Event::StoreEra(3));
    // A peer's snapshot arrives before the response to the read.
    world.actions.clear();
    world.read(Feed::Endpoints, 3, 102, vec![entry(9)], false);
    assert!(!world.published().iter().any(|action| matches!(action, Action::Endpoints(_))));
    assert_eq!(world.reads(Feed::Endpoints), [None], "a snapshot is read at once");
}

/// A read from an offset that the restored store does not have is answered with 410 at once, and must not be repeated.
#[test]
fn an_expired_offset_in_a_new_era_leads_to_a_snapshot() {
    for feed in [Feed::Configuration, Feed::Endpoints] {
        let mut world = World::new();
        world.run_ms(700);
        world.actions.clear();
        world.event(Event::Failed { feed, error: StoreError::Expired, era: Some(3) });
        assert_eq!(world.reads(feed), [None]);
        assert_eq!(world.lines(), ["event=store_restored era=3 before=2 by=Store"]);
    }
}

/// A store whose era is missing, unreadable or falls is not used, and everything stays as it was.
#[test]
fn a_response_with_an_implausible_era_is_not_used() {
    let unreadable = StoreError::UnreadableEra("-1".to_owned());
    let cases = [
        (Event::Failed { feed: Feed::Endpoints, error: unreadable, era: None }, "cannot be read: -1"),
        (
            Event::Failed { feed: Feed::Endpoints, error: StoreError::Expired, era: Some(0) },
            "era 0, although the store was in era 2",
        ),
    ];
    for (event, text) in cases {
        let mut world = World::new();
        world.run_ms(700);
        world.actions.clear();
        world.event(event);
        assert!(world.lines().iter().any(|line| line.contains(text)), "{:?}", world.lines());
        assert_eq!(world.published(), Vec::<&Action>::new());
        world.actions.clear();
        world.run_ms(1_000);
        assert_eq!(world.reads(Feed::Endpoints), [Some(in_era(2, 100))], "the position is kept");
    }
    for era in [0, 1] {
        let mut world = World::new();
        world.run_ms(700);
        world.actions.clear();
        world.read(Feed::Endpoints, era, 300, vec![entry(7)], true);
        world.read(Feed::Configuration, era, 300, vec![version(9)], true);
        assert_eq!(world.published(), Vec::<&Action>::new(), "era {era}");
        let lines = world.lines();
        assert!(lines.iter().filter(|line| line.contains("dependency_lost")).count() == 2, "{lines:?}");
    }
}

/// The changes and proofs of a peer in another era mean something else here. Its version counts, as versions only grow.
#[test]
fn a_peer_in_an_earlier_era_proves_nothing() {
    let update = |world: &World, era, offset| PeerUpdate {
        version: 5,
        version_proof_age_ms: 10,
        store_era: era,
        change: in_era(era.unwrap_or_default(), offset),
        change_proof_age_ms: 10,
        asked_us: Some(world.now_us),
        changes: Some(Box::new(Changes {
            from: in_era(era.unwrap_or_default(), 50),
            through: in_era(era.unwrap_or_default(), offset),
            list: vec![Change::Missing("desk-1".into())],
        })),
        rank: 5,
        ..update_of_peer()
    };
    for era in [None, Some(2)] {
        let mut world = World::new();
        world.event(Event::StoreEra(3));
        // The restored store has an earlier version, so that nothing proves version 5.
        world.read(Feed::Configuration, 3, 4, vec![version(4)], true);
        world.read(Feed::Endpoints, 3, 50, vec![entry(1), entry(2)], true);
        world.actions.clear();
        let event = Event::PeerUpdate(update(&world, era, 120));
        world.event(event);
        assert_eq!(world.published(), Vec::<&Action>::new(), "{era:?}");
        let event = Event::PeerUpdate(PeerUpdate { version: 6, ..update(&world, era, 120) });
        world.event(event);
        assert_eq!(world.published(), [&Action::Fetch { from: address(9) }], "{era:?}");
    }
    // In the same era, all of it counts.
    let mut world = World::new();
    world.event(Event::StoreEra(3));
    world.read(Feed::Endpoints, 3, 50, vec![entry(1), entry(2)], true);
    world.actions.clear();
    let event = Event::PeerUpdate(update(&world, Some(3), 120));
    world.event(event);
    let has_proof = world.published().iter().any(|action| matches!(action, Action::ConfigurationProof(_)));
    assert!(has_proof, "{:?}", world.published());
    assert_eq!(world.catalog.change(), in_era(3, 120));
}

/// An era is told only once, whoever states it how often.
#[test]
fn each_return_is_logged_once() {
    let mut world = World::new();
    for era in [2, 3, 3, 1, 4] {
        world.event(Event::StoreEra(era));
        world.event(Event::PeerUpdate(PeerUpdate { store_era: Some(era), ..update_of_peer() }));
    }
    let is_restored = |action: &&Action| matches!(action, Action::Decide(Decision::StoreRestored { .. }));
    let lines: Vec<_> = world.actions.iter().filter(is_restored).collect();
    assert_eq!(lines.len(), 2, "{lines:?}");
}
