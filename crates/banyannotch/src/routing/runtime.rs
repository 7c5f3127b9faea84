//! Thread of routing: receives events from rings and sends actions to rings. It contains no decisions.

use super::{
    Action, Balance, BalanceName, Event, ExpectedTime, LeastReported, RoundRobin, Routing, RoutingContext,
    Uniform,
};
use crate::admission;
use crate::clock::Clock;
use crate::duty::{self, Ports, Supervisor};
use crate::execution;
use crate::ring::{Doorbell, Receiver, Sender, receive_batch};
use crate::telemetry::{Decision, Note};

/// Rings that connect routing to the other duties.
#[derive(Debug)]
pub struct Links {
    /// Wakes the thread when an event arrives.
    pub bell: Doorbell,
    /// Events from admission, execution, membership and configuration.
    pub inbound: Vec<Receiver<Event>>,
    /// Events to execution.
    pub execution: Sender<execution::Event>,
    /// Events to admission.
    pub admission: Sender<admission::Event>,
    /// Notes to telemetry.
    pub telemetry: Sender<Note>,
}

/// Starts the thread of routing with the balance that the settings name.
///
/// # Errors
/// Returns the error of the operating system when no thread can be created.
pub fn spawn<C: Clock>(
    supervisor: &Supervisor,
    clock: C,
    links: Links,
    context: RoutingContext,
    seed: u64,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    match context.settings.policy {
        BalanceName::ExpectedTime => {
            spawn_with_balance(supervisor, clock, links, context, seed, ExpectedTime::default())
        }
        BalanceName::LeastReported => {
            spawn_with_balance(supervisor, clock, links, context, seed, LeastReported)
        }
        BalanceName::Random => spawn_with_balance(supervisor, clock, links, context, seed, Uniform),
        BalanceName::RoundRobin => {
            spawn_with_balance(supervisor, clock, links, context, seed, RoundRobin::default())
        }
    }
}

fn spawn_with_balance<C: Clock, B: Balance + Send + 'static>(
    supervisor: &Supervisor,
    clock: C,
    links: Links,
    context: RoutingContext,
    seed: u64,
    balance: B,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    let port_supervisor = supervisor.clone();
    supervisor.spawn("routing", move || async move {
        let bell = links.bell.clone();
        let routing = Routing::new(seed, context, balance);
        duty::run(clock, bell, routing, RoutingPorts { links, supervisor: port_supervisor }).await;
    })
}

struct RoutingPorts {
    links: Links,
    supervisor: Supervisor,
}

impl Ports for RoutingPorts {
    type Event = Event;
    type Action = Action;

    fn receive(&mut self, events: &mut Vec<Event>) {
        events.extend(receive_batch(&mut self.links.inbound, duty::EVENT_BATCH));
    }

    fn perform(&mut self, _now_us: u64, action: Action) {
        match action {
            Action::Start(start) => self.send_execution(execution::Event::Start(start)),
            Action::RerouteResult(result) => self.send_execution(execution::Event::RerouteResult(result)),
            Action::Cancel(request) => self.send_execution(execution::Event::Cancel(request)),
            Action::Report(capacities) => {
                let event = admission::Event::Capacity(capacities);
                self.links.admission.send_or_fail(event, "routing_admission", &self.supervisor);
            }
            Action::OwnWorkMismatch { difference } => {
                metrics::counter!("banyannotch_invariant_violations_total", "invariant" => "own_work_counts")
                    .increment(1);
                log::error!("event=invariant_violated invariant=own_work_counts difference={difference}");
            }
            Action::Decide(decision) => {
                Note::Decision(Decision::Routing(decision)).send(&mut self.links.telemetry);
            }
        }
    }

    fn flush(&mut self) {
        self.links.execution.flush();
        self.links.admission.flush();
        self.links.telemetry.flush();
    }
}

impl RoutingPorts {
    fn send_execution(&mut self, event: execution::Event) {
        self.links.execution.send_or_fail(event, "routing_execution", &self.supervisor);
    }
}
