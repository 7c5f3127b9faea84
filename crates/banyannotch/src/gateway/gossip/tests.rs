//! Guards against proof ages that are too low, gateways that never discover each other, and exchanges that never end.

use super::changes::ChangeLog;
use super::{Action, Change, Changes, Event, Gossip, GossipSettings, Message, READER_COUNT};
use crate::duty::Duty;
use crate::gateway::dispatch::PeerState;
use crate::gateway::dispatch::fixtures::address;
use crate::pipeline::Address;

fn state(name: u8, proof_age_ms: u64) -> PeerState {
    PeerState {
        instance: format!("g{name}"),
        version: 5,
        proof_age_ms,
        endpoints_age_ms: proof_age_ms,
        ..PeerState::default()
    }
}

fn gossip(host: u8, seeds: &[u8], fanout: usize) -> Gossip {
    let settings = GossipSettings { fanout, ..GossipSettings::default() };
    let seeds = seeds.iter().map(|host| address(*host)).collect();
    Gossip::new(settings, address(host), seeds, u64::from(host))
}

/// The proof age in a reply includes the time since dispatch published its state.
#[test]
fn a_reply_adds_the_elapsed_time_to_the_proof_age() {
    let mut own = gossip(1, &[2], 8);
    let mut actions = Vec::new();
    own.on_event(1_000_000, Event::State(Box::new(state(1, 100))), &mut actions);
    actions.clear();
    let ask = Message::Ask { asked_us: 7, state: state(2, 0), known: vec![] };
    own.on_event(1_250_500, Event::Received { from: address(2), message: Box::new(ask) }, &mut actions);
    insta::assert_debug_snapshot!(actions);
}

/// A reply is dropped if its request time is in the future or so old that the request may be from before a restart.
#[test]
fn replies_with_an_implausible_request_time_are_dropped() {
    let mut own = gossip(1, &[], 8);
    let accepted: Vec<bool> = [50_000_000, 79_000_000, 80_000_001]
        .into_iter()
        .map(|asked_us| {
            let mut actions = Vec::new();
            let tell = Message::Tell { asked_us, state: state(2, 0), changes: None, known: vec![] };
            own.on_event(
                80_000_000,
                Event::Received { from: address(2), message: Box::new(tell) },
                &mut actions,
            );
            actions.iter().any(|action| matches!(action, Action::PeerUpdate { .. }))
        })
        .collect();
    assert_eq!(accepted, [false, true, false]);
}

/// All gateways discover each other from three seeds with a bounded fan-out, and exactly two of them consider
/// themselves readers of the store.
#[test]
fn all_gateways_discover_each_other_from_three_seeds() {
    const COUNT: u8 = 87;
    let mut all: Vec<Gossip> = (1..=COUNT).map(|host| gossip(host, &[1, 2, 3], 8)).collect();
    let (mut readers, mut most_known, mut datagram_count) = (Vec::new(), 0, 0);
    for round in 0..20_u64 {
        let now_us = 1_000_000 + round * 250_000;
        let mut datagrams_in_flight: Vec<(Address, Address, Message)> = Vec::new();
        datagram_count = 0;
        readers = vec![true; usize::from(COUNT)];
        for (index, own) in all.iter_mut().enumerate() {
            let mut actions = Vec::new();
            own.on_event(now_us, Event::State(Box::new(state(index as u8 + 1, 0))), &mut actions);
            send(&mut datagrams_in_flight, address(index as u8 + 1), actions);
        }
        while let Some((from, to, message)) = datagrams_in_flight.pop() {
            datagram_count += 1;
            let index = (1..=COUNT).position(|host| address(host) == to).expect("a known gateway");
            let mut actions = Vec::new();
            all[index].on_event(now_us, Event::Received { from, message: Box::new(message) }, &mut actions);
            for action in &actions {
                if let Action::PeerUpdate { known, rank, .. } = action {
                    most_known = most_known.max(*known);
                    readers[index] = *rank < READER_COUNT;
                }
            }
            send(&mut datagrams_in_flight, to, actions);
        }
    }
    let reader_count = readers.iter().filter(|reads| **reads).count();
    assert_eq!((reader_count, most_known, datagram_count), (2, usize::from(COUNT), usize::from(COUNT) * 16));
}

fn send(datagrams_in_flight: &mut Vec<(Address, Address, Message)>, from: Address, actions: Vec<Action>) {
    for action in actions {
        if let Action::Send { to, message } = action {
            datagrams_in_flight.push((from, to, *message));
        }
    }
}

fn missing(name: u32) -> Change {
    Change::Missing(format!("e{name}").into())
}

fn changes(from: u64, through: u64, names: impl IntoIterator<Item = u32>) -> Changes {
    Changes { from, through, list: names.into_iter().map(missing).collect() }
}

/// The log returns all changes after an offset, or none if it no longer has all of them; the requester then reads the
/// store.
#[test]
fn changes_after_an_offset_are_returned_completely_or_not_at_all() {
    let mut log = ChangeLog::default();
    log.push(changes(10, 10, []));
    log.push(changes(10, 14, [1, 2]));
    log.push(changes(14, 20, [1]));
    let before_gap: Vec<_> = [9, 10, 14, 20, 25].into_iter().map(|offset| log.after(offset)).collect();
    log.push(changes(30, 33, [7]));
    let after_gap: Vec<_> = [20, 30].into_iter().map(|offset| log.after(offset)).collect();
    insta::assert_debug_snapshot!((before_gap, after_gap));
}

/// Many changes are split over several datagrams, but the changes of one read stay together.
#[test]
fn many_changes_are_split_over_datagrams() {
    let mut log = ChangeLog::default();
    for read in 0..100_u64 {
        log.push(changes(read * 10, read * 10 + 10, (0..20).map(|name| read as u32 * 20 + name)));
    }
    let mut offset = 600;
    let mut parts = Vec::new();
    while let Some(part) = log.after(offset) {
        parts.push((part.list.len(), part.through));
        offset = part.through;
    }
    assert_eq!(parts.iter().map(|(count, _)| count).sum::<usize>(), 40 * 20);
    assert!(parts.iter().all(|(count, _)| *count <= 64), "{parts:?}");
    assert_eq!((offset, log.after(0)), (1_000, None));
}

/// A reply contains the changes that the requester lacks.
#[test]
fn a_reply_carries_the_changes_that_the_requester_lacks() {
    let mut own = gossip(1, &[2], 8);
    let mut actions = Vec::new();
    own.on_event(1_000_000, Event::State(Box::new(state(1, 100))), &mut actions);
    own.on_event(1_000_000, Event::Changed(changes(5, 8, [1])), &mut actions);
    actions.clear();
    let requester = PeerState { endpoints_change: 5, ..state(2, 0) };
    let ask = Message::Ask { asked_us: 7, state: requester, known: vec![] };
    own.on_event(1_250_500, Event::Received { from: address(2), message: Box::new(ask) }, &mut actions);
    insta::assert_debug_snapshot!(actions);
}
