//! Thread of admission: receives events from rings and sends actions to rings. It contains no decisions.

use super::{Action, Admission, AdmissionSettings, Event};
use crate::clock::Clock;
use crate::duty::{self, Ports, Supervisor};
use crate::intake;
use crate::request::{Outcome, Reply};
use crate::ring::{Doorbell, Receiver, Sender, receive_batch};
use crate::routing;
use crate::telemetry::{Decision, Note};

/// Rings that connect admission to the other duties.
#[derive(Debug)]
pub struct Links {
    /// Wakes the thread when an event arrives.
    pub bell: Doorbell,
    /// Events from intake, execution, routing and configuration.
    pub inbound: Vec<Receiver<Event>>,
    /// Events to intake.
    pub intake: Sender<intake::Event>,
    /// Events to routing.
    pub routing: Sender<routing::Event>,
    /// Notes to telemetry.
    pub telemetry: Sender<Note>,
}

/// Starts the thread of admission.
///
/// # Errors
/// Returns the error of the operating system when no thread can be created.
pub fn spawn<C: Clock>(
    supervisor: &Supervisor,
    clock: C,
    links: Links,
    settings: AdmissionSettings,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    let port_supervisor = supervisor.clone();
    supervisor.spawn("admission", move || async move {
        let bell = links.bell.clone();
        duty::run(
            clock,
            bell,
            Admission::new(settings),
            AdmissionPorts { links, supervisor: port_supervisor },
        )
        .await;
    })
}

struct AdmissionPorts {
    links: Links,
    supervisor: Supervisor,
}

impl Ports for AdmissionPorts {
    type Event = Event;
    type Action = Action;

    fn receive(&mut self, events: &mut Vec<Event>) {
        events.extend(receive_batch(&mut self.links.inbound, duty::EVENT_BATCH));
    }

    fn perform(&mut self, _now_us: u64, action: Action) {
        match action {
            Action::Place(submission) => {
                let event = routing::Event::Place(submission);
                self.links.routing.send_or_fail(event, "admission_routing", &self.supervisor);
            }
            Action::Refuse { request, reason } => {
                metrics::counter!("banyannotch_requests_total", "outcome" => "not_run").increment(1);
                let reply = Reply::Ended { request, outcome: Outcome::NotRun(reason) };
                let event = intake::Event::Reply(reply);
                self.links.intake.send_or_fail(event, "admission_intake", &self.supervisor);
            }
            Action::Cancel(request) => {
                let event = routing::Event::Cancel(request);
                self.links.routing.send_or_fail(event, "admission_routing", &self.supervisor);
            }
            Action::Decide(decision) => {
                metrics::gauge!("banyannotch_in_flight").set(f64::from(decision.in_flight));
                Note::Decision(Decision::Admission(decision)).send(&mut self.links.telemetry);
            }
        }
    }

    fn flush(&mut self) {
        self.links.intake.flush();
        self.links.routing.flush();
        self.links.telemetry.flush();
    }
}
