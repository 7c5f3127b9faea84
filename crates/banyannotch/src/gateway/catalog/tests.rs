//! Guards against endpoints that are forgotten or brought back wrongly, proofs that are too good, and reads that every
//! gateway makes for itself.

use std::sync::Arc;

use super::{Action, Catalog, CatalogSettings, Event, Heard};
use crate::clock::US_PER_MS;
use crate::duty::Duty;
use crate::gateway::dispatch::fixtures::{deployment, desk};
use crate::gateway::gossip::{Change, Changes};
use crate::gateway::{Batch, Endpoint, Feed, Record, StoreError};

struct World {
    catalog: Catalog,
    now_us: u64,
    next: u64,
    lines: Vec<String>,
}

impl World {
    fn new() -> Self {
        let catalog = Catalog::new(CatalogSettings::default(), 1);
        Self { catalog, now_us: 10_000_000, next: 0, lines: Vec::new() }
    }

    fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.catalog.on_event(self.now_us, event, &mut actions);
        self.note(actions);
    }

    fn note(&mut self, actions: Vec<Action>) {
        let at_ms = (self.now_us - 10_000_000) / US_PER_MS;
        let age_ms = |at_us: u64| (self.now_us - at_us) / US_PER_MS;
        for action in actions {
            let text = match action {
                Action::Deployment(deployment) => format!("version {}", deployment.version),
                Action::Engines(engines) => {
                    let name = |engine: &Endpoint| {
                        format!("{}{}", engine.id, if engine.leaving { " leaving" } else { "" })
                    };
                    format!("endpoints {:?}", engines.iter().map(name).collect::<Vec<_>>())
                }
                Action::Proof(proof) => {
                    format!("version {} is {} ms old", proof.version, age_ms(proof.at_us))
                }
                Action::EndpointsProof(proof) => format!("endpoints are {} ms old", age_ms(proof.at_us)),
                Action::Read { feed, from, wait_ms } => format!("read {feed:?} from {from:?} wait {wait_ms}"),
                Action::Decide(_) | Action::Changed(_) => continue,
            };
            self.lines.push(format!("{at_ms}: {text}"));
        }
    }

    /// Answers a read of the endpoints that was sent 10 ms ago.
    fn endpoints(&mut self, records: Vec<Record>, whole: bool) {
        self.next += records.len() as u64;
        let batch = Batch { records, next: self.next, bytes: 0 };
        let sent_us = self.now_us - 10_000;
        self.event(Event::Read { feed: Feed::Endpoints, batch, whole, sent_us });
    }

    fn version(&mut self, version: u64) {
        let batch =
            Batch { records: vec![Record::Configuration(Arc::new(deployment(version)))], next: 1, bytes: 0 };
        let sent_us = self.now_us - 10_000;
        self.event(Event::Read { feed: Feed::Configuration, batch, whole: false, sent_us });
    }

    fn wait_ms(&mut self, ms: u64) {
        let end_us = self.now_us + ms * US_PER_MS;
        while let Some(due_us) = self.catalog.next_timer_us().filter(|due_us| *due_us <= end_us) {
            self.now_us = self.now_us.max(due_us);
            let mut actions = Vec::new();
            self.catalog.on_timer(self.now_us, &mut actions);
            self.note(actions);
        }
        self.now_us = end_us;
    }

    /// Lines about endpoints.
    fn endpoints_text(&self) -> String {
        let lines: Vec<_> = self.lines.iter().filter(|line| line.contains("endpoints [")).cloned().collect();
        lines.join("\n")
    }
}

fn known(host: u8) -> Record {
    Record::Endpoint(desk(host, "a"))
}

fn gone(host: u8) -> Record {
    Record::NoEndpoint { id: format!("desk-{host}").into(), fault: None }
}

#[test]
fn leaving_is_final_for_one_start() {
    let mut world = World::new();
    let leaving = Endpoint { leaving: true, ..desk(1, "a") };
    let again = Endpoint { born_ms: 2, ..desk(1, "a") };
    let late = Endpoint { leaving: false, ..desk(1, "a") };
    world.endpoints(vec![known(1), known(2)], true);
    world.endpoints(vec![Record::Endpoint(leaving)], false);
    world.endpoints(vec![known(1)], false);
    world.endpoints(vec![Record::Endpoint(again)], false);
    world.endpoints(vec![Record::Endpoint(late)], false);
    world.endpoints(vec![gone(1)], false);
    insta::assert_snapshot!(world.endpoints_text());
}

/// Entries that lapsed while the store was away come back within two seconds of its return, or are gone.
#[test]
fn entries_that_lapse_in_an_outage_are_given_time_to_return() {
    let mut world = World::new();
    world.endpoints(vec![known(1), known(2), known(3)], true);
    world.event(Event::Failed { feed: Feed::Endpoints, error: StoreError::Unavailable });
    world.wait_ms(5_000);
    world.endpoints(vec![gone(1), gone(2)], false);
    world.wait_ms(1_500);
    world.endpoints(vec![known(1)], false);
    world.wait_ms(3_000);
    world.endpoints(vec![gone(3)], false);
    insta::assert_snapshot!(world.endpoints_text());
}

/// After records have expired, the newest ones are all there are.
#[test]
fn what_is_missing_after_expiry_is_gone() {
    let mut world = World::new();
    world.endpoints(vec![known(1), known(2)], true);
    world.event(Event::Failed { feed: Feed::Endpoints, error: StoreError::Expired });
    world.wait_ms(200);
    world.endpoints(vec![known(2)], true);
    insta::assert_snapshot!(world.lines.join("\n"));
}

/// Of two endpoints at one address, only the one that started last is used.
#[test]
fn an_address_belongs_to_its_last_start() {
    let mut world = World::new();
    let reused = Endpoint { id: "desk-9".into(), born_ms: 5, ..desk(1, "a") };
    world.endpoints(vec![known(1), Record::Endpoint(reused)], true);
    insta::assert_snapshot!(world.endpoints_text());
}

/// A gateway that others read for takes their proofs with their age, reads when they know more, and reads for itself when
/// they fall silent. On the grown site each gateway's own reads cost 0.14 of the day's worth.
#[test]
fn others_reads_take_the_place_of_own_ones() {
    let mut world = World::new();
    world.version(5);
    world.endpoints(vec![known(1)], true);
    let word = |asked_us| Heard {
        version: 5,
        version_age_ms: 300,
        change: 1,
        change_age_ms: 200,
        asked_us: Some(asked_us),
        changes: None,
        rank: 5,
    };
    world.lines.clear();
    for _ in 0..8 {
        world.wait_ms(500);
        world.event(Event::Heard(word(world.now_us - 10_000)));
        // What is read meanwhile is answered at once.
        world.version(5);
        world.endpoints(vec![], false);
    }
    let quiet = world.lines.iter().filter(|line| line.contains("read")).count();
    world.event(Event::Heard(Heard { version: 6, ..word(world.now_us) }));
    world.event(Event::Heard(Heard { change: 9, ..word(world.now_us) }));
    world.wait_ms(700);
    let told = world.lines.iter().filter(|line| line.contains("read")).count() - quiet;
    world.version(6);
    world.endpoints(vec![], false);
    world.wait_ms(3_000);
    let silent = world.lines.iter().filter(|line| line.contains("read")).count() - quiet - told;
    // The first word ends the reads that were planned before it; after that there is none.
    assert_eq!((quiet <= 2, told, silent), (true, 2, 2), "{}", world.lines.join("\n"));
}

/// Others learn from the offset of the last change that they have something to read. Without it they never noticed that an
/// entry was removed, and broke the users' bound for endpoints that leave on both standard sites.
#[test]
fn a_removed_entry_is_a_change_for_the_others() {
    let mut world = World::new();
    let change = |world: &mut World, records| {
        world.endpoints(records, false);
        world.catalog.change()
    };
    let offsets = [
        change(&mut world, vec![known(1), known(2)]),
        change(&mut world, vec![known(1), known(2)]),
        change(&mut world, vec![known(2), gone(1)]),
        change(&mut world, vec![gone(1), known(2)]),
    ];
    assert_eq!(offsets, [2, 2, 6, 6]);
}

#[test]
fn what_another_gateway_tells_by_itself_proves_nothing() {
    let mut world = World::new();
    world.version(5);
    world.endpoints(vec![known(1)], true);
    world.wait_ms(400);
    world.lines.clear();
    let told = || Heard { version: 5, change: 1, asked_us: None, rank: 5, ..Heard::default() };
    world.event(Event::Heard(told()));
    world.event(Event::Heard(Heard {
        asked_us: Some(world.now_us - 20_000),
        version_age_ms: 100,
        change_age_ms: 50,
        ..told()
    }));
    world.event(Event::Heard(Heard {
        version: 4,
        asked_us: Some(world.now_us),
        change: 0,
        ..Heard::default()
    }));
    insta::assert_snapshot!(world.lines.join("\n"));
}

/// Words of a gateway that has read up to `change` and tells the given changes after `from`.
fn telling(world: &World, from: u64, change: u64, list: Vec<Change>) -> Event {
    let changes = Changes { from, through: change, list };
    Event::Heard(Heard {
        change,
        asked_us: Some(world.now_us - 5_000),
        changes: Some(Box::new(changes)),
        rank: 5,
        ..Heard::default()
    })
}

fn reads(world: &World) -> usize {
    world.lines.iter().filter(|line| line.contains("read Endpoints")).count()
}

/// Changes that another gateway tells are not read from the store. On dacd-riga-grown scale-2 the reads of each of 87
/// gateways after each change cost 0.16 of the day's worth.
#[test]
fn told_changes_are_not_read() {
    let mut world = World::new();
    world.endpoints(vec![known(1), known(2)], true);
    world.lines.clear();
    let list = vec![Change::Known(desk(3, "b")), Change::Missing("desk-1".into())];
    let event = telling(&world, 2, 4, list);
    world.event(event);
    world.wait_ms(900);
    assert_eq!((reads(&world), world.catalog.change()), (0, 4), "{}", world.lines.join("\n"));
    insta::assert_snapshot!(world.endpoints_text());
}

/// Changes that leave something out are not taken; the store is read in their place.
#[test]
fn changes_after_a_gap_are_read_from_the_store() {
    let mut world = World::new();
    world.endpoints(vec![known(1)], true);
    world.endpoints(vec![], false);
    world.lines.clear();
    let event = telling(&world, 2, 4, vec![Change::Missing("desk-1".into())]);
    world.event(event);
    world.wait_ms(800);
    assert_eq!((reads(&world), world.endpoints_text().as_str(), world.catalog.change()), (1, "", 1));
}

/// A read that was under way while later changes were told does not bring back what they replaced.
#[test]
fn a_read_that_comes_late_takes_nothing_back() {
    let mut world = World::new();
    world.endpoints(vec![known(1), known(2)], true);
    let event = telling(&world, 2, 6, vec![Change::Missing("desk-1".into())]);
    world.event(event);
    world.lines.clear();
    world.next = 3;
    world.endpoints(vec![known(1)], false);
    assert_eq!((world.endpoints_text().as_str(), world.catalog.change()), ("", 6));
}

/// Entries that lapse in an outage are given time to return also by a gateway that hears of the outage's end from another
/// one. It took them for gone at once.
#[test]
fn a_told_removal_after_an_outage_waits_for_the_entry() {
    let mut world = World::new();
    world.endpoints(vec![known(1), known(2)], true);
    world.event(Event::Failed { feed: Feed::Endpoints, error: StoreError::Unavailable });
    world.now_us += 5_000_000;
    world.lines.clear();
    let event =
        telling(&world, 2, 4, vec![Change::Missing("desk-1".into()), Change::Missing("desk-2".into())]);
    world.event(event);
    world.now_us += 1_000_000;
    let event = telling(&world, 4, 5, vec![Change::Known(desk(1, "a"))]);
    world.event(event);
    assert_eq!(world.endpoints_text(), "");
}

/// A gateway that the store refuses keeps to its pauses although others tell again and again that there is more to read.
/// On dacd-riga-grown scale-2 such gateways made 3,427 refused calls in nine seconds.
#[test]
fn words_of_others_do_not_cut_the_pause_after_a_failure() {
    let mut world = World::new();
    world.version(5);
    world.endpoints(vec![known(1)], true);
    // The read that was under way is answered after others have taken over the reading.
    world.event(Event::Heard(Heard { version: 5, change: 1, rank: 5, ..Heard::default() }));
    world.version(5);
    world.lines.clear();
    let reads = |world: &World| world.lines.iter().filter(|line| line.contains("read Configuration")).count();
    let mut answered = 0;
    for _ in 0..80 {
        let word = Heard { version: 6, change: 1, asked_us: Some(world.now_us), rank: 5, ..Heard::default() };
        world.event(Event::Heard(word));
        world.wait_ms(50);
        if reads(&world) > answered {
            answered += 1;
            world.event(Event::Failed { feed: Feed::Configuration, error: StoreError::RateExceeded });
        }
    }
    let reads = reads(&world);
    // Pauses of 150, 300, 600 and 1,200 ms, then of 1,600 ms, in 4 s.
    assert!((4..=6).contains(&reads), "{}", world.lines.join("\n"));
}
