//! Runs the thread of the placement duty: reads and appends to the lease stream, and sends orders. Its only
//! decision is whether the lease still lasts while an order is sent.

use std::future::Future;
use std::time::Duration;

use super::lease::STREAM;
use super::policy::READ_LIMIT_RECORDS;
use super::{Action, Event, LeaseRecord, OrderAction, OrderResult, Placement, PlacementSettings};
use crate::backing::{HttpLog, LogService};
use crate::clock::Clock;
use crate::duty::{self, Mailbox, Ports, Supervisor};
use crate::engine::{EndpointClient, EndpointError, Order};
use crate::http::{Client, ClientSettings};
use crate::ids::{EndpointId, LogOffset};
use crate::pipeline::Address;
use crate::ring::{Doorbell, Receiver, Sender, receive_batch};
use crate::telemetry::{Decision, Note};

/// Maximum time for which the log waits for a record if there is none.
const READ_WAIT_MS: u64 = 2_500;

/// Timeout of an append. Its result is only logged, because a record counts once it has been read back.
const APPEND_TIMEOUT_MS: u64 = 2_000;

/// Ring ends of the placement duty.
#[derive(Debug)]
pub struct Links {
    /// Wakes the thread of the duty.
    pub bell: Doorbell,
    /// Events from membership and configuration.
    pub inbound: Vec<Receiver<Event>>,
    /// Notes to telemetry.
    pub telemetry: Sender<Note>,
}

/// Starts the thread of the placement duty. `own` is the instance and incarnation of this entry.
///
/// # Errors
/// Returns the error of the operating system if the thread cannot be created.
pub fn spawn<C: Clock>(
    supervisor: &Supervisor,
    clock: C,
    links: Links,
    settings: PlacementSettings,
    log: Address,
    own: EndpointId,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    supervisor.spawn("placement", move || async move {
        let bell = links.bell.clone();
        let http = Client::new(ClientSettings::default());
        let ports = PlacementPorts {
            links,
            clock: clock.clone(),
            mailbox: Mailbox::new(&bell),
            log: HttpLog::new(http.clone(), log),
            client: EndpointClient::new(http),
            order_limit_ms: settings.order_limit_ms,
        };
        duty::run(clock, bell, Placement::new(settings, own), ports).await;
    })
}

struct PlacementPorts<L, C> {
    links: Links,
    clock: C,
    mailbox: Mailbox<Event>,
    log: L,
    client: EndpointClient,
    order_limit_ms: u64,
}

impl<L: LogService, C: Clock> Ports for PlacementPorts<L, C> {
    type Event = Event;
    type Action = Action;

    fn receive(&mut self, events: &mut Vec<Event>) {
        self.mailbox.take_into(events);
        events.extend(receive_batch(&mut self.links.inbound, duty::EVENT_BATCH));
    }

    fn perform(&mut self, _now_us: u64, action: Action) {
        match action {
            Action::Read { from, after_ms } => self.read(from, after_ms),
            Action::Append(record) => self.append(&record),
            Action::Order(order) => self.order(order),
            Action::Decide(decision) => {
                Note::Decision(Decision::Placement(decision)).send(&mut self.links.telemetry);
            }
        }
    }

    fn flush(&mut self) {
        self.links.telemetry.flush();
    }
}

impl<L: LogService, C: Clock> PlacementPorts<L, C> {
    fn read(&self, from: LogOffset, after_ms: u64) {
        let (log, mailbox, clock) = (self.log.clone(), self.mailbox.clone(), self.clock.clone());
        actix_rt::spawn(async move {
            if after_ms > 0 {
                actix_rt::time::sleep(Duration::from_millis(after_ms)).await;
            }
            let requested_us = clock.now_us();
            let max = u32::try_from(READ_LIMIT_RECORDS).unwrap_or(u32::MAX);
            let page = log.read(STREAM, from, max, READ_WAIT_MS).await;
            if let Err(error) = &page {
                log::debug!("event=log_not_read stream={STREAM} error={error}");
            }
            mailbox.put(Event::Read { requested_us, page: page.ok() });
        });
    }

    fn append(&self, record: &LeaseRecord) {
        let log = self.log.clone();
        let Ok(data) = serde_json::to_vec(record) else { return };
        actix_rt::spawn(async move {
            if let Err(error) = log.append(STREAM, &data, APPEND_TIMEOUT_MS).await {
                log::debug!("event=lease_not_appended stream={STREAM} error={error}");
            }
        });
    }

    fn order(&self, action: OrderAction) {
        let (client, mailbox, clock) = (self.client.clone(), self.mailbox.clone(), self.clock.clone());
        let timeout_ms = self.order_limit_ms;
        actix_rt::spawn(async move {
            let order = Order {
                fencing: action.fencing,
                model: action.model,
                version: action.version,
                layers: action.layers,
            };
            let sent =
                while_held(&clock, action.until_us, client.order(action.address, &order, timeout_ms)).await;
            let result = match sent {
                None => OrderResult::NotSent,
                Some(Ok(())) => OrderResult::Taken,
                Some(Err(EndpointError::Refused(refusal))) if refusal.error == "stale_fencing" => {
                    OrderResult::Stale
                }
                Some(Err(error)) => {
                    log::debug!("event=order_failed endpoint={} error={error}", action.endpoint);
                    OrderResult::Failed
                }
            };
            mailbox.put(Event::Ordered { endpoint: action.endpoint, result });
        });
    }
}

/// Polls a send while the lease lasts, and returns none if the lease ends first. The clock is checked before
/// every poll and not only at the start, because connecting takes several polls and the process may be paused
/// between two of them.
pub(super) async fn while_held<C: Clock, F: Future>(clock: &C, until_us: u64, send: F) -> Option<F::Output> {
    let mut send = std::pin::pin!(send);
    std::future::poll_fn(|context| {
        if clock.now_us() >= until_us {
            return std::task::Poll::Ready(None);
        }
        send.as_mut().poll(context).map(Some)
    })
    .await
}
