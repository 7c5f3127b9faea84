//! Thread of the catalog: performs the reads of the store and passes results to the other duties.
//!
//! All decisions are made in the policy.

use std::net::TcpListener as StdTcpListener;

use tokio::net::TcpListener;

use super::exchange::{self, Offer};
use super::{Action, Catalog, CatalogSettings, Decision, Event};
use crate::clock::Clock;
use crate::duty::{self, Mailbox, Ports, Supervisor};
use crate::gateway::gossip::Changes;
use crate::gateway::{Store, StoreError, StoreResult, dispatch, forwarding, layout};
use crate::ring::{Doorbell, Receiver, Sender, receive_batch};

/// Rings between the catalog and the other duties.
#[derive(Debug)]
pub struct Links {
    /// Wakes the thread of the catalog.
    pub bell: Doorbell,
    /// Updates of peers from gossip, departures of endpoints from dispatch, and eras of the store from layout.
    pub inbound: Vec<Receiver<Event>>,
    /// Configuration, endpoints and proofs for dispatch.
    pub dispatch: Sender<dispatch::Event>,
    /// Configuration and endpoints for layout.
    pub layout: Sender<layout::Event>,
    /// Limits on callers for forwarding.
    pub forwarding: Sender<forwarding::Event>,
    /// Endpoint changes for gossip, which passes them on to peers.
    pub gossip: Sender<Changes>,
}

/// Starts the thread of the catalog. `store` creates the store client on that thread, and `listener` accepts the
/// connections of other gateways that request the snapshot.
///
/// # Errors
/// Returns the error of the operating system when no thread can be created.
pub fn spawn<C: Clock, S: Store>(
    supervisor: &Supervisor,
    clock: C,
    links: Links,
    settings: CatalogSettings,
    listener: StdTcpListener,
    seed: u64,
    store: impl FnOnce() -> S + Send + 'static,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    let ports_supervisor = supervisor.clone();
    supervisor.spawn("catalog", move || async move {
        let bell = links.bell.clone();
        let mailbox = Mailbox::new(&bell);
        let offer = Offer::default();
        match listener.set_nonblocking(true).and_then(|()| TcpListener::from_std(listener)) {
            Ok(listener) => {
                actix_rt::spawn(exchange::serve(listener, offer.clone()));
            }
            Err(error) => {
                log::error!("event=listener_failed port=peers error=\"{error}\"");
                return;
            }
        }
        let ports = CatalogPorts {
            links,
            supervisor: ports_supervisor,
            mailbox,
            store: store(),
            clock: clock.clone(),
            settings,
            offer,
        };
        duty::run(clock, bell, Catalog::new(settings, seed), ports).await;
    })
}

/// Returns the `result` label of the counter of store reads.
fn read_label<T>(read: &StoreResult<T>) -> &'static str {
    match read.as_ref().map_err(|failure| &failure.error) {
        Ok(_) => "ok",
        Err(StoreError::RateExceeded) => "rate_exceeded",
        Err(StoreError::Unavailable) => "unavailable",
        Err(StoreError::Expired) => "expired",
        Err(StoreError::UnreadableEra(_) | StoreError::EarlierEra { .. }) => "wrong_era",
        Err(StoreError::Unknown(_)) => "unknown",
    }
}

struct CatalogPorts<C, S> {
    links: Links,
    supervisor: Supervisor,
    mailbox: Mailbox<Event>,
    store: S,
    clock: C,
    settings: CatalogSettings,
    offer: Offer,
}

impl<C: Clock, S: Store> Ports for CatalogPorts<C, S> {
    type Event = Event;
    type Action = Action;

    fn receive(&mut self, events: &mut Vec<Event>) {
        events.extend(receive_batch(&mut self.links.inbound, duty::EVENT_BATCH));
        self.mailbox.take_into(events);
    }

    fn perform(&mut self, _now_us: u64, action: Action) {
        let supervisor = &self.supervisor;
        match action {
            Action::Configuration(configuration) => {
                let limits = forwarding::Event::Limits(configuration.limits);
                self.links.forwarding.send_or_fail(limits, "catalog_forwarding", supervisor);
                let event = layout::Event::Configuration(configuration.clone());
                self.links.layout.send_or_fail(event, "catalog_layout", supervisor);
                let event = dispatch::Event::Configuration(configuration);
                self.links.dispatch.send_or_fail(event, "catalog_dispatch", supervisor);
            }
            Action::Endpoints(endpoints) => {
                let event = layout::Event::Endpoints(endpoints.clone());
                self.links.layout.send_or_fail(event, "catalog_layout", supervisor);
                let event = dispatch::Event::Endpoints(endpoints);
                self.links.dispatch.send_or_fail(event, "catalog_dispatch", supervisor);
            }
            Action::Changed(changes) => {
                self.links.gossip.send_or_fail(changes, "catalog_gossip", supervisor);
            }
            Action::ConfigurationProof(proof) => {
                let event = dispatch::Event::ConfigurationProof(proof);
                self.links.dispatch.send_or_fail(event, "catalog_dispatch", supervisor);
            }
            Action::EndpointsProof(proof) => {
                let event = dispatch::Event::EndpointsProof(proof);
                self.links.dispatch.send_or_fail(event, "catalog_dispatch", supervisor);
            }
            Action::Read { feed, from, wait_ms } => {
                let (store, clock, mailbox) = (self.store.clone(), self.clock.clone(), self.mailbox.clone());
                let timeout_ms = wait_ms + self.settings.read_timeout_ms;
                actix_rt::spawn(async move {
                    let sent_us = clock.now_us();
                    let read = match from {
                        None => store.newest(feed, timeout_ms).await,
                        Some(from) => store.follow(feed, from.offset(), wait_ms, timeout_ms).await,
                    };
                    metrics::counter!("banyannotch_gateway_store_reads_total", "result" => read_label(&read))
                        .increment(1);
                    mailbox.put(match read {
                        Ok(batch) => Event::Read { feed, batch, snapshot: from.is_none(), sent_us },
                        Err(failure) => Event::Failed { feed, error: failure.error, era: failure.era },
                    });
                });
            }
            Action::Offer(snapshot) => self.offer.replace(*snapshot),
            Action::Fetch { from } => {
                let (mailbox, limit_ms) = (self.mailbox.clone(), self.settings.fetch_timeout_ms);
                actix_rt::spawn(async move {
                    let fetched = exchange::fetch(from, limit_ms).await;
                    let result = if fetched.is_ok() { "ok" } else { "failed" };
                    metrics::counter!("banyannotch_gateway_snapshot_fetches_total", "result" => result)
                        .increment(1);
                    mailbox.put(match fetched {
                        Ok(snapshot) => Event::Fetched(Box::new(snapshot)),
                        Err(error) => Event::NotFetched { from, fault: error.to_string() },
                    });
                });
            }
            Action::StoreEra(era) => {
                self.links.layout.send_or_fail(layout::Event::StoreEra(era), "catalog_layout", supervisor);
                let event = dispatch::Event::StoreEra(era);
                self.links.dispatch.send_or_fail(event, "catalog_dispatch", supervisor);
            }
            Action::Decide(decision) => {
                if matches!(decision, Decision::StoreRestored { .. }) {
                    metrics::counter!("banyannotch_gateway_store_restored_total").increment(1);
                }
                log::info!("{decision}");
            }
        }
    }

    fn flush(&mut self) {
        self.links.dispatch.flush();
        self.links.layout.flush();
        self.links.forwarding.flush();
        self.links.gossip.flush();
    }
}
