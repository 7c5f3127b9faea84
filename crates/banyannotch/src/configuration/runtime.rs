//! Thread of configuration: reads the log, rings out. Nothing is decided here.

use std::sync::Arc;
use std::time::Duration;

use super::messages::STREAM;
use super::{Acceptance, Action, Configuration, Event};
use crate::clock::Clock;
use crate::duty::{self, Mailbox, Ports, Supervisor};
use crate::http::{Client, ClientSettings};
use crate::ids::LogOffset;
use crate::pipeline::Address;
use crate::platform::{HttpLog, LogService};
use crate::ring::{Doorbell, Sender};
use crate::telemetry::{Decision, Note};
use crate::{admission, intake, peers, placement, routing};

/// Records of one read.
const READ_MAX: u32 = 256;

/// How long a read waits for a record.
const READ_WAIT_MS: u64 = 1_000;

/// Rings of the duty.
#[derive(Debug)]
pub struct Links {
    /// Wakes the thread.
    pub bell: Doorbell,
    /// To intake.
    pub intake: Sender<intake::Event>,
    /// To admission.
    pub admission: Sender<admission::Event>,
    /// To routing.
    pub routing: Sender<routing::Event>,
    /// To the peers.
    pub peers: Sender<peers::Event>,
    /// To placement.
    pub placement: Sender<placement::Event>,
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
    log: Address,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    let own = supervisor.clone();
    supervisor.spawn("configuration", move || async move {
        let bell = links.bell.clone();
        let log = HttpLog::new(Client::new(ClientSettings::default()), log);
        let ports = ConfigurationPorts { links, mailbox: Mailbox::new(&bell), log, supervisor: own };
        duty::run(clock, bell, Acceptance::default(), ports).await;
    })
}

struct ConfigurationPorts<L> {
    links: Links,
    mailbox: Mailbox<Event>,
    log: L,
    supervisor: Supervisor,
}

impl<L: LogService> Ports for ConfigurationPorts<L> {
    type Event = Event;
    type Action = Action;

    fn receive(&mut self, events: &mut Vec<Event>) {
        self.mailbox.take_into(events);
    }

    fn perform(&mut self, _now_us: u64, action: Action) {
        match action {
            Action::Read { from, after_ms } => self.read(from, after_ms),
            Action::Publish(configuration) => self.publish(&configuration),
            Action::Decide(decision) => {
                Note::Decision(Decision::Configuration(decision)).send(&mut self.links.telemetry);
            }
        }
    }

    fn flush(&mut self) {
        self.links.intake.flush();
        self.links.admission.flush();
        self.links.routing.flush();
        self.links.peers.flush();
        self.links.placement.flush();
        self.links.telemetry.flush();
    }
}

impl<L: LogService> ConfigurationPorts<L> {
    fn read(&self, from: LogOffset, after_ms: u64) {
        let (log, mailbox) = (self.log.clone(), self.mailbox.clone());
        actix_rt::spawn(async move {
            if after_ms > 0 {
                actix_rt::time::sleep(Duration::from_millis(after_ms)).await;
            }
            let records = log.read(STREAM, from, READ_MAX, READ_WAIT_MS).await;
            if let Err(error) = &records {
                log::debug!("event=log_not_read stream={STREAM} error={error}");
            }
            mailbox.put(Event::Read(records.ok()));
        });
    }

    fn publish(&mut self, configuration: &Arc<Configuration>) {
        metrics::gauge!("banyannotch_configuration_version").set(configuration.version.0 as f64);
        let supervisor = &self.supervisor;
        let links = &mut self.links;
        // Intake comes last: a request admitted under a version finds the other duties at that version.
        let event = routing::Event::Configured(Arc::clone(configuration));
        links.routing.send_or_fail(event, "configuration_routing", supervisor);
        let event = admission::Event::Configured(Arc::clone(configuration));
        links.admission.send_or_fail(event, "configuration_admission", supervisor);
        let event = peers::Event::Configured(Arc::clone(configuration));
        links.peers.send_or_fail(event, "configuration_peers", supervisor);
        let event = placement::Event::Configured(Arc::clone(configuration));
        links.placement.send_or_fail(event, "configuration_placement", supervisor);
        let event = intake::Event::Configured(Arc::clone(configuration));
        links.intake.send_or_fail(event, "configuration_intake", supervisor);
        Note::Configuration(Arc::clone(configuration)).send(&mut links.telemetry);
    }
}
