//! Runs the thread of the configuration duty: reads and appends to the log, and passes messages between the
//! rings and the policy. It makes no decisions.

use std::sync::Arc;
use std::time::Duration;

use super::messages::STREAM;
use super::{
    Action, ChangeRecord, Configuration, ConfigurationPolicy, ConfigurationSettings, Decision, Event,
};
use crate::backing::{HttpLog, LogService};
use crate::clock::Clock;
use crate::duty::{self, Mailbox, Ports, Supervisor};
use crate::http::{Client, ClientSettings};
use crate::ids::{InstanceId, LogOffset};
use crate::pipeline::Address;
use crate::ring::{Doorbell, Receiver, Sender, receive_batch};
use crate::telemetry::Note;
use crate::{admission, intake, peers, placement, routing, telemetry};

/// Maximum number of records of one read.
const READ_LIMIT_RECORDS: u32 = 256;

/// Timeout of an append.
const APPEND_TIMEOUT_MS: u64 = 2_000;

/// Ring ends of the configuration duty.
#[derive(Debug)]
pub struct Links {
    /// Wakes the thread of the duty.
    pub bell: Doorbell,
    /// Events from the peers duty.
    pub inbound: Vec<Receiver<Event>>,
    /// Events to intake.
    pub intake: Sender<intake::Event>,
    /// Events to admission.
    pub admission: Sender<admission::Event>,
    /// Events to routing.
    pub routing: Sender<routing::Event>,
    /// Events to the peers duty.
    pub peers: Sender<peers::Event>,
    /// Events to placement.
    pub placement: Sender<placement::Event>,
    /// Notes to telemetry.
    pub telemetry: Sender<Note>,
}

/// Starts the thread of the configuration duty. `name` is the author of its restating records.
///
/// # Errors
/// Returns the error of the operating system if the thread cannot be created.
pub fn spawn<C: Clock>(
    supervisor: &Supervisor,
    clock: C,
    links: Links,
    settings: ConfigurationSettings,
    name: InstanceId,
    log: Address,
    seed: u64,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    let own = supervisor.clone();
    supervisor.spawn("configuration", move || async move {
        let bell = links.bell.clone();
        let log = HttpLog::new(Client::new(ClientSettings::default()), log);
        let mailbox = Mailbox::new(&bell);
        let ports = ConfigurationPorts { links, mailbox, log, clock: clock.clone(), supervisor: own };
        let policy = ConfigurationPolicy::new(&settings, name.as_str(), seed);
        duty::run(clock, bell, policy, ports).await;
    })
}

struct ConfigurationPorts<L, C> {
    links: Links,
    mailbox: Mailbox<Event>,
    log: L,
    clock: C,
    supervisor: Supervisor,
}

impl<L: LogService, C: Clock> Ports for ConfigurationPorts<L, C> {
    type Event = Event;
    type Action = Action;

    fn receive(&mut self, events: &mut Vec<Event>) {
        self.mailbox.take_into(events);
        events.extend(receive_batch(&mut self.links.inbound, duty::EVENT_BATCH));
    }

    fn perform(&mut self, _now_us: u64, action: Action) {
        match action {
            Action::Read { from, after_ms, wait_ms } => self.read(from, after_ms, wait_ms),
            Action::Append(record) => self.append(&record),
            Action::Publish(content) => self.publish(&content.configuration),
            Action::Claim { content, through } => {
                let event = peers::Event::Configured { content, through };
                self.links.peers.send_or_fail(event, "configuration_peers", &self.supervisor);
            }
            Action::Certain(certain) => {
                metrics::gauge!("banyannotch_configuration_certain").set(f64::from(u8::from(certain)));
                let event = intake::Event::ConfigurationCertain(certain);
                self.links.intake.send_or_fail(event, "configuration_intake", &self.supervisor);
            }
            Action::CertainUntil(until_us) => {
                let event = intake::Event::ConfigurationCertainUntil(until_us);
                self.links.intake.send_or_fail(event, "configuration_intake", &self.supervisor);
            }
            Action::Peers(versions) => Note::Peers(versions).send(&mut self.links.telemetry),
            Action::Decide(decision) => {
                count(&decision);
                let decision = telemetry::Decision::Configuration(decision);
                Note::Decision(decision).send(&mut self.links.telemetry);
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

impl<L: LogService, C: Clock> ConfigurationPorts<L, C> {
    fn read(&self, from: LogOffset, after_ms: u64, wait_ms: u64) {
        let (log, mailbox, clock) = (self.log.clone(), self.mailbox.clone(), self.clock.clone());
        actix_rt::spawn(async move {
            if after_ms > 0 {
                actix_rt::time::sleep(Duration::from_millis(after_ms)).await;
            }
            let records = log.read(STREAM, from, READ_LIMIT_RECORDS, wait_ms).await;
            if let Err(error) = &records {
                log::debug!("event=log_not_read stream={STREAM} error={error}");
            }
            mailbox.put(Event::Read { records: records.ok(), unix_ms: clock.unix_ms() });
        });
    }

    fn append(&self, record: &ChangeRecord) {
        let (log, mailbox) = (self.log.clone(), self.mailbox.clone());
        let data = serde_json::to_vec(record);
        actix_rt::spawn(async move {
            let succeeded = match data {
                Ok(data) => match log.append(STREAM, &data, APPEND_TIMEOUT_MS).await {
                    Ok(offset) => {
                        log::info!("event=state_restated stream={STREAM} offset={offset}");
                        true
                    }
                    Err(error) => {
                        log::debug!("event=log_not_appended stream={STREAM} error={error}");
                        false
                    }
                },
                Err(error) => {
                    log::error!("event=record_not_encoded stream={STREAM} error={error}");
                    false
                }
            };
            mailbox.put(Event::Appended { succeeded });
        });
    }

    fn publish(&mut self, configuration: &Arc<Configuration>) {
        metrics::gauge!("banyannotch_configuration_version").set(configuration.version.0 as f64);
        let supervisor = &self.supervisor;
        let links = &mut self.links;
        // Intake is notified last, so that the other duties have a version before requests are admitted under
        // it.
        let event = routing::Event::Configured(Arc::clone(configuration));
        links.routing.send_or_fail(event, "configuration_routing", supervisor);
        let event = admission::Event::Configured(Arc::clone(configuration));
        links.admission.send_or_fail(event, "configuration_admission", supervisor);
        let event = placement::Event::Configured(Arc::clone(configuration));
        links.placement.send_or_fail(event, "configuration_placement", supervisor);
        let event = intake::Event::Configured(Arc::clone(configuration));
        links.intake.send_or_fail(event, "configuration_intake", supervisor);
        Note::Configuration(Arc::clone(configuration)).send(&mut links.telemetry);
    }
}

fn count(decision: &Decision) {
    match decision {
        Decision::Contradiction { version, current, source } => {
            metrics::counter!("banyannotch_invariant_violations_total", "invariant" => "one_content_per_version")
                .increment(1);
            log::error!(
                "event=invariant_violated invariant=one_content_per_version version={version} current={current} \
                 source={source}"
            );
        }
        Decision::Refused { .. } => {
            metrics::counter!("banyannotch_configuration_refused_total").increment(1);
        }
        Decision::Gap { .. } => metrics::counter!("banyannotch_configuration_gaps_total").increment(1),
        Decision::Accepted { .. } | Decision::Adopted { .. } | Decision::Certain(_) => {}
    }
}
