//! Tests of the exchange of snapshots: a peer that sends too much, too little, nothing or something else must neither
//! hold up a gateway nor hand it a wrong snapshot.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use super::exchange::{self, ExchangeError, Offer, Snapshot};
use super::tests::update_of_peer;
use super::{Action, Catalog, CatalogSettings, Event, PeerUpdate};
use crate::duty::Duty;
use crate::gateway::dispatch::fixtures::{configuration, endpoints};
use crate::gateway::mutation::mutate;
use crate::gateway::{Batch, Feed, Record, StorePosition};
use crate::pipeline::Address;
use crate::random::Random;

/// Time limit of a request, in milliseconds.
const LIMIT_MS: u64 = 200;

fn snapshot() -> Snapshot {
    Snapshot {
        configuration: Arc::new(configuration(6)),
        endpoints: endpoints(),
        change: StorePosition::new(3, 7),
        next: StorePosition::new(3, 9),
        store_era: Some(3),
    }
}

async fn listener() -> (TcpListener, Address) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the address of the listener");
    (listener, address)
}

/// What a faulty peer sends.
#[derive(Clone, Copy, Debug)]
enum Fault {
    ClosesAtOnce,
    Silent,
    Truncates,
    OtherBytes,
    WithoutEnd,
}

async fn send_faulty(listener: TcpListener, fault: Fault) {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let encoded = snapshot().encode().expect("it serializes");
    let bytes = match fault {
        Fault::ClosesAtOnce => Vec::new(),
        Fault::Silent => {
            actix_rt::time::sleep(Duration::from_secs(5)).await;
            Vec::new()
        }
        Fault::Truncates => encoded[..encoded.len() / 2].to_vec(),
        Fault::OtherBytes => vec![0xff; 400],
        Fault::WithoutEnd => loop {
            if stream.write_all(&[b'x'; 65_536]).await.is_err() {
                return;
            }
        },
    };
    stream.write_all(&bytes).await.expect("the bytes are sent");
}

#[test]
fn a_snapshot_arrives_whole_or_not_at_all() {
    actix_rt::System::new().block_on(async {
        let (serving, address) = listener().await;
        let offer = Offer::default();
        actix_rt::spawn(exchange::serve(serving, offer.clone()));
        assert!(matches!(
            exchange::fetch(address, LIMIT_MS).await,
            Err(ExchangeError::Unreadable { bytes: 0, .. })
        ));
        offer.replace(snapshot());
        let fetched = exchange::fetch(address, LIMIT_MS).await.expect("the snapshot");
        assert_eq!(fetched, snapshot());
        let faults =
            [Fault::ClosesAtOnce, Fault::Silent, Fault::Truncates, Fault::OtherBytes, Fault::WithoutEnd];
        for fault in faults {
            let (listener, address) = listener().await;
            actix_rt::spawn(send_faulty(listener, fault));
            let started = Instant::now();
            let fetched = exchange::fetch(address, LIMIT_MS).await;
            assert!(fetched.is_err(), "{fault:?}: accepted {fetched:?}");
            let waited = started.elapsed();
            assert!(waited < Duration::from_millis(LIMIT_MS * 10), "{fault:?}: ended after {waited:?}");
        }
    });
}

/// A snapshot may contain anything. It must neither end the process nor replace a newer configuration.
#[test]
fn gateways_withstand_any_snapshot() {
    let mut random = Random::seeded(12);
    let valid = snapshot().encode().expect("it serializes");
    let mut decoded = 0;
    for _ in 0..5_000 {
        let bytes = mutate(&valid, &mut random);
        let Ok(received) = Snapshot::decode(&bytes) else { continue };
        decoded += 1;
        let mut catalog = Catalog::new(CatalogSettings::default(), 1);
        let (sent_us, mut actions) = (1_000_000, Vec::new());
        let record = Record::Configuration(Arc::new(configuration(6)));
        let batch = Batch { records: vec![record], next: 1, ..Batch::default() };
        let feed = Feed::Configuration;
        catalog.on_event(sent_us, Event::Read { feed, batch, snapshot: true, sent_us }, &mut actions);
        actions.clear();
        let update = PeerUpdate {
            version: 7,
            change: StorePosition::new(0, 7),
            asked_us: Some(sent_us),
            ..update_of_peer()
        };
        catalog.on_event(sent_us, Event::PeerUpdate(update), &mut actions);
        catalog.on_event(sent_us, Event::Fetched(Box::new(received)), &mut actions);
        catalog.on_timer(sent_us + 1_000_000, &mut actions);
        let is_older = |action: &Action| matches!(action, Action::Configuration(configuration) if configuration.version < 6);
        assert!(!actions.iter().any(is_older), "an older configuration came into force: {actions:?}");
    }
    assert!(decoded > 100, "only {decoded} mutated snapshots were valid");
}

/// Gateways of the version before read the snapshots of this one, and the other way round. The era follows the snapshot, so
/// that they find what they expect where they expect it.
#[test]
fn gateways_of_several_versions_read_each_others_snapshots() {
    let bytes = snapshot().encode().expect("it serializes");
    assert_eq!(Snapshot::decode(&bytes), Ok(snapshot()));
    let old: Snapshot = postcard::from_bytes(&bytes).expect("an old gateway reads it");
    assert_eq!(old, Snapshot { store_era: None, ..snapshot().in_era(0) });
    let from_old = postcard::to_allocvec(&snapshot()).expect("it serializes");
    assert_eq!(Snapshot::decode(&from_old), Ok(old));
}
