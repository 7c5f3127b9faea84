//! Thread of dispatch: moves events and actions between the rings and the policy, and requests engine
//! reports. It makes no decisions.

use std::io::ErrorKind;
use std::time::{Duration, Instant};

use tokio::net::TcpStream;

use super::{
    Action, AdmissionState, Decision, Dispatch, DispatchSettings, Event, PeerState, ProbeResult,
    RefusalReason, Verdict,
};
use crate::clock::Clock;
use crate::duty::{self, Mailbox, Ports, Supervisor};
use crate::gateway::adapter::EngineControl;
use crate::gateway::{catalog, forwarding};
use crate::ring::{Doorbell, Receiver, Sender, receive_batch};

/// Timeout of the report of an engine, in milliseconds. A live engine answers within a few milliseconds.
const REPORT_TIMEOUT_MS: u64 = 400;

/// Time limit of a connection that only shows whether an endpoint listens, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 400;

/// Rings between dispatch and the other duties.
#[derive(Debug)]
pub struct Links {
    /// Wakes the thread of dispatch.
    pub bell: Doorbell,
    /// Events from forwarding, catalog, gossip and the daemon.
    pub inbound: Vec<Receiver<Event>>,
    /// Verdicts and readiness for forwarding.
    pub forwarding: Sender<forwarding::Event>,
    /// Departures of endpoints for the catalog.
    pub catalog: Sender<catalog::Event>,
    /// State of this gateway for gossip.
    pub gossip: Sender<Box<PeerState>>,
}

/// Starts the thread of dispatch. `control` is called on that thread to create the client of the engines.
///
/// # Errors
/// Returns the error of the operating system when no thread can be created.
pub fn spawn<C: Clock, E: EngineControl>(
    supervisor: &Supervisor,
    clock: C,
    links: Links,
    settings: DispatchSettings,
    seed: u64,
    control: impl Fn() -> E + Send + 'static,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    let ports_supervisor = supervisor.clone();
    supervisor.spawn("dispatch", move || async move {
        let bell = links.bell.clone();
        let reports = Mailbox::new(&bell);
        let ports = DispatchPorts {
            links,
            supervisor: ports_supervisor,
            reports,
            control: control(),
            new_control: control,
        };
        duty::run(clock, bell, Dispatch::new(settings, seed), ports).await;
    })
}

struct DispatchPorts<E, F> {
    links: Links,
    supervisor: Supervisor,
    reports: Mailbox<Event>,
    control: E,
    /// Creates a client that has no connections yet.
    new_control: F,
}

impl<E: EngineControl, F: Fn() -> E> Ports for DispatchPorts<E, F> {
    type Event = Event;
    type Action = Action;

    fn receive(&mut self, events: &mut Vec<Event>) {
        events.extend(receive_batch(&mut self.links.inbound, duty::EVENT_BATCH));
        self.reports.take_into(events);
    }

    fn perform(&mut self, _now_us: u64, action: Action) {
        match action {
            Action::Reply { ticket, verdict } => {
                count_verdict(&verdict);
                self.forward(forwarding::Event::Verdict { ticket, verdict });
            }
            Action::Ready(ready) => {
                log::info!("event=ready_changed ready={ready}");
                self.forward(forwarding::Event::Ready(ready));
            }
            Action::Inspect(address) => {
                let (control, reports) = (self.control.clone(), self.reports.clone());
                actix_rt::spawn(async move {
                    let requested_at = Instant::now();
                    let report = control.report(address, REPORT_TIMEOUT_MS).await;
                    log::info!(
                        "event=inspected endpoint_address={address} after_ms={} report=\"{report:?}\"",
                        requested_at.elapsed().as_millis()
                    );
                    reports.put(Event::Report { address, report });
                });
            }
            Action::Probe(address) => {
                let reports = self.reports.clone();
                actix_rt::spawn(async move {
                    let limit = Duration::from_millis(PROBE_TIMEOUT_MS);
                    let result = match tokio::time::timeout(limit, TcpStream::connect(address)).await {
                        Ok(Ok(_)) => ProbeResult::Reached,
                        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                            ProbeResult::Refused
                        }
                        // Without an answer the network may be at fault.
                        Ok(Err(_)) | Err(_) => ProbeResult::Unanswered,
                    };
                    log::info!("event=probed endpoint_address={address} result={result:?}");
                    reports.put(Event::Probed { address, result });
                });
            }
            Action::ProbeEngine(address) => {
                let (control, reports) = ((self.new_control)(), self.reports.clone());
                actix_rt::spawn(async move {
                    let report = control.report(address, REPORT_TIMEOUT_MS).await;
                    let result =
                        if report.is_some() { ProbeResult::Reached } else { ProbeResult::Unanswered };
                    log::info!("event=probed endpoint_address={address} result={result:?}");
                    reports.put(Event::Probed { address, result });
                });
            }
            Action::Gateways(gateways) => self.forward(forwarding::Event::Gateways(gateways)),
            Action::Leaving(start) => {
                let event = catalog::Event::Leaving { id: start.id, born_ms: start.born_ms };
                self.links.catalog.send_or_fail(event, "dispatch_catalog", &self.supervisor);
            }
            Action::PublishState(state) => {
                if self.links.gossip.send(state).is_err() {
                    // The state is published again at the next interval.
                    metrics::counter!("banyannotch_gateway_shares_lost_total").increment(1);
                }
            }
            Action::Decide(decision @ Decision::DecliningChosen { .. }) => {
                log::error!("{decision}");
                metrics::counter!(
                    "banyannotch_invariant_violations_total",
                    "invariant" => "no_request_to_declining_endpoint"
                )
                .increment(1);
            }
            Action::Decide(decision) => {
                if let Decision::CrashCounted { cause, .. } = &decision {
                    metrics::counter!("banyannotch_gateway_crashes_total", "cause" => *cause).increment(1);
                }
                if let Decision::Excluded { cause, .. } = &decision {
                    metrics::counter!("banyannotch_gateway_exclusions_total", "cause" => *cause).increment(1);
                }
                if let Decision::HandedOn { .. } = &decision {
                    metrics::counter!("banyannotch_gateway_handoffs_total").increment(1);
                }
                if let Decision::Refused { refusal, rank: Some(rank), .. } = &decision {
                    let reason = reason_label(refusal.reason);
                    metrics::counter!(
                        "banyannotch_gateway_class_refusals_total",
                        "reason" => reason, "rank" => rank.to_string()
                    )
                    .increment(1);
                }
                if let Decision::Queued { rank, .. } = &decision {
                    metrics::counter!("banyannotch_gateway_queued_total", "rank" => rank.to_string())
                        .increment(1);
                }
                log::info!("{decision}");
            }
            Action::MeasureAdmission(state) => measure_admission(&state),
        }
    }

    fn flush(&mut self) {
        self.links.forwarding.flush();
        self.links.catalog.flush();
        self.links.gossip.flush();
    }
}

impl<E, F> DispatchPorts<E, F> {
    fn forward(&mut self, event: forwarding::Event) {
        self.links.forwarding.send_or_fail(event, "dispatch_forwarding", &self.supervisor);
    }
}

fn measure_admission(state: &AdmissionState) {
    let service = state.service.as_str();
    if let Some(room) = state.room {
        metrics::gauge!("banyannotch_gateway_room", "service" => service.to_owned()).set(room);
    }
    for (rank, waiting) in state.waiting.iter().enumerate() {
        metrics::gauge!(
            "banyannotch_gateway_waiting",
            "service" => service.to_owned(), "rank" => rank.to_string()
        )
        .set(*waiting as f64);
    }
}

fn count_verdict(verdict: &Verdict) {
    match verdict {
        Verdict::Send(_) => metrics::counter!("banyannotch_gateway_sends_total").increment(1),
        Verdict::Deliver => metrics::counter!("banyannotch_gateway_failures_delivered_total").increment(1),
        Verdict::Abandon { .. } => {
            metrics::counter!("banyannotch_gateway_sends_abandoned_total").increment(1);
        }
        Verdict::Refuse(refusal) => {
            metrics::counter!("banyannotch_gateway_refusals_total", "reason" => reason_label(refusal.reason))
                .increment(1);
        }
    }
}

fn reason_label(reason: RefusalReason) -> &'static str {
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
        RefusalReason::QuarantinedPart => "quarantined_part",
        RefusalReason::Broken => "broken",
        RefusalReason::Expired => "expired",
    }
}
