//! Tests of the exchange of snapshots: a peer that sends too much, too little, nothing or something else must neither
//! hold up a gateway nor hand it a wrong snapshot.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use super::exchange::{self, ExchangeError, Offer, Snapshot};
use crate::gateway::dispatch::fixtures::{configuration, endpoints};
use crate::pipeline::Address;

/// Time limit of a request, in milliseconds.
const LIMIT_MS: u64 = 200;

fn snapshot() -> Snapshot {
    Snapshot {
        configuration: Arc::new(configuration(6)),
        endpoints: endpoints(),
        change_offset: 7,
        next_offset: 9,
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
    let encoded = postcard::to_allocvec(&snapshot()).expect("it serializes");
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
