//! Tests of the peers' threads and connections over loopback.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::{suspicion, version_content};
use crate::clock::SystemClock;
use crate::configuration::{self, PeerReport};
use crate::duty::Supervisor;
use crate::execution;
use crate::ids::{EndpointId, LogOffset};
use crate::membership::{self, Observation, ObservedState};
use crate::peers::{self, Event, ExchangeSettings, Links, PeerError};
use crate::ring::{Doorbell, Receiver, Sender, link};

const WAIT: Duration = Duration::from_secs(10);

struct Entry {
    address: SocketAddr,
    bell: Doorbell,
    events: Sender<Event>,
    configuration: Receiver<configuration::Event>,
    membership: Receiver<membership::Event>,
    execution: Receiver<execution::Event>,
}

fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

impl Entry {
    fn start(name: &str, known: Vec<SocketAddr>) -> Self {
        let (listener, address) = bind();
        let (own, bell) = (Doorbell::default(), Doorbell::default());
        let (events, inbound) = link(64, 64, &bell, &own);
        let (to_configuration, configuration) = link(1_024, 1_024, &own, &bell);
        let (to_membership, membership) = link(64, 64, &own, &bell);
        let (to_execution, execution) = link(64, 64, &own, &bell);
        let links = Links {
            bell: own,
            inbound: vec![inbound],
            configuration: to_configuration,
            membership: to_membership,
            execution: to_execution,
        };
        let settings =
            ExchangeSettings { interval_ms: 50, retry_pause_ms: 50, ..ExchangeSettings::default() };
        let own_id = (EndpointId::new(name, 1), address);
        peers::spawn(&Supervisor::default(), SystemClock::start(), links, listener, settings, own_id, known)
            .expect("a thread");
        Self { address, bell, events, configuration, membership, execution }
    }

    fn send(&mut self, event: Event) {
        self.events.send(event).expect("room in the ring");
    }

    /// Waits for a report that meets the condition and panics if there is none within [`WAIT`].
    fn wait_for(&mut self, what: &str, condition: impl Fn(&PeerReport) -> bool) -> PeerReport {
        let found = wait_until(&self.bell, || {
            std::iter::from_fn(|| self.configuration.receive()).find_map(|event| match event {
                configuration::Event::Peer(report) if condition(&report) => Some(report),
                _ => None,
            })
        });
        found.unwrap_or_else(|| panic!("no report within {WAIT:?} of: {what}"))
    }
}

fn wait_until<T>(bell: &Doorbell, mut condition: impl FnMut() -> Option<T>) -> Option<T> {
    actix_rt::System::new().block_on(async {
        let waiting = async {
            loop {
                if let Some(found) = condition() {
                    return found;
                }
                bell.wait().await;
            }
        };
        tokio::time::timeout(WAIT, waiting).await.ok()
    })
}

fn version(report: &PeerReport) -> u64 {
    report.claim.as_ref().map_or(0, |claim| claim.version.0)
}

/// Guards against an exchange that loses a configuration in either direction, an observation or a suspicion.
#[test]
fn two_entries_exchange_over_loopback() {
    let mut a = Entry::start("a", Vec::new());
    let mut b = Entry::start("b", vec![a.address]);
    b.wait_for("answer of a", |report| report.entry.instance.as_str() == "a" && report.asked_us.is_some());
    a.wait_for("call of b", |report| report.entry.instance.as_str() == "b" && report.asked_us.is_none());

    a.send(Event::Configured { content: version_content(5), through: LogOffset(6) });
    let report = b.wait_for("content of a", |report| {
        report.claim.as_ref().is_some_and(|claim| claim.content.is_some())
    });
    let claim = report.claim.expect("a claim");
    assert_eq!((claim.content, claim.through), (Some(version_content(5)), LogOffset(6)));

    b.send(Event::Configured { content: version_content(7), through: LogOffset(7) });
    a.wait_for("content of b", |report| version(report) == 7);

    let observation = Observation { endpoint: EndpointId::new("engine-1", 4), state: ObservedState::Leaving };
    a.send(Event::Observed(vec![observation.clone()]));
    let received = wait_until(&b.bell, || b.membership.receive());
    assert!(
        matches!(&received, Some(membership::Event::Observed(received)) if *received == [observation]),
        "{received:?}"
    );

    b.send(Event::Suspected(vec![suspicion(9, "engine-2")]));
    let received = wait_until(&a.bell, || a.execution.receive());
    let expected = [suspicion(9, "engine-2")];
    assert!(
        matches!(&received, Some(execution::Event::Suspected(received)) if *received == expected),
        "{received:?}"
    );
}

/// Guards against a peer port that panics, hangs or stops serving after it received malformed bytes.
#[test]
fn the_peer_port_keeps_serving_after_malformed_bytes() {
    let mut a = Entry::start("a", Vec::new());
    let mut open = Vec::new();
    let inputs: [&[u8]; 7] = [
        b"GET / HTTP/1.1\r\n\r\n",
        &[0xff; 4_096],
        &[0; 4_096],
        // A segment table that announces 2^32 segments, and one that announces a segment of 32 GiB.
        &[0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0],
        &[0, 0, 0, 0, 0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0, 0, 0, 0, 0],
        // A root pointer far outside of its segment.
        &[0, 0, 0, 0, 1, 0, 0, 0, 0xfc, 0xff, 0xff, 0x7f, 0xff, 0xff, 0xff, 0xff],
        // Half of a message, on a connection that stays open.
        &[0, 0, 0, 0, 9, 0, 0, 0, 1],
    ];
    for bytes in inputs {
        let mut stream = TcpStream::connect(a.address).expect("a connection");
        // The entry may close the connection before everything is written.
        let _ = stream.write_all(bytes);
        open.push(stream);
    }
    a.send(Event::Configured { content: version_content(5), through: LogOffset(6) });
    let mut b = Entry::start("b", vec![a.address]);
    b.wait_for("content of a", |report| report.claim.as_ref().is_some_and(|claim| claim.content.is_some()));
}

/// Guards against calls to other entries that are delayed by a peer that accepts connections and never
/// answers, or by one that refuses them.
#[test]
fn an_unresponsive_peer_does_not_delay_calls_to_others() {
    let (silent, silent_address) = bind();
    let refused = bind().1;
    let mut a = Entry::start("a", Vec::new());
    a.send(Event::Configured { content: version_content(5), through: LogOffset(6) });
    let mut b = Entry::start("b", vec![silent_address, refused, a.address]);
    b.wait_for("content of a", |report| report.claim.as_ref().is_some_and(|claim| claim.content.is_some()));
    drop(silent);
}

/// Guards against an exchange that fails after its connection was closed, and against later exchanges that
/// keep failing after a connection stopped responding.
#[test]
fn a_lost_connection_is_reestablished() {
    let a = Entry::start("a", Vec::new());
    let relay = Relay::start(a.address);
    let connections = peers::connection::Connections::default();
    let digest = super::digest_of("c", None, Vec::new());
    let exchange = |limit_ms| {
        let exchange = connections.exchange(relay.address, &digest, limit_ms);
        async { tokio::time::timeout(WAIT, exchange).await.expect("the exchange ends in time") }
    };
    actix_rt::System::new().block_on(async {
        assert!(exchange(5_000).await.is_ok());
        relay.close_all();
        let closed = exchange(5_000).await;
        assert!(closed.is_ok(), "exchange after its connection was closed: {closed:?}");
        relay.stall_all();
        let silent = exchange(200).await;
        assert!(matches!(silent, Err(PeerError::TimedOut { limit_ms: 200 })), "{silent:?}");
        let after = exchange(5_000).await;
        assert!(after.is_ok(), "exchange after a connection stopped responding: {after:?}");
    });
}

/// TCP relay that counts the bytes it forwards, and that can close or stall its connections.
#[derive(Clone)]
struct Relay {
    address: SocketAddr,
    bytes: Arc<AtomicU64>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    /// Connections up to this number no longer forward bytes.
    stalled_through: Arc<AtomicU64>,
    count: Arc<AtomicU64>,
}

impl Relay {
    fn start(target: SocketAddr) -> Self {
        let (listener, address) = bind();
        let relay = Self {
            address,
            bytes: Arc::default(),
            streams: Arc::default(),
            stalled_through: Arc::default(),
            count: Arc::default(),
        };
        let shared = relay.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().map_while(Result::ok) {
                let server = TcpStream::connect(target).expect("a connection");
                let number = shared.count.fetch_add(1, Ordering::SeqCst) + 1;
                for stream in [&client, &server] {
                    stream.set_nodelay(true).expect("an option");
                    shared.streams.lock().expect("the lock").push(stream.try_clone().expect("a stream"));
                }
                let pair = (client.try_clone().expect("a stream"), server.try_clone().expect("a stream"));
                shared.clone().copy(number, client, server);
                shared.clone().copy(number, pair.1, pair.0);
            }
        });
        relay
    }

    fn copy(self, number: u64, mut from: TcpStream, mut to: TcpStream) {
        std::thread::spawn(move || {
            let mut buffer = [0; 65_536];
            while let Ok(length @ 1..) = from.read(&mut buffer) {
                if number <= self.stalled_through.load(Ordering::SeqCst) {
                    continue;
                }
                self.bytes.fetch_add(length as u64, Ordering::Relaxed);
                if to.write_all(&buffer[..length]).is_err() {
                    return;
                }
            }
        });
    }

    fn stall_all(&self) {
        self.stalled_through.store(self.count.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    fn close_all(&self) {
        for stream in self.streams.lock().expect("the lock").drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// Measures the bytes per exchange and the latency of an exchange. Run it with `--ignored --nocapture`.
#[test]
#[ignore = "a measurement, not a check"]
fn measure_an_exchange() {
    const EXCHANGES: u64 = 200;
    let a = Entry::start("a", Vec::new());
    let relay = Relay::start(a.address);
    let mut b = Entry::start("b", vec![relay.address]);
    b.wait_for("answer of a", |report| report.asked_us.is_some());
    let begin = relay.bytes.load(Ordering::Relaxed);
    for _ in 0..EXCHANGES {
        b.wait_for("answer of a", |report| report.asked_us.is_some());
    }
    let bytes = (relay.bytes.load(Ordering::Relaxed) - begin) / EXCHANGES;

    let client = peers::connection::Connections::default();
    let digest = super::digest_of("c", Some(super::claim(5, 5, false)), Vec::new());
    let mut times: Vec<Duration> = actix_rt::System::new().block_on(async {
        let mut times = Vec::new();
        for _ in 0..2_000 {
            let begin = Instant::now();
            client.exchange(a.address, &digest, 1_000).await.expect("an answer");
            times.push(begin.elapsed());
        }
        times
    });
    times.sort_unstable();
    println!(
        "bytes_per_exchange={bytes} p50_us={} p99_us={}",
        times[1_000].as_micros(),
        times[1_980].as_micros()
    );
}
