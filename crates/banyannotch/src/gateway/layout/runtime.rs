//! Thread of layout: performs the calls to the store's ordering group and to engines.
//!
//! All decisions are made in the policy.

use super::{Action, Event, Layout, LayoutSettings};
use crate::clock::Clock;
use crate::duty::{self, Mailbox, Ports, Supervisor};
use crate::gateway::{EngineControl, Store, catalog};
use crate::ring::{Doorbell, Receiver, Sender, receive_batch};

/// Timeout of the report of an engine, in milliseconds.
const REPORT_TIMEOUT_MS: u64 = 400;
/// Timeout of the answer to an order, in milliseconds.
const ORDER_TIMEOUT_MS: u64 = 800;

/// Rings from the other duties to layout.
#[derive(Debug)]
pub struct Links {
    /// Wakes the thread of layout.
    pub bell: Doorbell,
    /// Events from catalog, gossip and the daemon.
    pub inbound: Vec<Receiver<Event>>,
    /// Eras of the store for the catalog.
    pub catalog: Sender<catalog::Event>,
}

/// Starts the thread of layout. `clients` creates the clients of the store and of the engines on that thread,
/// and `member` is the name of this gateway in the ordering group.
///
/// # Errors
/// Returns the error of the operating system when no thread can be created.
pub fn spawn<C: Clock, S: Store, E: EngineControl>(
    supervisor: &Supervisor,
    clock: C,
    links: Links,
    settings: LayoutSettings,
    member: String,
    clients: impl FnOnce() -> (S, E) + Send + 'static,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    let ports_supervisor = supervisor.clone();
    supervisor.spawn("layout", move || async move {
        let bell = links.bell.clone();
        let mailbox = Mailbox::new(&bell);
        let (store, control) = clients();
        let supervisor = ports_supervisor;
        let ports = LayoutPorts { links, supervisor, clock: clock.clone(), mailbox, store, control, member };
        duty::run(clock, bell, Layout::new(settings), ports).await;
    })
}

struct LayoutPorts<C, S, E> {
    links: Links,
    supervisor: Supervisor,
    clock: C,
    mailbox: Mailbox<Event>,
    store: S,
    control: E,
    member: String,
}

impl<C: Clock, S: Store, E: EngineControl> Ports for LayoutPorts<C, S, E> {
    type Event = Event;
    type Action = Action;

    fn receive(&mut self, events: &mut Vec<Event>) {
        events.extend(receive_batch(&mut self.links.inbound, duty::EVENT_BATCH));
        self.mailbox.take_into(events);
    }

    fn perform(&mut self, _now_us: u64, action: Action) {
        let (mailbox, store, control) = (self.mailbox.clone(), self.store.clone(), self.control.clone());
        match action {
            Action::Join { generation, ttl_ms } => {
                let (clock, member) = (self.clock.clone(), self.member.clone());
                actix_rt::spawn(async move {
                    let sent_us = clock.now_us();
                    mailbox.put(match store.join(&member, generation, ttl_ms).await {
                        Ok(group) => Event::Joined { group, sent_us },
                        Err(failure) => Event::NotJoined { fault: failure.to_string(), era: failure.era },
                    });
                });
            }
            Action::Leave => {
                let member = self.member.clone();
                actix_rt::spawn(async move {
                    if let Err(error) = store.leave(&member).await {
                        mailbox.put(Event::NotLeft { fault: error.to_string() });
                    }
                });
            }
            Action::StoreEra(era) => {
                let event = catalog::Event::StoreEra(era);
                self.links.catalog.send_or_fail(event, "layout_catalog", &self.supervisor);
            }
            Action::Inspect(address) => {
                actix_rt::spawn(async move {
                    let report = control.report(address, REPORT_TIMEOUT_MS).await;
                    mailbox.put(Event::Report { address, report });
                });
            }
            Action::Place { address, layers, orders } => {
                metrics::counter!("banyannotch_gateway_orders_total").increment(1);
                actix_rt::spawn(async move {
                    let reply = control.place(address, layers, orders, ORDER_TIMEOUT_MS).await;
                    mailbox.put(Event::OrderAnswered { address, reply });
                });
            }
            Action::Decide(decision) => log::info!("{decision}"),
        }
    }

    fn flush(&mut self) {
        self.links.catalog.flush();
    }
}
