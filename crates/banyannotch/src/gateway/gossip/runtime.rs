//! The thread of gossip, which connects the policy to the socket and the rings.

use std::net::UdpSocket as StdUdpSocket;
use std::rc::Rc;

use tokio::net::UdpSocket;

use super::sections::{decode_datagram, encode_datagram};
use super::{Action, Changes, Event, Gossip, GossipSettings};
use crate::clock::Clock;
use crate::duty::{self, Mailbox, Ports, Supervisor};
use crate::gateway::dispatch::{self, PeerState};
use crate::gateway::{catalog, layout};
use crate::pipeline::Address;
use crate::ring::{Doorbell, Receiver, Sender};

/// Maximum payload of a UDP datagram over IPv4, in bytes.
pub(super) const DATAGRAM_LIMIT_BYTES: usize = 65_507;

/// Ends of the rings that connect gossip to other duties.
#[derive(Debug)]
pub struct Links {
    /// Doorbell that wakes the thread.
    pub bell: Doorbell,
    /// States of dispatch.
    pub inbound: Receiver<Box<PeerState>>,
    /// Changes of endpoints from the catalog.
    pub changes: Receiver<Changes>,
    /// Events for dispatch.
    pub dispatch: Sender<dispatch::Event>,
    /// Events for the catalog.
    pub catalog: Sender<catalog::Event>,
    /// Events for layout.
    pub layout: Sender<layout::Event>,
}

/// Starts the thread of gossip. `own` is the address of the socket, and `seed` initializes the choice of peers.
///
/// # Errors
/// Returns the error of the operating system if the thread cannot be created.
pub fn spawn<C: Clock>(
    supervisor: &Supervisor,
    clock: C,
    links: Links,
    settings: GossipSettings,
    (socket, own): (StdUdpSocket, Address),
    seeds: Vec<Address>,
    seed: u64,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    let ports_supervisor = supervisor.clone();
    supervisor.spawn("gossip", move || async move {
        let bell = links.bell.clone();
        let socket = match socket.set_nonblocking(true).and_then(|()| UdpSocket::from_std(socket)) {
            Ok(socket) => Rc::new(socket),
            Err(error) => {
                log::error!("event=listener_failed port=peers error=\"{error}\"");
                return;
            }
        };
        let mailbox = Mailbox::new(&bell);
        actix_rt::spawn(receive(Rc::clone(&socket), mailbox.clone()));
        let ports = GossipPorts { links, supervisor: ports_supervisor, mailbox, socket, reported_rank: None };
        duty::run(clock, bell, Gossip::new(settings, own, seeds, seed), ports).await;
    })
}

async fn receive(socket: Rc<UdpSocket>, mailbox: Mailbox<Event>) {
    let mut buffer = vec![0; DATAGRAM_LIMIT_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((size, from)) => match decode_datagram(buffer.get(..size).unwrap_or_default()) {
                Ok(message) => mailbox.put(Event::Received { from, message: Box::new(message) }),
                Err(error) => {
                    log::warn!("event=datagram_unreadable from={from} bytes={size} error=\"{error}\"");
                }
            },
            // An ICMP error for a datagram that was sent earlier is reported here. The socket remains usable.
            Err(error) => log::debug!("event=datagram_failed error=\"{error}\""),
        }
    }
}

struct GossipPorts {
    links: Links,
    supervisor: Supervisor,
    mailbox: Mailbox<Event>,
    socket: Rc<UdpSocket>,
    /// Rank that layout was told last.
    reported_rank: Option<usize>,
}

impl Ports for GossipPorts {
    type Event = Event;
    type Action = Action;

    fn receive(&mut self, events: &mut Vec<Event>) {
        events.extend(std::iter::from_fn(|| self.links.changes.receive()).map(Event::Changed));
        // Earlier states are superseded by the newest one.
        let newest = std::iter::from_fn(|| self.links.inbound.receive()).last();
        events.extend(newest.map(Event::State));
        self.mailbox.take_into(events);
    }

    fn perform(&mut self, _now_us: u64, action: Action) {
        match action {
            Action::Send { to, message } => {
                let result = match encode_datagram(&message) {
                    Ok(bytes) => self.socket.try_send_to(&bytes, to).map_err(|error| error.to_string()),
                    Err(error) => Err(error.to_string()),
                };
                if let Err(error) = result {
                    metrics::counter!("banyannotch_gateway_datagrams_lost_total").increment(1);
                    log::debug!("event=datagram_not_sent to={to} error=\"{error}\"");
                }
            }
            Action::Rank(rank) => {
                // Layout needs the rank only, which seldom changes, so its thread is not woken for each datagram.
                if self.reported_rank.replace(rank) != Some(rank) {
                    let event = layout::Event::Rank(rank);
                    self.links.layout.send_or_fail(event, "gossip_layout", &self.supervisor);
                }
            }
            Action::PeerUpdate { from, state, asked_us, changes, known, zone_known, rank } => {
                let update = catalog::PeerUpdate {
                    from,
                    version: state.version,
                    version_proof_age_ms: state.proof_age_ms,
                    store_era: state.sections.store_era,
                    change: state.endpoints_change,
                    change_proof_age_ms: state.endpoints_age_ms,
                    asked_us,
                    changes,
                    rank,
                };
                self.links.catalog.send_or_fail(
                    catalog::Event::PeerUpdate(update),
                    "gossip_catalog",
                    &self.supervisor,
                );
                let event = dispatch::Event::Peer { state, known, zone_known };
                self.links.dispatch.send_or_fail(event, "gossip_dispatch", &self.supervisor);
            }
        }
    }

    fn flush(&mut self) {
        self.links.dispatch.flush();
        self.links.catalog.flush();
        self.links.layout.flush();
    }
}
