//! Tests of the catalog: removal and revival of endpoints, the age of proofs, and the number of reads of the
//! store.

use std::sync::Arc;

use super::exchange::Snapshot;
use super::{Action, Catalog, CatalogSettings, Event, PeerUpdate};
use crate::clock::US_PER_MS;
use crate::duty::Duty;
use crate::gateway::dispatch::fixtures::{address, configuration, plain_endpoint};
use crate::gateway::gossip::{Change, Changes};
use crate::gateway::{Batch, Endpoint, Feed, Record, StoreError, StorePosition};

/// Returns a position in the first era of a store that states none.
pub fn at(offset: u64) -> StorePosition {
    StorePosition::new(0, offset)
}

/// Returns the update of a peer that has read nothing.
pub fn update_of_peer() -> PeerUpdate {
    PeerUpdate {
        from: address(9),
        version: 0,
        version_proof_age_ms: 0,
        store_era: None,
        change: at(0),
        change_proof_age_ms: 0,
        asked_us: None,
        changes: None,
        rank: 5,
    }
}

struct World {
    catalog: Catalog,
    now_us: u64,
    next: u64,
    lines: Vec<String>,
    /// Changes of endpoints that were passed to gossip.
    passed_on: Vec<Change>,
    /// The snapshot that is offered to peers.
    offered: Option<Snapshot>,
}

impl World {
    fn new() -> Self {
        Self::with(CatalogSettings::default())
    }

    fn with(settings: CatalogSettings) -> Self {
        let catalog = Catalog::new(settings, 1);
        Self { catalog, now_us: 10_000_000, next: 0, lines: Vec::new(), passed_on: Vec::new(), offered: None }
    }

    fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.catalog.on_event(self.now_us, event, &mut actions);
        self.record(actions);
    }

    fn record(&mut self, actions: Vec<Action>) {
        let at_ms = (self.now_us - 10_000_000) / US_PER_MS;
        let age_ms = |at_us: u64| (self.now_us - at_us) / US_PER_MS;
        for action in actions {
            let text = match action {
                Action::Configuration(configuration) => format!("version {}", configuration.version),
                Action::Endpoints(endpoints) => {
                    let name = |endpoint: &Endpoint| {
                        format!("{}{}", endpoint.id, if endpoint.leaving { " leaving" } else { "" })
                    };
                    format!("endpoints {:?}", endpoints.iter().map(name).collect::<Vec<_>>())
                }
                Action::ConfigurationProof(proof) => {
                    format!("version {} is {} ms old", proof.version, age_ms(proof.at_us))
                }
                Action::EndpointsProof(proof) => format!("endpoints are {} ms old", age_ms(proof.at_us)),
                Action::Read { feed, from, wait_ms } => {
                    let from = from.map(StorePosition::offset);
                    format!("read {feed:?} from {from:?} wait {wait_ms}")
                }
                Action::Fetch { from } => format!("fetch from {}", from.ip()),
                Action::Changed(changes) => {
                    self.passed_on.extend(changes.list);
                    continue;
                }
                Action::Offer(snapshot) => {
                    self.offered = Some(*snapshot);
                    continue;
                }
                Action::Decide(_) | Action::StoreEra(_) => continue,
            };
            self.lines.push(format!("{at_ms}: {text}"));
        }
    }

    /// Answers a read of the endpoints that was sent 10 ms ago.
    fn answer_endpoints(&mut self, records: Vec<Record>, snapshot: bool) {
        self.next += records.len() as u64;
        let batch = Batch { records, next: self.next, ..Batch::default() };
        let sent_us = self.now_us - 10_000;
        self.event(Event::Read { feed: Feed::Endpoints, batch, snapshot, sent_us });
    }

    /// Answers a read of the configuration that was sent 10 ms ago.
    fn answer_configuration(&mut self, version: u64) {
        let batch = Batch {
            records: vec![Record::Configuration(Arc::new(configuration(version)))],
            next: 1,
            ..Batch::default()
        };
        let sent_us = self.now_us - 10_000;
        self.event(Event::Read { feed: Feed::Configuration, batch, snapshot: false, sent_us });
    }

    fn wait_ms(&mut self, ms: u64) {
        let end_us = self.now_us + ms * US_PER_MS;
        while let Some(due_us) = self.catalog.next_timer_us().filter(|due_us| *due_us <= end_us) {
            self.now_us = self.now_us.max(due_us);
            let mut actions = Vec::new();
            self.catalog.on_timer(self.now_us, &mut actions);
            self.record(actions);
        }
        self.now_us = end_us;
    }

    /// Returns the recorded lines of published endpoints.
    fn endpoints_text(&self) -> String {
        let lines: Vec<_> = self.lines.iter().filter(|line| line.contains("endpoints [")).cloned().collect();
        lines.join("\n")
    }
}

fn present(host: u8) -> Record {
    Record::Endpoint(plain_endpoint(host, "a"))
}

fn removed(host: u8) -> Record {
    Record::NoEndpoint { id: format!("desk-{host}").into(), fault: None }
}

#[test]
fn a_late_record_does_not_revive_a_leaving_endpoint() {
    let mut world = World::new();
    let leaving = Endpoint { leaving: true, ..plain_endpoint(1, "a") };
    let restarted = Endpoint { born_ms: 2, ..plain_endpoint(1, "a") };
    let late = Endpoint { leaving: false, ..plain_endpoint(1, "a") };
    world.answer_endpoints(vec![present(1), present(2)], true);
    world.answer_endpoints(vec![Record::Endpoint(leaving)], false);
    world.answer_endpoints(vec![present(1)], false);
    world.answer_endpoints(vec![Record::Endpoint(restarted)], false);
    world.answer_endpoints(vec![Record::Endpoint(late)], false);
    world.answer_endpoints(vec![removed(1)], false);
    insta::assert_snapshot!(world.endpoints_text());
}

/// An endpoint may announce its departure in an answer only, while its entry says that it is ready.
#[test]
fn an_announced_departure_lasts_until_the_endpoint_has_started_anew() {
    let mut world = World::new();
    world.answer_endpoints(vec![present(1), present(2)], true);
    world.event(Event::Leaving { id: "desk-1".into(), born_ms: 1 });
    world.answer_endpoints(vec![present(1)], false);
    world.answer_endpoints(vec![removed(1)], false);
    world.answer_endpoints(vec![present(1)], false);
    world.event(Event::Leaving { id: "desk-2".into(), born_ms: 0 });
    let restarted = Endpoint { born_ms: 2, ..plain_endpoint(1, "a") };
    world.answer_endpoints(vec![Record::Endpoint(restarted)], false);
    insta::assert_snapshot!(world.endpoints_text());
}

/// A reader that learned of a departure from an answer must still pass on the entry that reports it. It found its own state
/// unchanged, so that the other gateways took its proofs for "nothing changed" and kept using the endpoint.
#[test]
fn a_reported_departure_is_passed_on_after_it_was_announced() {
    let mut world = World::new();
    let leaving = Endpoint { leaving: true, ..plain_endpoint(1, "a") };
    world.answer_endpoints(vec![present(1), present(2)], true);
    world.event(Event::Leaving { id: "desk-1".into(), born_ms: 1 });
    let offset = world.catalog.change().offset();
    world.answer_endpoints(vec![Record::Endpoint(leaving.clone())], false);
    assert_eq!(world.passed_on, [Change::Known(leaving.clone())]);
    assert!(world.catalog.change().offset() > offset, "the offset of the last change stayed");
    // Its heartbeats are no changes.
    world.answer_endpoints(vec![Record::Endpoint(leaving)], false);
    assert_eq!(world.passed_on.len(), 1);
}

/// A reader that passed on that an entry is missing must pass on its return as well, also if the endpoint is the same as
/// before. Otherwise the other gateways remove an endpoint that is alive.
#[test]
fn the_return_of_a_missing_entry_is_passed_on() {
    let missing = || Change::Missing("desk-1".into());
    let known = || Change::Known(plain_endpoint(1, "a"));
    for in_one_read in [true, false] {
        let mut world = World::new();
        world.answer_endpoints(vec![present(1), present(2)], true);
        world.event(Event::Failed { feed: Feed::Endpoints, error: StoreError::Unavailable, era: None });
        world.wait_ms(5_000);
        if in_one_read {
            world.answer_endpoints(vec![removed(1), present(1)], false);
        } else {
            world.answer_endpoints(vec![removed(1)], false);
            world.answer_endpoints(vec![present(1)], false);
        }
        assert_eq!(world.passed_on, [missing(), known()], "in one read: {in_one_read}");
    }
}

/// Entries that expire while the store is not available are renewed within two seconds of its return.
/// Endpoints whose entry is not renewed within the grace period are removed.
#[test]
fn entries_that_expire_in_an_outage_get_a_grace_period() {
    let mut world = World::new();
    world.answer_endpoints(vec![present(1), present(2), present(3)], true);
    world.event(Event::Failed { feed: Feed::Endpoints, error: StoreError::Unavailable, era: None });
    world.wait_ms(5_000);
    world.answer_endpoints(vec![removed(1), removed(2)], false);
    world.wait_ms(1_500);
    world.answer_endpoints(vec![present(1)], false);
    world.wait_ms(3_000);
    world.answer_endpoints(vec![removed(3)], false);
    insta::assert_snapshot!(world.endpoints_text());
}

/// After records have expired, a snapshot is read; endpoints that are absent from it were removed meanwhile.
#[test]
fn endpoints_absent_from_a_snapshot_are_removed() {
    let mut world = World::new();
    world.answer_endpoints(vec![present(1), present(2)], true);
    world.event(Event::Failed { feed: Feed::Endpoints, error: StoreError::Expired, era: None });
    world.wait_ms(200);
    world.answer_endpoints(vec![present(2)], true);
    insta::assert_snapshot!(world.lines.join("\n"));
}

/// Of two endpoints at one address, only the one that started last is used.
#[test]
fn the_last_start_at_an_address_is_published() {
    let mut world = World::new();
    let reused = Endpoint { id: "desk-9".into(), born_ms: 5, ..plain_endpoint(1, "a") };
    world.answer_endpoints(vec![present(1), Record::Endpoint(reused)], true);
    insta::assert_snapshot!(world.endpoints_text());
}

/// A gateway that is not a reader takes the proofs of its peers with their age, reads what only they have,
/// and reads for itself when their updates stop. Without that, each gateway's own reads cost 0.14 of the
/// day's worth on the grown site.
#[test]
fn proofs_of_peers_replace_own_reads() {
    let mut world = World::new();
    world.answer_configuration(5);
    world.answer_endpoints(vec![present(1)], true);
    let update = |asked_us| PeerUpdate {
        from: address(9),
        version: 5,
        version_proof_age_ms: 300,
        store_era: None,
        change: at(1),
        change_proof_age_ms: 200,
        asked_us: Some(asked_us),
        changes: None,
        rank: 5,
    };
    world.lines.clear();
    for _ in 0..8 {
        world.wait_ms(500);
        world.event(Event::PeerUpdate(update(world.now_us - 10_000)));
        // Reads that are in progress succeed at once.
        world.answer_configuration(5);
        world.answer_endpoints(vec![], false);
    }
    let with_proofs = world.lines.iter().filter(|line| line.contains("read")).count();
    world.event(Event::PeerUpdate(PeerUpdate { version: 6, ..update(world.now_us) }));
    let not_fetched = Event::NotFetched { from: address(9), fault: "reset".to_owned() };
    world.event(not_fetched);
    world.event(Event::PeerUpdate(PeerUpdate { change: at(9), ..update(world.now_us) }));
    world.wait_ms(700);
    let to_catch_up = world.lines.iter().filter(|line| line.contains("read")).count() - with_proofs;
    world.answer_configuration(6);
    world.answer_endpoints(vec![], false);
    world.wait_ms(3_000);
    let in_silence =
        world.lines.iter().filter(|line| line.contains("read")).count() - with_proofs - to_catch_up;
    // Up to two reads were scheduled before the first update; no further reads follow it.
    assert_eq!(
        (with_proofs <= 2, to_catch_up, in_silence),
        (true, 2, 2),
        "expected at most 2 reads with proofs, 2 to catch up and 2 in silence, \
         found {with_proofs}, {to_catch_up} and {in_silence}:\n{}",
        world.lines.join("\n")
    );
}

/// The offset of the last change tells peers that there is something to read. When a removed entry did not
/// advance it, peers never noticed the removal and exceeded the users' bound for leaving endpoints on both
/// standard sites.
#[test]
fn a_removed_entry_advances_the_change_offset() {
    let mut world = World::new();
    let change = |world: &mut World, records| {
        world.answer_endpoints(records, false);
        world.catalog.change().offset()
    };
    let offsets = [
        change(&mut world, vec![present(1), present(2)]),
        change(&mut world, vec![present(1), present(2)]),
        change(&mut world, vec![present(2), removed(1)]),
        change(&mut world, vec![removed(1), present(2)]),
    ];
    assert_eq!(offsets, [2, 2, 6, 6]);
}

#[test]
fn unsolicited_updates_and_older_versions_prove_nothing() {
    let mut world = World::new();
    world.answer_configuration(5);
    world.answer_endpoints(vec![present(1)], true);
    world.wait_ms(400);
    world.lines.clear();
    let unsolicited =
        || PeerUpdate { version: 5, change: at(1), asked_us: None, rank: 5, ..update_of_peer() };
    world.event(Event::PeerUpdate(unsolicited()));
    world.event(Event::PeerUpdate(PeerUpdate {
        asked_us: Some(world.now_us - 20_000),
        version_proof_age_ms: 100,
        change_proof_age_ms: 50,
        ..unsolicited()
    }));
    world.event(Event::PeerUpdate(PeerUpdate {
        version: 4,
        asked_us: Some(world.now_us),
        change: at(0),
        ..update_of_peer()
    }));
    insta::assert_snapshot!(world.lines.join("\n"));
}

/// Returns the update of a peer that has read up to `through` and sends the given changes after `from`.
fn peer_update(world: &World, from: u64, through: u64, list: Vec<Change>) -> Event {
    let changes = Changes { from: at(from), through: at(through), list };
    Event::PeerUpdate(PeerUpdate {
        change: at(through),
        asked_us: Some(world.now_us - 5_000),
        changes: Some(Box::new(changes)),
        rank: 5,
        ..update_of_peer()
    })
}

fn reads(world: &World) -> usize {
    world.lines.iter().filter(|line| line.contains("read Endpoints")).count()
}

/// Changes that a peer sends are not read from the store. On dacd-riga-grown scale-2 the reads of each of 87
/// gateways after each change cost 0.16 of the day's worth.
#[test]
fn changes_of_a_peer_are_not_read_from_the_store() {
    let mut world = World::new();
    world.answer_endpoints(vec![present(1), present(2)], true);
    world.lines.clear();
    let list = vec![Change::Known(plain_endpoint(3, "b")), Change::Missing("desk-1".into())];
    let event = peer_update(&world, 2, 4, list);
    world.event(event);
    world.wait_ms(900);
    assert_eq!((reads(&world), world.catalog.change().offset()), (0, 4), "{}", world.lines.join("\n"));
    insta::assert_snapshot!(world.endpoints_text());
}

/// Changes that do not follow on the last offset are ignored, and the store is read instead.
#[test]
fn changes_after_a_gap_are_read_from_the_store() {
    let mut world = World::new();
    world.answer_endpoints(vec![present(1)], true);
    world.answer_endpoints(vec![], false);
    world.lines.clear();
    let event = peer_update(&world, 2, 4, vec![Change::Missing("desk-1".into())]);
    world.event(event);
    world.wait_ms(800);
    assert_eq!((reads(&world), world.endpoints_text().as_str(), world.catalog.change().offset()), (1, "", 1));
}

/// A read that was in progress while a peer sent later changes does not revert them.
#[test]
fn a_late_read_does_not_revert_changes_of_a_peer() {
    let mut world = World::new();
    world.answer_endpoints(vec![present(1), present(2)], true);
    let event = peer_update(&world, 2, 6, vec![Change::Missing("desk-1".into())]);
    world.event(event);
    world.lines.clear();
    world.next = 3;
    world.answer_endpoints(vec![present(1)], false);
    assert_eq!((world.endpoints_text().as_str(), world.catalog.change().offset()), ("", 6));
}

/// The grace period after an outage also holds for a gateway that receives the removals from a peer. It used
/// to remove such endpoints at once.
#[test]
fn removals_of_a_peer_after_an_outage_get_a_grace_period() {
    let mut world = World::new();
    world.answer_endpoints(vec![present(1), present(2)], true);
    world.event(Event::Failed { feed: Feed::Endpoints, error: StoreError::Unavailable, era: None });
    world.now_us += 5_000_000;
    world.lines.clear();
    let event =
        peer_update(&world, 2, 4, vec![Change::Missing("desk-1".into()), Change::Missing("desk-2".into())]);
    world.event(event);
    world.now_us += 1_000_000;
    let event = peer_update(&world, 4, 5, vec![Change::Known(plain_endpoint(1, "a"))]);
    world.event(event);
    assert_eq!(world.endpoints_text(), "");
}

/// Peers' proofs end a gateway's own failure. A gateway that was cut off kept endpoints that left soon after for good,
/// because only a read of its own ended it and the proofs of its peers made such a read unnecessary.
#[test]
fn an_endpoint_that_leaves_after_a_cut_is_removed_on_proofs_of_peers() {
    /// Interval between two updates of a peer, in milliseconds.
    const ROUND_MS: u64 = 250;
    let mut world = World::new();
    world.answer_configuration(5);
    world.answer_endpoints(vec![present(1), present(2)], true);
    let update = |world: &World, through, list: Vec<Change>| {
        let changes =
            (!list.is_empty()).then(|| Box::new(Changes { from: at(2), through: at(through), list }));
        let asked_us = Some(world.now_us - 5_000);
        let age_ms = 100;
        Event::PeerUpdate(PeerUpdate {
            version: 5,
            version_proof_age_ms: age_ms,
            change: at(through),
            change_proof_age_ms: age_ms,
            asked_us,
            changes,
            ..update_of_peer()
        })
    };
    let event = update(&world, 2, Vec::new());
    world.event(event);
    for _ in 0..3 {
        world.wait_ms(1_000);
        for feed in [Feed::Configuration, Feed::Endpoints] {
            world.event(Event::Failed { feed, error: StoreError::Unavailable, era: None });
        }
    }
    world.lines.clear();
    let cut_end_us = world.now_us;
    let mut removed_ms = None;
    for round in 0..24 {
        world.wait_ms(ROUND_MS);
        let list = if round == 4 { vec![Change::Missing("desk-1".into())] } else { Vec::new() };
        let event = update(&world, if round < 4 { 2 } else { 3 }, list);
        world.event(event);
        if removed_ms.is_none() && !world.endpoints_text().is_empty() {
            removed_ms = Some((world.now_us - cut_end_us) / US_PER_MS);
        }
    }
    // The grace period of 2.5 s counts from the first proof after the cut.
    assert!(removed_ms.is_some_and(|ms| ms <= 3_000), "removed after {removed_ms:?} ms");
}

/// Changes can arrive before the proof of the read that returned them, because gossip sends them at once and states once a
/// round. A gateway that knew only the proof from before the outage removed all endpoints whose entries had lapsed at once.
#[test]
fn removals_that_arrive_before_the_proof_get_a_grace_period() {
    const OUTAGE_MS: u64 = 5_000;
    let mut world = World::new();
    world.answer_endpoints(vec![present(1), present(2)], true);
    world.event(Event::Failed { feed: Feed::Endpoints, error: StoreError::Unavailable, era: None });
    world.now_us += OUTAGE_MS * US_PER_MS;
    world.lines.clear();
    let list = vec![Change::Missing("desk-1".into()), Change::Missing("desk-2".into())];
    world.event(Event::PeerUpdate(PeerUpdate {
        change: at(4),
        change_proof_age_ms: OUTAGE_MS,
        asked_us: Some(world.now_us),
        changes: Some(Box::new(Changes { from: at(2), through: at(4), list })),
        ..update_of_peer()
    }));
    world.now_us += 1_000 * US_PER_MS;
    let event = peer_update(&world, 4, 5, vec![Change::Known(plain_endpoint(1, "a"))]);
    world.event(event);
    assert_eq!(world.endpoints_text(), "");
}

/// A gateway whose reads are refused keeps its retry pauses although updates of peers announce newer
/// versions. When each update cut the pause short, gateways on dacd-riga-grown scale-2 made 3,427 refused
/// calls in nine seconds.
#[test]
fn updates_of_peers_do_not_shorten_the_retry_pause() {
    let mut world = World::new();
    world.answer_configuration(5);
    world.answer_endpoints(vec![present(1)], true);
    // The read that is in progress succeeds after other gateways have become the readers.
    world.event(Event::PeerUpdate(PeerUpdate { version: 5, change: at(1), rank: 5, ..update_of_peer() }));
    world.answer_configuration(5);
    world.lines.clear();
    let reads = |world: &World| world.lines.iter().filter(|line| line.contains("read Configuration")).count();
    let mut answered = 0;
    for _ in 0..80 {
        let update = PeerUpdate {
            version: 6,
            change: at(1),
            asked_us: Some(world.now_us),
            rank: 5,
            ..update_of_peer()
        };
        world.event(Event::PeerUpdate(update));
        world.wait_ms(50);
        if reads(&world) > answered {
            answered += 1;
            world.event(Event::Failed {
                feed: Feed::Configuration,
                error: StoreError::RateExceeded,
                era: None,
            });
        }
    }
    let reads = reads(&world);
    // Pauses of 600, 1,200 and 2,400 ms in 4 s.
    assert!((2..=4).contains(&reads), "expected 2 to 4 reads, found {reads}:\n{}", world.lines.join("\n"));
}

/// Returns the update of a peer that has proofs of 100 ms for everything that this gateway has read.
fn proof(world: &World, rank: usize) -> Event {
    Event::PeerUpdate(PeerUpdate {
        from: address(9),
        version: 5,
        version_proof_age_ms: 100,
        store_era: None,
        change: at(1),
        change_proof_age_ms: 100,
        asked_us: Some(world.now_us),
        changes: None,
        rank,
    })
}

/// Reads on behalf of others cost as much as those for oneself, so only one gateway reads while its proofs arrive. When
/// they are late, the standby takes over at the same pace, and stops once a later proof arrives.
#[test]
fn the_standby_reads_only_while_the_proofs_of_the_reader_are_late() {
    let mut world = World::new();
    world.answer_configuration(5);
    world.answer_endpoints(vec![present(1)], true);
    let event = proof(&world, 1);
    world.event(event);
    let mut counts = Vec::new();
    for has_reader in [true, false, true] {
        world.answer_configuration(5);
        world.answer_endpoints(vec![], false);
        world.lines.clear();
        let mut answered = 0;
        for _ in 0..40 {
            world.wait_ms(100);
            if has_reader {
                let event = proof(&world, 1);
                world.event(event);
                continue;
            }
            let asked = world.lines.split_off(answered);
            let is_read = |feed: &str| asked.iter().any(|line| line.contains(feed));
            let (configuration, endpoints) = (is_read("read Configuration"), is_read("read Endpoints"));
            world.lines.extend(asked);
            answered = world.lines.len();
            if configuration {
                world.answer_configuration(5);
            }
            if endpoints {
                world.answer_endpoints(vec![], false);
            }
        }
        counts.push(world.lines.iter().filter(|line| line.contains("read")).count());
    }
    assert_eq!((counts[0], counts[2]), (0, 0), "the standby read beside the reader: {counts:?}");
    assert!(counts[1] >= 10, "the standby did not take over at the reader's pace: {counts:?}");
}

/// Hundreds of gateways that start together must not all read the store until they have heard of each other.
#[test]
fn a_gateway_without_contact_reads_once_until_it_must() {
    let mut world = World::new();
    world.event(Event::Failed { feed: Feed::Configuration, error: StoreError::Unavailable, era: None });
    world.wait_ms(200);
    world.answer_configuration(5);
    world.answer_endpoints(vec![present(1)], true);
    world.lines.clear();
    world.wait_ms(1_100);
    assert_eq!(world.lines, Vec::<String>::new());
}

/// A gateway that learns of a newer configuration gets it from the peer. When each read it from the store, a change cost
/// 295 calls, and gateways that the store refused kept rejecting requests until it accepted them again.
#[test]
fn a_newer_configuration_is_fetched_from_the_peer() {
    let mut world = World::new();
    world.answer_configuration(5);
    world.answer_endpoints(vec![present(1)], true);
    let event = proof(&world, 5);
    world.event(event);
    world.answer_configuration(5);
    world.event(Event::Failed { feed: Feed::Configuration, error: StoreError::Unavailable, era: None });
    world.lines.clear();
    let newer = PeerUpdate { version: 6, asked_us: Some(world.now_us), ..update_of_peer() };
    world.event(Event::PeerUpdate(newer.clone()));
    world.event(Event::PeerUpdate(newer));
    world.wait_ms(50);
    let snapshot = |version| {
        Event::Fetched(Box::new(Snapshot {
            configuration: Arc::new(configuration(version)),
            ..Snapshot::default()
        }))
    };
    world.event(snapshot(6));
    world.event(snapshot(5));
    world.wait_ms(100);
    let event =
        Event::PeerUpdate(PeerUpdate { version: 6, asked_us: Some(world.now_us), ..update_of_peer() });
    world.event(event);
    insta::assert_snapshot!(world.lines.join("\n"));
}

/// If a peer does not send its configuration, the store is read at once, and after a timeout even if the end of the
/// request was never reported.
#[test]
fn the_store_is_read_when_a_peer_does_not_send_its_configuration() {
    let mut counts = Vec::new();
    for is_reported in [true, false] {
        let mut world = World::new();
        world.answer_configuration(5);
        world.answer_endpoints(vec![present(1)], true);
        let event = proof(&world, 5);
        world.event(event);
        world.lines.clear();
        let newer = PeerUpdate { version: 6, asked_us: Some(world.now_us), ..update_of_peer() };
        world.event(Event::PeerUpdate(newer));
        if is_reported {
            world.event(Event::NotFetched { from: address(9), fault: "reset".to_owned() });
        }
        let reads =
            |world: &World| world.lines.iter().filter(|line| line.contains("read Configuration")).count();
        let at_once = reads(&world);
        world.wait_ms(750);
        counts.push((at_once, reads(&world)));
    }
    assert_eq!(counts, [(1, 1), (0, 1)]);
}

/// A gateway that starts beside others gets everything from one of them. When hundreds of gateways read the entries of
/// 3,000 engines from the store, no read ended in time, and nothing was served for the day.
#[test]
fn a_starting_gateway_gets_everything_from_a_peer() {
    let mut world = World::with(CatalogSettings { start_wait_ms: 1_000, ..CatalogSettings::default() });
    world.wait_ms(100);
    let update = |world: &World, change_proof_age_ms| {
        Event::PeerUpdate(PeerUpdate {
            version: 6,
            version_proof_age_ms: 50,
            change: at(7),
            change_proof_age_ms,
            asked_us: Some(world.now_us),
            ..update_of_peer()
        })
    };
    world.lines.push("from a peer that was cut off".to_owned());
    let event = update(&world, 60_000);
    world.event(event);
    world.event(Event::NotFetched { from: address(9), fault: "reset".to_owned() });
    world.lines.push("from a peer with recent proofs".to_owned());
    let event = update(&world, 50);
    world.event(event);
    let snapshot = Snapshot {
        configuration: Arc::new(configuration(6)),
        endpoints: vec![plain_endpoint(1, "a"), plain_endpoint(2, "a")],
        change: at(7),
        next: at(9),
        store_era: None,
    };
    world.event(Event::Fetched(Box::new(snapshot)));
    world.wait_ms(900);
    insta::assert_snapshot!(world.lines.join("\n"));
}

/// A gateway whose records have expired takes the snapshot of a peer instead of one of the store, and endpoints that it lacks
/// are gone as well. They were kept for good, because the offset of the snapshot is behind their removal.
#[test]
fn endpoints_absent_from_the_snapshot_of_a_peer_are_removed() {
    let mut lines = Vec::new();
    for (case, change_offset) in [("later", 7), ("earlier", 1)] {
        let mut world = World::new();
        world.answer_configuration(5);
        world.answer_endpoints(vec![present(1), present(2), present(3)], true);
        world.event(Event::Failed { feed: Feed::Endpoints, error: StoreError::Expired, era: None });
        let event = Event::PeerUpdate(PeerUpdate {
            version: 5,
            version_proof_age_ms: 50,
            change: at(change_offset),
            change_proof_age_ms: 50,
            asked_us: Some(world.now_us),
            ..update_of_peer()
        });
        world.event(event);
        world.lines.clear();
        let snapshot = Snapshot {
            configuration: Arc::new(configuration(5)),
            endpoints: vec![plain_endpoint(2, "a"), plain_endpoint(4, "a")],
            change: at(change_offset),
            next: at(change_offset),
            store_era: None,
        };
        world.event(Event::Fetched(Box::new(snapshot)));
        let changed = world.catalog.change().offset();
        lines.push(format!("{case} snapshot, change offset {changed}:\n{}", world.endpoints_text()));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Returns the names of the endpoints that are offered to peers.
fn offered_names(world: &World) -> Vec<&str> {
    let offered = world.offered.iter().flat_map(|snapshot| &snapshot.endpoints);
    offered.map(|endpoint| &*endpoint.id).collect()
}

/// A snapshot has the endpoints whose entries exist at its offset. It had those that the offering gateway kept for a grace
/// period as well, and a starting gateway used them for good, because no later record said that they were gone.
#[test]
fn an_endpoint_whose_entry_is_missing_is_not_offered_to_a_starting_gateway() {
    let mut world = World::new();
    world.answer_configuration(5);
    world.answer_endpoints(vec![present(1), present(2)], true);
    assert_eq!(offered_names(&world), ["desk-1", "desk-2"]);
    // A gateway that was suspended keeps endpoints whose entry it finds removed, as after an outage.
    world.wait_ms(4_000);
    world.answer_endpoints(vec![], false);
    world.answer_endpoints(vec![removed(1)], false);
    assert_eq!(world.endpoints_text(), "0: endpoints [\"desk-1\", \"desk-2\"]");
    assert_eq!(offered_names(&world), ["desk-2"]);
    // Nor is it offered after it has been removed here.
    world.wait_ms(3_000);
    assert!(world.endpoints_text().ends_with("endpoints [\"desk-2\"]"), "{}", world.endpoints_text());
    assert_eq!(offered_names(&world), ["desk-2"]);
    // An entry that returns is offered again.
    world.answer_endpoints(vec![present(1), removed(2)], false);
    world.answer_endpoints(vec![present(2)], false);
    assert_eq!(offered_names(&world), ["desk-1", "desk-2"]);
}

/// A gateway that starts alone reads the store itself, after the time in which a peer would have answered.
#[test]
fn a_starting_gateway_without_peers_reads_the_store() {
    let mut world = World::with(CatalogSettings { start_wait_ms: 1_000, ..CatalogSettings::default() });
    world.wait_ms(900);
    let before = world.lines.len();
    world.wait_ms(600);
    assert_eq!((before, world.lines.len()), (0, 2), "{}", world.lines.join("\n"));
}

/// A gateway that has seen thousands of endpoints leave must still not revive the latest one by a late record. It used to
/// record the first 4,096 departures only.
#[test]
fn a_late_record_does_not_revive_an_endpoint_after_many_departures() {
    let mut world = World::new();
    for born_ms in 0..5_000 {
        let leaving = Endpoint { born_ms, leaving: true, ..plain_endpoint(1, "a") };
        world.answer_endpoints(vec![Record::Endpoint(leaving)], false);
    }
    let late = Endpoint { born_ms: 4_999, ..plain_endpoint(1, "a") };
    world.lines.clear();
    world.answer_endpoints(vec![Record::Endpoint(late)], false);
    assert_eq!(world.endpoints_text(), "", "the endpoint counts as usable again");
}

/// While the store is away, the gateways in contact with others wait for the proofs of the first ones. 295 gateways that each
/// called it made thousands of calls in eight seconds. One that loses contact reads at the fallback age.
#[test]
fn gateways_in_contact_wait_for_the_proofs_of_the_first_ones() {
    let mut first_reads_ms = Vec::new();
    for (rank, in_contact) in [(5, true), (40, true), (40, false)] {
        let mut world = World::new();
        world.answer_configuration(5);
        world.answer_endpoints(vec![present(1)], true);
        let event = proof(&world, rank);
        world.event(event);
        world.answer_configuration(5);
        world.answer_endpoints(vec![], false);
        world.lines.clear();
        let started_us = world.now_us;
        while !world.lines.iter().any(|line| line.contains("read")) {
            world.wait_ms(50);
            if in_contact {
                // A peer that has not read the store for long either.
                let old = PeerUpdate {
                    version: 5,
                    version_proof_age_ms: 60_000,
                    change: at(1),
                    change_proof_age_ms: 60_000,
                    asked_us: Some(world.now_us),
                    rank,
                    ..update_of_peer()
                };
                world.event(Event::PeerUpdate(old));
            }
        }
        first_reads_ms.push((world.now_us - started_us) / US_PER_MS);
    }
    let is_fallback = |ms: &u64| (1_100..=1_700).contains(ms);
    assert!(is_fallback(&first_reads_ms[0]) && is_fallback(&first_reads_ms[2]), "{first_reads_ms:?}");
    assert!((2_000..=2_700).contains(&first_reads_ms[1]), "{first_reads_ms:?}");
}

/// A peer that refuses its snapshot, because it serves others, must not be asked again with each of its many messages.
#[test]
fn a_refused_request_for_a_snapshot_is_followed_by_a_pause() {
    let mut world = World::with(CatalogSettings { start_wait_ms: 5_000, ..CatalogSettings::default() });
    world.wait_ms(100);
    for _ in 0..100 {
        let event = proof(&world, 5);
        world.event(event);
        let refused = Event::NotFetched { from: address(9), fault: "no bytes".to_owned() };
        if world.lines.last().is_some_and(|line| line.contains("fetch")) {
            world.lines.push("refused".to_owned());
            world.event(refused);
        }
        world.wait_ms(10);
    }
    let fetches = world.lines.iter().filter(|line| line.contains("fetch")).count();
    assert!((4..=6).contains(&fetches), "expected one request in 200 ms, found {fetches} in 1 s");
}
