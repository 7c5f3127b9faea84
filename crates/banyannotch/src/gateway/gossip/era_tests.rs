//! Tests of gossip while the store comes back from a backup: proofs and changes of one era must not reach gateways as those
//! of another.

use super::changes::ChangeLog;
use super::{Action, Change, Changes, Event, Gossip, GossipSettings, Message};
use crate::duty::Duty;
use crate::gateway::StorePosition;
use crate::gateway::dispatch::fixtures::address;
use crate::gateway::dispatch::{PeerState, Sections};

/// Time between two rounds of the tests, in microseconds.
const ROUND_US: u64 = 250_000;

fn state(name: u8, era: Option<u64>, proof_age_ms: u64) -> PeerState {
    PeerState {
        instance: format!("g{name}"),
        version: 5,
        proof_age_ms,
        endpoints_change: StorePosition::new(era.unwrap_or_default(), 70),
        endpoints_age_ms: proof_age_ms,
        sections: Sections { store_era: era, ..Sections::default() },
        ..PeerState::default()
    }
}

fn changes(era: u64, from: u64, through: u64) -> Changes {
    let at = |offset| StorePosition::new(era, offset);
    Changes { from: at(from), through: at(through), list: vec![Change::Missing("e1".into())] }
}

/// Lets a gateway publish a state.
fn publish(own: &mut Gossip, now_us: u64, state: PeerState) -> Vec<Action> {
    let mut actions = Vec::new();
    own.on_event(now_us, Event::State(Box::new(state)), &mut actions);
    actions
}

/// Returns the age of the proofs that a gateway passes on after it received those of a peer.
fn passed_on_ages(own_era: Option<u64>, peer_era: Option<u64>) -> (u64, u64) {
    let mut own = Gossip::new(GossipSettings::default(), address(1), vec![address(2)], 1);
    publish(&mut own, 10_000_000, state(1, own_era, 3_000));
    let tell =
        Message::Tell { asked_us: 10_000_000, state: state(2, peer_era, 10), changes: None, known: vec![] };
    let event = Event::Received { from: address(2), message: Box::new(tell) };
    own.on_event(10_000_000, event, &mut Vec::new());
    let ask = Message::Ask { asked_us: 1, state: state(3, own_era, 0), known: vec![] };
    let mut actions = Vec::new();
    own.on_event(10_000_000, Event::Received { from: address(3), message: Box::new(ask) }, &mut actions);
    let told = actions.iter().find_map(|action| match action {
        Action::Send { message, .. } => {
            Some((message.state().proof_age_ms, message.state().endpoints_age_ms))
        }
        _ => None,
    });
    told.expect("the gateway replies")
}

/// A relay passes on the proofs of others before dispatch has seen them. It passed on those of an earlier era as its own, which
/// made them valid in the new one.
#[test]
fn proofs_of_another_era_are_not_passed_on() {
    assert_eq!(passed_on_ages(Some(3), Some(3)), (10, 10));
    assert_eq!(passed_on_ages(Some(0), None), (10, 10));
    assert_eq!(passed_on_ages(None, None), (10, 10));
    for (own, peer) in [(Some(3), Some(2)), (Some(2), Some(3)), (Some(3), None), (None, Some(3))] {
        assert_eq!(passed_on_ages(own, peer), (3_000, 3_000), "own era {own:?}, era of the peer {peer:?}");
    }
}

/// The gateway's own proofs of an earlier era must not survive the state that dispatch publishes in the new one.
#[test]
fn own_proofs_end_with_their_era() {
    let mut own = Gossip::new(GossipSettings::default(), address(1), vec![address(2)], 1);
    publish(&mut own, 10_000_000, state(1, Some(2), 10));
    let sent = publish(&mut own, 10_000_000 + ROUND_US, state(1, Some(3), 60_000));
    let ages: Vec<_> = sent
        .iter()
        .filter_map(|action| match action {
            Action::Send { message, .. } => Some(message.state().proof_age_ms),
            _ => None,
        })
        .collect();
    assert!(!ages.is_empty() && ages.iter().all(|age_ms| *age_ms >= 10_000), "{ages:?}");
}

/// Changes after an offset of one era are not those after the same offset of another.
#[test]
fn changes_are_returned_for_positions_of_their_era_only() {
    let mut log = ChangeLog::default();
    log.push(changes(1, 60, 70));
    let at = StorePosition::new;
    assert_eq!(log.after(at(1, 60)).map(|changes| changes.through), Some(at(1, 70)));
    assert_eq!((log.after(at(0, 60)), log.after(at(2, 60))), (None, None));
    log.push(changes(2, 50, 50));
    log.push(changes(2, 50, 65));
    assert_eq!(log.after(at(2, 50)), Some(changes(2, 50, 65)));
    assert_eq!((log.after(at(1, 60)), log.after(at(2, 49)), log.after(at(2, 65))), (None, None, None));
}

/// A gateway that knows no eras gets changes until the store has come back, and reads the store afterwards.
#[test]
fn a_gateway_without_eras_gets_changes_of_the_first_era_only() {
    let mut own = Gossip::new(GossipSettings::default(), address(1), vec![address(2)], 1);
    let mut has_changes = Vec::new();
    for era in [4, 5] {
        publish(&mut own, 10_000_000 + era * ROUND_US, state(1, Some(era), 10));
        own.on_event(10_000_000, Event::Changed(changes(era, 60, 70)), &mut Vec::new());
        for asking_era in [None, Some(era)] {
            let endpoints_change = StorePosition::new(asking_era.unwrap_or_default(), 60);
            let state = PeerState { endpoints_change, ..state(3, asking_era, 0) };
            let ask = Message::Ask { asked_us: 1, state, known: vec![] };
            let event = Event::Received { from: address(3), message: Box::new(ask) };
            let mut actions = Vec::new();
            own.on_event(10_000_000 + era * ROUND_US, event, &mut actions);
            has_changes.push(actions.iter().any(|action| {
                matches!(action, Action::Send { message, .. }
                    if matches!(**message, Message::Tell { changes: Some(_), .. }))
            }));
        }
    }
    assert_eq!(has_changes, [true, true, false, true]);
}
