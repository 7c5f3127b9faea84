//! Thread of routing: rings in, rings out. Nothing is decided here.

use super::{
    Action, Balance, BalanceName, Event, ExpectedTime, LeastReported, RoundRobin, Routing, Surroundings,
    Uniform,
};
use crate::admission;
use crate::clock::Clock;
use crate::duty::{self, Ports, Supervisor};
use crate::execution;
use crate::ring::{Doorbell, Receiver, Sender, receive_batch};
use crate::telemetry::{Decision, Note};

/// Rings of the duty.
#[derive(Debug)]
pub struct Links {
    /// Wakes the thread.
    pub bell: Doorbell,
    /// From admission, execution, membership and configuration.
    pub inbound: Vec<Receiver<Event>>,
    /// To execution.
    pub execution: Sender<execution::Event>,
    /// To admission.
    pub admission: Sender<admission::Event>,
    /// To telemetry.
    pub telemetry: Sender<Note>,
}

/// Starts the thread.
///
/// # Errors
/// Returns the error of the operating system when no thread can be created.
pub fn spawn<C: Clock>(
    supervisor: &Supervisor,
    clock: C,
    links: Links,
    surroundings: Surroundings,
    seed: u64,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    match surroundings.settings.policy {
        BalanceName::ExpectedTime => {
            spawn_with(supervisor, clock, links, surroundings, seed, ExpectedTime::default())
        }
        BalanceName::LeastReported => spawn_with(supervisor, clock, links, surroundings, seed, LeastReported),
        BalanceName::Random => spawn_with(supervisor, clock, links, surroundings, seed, Uniform),
        BalanceName::RoundRobin => {
            spawn_with(supervisor, clock, links, surroundings, seed, RoundRobin::default())
        }
    }
}

fn spawn_with<C: Clock, B: Balance + Send + 'static>(
    supervisor: &Supervisor,
    clock: C,
    links: Links,
    surroundings: Surroundings,
    seed: u64,
    balance: B,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    let own = supervisor.clone();
    supervisor.spawn("routing", move || async move {
        let bell = links.bell.clone();
        let routing = Routing::new(seed, surroundings, balance);
        duty::run(clock, bell, routing, RoutingPorts { links, supervisor: own }).await;
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
            Action::Start(start) => self.execute(execution::Event::Start(start)),
            Action::Substitute(substitute) => self.execute(execution::Event::Substitute(substitute)),
            Action::Cancel(request) => self.execute(execution::Event::Cancel(request)),
            Action::Report(capacities) => {
                let event = admission::Event::Capacity(capacities);
                self.links.admission.send_or_fail(event, "routing_admission", &self.supervisor);
            }
            Action::Violated { counts } => {
                metrics::counter!("banyannotch_invariant_violations_total", "invariant" => "own_work_counts")
                    .increment(1);
                log::error!("event=invariant_violated invariant=own_work_counts difference={counts}");
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
    fn execute(&mut self, event: execution::Event) {
        self.links.execution.send_or_fail(event, "routing_execution", &self.supervisor);
    }
}
