//! Thread of intake: serves the callers' listener, receives events from the rings, and performs the actions
//! of the policy. It makes no decisions.

use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use super::front::{CallerHandler, FrontEnd};
use super::{Action, Event, Intake, IntakeSettings};
use crate::admission;
use crate::caller_memory::{AccountSettings, BufferSettings, CallerMemory, SocketBuffers};
use crate::clock::Clock;
use crate::duty::{self, Mailbox, Ports, Supervisor};
use crate::execution;
use crate::http::{CONNECTION_BYTES, ServerSettings, listener_from_std, serve_within};
use crate::request::{NotRun, Outcome, Reply};
use crate::ring::{Doorbell, Full, Receiver, Sender, receive_batch};
use crate::telemetry::Note;

/// Rings that connect intake to the other duties.
#[derive(Debug)]
pub struct Links {
    /// Doorbell that wakes the thread.
    pub bell: Doorbell,
    /// Rings from admission, execution, configuration, telemetry and the handle that drains the entry.
    pub inbound: Vec<Receiver<Event>>,
    /// Ring to admission.
    pub admission: Sender<admission::Event>,
    /// Ring to execution.
    pub execution: Sender<execution::Event>,
    /// Ring to telemetry.
    pub telemetry: Sender<Note>,
    /// Doorbell that is rung when all requests of a draining entry have been answered.
    pub drained: Doorbell,
}

/// Starts the thread of intake.
///
/// # Errors
/// Returns the error of the operating system when no thread can be created.
pub fn spawn<C: Clock>(
    supervisor: &Supervisor,
    clock: C,
    links: Links,
    listener: TcpListener,
    settings: IntakeSettings,
    id_prefix: u64,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    let thread_supervisor = supervisor.clone();
    supervisor.spawn("intake", move || async move {
        let bell = links.bell.clone();
        let mailbox = Mailbox::new(&bell);
        let front_end = Rc::new(FrontEnd::new(mailbox.clone(), id_prefix));
        let handler = CallerHandler {
            front_end: Rc::clone(&front_end),
            settings: ServerSettings::default(),
            clock: clock.clone(),
        };
        match listener_from_std(listener) {
            Ok(listener) => {
                let memory = CallerMemory::new(caller_limits(&settings), "callers");
                SocketBuffers::new(BufferSettings {
                    buffer_bytes: SOCKET_BUFFER_BYTES,
                    ..BufferSettings::default()
                })
                .limit(&listener);
                actix_rt::spawn(publish(Rc::clone(&memory)));
                actix_rt::spawn(serve_within(listener, handler.settings, memory, handler));
            }
            Err(error) => {
                log::error!("event=listener_failed port=callers error={error}");
                return;
            }
        }
        let ports = IntakePorts {
            links,
            mailbox,
            front_end,
            supervisor: thread_supervisor,
            readiness: Readiness::default(),
        };
        duty::run(clock, bell, Intake::new(settings), ports).await;
    })
}

/// Interval at which the gauges of the account are set.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(2);

async fn publish(memory: Rc<CallerMemory>) {
    loop {
        actix_rt::time::sleep(PUBLISH_INTERVAL).await;
        memory.publish();
    }
}

/// Size of each of the two socket buffers of a caller's connection.
const SOCKET_BUFFER_BYTES: usize = 8 << 10;

/// Returns the limits of what all callers take together.
fn caller_limits(settings: &IntakeSettings) -> AccountSettings {
    const BYTES_PER_MB: usize = 1 << 20;
    /// One part in this many is reserved for small requests.
    const RESERVED_DIVISOR: usize = 4;
    let limit_bytes = settings.callers_limit_mb * BYTES_PER_MB;
    AccountSettings {
        limit_bytes,
        reserved_bytes: limit_bytes / RESERVED_DIVISOR,
        connection_bytes: CONNECTION_BYTES,
        connection_limit: ServerSettings::default().connection_limit,
        ..AccountSettings::default()
    }
}

struct IntakePorts {
    links: Links,
    mailbox: Mailbox<Event>,
    front_end: Rc<FrontEnd>,
    supervisor: Supervisor,
    readiness: Readiness,
}

/// Conditions for the readiness that `/readyz` reports.
#[derive(Clone, Copy, Debug, Default)]
struct Readiness {
    configured: bool,
    uncertain: bool,
    draining: bool,
}

impl Readiness {
    fn is_ready(self) -> bool {
        self.configured && !self.uncertain && !self.draining
    }
}

impl Ports for IntakePorts {
    type Event = Event;
    type Action = Action;

    fn receive(&mut self, events: &mut Vec<Event>) {
        self.mailbox.take_into(events);
        let inbound_start = events.len();
        events.extend(receive_batch(&mut self.links.inbound, duty::EVENT_BATCH));
        for event in events.iter().skip(inbound_start) {
            match event {
                Event::Configured(_) => self.readiness.configured = true,
                Event::ConfigurationCertain(certain) => self.readiness.uncertain = !certain,
                Event::Drain => {
                    self.readiness.draining = true;
                    Note::Draining.send(&mut self.links.telemetry);
                }
                Event::Arrived(_)
                | Event::Reply(_)
                | Event::ConfigurationCertainUntil(_)
                | Event::TokensRead { .. }
                | Event::Disconnected(_) => {}
            }
        }
        self.front_end.set_ready(self.readiness.is_ready());
    }

    fn perform(&mut self, _now_us: u64, action: Action) {
        match action {
            Action::Submit(submission) => {
                if let Err(Full(admission::Event::Submit(submission))) =
                    self.links.admission.send(admission::Event::Submit(submission))
                {
                    let request = submission.request;
                    let outcome = Outcome::NotRun(NotRun::QueueFull);
                    log::warn!("event=ring_full ring=intake_admission request={request} action=refuse");
                    self.mailbox.put(Event::Reply(Reply::Ended { request, outcome }));
                }
            }
            Action::Reject { request, rejection, may_have_run } => {
                log::info!(
                    "event=rejected request={request} reason={} detail=\"{rejection}\"",
                    rejection.reason()
                );
                metrics::counter!("banyannotch_rejected_total", "reason" => rejection.reason()).increment(1);
                self.front_end.reject(request, &rejection, may_have_run);
            }
            Action::Token { request, index, id, text } => {
                self.front_end.send_token(request, index, id, &text);
            }
            Action::End { request, outcome, tokens } => {
                self.front_end.send_outcome(request, &outcome, tokens);
            }
            Action::Credit { request, tokens } => {
                let event = execution::Event::Credit { request, tokens };
                self.links.execution.send_or_fail(event, "intake_execution", &self.supervisor);
            }
            Action::Cancel(request) => {
                self.front_end.remove_response(request);
                let event = admission::Event::Cancel(request);
                self.links.admission.send_or_fail(event, "intake_admission", &self.supervisor);
            }
            Action::Violated { request, invariant } => {
                metrics::counter!("banyannotch_invariant_violations_total", "invariant" => invariant.name())
                    .increment(1);
                log::error!("event=invariant_violated invariant={} request={request}", invariant.name());
            }
            Action::Drained => self.links.drained.ring(),
        }
    }

    fn flush(&mut self) {
        self.links.admission.flush();
        self.links.execution.flush();
        self.links.telemetry.flush();
    }
}
