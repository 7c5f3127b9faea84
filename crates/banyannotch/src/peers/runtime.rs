//! Thread of the peers: the listener and connections, rings in and out. Nothing is decided here.

use std::net::TcpListener;
use std::rc::Rc;

use super::connection::Connections;
use super::server::{Desk, serve};
use super::{Action, Digest, Event, Exchange, ExchangeSettings};
use crate::clock::Clock;
use crate::duty::{self, Mailbox, Ports, Supervisor};
use crate::http::listener_from_std;
use crate::ids::EndpointId;
use crate::pipeline::Address;
use crate::ring::{Doorbell, Receiver, Sender, receive_batch};
use crate::{configuration, execution, membership};

/// Rings of the duty.
#[derive(Debug)]
pub struct Links {
    /// Wakes the thread.
    pub bell: Doorbell,
    /// From execution, membership and configuration.
    pub inbound: Vec<Receiver<Event>>,
    /// To configuration.
    pub configuration: Sender<configuration::Event>,
    /// To membership.
    pub membership: Sender<membership::Event>,
    /// To execution.
    pub execution: Sender<execution::Event>,
}

/// Starts the thread.
///
/// # Errors
/// Returns the error of the operating system when no thread can be created.
pub fn spawn<C: Clock>(
    supervisor: &Supervisor,
    clock: C,
    links: Links,
    listener: TcpListener,
    settings: ExchangeSettings,
    own: (EndpointId, Address),
    known: Vec<Address>,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    supervisor.spawn("peers", move || async move {
        let bell = links.bell.clone();
        let mailbox = Mailbox::new(&bell);
        let desk = Rc::new(Desk::new(mailbox.clone()));
        match listener_from_std(listener) {
            Ok(listener) => {
                actix_rt::spawn(serve(listener, Rc::clone(&desk)));
            }
            Err(error) => {
                log::error!("event=listener_failed port=peers error={error}");
                return;
            }
        }
        let limit_ms = settings.call_timeout_ms;
        let ports = PeersPorts { links, mailbox, desk, connections: Connections::default(), limit_ms };
        duty::run(clock, bell, Exchange::new(settings, own.0, known).with_operators(own.1), ports).await;
    })
}

struct PeersPorts {
    links: Links,
    mailbox: Mailbox<Event>,
    desk: Rc<Desk>,
    connections: Connections,
    limit_ms: u64,
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
            Action::Reply { call, digest } => self.desk.reply(call, *digest),
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
        let (connections, mailbox, limit_ms) =
            (self.connections.clone(), self.mailbox.clone(), self.limit_ms);
        actix_rt::spawn(async move {
            let event = match connections.exchange(address, &digest, limit_ms).await {
                Ok(digest) => {
                    metrics::counter!("banyannotch_peer_calls_total", "result" => "answered").increment(1);
                    Event::Answered { address, digest: Box::new(digest) }
                }
                Err(error) => {
                    metrics::counter!("banyannotch_peer_calls_total", "result" => "failed").increment(1);
                    log::debug!("event=peer_call_failed address={address} error={error}");
                    Event::Failed { address }
                }
            };
            mailbox.put(event);
        });
    }
}

/// Sends what another entry told. Another entry must not be able to end this process by telling too much, so a full
/// ring loses the message, which is counted.
fn deliver<E>(ring: &mut Sender<E>, event: E, name: &'static str) {
    if ring.send(event).is_err() {
        metrics::counter!("banyannotch_peer_reports_lost_total", "ring" => name).increment(1);
        log::warn!("event=ring_full ring=peers_{name} action=drop");
    }
}
