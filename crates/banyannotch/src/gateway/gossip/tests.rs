//! Guards against proof ages that are too low, gateways that never discover each other, and exchanges that never end.

use super::changes::{ChangeLog, DATAGRAM_CHANGE_LIMIT};
use super::fleet::{Fleet, fleet_address};
use super::relays::relays_of;
use super::runtime::DATAGRAM_LIMIT_BYTES;
use super::sections::{decode_datagram, encode_datagram};
use super::{Action, Change, Changes, Event, Gossip, GossipSettings, Mention, Message, READER_COUNT};
use crate::duty::Duty;
use crate::gateway::dispatch::fixtures::{World, address, pipeline_engine, request};
use crate::gateway::dispatch::{
    CrashFindings, CrashReport, Feature, Helper, Load, PeerState, QuarantineReport, Sections,
};
use crate::gateway::mutation::mutate;
use crate::gateway::{Endpoint, NAME_LIMIT_BYTES, RequestInfo, StorePosition};
use crate::ids::{ServiceId, Zone};
use crate::pipeline::Address;
use crate::random::Random;

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

/// With 295 gateways, each of which asked both readers in every round, the readers could not answer: proofs came late,
/// and all gateways read the store for themselves. The cost of a gateway must not depend on their number, and the age of
/// the proofs must stay far below the shortest fallback of 1.2 s.
#[test]
fn proofs_reach_hundreds_of_gateways_at_a_bounded_cost() {
    for count in [6, 87, 295] {
        let mut fleet = Fleet::new(count);
        for round in 0..24 {
            fleet.round(round, &[]);
        }
        let most_handled = fleet.handled.iter().max().copied().unwrap_or_default();
        let most_bytes = fleet.sent_bytes.iter().max().copied().unwrap_or_default();
        let oldest_ms = fleet.proof_ages_ms.iter().max().copied().unwrap_or_default();
        assert_eq!((fleet.readers(&[]).len(), fleet.most_known), (READER_COUNT, count), "{count} gateways");
        assert!(oldest_ms <= 1_000, "{count} gateways: the oldest proof is {oldest_ms} ms old");
        // Sent and received requests and replies: 8 own requests, 16 children and the random requests of others.
        assert!(most_handled <= 120, "{count} gateways: one handled {most_handled} datagrams in a round");
        assert!(most_bytes <= 20_000, "{count} gateways: one sent {most_bytes} bytes in a round");
    }
}

/// Gateways must neither keep each other's memory of dead readers alive nor stay without readers for longer than a
/// configuration may take to be in force, 4 s at this size.
#[test]
fn dead_readers_are_replaced_in_time() {
    const IN_FORCE_MS: u64 = 4_000;
    let mut fleet = Fleet::new(295);
    for round in 0..24 {
        fleet.round(round, &[]);
    }
    let dead = fleet.readers(&[]);
    let mut oldest_ms = 0;
    for round in 24..115 {
        fleet.round(round, &dead);
        let alive = (0..295).filter(|index| !dead.contains(index));
        oldest_ms = alive.map(|index| fleet.proof_ages_ms[index]).max().unwrap_or_default().max(oldest_ms);
    }
    assert_eq!((dead.len(), fleet.readers(&dead).len()), (READER_COUNT, READER_COUNT));
    assert!(oldest_ms < IN_FORCE_MS, "a proof was {oldest_ms} ms old");
    let remembers = |index: &usize| fleet.gateways[*index].knows(fleet_address(dead[0]));
    let remembering = (0..295).filter(|index| !dead.contains(index)).filter(remembers).count();
    assert_eq!(remembering, 0, "gateways mention a dead gateway to each other");
}

/// Every gateway has relays in the level before its own, and none has more than twice the branching factor of children.
#[test]
fn the_relay_tree_spans_all_gateways_with_bounded_degree() {
    let mut text = String::new();
    for count in [1, 2, 3, 6, 20, 87, 295, 1_000] {
        let order: Vec<Address> = (0..count).map(fleet_address).collect();
        let (mut depths, mut children) = (vec![0; count], vec![0; count]);
        for rank in 0..count {
            let relays = relays_of(&order, rank);
            for relay in &relays {
                let parent =
                    order.iter().position(|address| address == relay).expect("a gateway of the order");
                children[parent] += 1;
                if rank >= READER_COUNT {
                    assert!(parent < rank, "{count} gateways: {rank} asks {parent}");
                    depths[rank] = depths[parent] + 1;
                }
            }
        }
        let most_children = children.iter().max().copied().unwrap_or_default();
        let depth = depths.iter().max().copied().unwrap_or_default();
        text.push_str(&format!("{count} gateways: depth {depth}, at most {most_children} children\n"));
    }
    insta::assert_snapshot!(text);
}

/// A contact that is only mentioned counts from when it took place, so that gateways which repeat it do not renew it.
#[test]
fn a_mention_does_not_renew_a_contact() {
    let mut own = gossip(1, &[], 8);
    let mention = |contact_age_ms| Mention { address: address(3), zone: Zone::from("a"), contact_age_ms };
    let mut ranks = Vec::new();
    for (now_us, age_ms) in [(10_000_000, 100), (12_000_000, 2_100), (13_000_000, 3_100)] {
        let mut actions = Vec::new();
        let ask = Message::Ask { asked_us: 7, state: state(2, 0), known: vec![mention(age_ms)] };
        own.on_event(now_us, Event::Received { from: address(2), message: Box::new(ask) }, &mut actions);
        own.on_event(now_us, Event::State(Box::new(state(1, 0))), &mut actions);
        let asked =
            actions.iter().any(|action| matches!(action, Action::Send { to, .. } if *to == address(3)));
        own.on_event(
            now_us,
            Event::Received {
                from: address(2),
                message: Box::new(Message::Ask { asked_us: 7, state: state(2, 0), known: vec![] }),
            },
            &mut actions,
        );
        let known = actions.iter().rev().find_map(|action| match action {
            Action::PeerUpdate { known, .. } => Some(*known),
            _ => None,
        });
        ranks.push((asked, known));
    }
    assert_eq!(ranks, [(true, Some(3)), (true, Some(3)), (true, Some(2))]);
}

fn missing(name: u32) -> Change {
    Change::Missing(format!("e{name}").into())
}

fn at(offset: u64) -> StorePosition {
    StorePosition::new(0, offset)
}

fn changes(from: u64, through: u64, names: impl IntoIterator<Item = u32>) -> Changes {
    Changes { from: at(from), through: at(through), list: names.into_iter().map(missing).collect() }
}

/// The log returns all changes after an offset, or none if it no longer has all of them; the requester then reads the
/// store.
#[test]
fn changes_after_an_offset_are_returned_completely_or_not_at_all() {
    let mut log = ChangeLog::default();
    log.push(changes(10, 10, []));
    log.push(changes(10, 14, [1, 2]));
    log.push(changes(14, 20, [1]));
    let before_gap: Vec<_> = [9, 10, 14, 20, 25].into_iter().map(|offset| log.after(at(offset))).collect();
    log.push(changes(30, 33, [7]));
    let after_gap: Vec<_> = [20, 30].into_iter().map(|offset| log.after(at(offset))).collect();
    insta::assert_debug_snapshot!((before_gap, after_gap));
}

/// Many changes are split over several datagrams, but the changes of one read stay together.
#[test]
fn many_changes_are_split_over_datagrams() {
    let mut log = ChangeLog::default();
    for read in 0..100_u64 {
        log.push(changes(read * 10, read * 10 + 10, (0..20).map(|name| read as u32 * 20 + name)));
    }
    let mut offset = at(600);
    let mut parts = Vec::new();
    while let Some(part) = log.after(offset) {
        parts.push((part.list.len(), part.through));
        offset = part.through;
    }
    assert_eq!(parts.iter().map(|(count, _)| count).sum::<usize>(), 40 * 20);
    assert!(parts.iter().all(|(count, _)| *count <= 64), "{parts:?}");
    assert_eq!((offset, log.after(at(0))), (at(1_000), None));
}

/// A reply contains the changes that the requester lacks.
#[test]
fn a_reply_carries_the_changes_that_the_requester_lacks() {
    let mut own = gossip(1, &[2], 8);
    let mut actions = Vec::new();
    own.on_event(1_000_000, Event::State(Box::new(state(1, 100))), &mut actions);
    own.on_event(1_000_000, Event::Changed(changes(5, 8, [1])), &mut actions);
    actions.clear();
    let requester = PeerState { endpoints_change: at(5), ..state(2, 0) };
    let ask = Message::Ask { asked_us: 7, state: requester, known: vec![] };
    own.on_event(1_250_500, Event::Received { from: address(2), message: Box::new(ask) }, &mut actions);
    insta::assert_debug_snapshot!(actions);
}

/// Datagrams may come from anywhere and contain anything. No sequence of them may end a process, or keep a gateway from
/// choosing endpoints and exchanging datagrams.
#[test]
fn gateways_withstand_any_datagrams() {
    let mut random = Random::seeded(11);
    let load = Load { requests: u32::MAX, sequences: 3, cache: 1e4, reading: f64::NAN };
    let full_state = PeerState {
        zone: Zone::from("a"),
        zone_loads: vec![(address(11), load), (address(12), load)],
        other_loads: vec![(address(21), load)],
        down: vec![address(13)],
        crash_findings: CrashFindings {
            crashes: vec![CrashReport {
                address: address(12),
                born_ms: 1 << 40,
                age_ms: 50,
                features: vec![Feature { digest: 9, depth: 0 }, Feature { digest: 10, depth: 1 }],
            }],
            runs: vec![(9, 20)],
            quarantined: vec![QuarantineReport {
                feature: Feature { digest: 10, depth: 1 },
                age_ms: 30,
                failed_trials: 1,
            }],
        },
        endpoints_change: at(5),
        sections: sections(),
        ..state(2, 30)
    };
    let known = vec![Mention { address: address(4), zone: Zone::from("b"), contact_age_ms: 7 }];
    let list = vec![Change::Known(pipeline_engine(11, "a", "fast", 0, 4)), missing(2)];
    let valid = [
        Message::Ask { asked_us: 900_000, state: full_state.clone(), known: known.clone() },
        Message::Tell {
            asked_us: 900_000,
            state: full_state,
            changes: Some(Changes { from: at(5), through: at(8), list }),
            known,
        },
    ];
    let valid = valid.map(|message| encode_datagram(&message).expect("it serializes"));
    let (mut own, mut world, mut decoded) = (gossip(1, &[2], 8), World::new(), 0);
    for round in 0..30_000_u64 {
        let bytes = mutate(&valid[random.below(2)], &mut random);
        let Ok(message) = decode_datagram(&bytes) else { continue };
        decoded += 1;
        let now_us = 1_000_000 + round * 100;
        let mut actions = Vec::new();
        let event = Event::Received { from: address(2), message: Box::new(message) };
        own.on_event(now_us, event, &mut actions);
        for action in actions {
            if let Action::PeerUpdate { state, known, zone_known, .. } = action {
                world.event(crate::gateway::dispatch::Event::Peer { state, known, zone_known });
            }
        }
        if decoded % 50 == 0 {
            own.on_event(now_us, Event::State(Box::new(state(1, 0))), &mut Vec::new());
            world.publish_state();
        }
    }
    assert!(decoded > 1_000, "only {decoded} mutated datagrams were valid");
    world.wait_ms(20_000);
    world.confirm_configuration();
    world.publish_state();
    // A valid datagram may state that a request crashes engines, as these do of small digests.
    world.submit_request(RequestInfo { digest: 1 << 50, ..request("/write/x") });
    assert!(world.last_order.is_some(), "no endpoint was chosen: {}", world.text());
}

/// A reply with the largest changes that entries may lead to fits into a datagram. With a larger one, a gateway would get
/// no reply at all, and so no proofs, while the changes are retained.
#[test]
fn a_reply_with_the_longest_names_fits_into_a_datagram() {
    let name = "n".repeat(NAME_LIMIT_BYTES);
    let endpoint = |number| Endpoint {
        id: name.as_str().into(),
        born_ms: 4_102_444_800_000,
        service: ServiceId::new(name.as_str()),
        zone: Zone::new(name.as_str()),
        slots: u32::MAX,
        accelerator: Some(name.as_str().into()),
        ..pipeline_engine(number, "a", "fast", 0, u16::MAX)
    };
    assert_eq!(endpoint(1).check(), Ok(()));
    let list = (0..DATAGRAM_CHANGE_LIMIT).map(|number| Change::Known(endpoint(number as u8))).collect();
    let known = Mention { address: address(1), zone: Zone::new(name.as_str()), contact_age_ms: u32::MAX };
    let tell = Message::Tell {
        asked_us: u64::MAX,
        state: PeerState { sections: sections(), ..state(2, 0) },
        changes: Some(Changes { from: at(0), through: at(u64::MAX), list }),
        known: vec![known; GossipSettings::default().mention_limit],
    };
    let bytes = encode_datagram(&tell).unwrap().len();
    assert!(bytes <= DATAGRAM_LIMIT_BYTES, "{bytes}");
}

fn sections() -> Sections {
    let helper =
        Helper { address: address(9), is_available: true, is_proven: true, size_mb: 160, requests: u32::MAX };
    Sections { store_era: Some(u64::MAX), helper: Some(helper) }
}

/// Gateways of the version before sections and of later ones run beside each other during an update, so each must read what
/// the other sends.
#[test]
fn gateways_of_several_versions_read_each_others_datagrams() {
    let endpoints_change = StorePosition::new(u64::MAX, 5);
    let state = PeerState { endpoints_change, sections: sections(), ..state(2, 30) };
    let message = Message::Ask { asked_us: 1, state, known: Vec::new() };
    let mut bytes = encode_datagram(&message).expect("it serializes");
    assert_eq!(decode_datagram(&bytes), Ok(message.clone()));
    let old: Message = postcard::from_bytes(&bytes).expect("an old gateway reads it");
    assert_eq!(old.state().sections, Sections::default());
    let without = decode_datagram(&postcard::to_allocvec(&message).expect("it serializes"));
    assert_eq!(without, Ok(old));
    // A section of a later version is skipped, and one whose content cannot be read counts as absent.
    let later = postcard::to_allocvec(&(200_u8, b"unknown".as_slice())).expect("it serializes");
    bytes.extend(later);
    assert_eq!(decode_datagram(&bytes), Ok(message.clone()));
    let mut unreadable = postcard::to_allocvec(&message).expect("it serializes");
    unreadable.extend(postcard::to_allocvec(&(1_u8, [0xff_u8; 3].as_slice())).expect("it serializes"));
    assert_eq!(
        decode_datagram(&unreadable),
        Ok(decode_datagram(&postcard::to_allocvec(&message).unwrap()).unwrap())
    );
}
