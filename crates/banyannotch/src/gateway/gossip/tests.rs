//! Guards against ages that are too small, gateways that never learn of each other, and datagrams that do not end.

use super::changes::ChangeLog;
use super::{Action, Change, Changes, Event, Gossip, GossipSettings, Message, READERS};
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

/// The age of a proof grows with the time that passes before it is told.
#[test]
fn an_answer_carries_the_age_of_its_proof() {
    let mut own = gossip(1, &[2], 8);
    let mut actions = Vec::new();
    own.on_event(1_000_000, Event::State(Box::new(state(1, 100))), &mut actions);
    actions.clear();
    let ask = Message::Ask { asked_us: 7, state: state(2, 0), known: vec![] };
    own.on_event(1_250_500, Event::Received { from: address(2), message: Box::new(ask) }, &mut actions);
    insta::assert_debug_snapshot!(actions);
}

/// An answer to a question of an earlier start, or from the future, is dropped.
#[test]
fn answers_to_no_question_of_this_start_are_dropped() {
    let mut own = gossip(1, &[], 8);
    let heard: Vec<bool> = [50_000_000, 79_000_000, 80_000_001]
        .into_iter()
        .map(|asked_us| {
            let mut actions = Vec::new();
            let tell = Message::Tell { asked_us, state: state(2, 0), changes: None, known: vec![] };
            own.on_event(
                80_000_000,
                Event::Received { from: address(2), message: Box::new(tell) },
                &mut actions,
            );
            actions.iter().any(|action| matches!(action, Action::Heard { .. }))
        })
        .collect();
    assert_eq!(heard, [false, true, false]);
}

/// All gateways learn of all others from three seeds, with a bounded fan-out, and agree on who reads for the others.
#[test]
fn all_gateways_learn_of_each_other() {
    const COUNT: u8 = 87;
    let mut all: Vec<Gossip> = (1..=COUNT).map(|host| gossip(host, &[1, 2, 3], 8)).collect();
    let (mut leaders, mut most_known, mut datagrams) = (Vec::new(), 0, 0);
    for round in 0..20_u64 {
        let now_us = 1_000_000 + round * 250_000;
        let mut mail: Vec<(Address, Address, Message)> = Vec::new();
        datagrams = 0;
        leaders = vec![true; usize::from(COUNT)];
        for (index, own) in all.iter_mut().enumerate() {
            let mut actions = Vec::new();
            own.on_event(now_us, Event::State(Box::new(state(index as u8 + 1, 0))), &mut actions);
            send(&mut mail, address(index as u8 + 1), actions);
        }
        while let Some((from, to, message)) = mail.pop() {
            datagrams += 1;
            let index = (1..=COUNT).position(|host| address(host) == to).expect("a known gateway");
            let mut actions = Vec::new();
            all[index].on_event(now_us, Event::Received { from, message: Box::new(message) }, &mut actions);
            for action in &actions {
                if let Action::Heard { known, rank, .. } = action {
                    most_known = most_known.max(*known);
                    leaders[index] = *rank < READERS;
                }
            }
            send(&mut mail, to, actions);
        }
    }
    let leading = leaders.iter().filter(|leads| **leads).count();
    assert_eq!((leading, most_known, datagrams), (2, usize::from(COUNT), usize::from(COUNT) * 16));
}

fn send(mail: &mut Vec<(Address, Address, Message)>, from: Address, actions: Vec<Action>) {
    for action in actions {
        if let Action::Send { to, message } = action {
            mail.push((from, to, *message));
        }
    }
}

fn missing(name: u32) -> Change {
    Change::Missing(format!("e{name}").into())
}

fn changes(from: u64, through: u64, names: impl IntoIterator<Item = u32>) -> Changes {
    Changes { from, through, list: names.into_iter().map(missing).collect() }
}

/// What a gateway has missed is told whole or not at all; one that has missed too much reads the store.
#[test]
fn changes_are_told_from_what_the_asker_knows() {
    let mut log = ChangeLog::default();
    log.push(changes(10, 10, []));
    log.push(changes(10, 14, [1, 2]));
    log.push(changes(14, 20, [1]));
    let told: Vec<_> = [9, 10, 14, 20, 25].into_iter().map(|offset| log.after(offset)).collect();
    log.push(changes(30, 33, [7]));
    let after_gap: Vec<_> = [20, 30].into_iter().map(|offset| log.after(offset)).collect();
    insta::assert_debug_snapshot!((told, after_gap));
}

/// A datagram stays small; changes that one read brought stay together.
#[test]
fn many_changes_are_told_in_parts() {
    let mut log = ChangeLog::default();
    for read in 0..100_u64 {
        log.push(changes(read * 10, read * 10 + 10, (0..20).map(|name| read as u32 * 20 + name)));
    }
    let mut known = 600;
    let mut parts = Vec::new();
    while let Some(told) = log.after(known) {
        parts.push((told.list.len(), told.through));
        known = told.through;
    }
    assert_eq!(parts.iter().map(|(count, _)| count).sum::<usize>(), 40 * 20);
    assert!(parts.iter().all(|(count, _)| *count <= 64), "{parts:?}");
    assert_eq!((known, log.after(0)), (1_000, None));
}

/// A question is answered with the changes that the asker does not know.
#[test]
fn an_answer_carries_changes() {
    let mut own = gossip(1, &[2], 8);
    let mut actions = Vec::new();
    own.on_event(1_000_000, Event::State(Box::new(state(1, 100))), &mut actions);
    own.on_event(1_000_000, Event::Changed(changes(5, 8, [1])), &mut actions);
    actions.clear();
    let asker = PeerState { endpoints_change: 5, ..state(2, 0) };
    let ask = Message::Ask { asked_us: 7, state: asker, known: vec![] };
    own.on_event(1_250_500, Event::Received { from: address(2), message: Box::new(ask) }, &mut actions);
    insta::assert_debug_snapshot!(actions);
}
