//! Thread of dispatch: rings in, rings out, and reports of engines. Nothing is decided here.

use std::time::Instant;

use super::{Action, Dispatch, DispatchSettings, Event, PeerState, RefusalReason, Verdict};
use crate::clock::Clock;
use crate::duty::{self, Mailbox, Ports, Supervisor};
use crate::gateway::adapter::EngineControl;
use crate::gateway::forwarding;
use crate::ring::{Doorbell, Receiver, Sender, receive_batch};

/// Longest wait for the report of an engine, in milliseconds; a live one answers within a few.
const REPORT_LIMIT_MS: u64 = 400;

/// Rings of the duty.
#[derive(Debug)]
pub struct Links {
    /// Wakes the thread.
    pub bell: Doorbell,
    /// From forwarding, catalog and gossip.
    pub inbound: Vec<Receiver<Event>>,
    /// To forwarding.
    pub forwarding: Sender<forwarding::Event>,
    /// To gossip.
    pub gossip: Sender<Box<PeerState>>,
}

/// Starts the thread. `control` makes the engines' client on that thread.
///
/// # Errors
/// Returns the error of the operating system when no thread can be created.
pub fn spawn<C: Clock, E: EngineControl>(
    supervisor: &Supervisor,
    clock: C,
    links: Links,
    settings: DispatchSettings,
    seed: u64,
    control: impl FnOnce() -> E + Send + 'static,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    let own = supervisor.clone();
    supervisor.spawn("dispatch", move || async move {
        let bell = links.bell.clone();
        let reports = Mailbox::new(&bell);
        let ports = DispatchPorts { links, supervisor: own, reports, control: control() };
        duty::run(clock, bell, Dispatch::new(settings, seed), ports).await;
    })
}

struct DispatchPorts<E> {
    links: Links,
    supervisor: Supervisor,
    reports: Mailbox<Event>,
    control: E,
}

impl<E: EngineControl> Ports for DispatchPorts<E> {
    type Event = Event;
    type Action = Action;

    fn receive(&mut self, events: &mut Vec<Event>) {
        events.extend(receive_batch(&mut self.links.inbound, duty::EVENT_BATCH));
        self.reports.take_into(events);
    }

    fn perform(&mut self, _now_us: u64, action: Action) {
        match action {
            Action::Reply { ticket, verdict } => {
                count(&verdict);
                self.forward(forwarding::Event::Verdict { ticket, verdict });
            }
            Action::Ready(ready) => {
                log::info!("event=ready_changed ready={ready}");
                self.forward(forwarding::Event::Ready(ready));
            }
            Action::Inspect(address) => {
                let (control, reports) = (self.control.clone(), self.reports.clone());
                actix_rt::spawn(async move {
                    let asked = Instant::now();
                    let report = control.report(address, REPORT_LIMIT_MS).await;
                    log::info!(
                        "event=inspected endpoint_address={address} after_ms={} report=\"{report:?}\"",
                        asked.elapsed().as_millis()
                    );
                    reports.put(Event::Report { address, report });
                });
            }
            Action::Share(state) => {
                if self.links.gossip.send(state).is_err() {
                    // The next state replaces the lost one.
                    metrics::counter!("banyannotch_gateway_shares_lost_total").increment(1);
                }
            }
            Action::Decide(decision) => log::info!("{decision}"),
        }
    }

    fn flush(&mut self) {
        self.links.forwarding.flush();
        self.links.gossip.flush();
    }
}

impl<E> DispatchPorts<E> {
    fn forward(&mut self, event: forwarding::Event) {
        self.links.forwarding.send_or_fail(event, "dispatch_forwarding", &self.supervisor);
    }
}

fn count(verdict: &Verdict) {
    match verdict {
        Verdict::Send(_) => metrics::counter!("banyannotch_gateway_sends_total").increment(1),
        Verdict::Deliver => metrics::counter!("banyannotch_gateway_failures_delivered_total").increment(1),
        Verdict::Refuse(refusal) => {
            metrics::counter!("banyannotch_gateway_refusals_total", "reason" => label(refusal.reason))
                .increment(1);
        }
    }
}

fn label(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::NoRoute => "no_route",
        RefusalReason::UnknownKey => "unknown_key",
        RefusalReason::BadRequest => "bad_request",
        RefusalReason::NoConfiguration => "no_configuration",
        RefusalReason::StaleConfiguration => "stale_configuration",
        RefusalReason::NoCapacity => "no_capacity",
        RefusalReason::Rejected => "rejected",
        RefusalReason::BudgetSpent => "budget_spent",
        RefusalReason::Quarantined => "quarantined",
        RefusalReason::Broken => "broken",
        RefusalReason::Expired => "expired",
    }
}
