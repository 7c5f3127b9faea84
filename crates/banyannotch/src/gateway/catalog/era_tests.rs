//! Tests of a fleet whose store comes back from a backup: what gateways have learned must not be lost because the store lost it,
//! and nothing that was proved before may count afterwards.

use std::sync::Arc;

use super::fleet::{Fleet, with_key};
use crate::gateway::dispatch::fixtures::plain_endpoint;
use crate::gateway::{Endpoint, Record};

/// Numbers of gateways that each requirement is tested with.
const SIZES: [usize; 3] = [1, 6, 83];
/// Time in which a fleet of any of these sizes has learned of a change, in milliseconds.
const SPREAD_MS: u64 = 3_000;

/// Returns a fleet that serves the key `old` from three endpoints.
fn fleet(count: usize) -> Fleet {
    let alive = (1..=3).map(|host| plain_endpoint(host, "a")).collect();
    let mut fleet = Fleet::new(count, Some(1), alive);
    fleet.write_configuration(with_key(5, "old"));
    fleet.run_ms(SPREAD_MS, |_| {});
    assert_serves(&mut fleet, "old");
    fleet
}

/// Checks that every gateway sends requests with this key to an endpoint.
fn assert_serves(fleet: &mut Fleet, key: &str) {
    let now_us = fleet.now_us;
    let refusing: Vec<usize> = fleet
        .nodes
        .iter_mut()
        .enumerate()
        .filter_map(|(index, node)| node.submit(now_us, key).is_none().then_some(index))
        .collect();
    assert!(refusing.is_empty(), "gateways {refusing:?} refuse {key}: {:#?}", fleet.nodes[refusing[0]].lines);
}

/// Checks that no gateway sends a request with this key.
fn assert_refuses(fleet: &mut Fleet, key: &str) {
    let now_us = fleet.now_us;
    for (index, node) in fleet.nodes.iter_mut().enumerate() {
        let sent = node.submit(now_us, key);
        assert_eq!(sent, None, "gateway {index} serves {key}: {:#?}", node.lines);
    }
}

/// A store that came back without the latest configuration made a gateway that compared versions of its proofs only serve on
/// the word of a store that had lost the revocation of a key.
#[test]
fn no_gateway_serves_until_the_restored_store_has_its_configuration() {
    for count in SIZES {
        let mut fleet = fleet(count);
        fleet.write_configuration(with_key(6, "new"));
        fleet.run_ms(SPREAD_MS, |_| {});
        assert_refuses(&mut fleet, "old");
        for era in 2..4 {
            // The copies are from before version 6 was written.
            fleet.rewind(4_000);
            let reads = fleet.store.reads;
            fleet.run_ms(SPREAD_MS, |fleet| assert_refuses(fleet, "old"));
            assert_refuses(&mut fleet, "new");
            // Gateways that wait for the operator do not repeat their reads at once.
            let per_gateway = (fleet.store.reads - reads) as f64 / count as f64;
            assert!(count == 1 || per_gateway <= 8.0, "{count} gateways: {per_gateway} reads each");
            fleet.write_configuration(with_key(6, "new"));
            fleet.run_ms(SPREAD_MS, |fleet| assert_refuses(fleet, "old"));
            assert_serves(&mut fleet, "new");
            for node in &fleet.nodes {
                let line = format!("event=store_restored era={era} before={}", era - 1);
                assert_eq!(node.count(&line), 1, "{count} gateways: {:#?}", node.lines);
                assert_eq!(node.count("configuration_applied"), 2, "{count} gateways: {:#?}", node.lines);
            }
        }
    }
}

/// A gateway that starts while the store lacks the version in force has only its peers to learn it from. It served a revoked
/// key on the word of the store until the first of them had sent its state.
#[test]
fn a_gateway_that_starts_after_the_store_came_back_takes_the_version_of_its_peers() {
    for count in [6, 83] {
        let mut fleet = fleet(count);
        fleet.write_configuration(with_key(6, "new"));
        fleet.run_ms(SPREAD_MS, |_| {});
        fleet.rewind(4_000);
        fleet.run_ms(SPREAD_MS, |fleet| assert_refuses(fleet, "old"));
        // A seed reads the store at once; the others wait for a peer.
        for (index, start_wait_ms) in [(0, 0), (count - 1, 1_000)] {
            fleet.restart(index, start_wait_ms);
            fleet.run_ms(SPREAD_MS, |fleet| assert_refuses(fleet, "old"));
        }
        let waiting = &fleet.nodes[count - 1];
        assert_eq!(waiting.count("configuration_applied version=6 before=0"), 1, "{:#?}", waiting.lines);
        assert_refuses(&mut fleet, "new");
        fleet.write_configuration(with_key(6, "new"));
        fleet.run_ms(SPREAD_MS, |fleet| assert_refuses(fleet, "old"));
        assert_serves(&mut fleet, "new");
    }
}

/// The operator may take long to write the configuration again. Gateways that cannot prove theirs meanwhile must not read the
/// store all the time.
#[test]
fn gateways_that_wait_for_the_operator_seldom_read_the_store() {
    const WAIT_MS: u64 = 20_000;
    let mut fleet = fleet(83);
    fleet.write_configuration(with_key(6, "new"));
    fleet.run_ms(SPREAD_MS, |_| {});
    fleet.rewind(4_000);
    let reads = fleet.store.reads;
    fleet.run_ms(WAIT_MS, |_| {});
    let reads = fleet.store.reads - reads;
    assert!(reads <= 83 * 7, "{reads} reads");
    fleet.write_configuration(with_key(6, "new"));
    fleet.run_ms(SPREAD_MS, |_| {});
    assert_serves(&mut fleet, "new");
}

/// An endpoint that left must not be used because a copy of the store has it, whether its departure was announced in its
/// entry or its entry was only removed.
#[test]
fn an_endpoint_that_left_does_not_return_with_the_store() {
    for count in SIZES {
        let mut fleet = fleet(count);
        let gone = fleet.alive.remove(0);
        fleet.write_entry(Record::Endpoint(Endpoint { leaving: true, ..gone.clone() }));
        let removed = fleet.alive.remove(0);
        fleet.run_ms(1_000, |_| {});
        for endpoint in [&gone, &removed] {
            fleet.write_entry(Record::NoEndpoint { id: Arc::clone(&endpoint.id), fault: None });
        }
        fleet.run_ms(SPREAD_MS, |_| {});
        let check = |fleet: &mut Fleet| {
            for (index, node) in fleet.nodes.iter().enumerate() {
                for id in ["desk-1", "desk-2"] {
                    assert!(!node.has(id), "gateway {index} of {count} uses {id}: {:#?}", node.lines);
                }
                assert!(node.has("desk-3"), "gateway {index} of {count} lost desk-3: {:#?}", node.lines);
            }
        };
        fleet.run_ms(10, check);
        fleet.rewind(5_000);
        // The entry of an endpoint that does not write it again lapses in the restored store as well.
        fleet.run_ms(1_500, check);
        for endpoint in [&gone, &removed] {
            fleet.write_entry(Record::NoEndpoint { id: Arc::clone(&endpoint.id), fault: None });
        }
        fleet.run_ms(SPREAD_MS, check);
        // An endpoint that had only lost its entry and writes it again is used.
        fleet.alive.push(removed);
        fleet.run_ms(SPREAD_MS, |_| {});
        let users = fleet.nodes.iter().filter(|node| node.has("desk-2")).count();
        assert_eq!(users, count);
    }
}

/// Endpoints that registered after the copy was made are missing until they write their entries again. Removing them at once
/// would leave requests without an endpoint.
#[test]
fn an_endpoint_that_the_copy_lacks_is_kept_until_it_writes_its_entry_again() {
    for count in SIZES {
        let mut fleet = fleet(count);
        fleet.alive.push(plain_endpoint(4, "a"));
        let late = plain_endpoint(5, "a");
        fleet.write_entry(Record::Endpoint(late));
        fleet.run_ms(SPREAD_MS, |_| {});
        // Endpoint 5 has crashed, and its entry has not lapsed yet.
        fleet.alive.retain(|endpoint| &*endpoint.id != "desk-5");
        fleet.rewind(4_000);
        fleet.run_ms(2_400, |fleet| {
            for id in ["desk-4", "desk-5"] {
                let users = fleet.nodes.iter().filter(|node| node.has(id)).count();
                assert_eq!(users, count, "gateways that use {id}");
            }
        });
        fleet.run_ms(SPREAD_MS, |_| {});
        let users = |id: &str| fleet.nodes.iter().filter(|node| node.has(id)).count();
        assert_eq!((users("desk-4"), users("desk-5")), (count, 0));
    }
}

/// Offsets are assigned again, so that a gateway which went on reading at its offset would miss records, or wait for ever.
/// Only a few gateways read the endpoints from the store; the others get them from these.
#[test]
fn reading_goes_on_after_offsets_were_assigned_again() {
    for count in SIZES {
        for is_longer in [false, true] {
            let mut fleet = fleet(count);
            fleet.rewind(2_500);
            if is_longer {
                // By the next read, the store has more records than before, and other ones.
                for number in 0..40 {
                    let id = format!("other-{number}").into();
                    fleet.write_entry(Record::Endpoint(Endpoint { id, ..plain_endpoint(100 + number, "a") }));
                }
                fleet.write_configuration(with_key(7, "new"));
                fleet.write_configuration(with_key(8, "newer"));
            }
            let snapshots = fleet.store.snapshots;
            fleet.run_ms(SPREAD_MS, |_| {});
            let expected = if is_longer { 43 } else { 3 };
            for node in &fleet.nodes {
                assert_eq!(node.endpoints.len(), expected, "{count} gateways: {:#?}", node.lines);
            }
            assert_serves(&mut fleet, if is_longer { "newer" } else { "old" });
            let snapshots = fleet.store.snapshots - snapshots;
            assert!(snapshots <= 2 + count.min(20), "{count} gateways read {snapshots} snapshots");
        }
    }
}

/// A gateway that cannot reach the store learns of the new era from the others, and drops its proofs as well.
#[test]
fn a_gateway_without_the_store_learns_the_era_from_the_others() {
    for count in [6, 83] {
        let mut fleet = fleet(count);
        let cut_off = count - 2;
        fleet.nodes[cut_off].is_cut_off = true;
        fleet.write_configuration(with_key(6, "new"));
        fleet.run_ms(SPREAD_MS, |_| {});
        fleet.rewind(4_000);
        fleet.run_ms(SPREAD_MS, |fleet| assert_refuses(fleet, "old"));
        assert_refuses(&mut fleet, "new");
        assert_eq!(fleet.nodes[cut_off].count("event=store_restored era=2 before=1 by=Peer"), 1);
        fleet.write_configuration(with_key(6, "new"));
        fleet.run_ms(SPREAD_MS, |_| {});
        assert_serves(&mut fleet, "new");
    }
}

/// Gateways of the version before run beside new ones during an update, and prove what a store has that came back with an
/// older configuration. New ones must use the versions that they report, and their proofs only as long as eras do not matter.
#[test]
fn old_and_new_gateways_work_beside_each_other() {
    for count in [6, 83] {
        let mut fleet = fleet(count);
        for index in (0..count).step_by(2) {
            fleet.restart(index, 0);
            fleet.nodes[index].is_old = true;
        }
        fleet.run_ms(2 * SPREAD_MS, |_| {});
        assert_serves(&mut fleet, "old");
        fleet.write_configuration(with_key(6, "new"));
        fleet.run_ms(SPREAD_MS, |_| {});
        assert_serves(&mut fleet, "new");
        fleet.rewind(4_000);
        // Old gateways go on with their proofs; new ones have none until version 6 is back, whatever old ones prove.
        fleet.run_ms(SPREAD_MS, |_| {});
        let now_us = fleet.now_us;
        for node in fleet.nodes.iter_mut().filter(|node| !node.is_old) {
            assert_eq!(node.submit(now_us, "new"), None, "{:#?}", node.lines);
            assert_eq!(node.count("event=store_restored"), 1, "{:#?}", node.lines);
        }
        fleet.write_configuration(with_key(7, "newest"));
        fleet.run_ms(2 * SPREAD_MS, |_| {});
        assert_serves(&mut fleet, "newest");
        for node in &fleet.nodes {
            assert!((1..=3).all(|host| node.has(&format!("desk-{host}"))), "{:#?}", node.lines);
        }
    }
}

/// A store that states no era works as before, and one that begins to state one has not come back.
#[test]
fn the_first_known_era_is_no_return() {
    for era in [None, Some(0), Some(7)] {
        let mut fleet = Fleet::new(6, era, vec![plain_endpoint(1, "a")]);
        fleet.write_configuration(with_key(5, "old"));
        fleet.run_ms(SPREAD_MS, |_| {});
        assert_serves(&mut fleet, "old");
        assert!(fleet.nodes.iter().all(|node| node.count("store_restored") == 0));
    }
}
