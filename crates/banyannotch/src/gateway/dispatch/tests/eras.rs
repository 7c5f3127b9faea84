//! Tests of dispatch while the store comes back from a backup.

use super::fixtures::{World, configuration};
use crate::gateway::StorePosition;
use crate::gateway::dispatch::{Ending, EndpointsProof, Event, PeerState, Proof, RefusalReason};

/// Proofs of an earlier era end with it, also for requests that were admitted on them and are to be sent again. Such a request
/// had no limit at all when there was no proof.
#[test]
fn proofs_end_with_the_era_of_the_store() {
    let mut world = World::new();
    world.event(Event::StoreEra(1));
    let position = StorePosition::new(1, 50);
    world.event(Event::EndpointsProof(EndpointsProof { position, at_us: world.now_us }));
    world.confirm_configuration();
    let ticket = world.submit("/read/x");
    assert!(world.last_order.take().is_some_and(|order| order.valid_until_us > world.now_us));
    let published = world.publish_state();
    assert_eq!((published.sections.store_era, published.endpoints_change), (Some(1), position));
    world.event(Event::StoreEra(2));
    world.submit("/call/x");
    assert_eq!(world.last_refusal.map(|refusal| refusal.reason), Some(RefusalReason::StaleConfiguration));
    world.end(ticket, Ending::NotRun { status: 503, fault_at: None });
    assert_eq!(world.last_order.take().map(|order| order.valid_until_us), Some(0));
    let published = world.publish_state();
    assert_eq!(
        (published.sections.store_era, published.endpoints_change),
        (Some(2), StorePosition::new(2, 0))
    );
    assert!(published.proof_age_ms > 1 << 40, "{published:?}");
    // An earlier era is no news.
    world.confirm_configuration();
    world.event(Event::StoreEra(1));
    world.submit("/call/x");
    assert!(world.last_order.is_some());
}

/// The retry budget, quarantines and the other gateways have nothing to do with the store.
#[test]
fn nothing_but_proofs_depends_on_the_era() {
    let mut world = World::new();
    world.hear_of_crashes(7, &[1, 2, 3], 0);
    let peer = PeerState { instance: "peer".to_owned(), version: 5, ..PeerState::default() };
    world.event(Event::Peer { state: Box::new(peer), known: 3, zone_known: 2 });
    for path in ["/call/x", "/read/x"] {
        let ticket = world.submit(path);
        world.end(ticket, Ending::NotRun { status: 503, fault_at: None });
    }
    let kept = |world: &World| {
        let dispatch = &world.dispatch;
        let (endpoints, configuration) = (&dispatch.endpoints, &dispatch.configuration);
        let (budgets, crashes, peers) = (&dispatch.budgets, &dispatch.crashes, &dispatch.peers);
        let members = (dispatch.known_gateways, &dispatch.zone_gateways);
        format!("{endpoints:?} {configuration:?} {budgets:?} {crashes:?} {peers:?} {members:?}")
    };
    let before = kept(&world);
    world.event(Event::StoreEra(1));
    world.event(Event::StoreEra(2));
    assert_eq!(kept(&world), before);
    assert_eq!(world.dispatch.version(), configuration(5).version);
    world.event(Event::ConfigurationProof(Proof { version: 5, at_us: world.now_us }));
    assert_eq!(world.dispatch.proof_age_ms(world.now_us), 0);
}
