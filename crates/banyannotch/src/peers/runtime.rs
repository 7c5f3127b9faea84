//! Thread of the peers. It connects the policy to the listener, the connections and the rings, and makes no
//! decisions of its own.

use std::net::TcpListener;
use std::rc::Rc;

use super::connection::Connections;
use super::server::{ServerState, serve};
use super::{Action, Digest, Event, Exchange, ExchangeSettings};
use crate::clock::Clock;
use crate::duty::{self, Mailbox, Ports, Supervisor};
use crate::http::listener_from_std;
use crate::ids::EndpointId;
use crate::pipeline::Address;
use crate::ring::{Doorbell, Receiver, Sender, receive_batch};
use crate::{configuration, execution, membership};

/// Ring ends of the peers duty.
#[derive(Debug)]
pub struct Links {
    /// Wakes the thread.
    pub bell: Doorbell,
    /// Events from execution, membership and configuration.
    pub inbound: Vec<Receiver<Event>>,
    /// Reports of other entries' configurations to configuration.
    pub configuration: Sender<configuration::Event>,
    /// Observations of other entries to membership.
    pub membership: Sender<membership::Event>,
    /// Suspicions of other entries to execution.
    pub execution: Sender<execution::Event>,
}

/// Starts the peers' thread. `own` is this entry and the address of its operators' port.
///
/// # Errors
/// Returns the operating system's error if the thread cannot be created.
pub fn spawn<C: Clock>(
    supervisor: &Supervisor,
    clock: C,
    links: Links,
    listener: TcpListener,
    settings: ExchangeSettings,
    own: (EndpointId, Address),
    known_peers: Vec<Address>,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    supervisor.spawn("peers", move || async move {
        let bell = links.bell.clone();
        let mailbox = Mailbox::new(&bell);
        let state = Rc::new(ServerState::new(mailbox.clone()));
        match listener_from_std(listener) {
            Ok(listener) => {
                actix_rt::spawn(serve(listener, Rc::clone(&state)));
            }
            Err(error) => {
                log::error!("event=listener_failed port=peers error={error}");
                return;
            }
        }
        let call_timeout_ms = settings.call_timeout_ms;
        let ports =
            PeersPorts { links, mailbox, state, connections: Connections::default(), call_timeout_ms };
        duty::run(clock, bell, Exchange::new(settings, own.0, known_peers).with_operators(own.1), ports)
            .await;
    })
}

struct PeersPorts {
    links: Links,
    mailbox: Mailbox<Event>,
    state: Rc<ServerState>,
    connections: Connections,
    call_timeout_ms: u64,
}

impl Ports for PeersPorts {
    type Event = Event;
    type Action = Action;

    fn receive(&mut self, events: &mut Vec<Event>) {
        self.mailbox.take_into(events);
        events.extend(receive_batch(&mut self.links.inbound, duty::EVENT_BATCH));
    }

    fn perform(&mut self, _now_us: u64, action: Action) {
        match action {
            Action::Call { address, digest } => self.call(address, digest),
            Action::Reply { call, digest } => self.state.reply(call, *digest),
            Action::Close(address) => self.connections.close(address),
            Action::Report(report) => {
                deliver(&mut self.links.configuration, configuration::Event::Peer(*report), "configuration");
            }
            Action::Observed(observations) => {
                deliver(&mut self.links.membership, membership::Event::Observed(observations), "membership");
            }
            Action::Suspected(suspicions) => {
                deliver(&mut self.links.execution, execution::Event::Suspected(suspicions), "execution");
            }
        }
    }

    fn flush(&mut self) {
        self.links.configuration.flush();
        self.links.membership.flush();
        self.links.execution.flush();
    }
}

impl PeersPorts {
    fn call(&self, address: Address, digest: Box<Digest>) {
        let (connections, mailbox, call_timeout_ms) =
            (self.connections.clone(), self.mailbox.clone(), self.call_timeout_ms);
        actix_rt::spawn(async move {
            let event = match connections.exchange(address, &digest, call_timeout_ms).await {
                Ok(digest) => {
                    metrics::counter!("banyannotch_peer_calls_total", "result" => "answered").increment(1);
                    Event::CallAnswered { address, digest: Box::new(digest) }
                }
                Err(error) => {
                    metrics::counter!("banyannotch_peer_calls_total", "result" => "failed").increment(1);
                    log::debug!("event=peer_call_failed address={address} error={error}");
                    Event::CallFailed { address }
                }
            };
            mailbox.put(event);
        });
    }
}

/// Sends an event that originates from another entry. If the ring is full, the event is dropped and counted,
/// because another entry must not be able to end this process by sending too much.
fn deliver<E>(ring: &mut Sender<E>, event: E, name: &'static str) {
    if ring.send(event).is_err() {
        metrics::counter!("banyannotch_peer_reports_lost_total", "ring" => name).increment(1);
        log::warn!("event=ring_full ring=peers_{name} action=drop");
    }
}
