//! Runs the thread of the membership duty: fetches the instance list and load reports, and passes messages
//! between the rings and the policy. It makes no decisions.

use std::sync::Arc;

use super::{Action, Endpoint, EndpointKind, Event, Membership, MembershipSettings, MissingReportReason};
use crate::backing::{HttpInstanceList, InstanceList};
use crate::clock::Clock;
use crate::duty::{self, Mailbox, Ports, Supervisor};
use crate::engine::{EndpointClient, EndpointError};
use crate::http::{CallError, Client, ClientSettings};
use crate::ids::{EndpointId, InstanceId};
use crate::pipeline::Address;
use crate::ring::{Doorbell, Receiver, Sender, receive_batch};
use crate::telemetry::{Decision, Note};
use crate::{peers, placement, routing};

/// Ring ends of the membership duty.
#[derive(Debug)]
pub struct Links {
    /// Wakes the thread of the duty.
    pub bell: Doorbell,
    /// Events from execution and the peers duty.
    pub inbound: Vec<Receiver<Event>>,
    /// Events to routing.
    pub routing: Sender<routing::Event>,
    /// Events to the peers duty.
    pub peers: Sender<peers::Event>,
    /// Events to placement.
    pub placement: Sender<placement::Event>,
    /// Notes to telemetry.
    pub telemetry: Sender<Note>,
}

/// Starts the thread of the membership duty.
///
/// # Errors
/// Returns the error of the operating system if the thread cannot be created.
pub fn spawn<C: Clock>(
    supervisor: &Supervisor,
    clock: C,
    links: Links,
    settings: MembershipSettings,
    list: Address,
    own_instance: InstanceId,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    let own = supervisor.clone();
    supervisor.spawn("membership", move || async move {
        let bell = links.bell.clone();
        // The connect timeout is longer than that of a fetch, because a connection attempt that times out
        // must count as silence and not as a refusal.
        let connect_timeout_ms = settings.fetch_limit_ms.saturating_mul(2);
        let http = Client::new(ClientSettings { connect_timeout_ms, ..ClientSettings::default() });
        let ports = MembershipPorts {
            links,
            mailbox: Mailbox::new(&bell),
            list: HttpInstanceList::new(http.clone(), list),
            client: EndpointClient::new(http),
            fetch_timeout_ms: settings.fetch_limit_ms,
            supervisor: own,
        };
        duty::run(clock, bell, Membership::new(settings, own_instance), ports).await;
    })
}

struct MembershipPorts<L> {
    links: Links,
    mailbox: Mailbox<Event>,
    list: L,
    client: EndpointClient,
    fetch_timeout_ms: u64,
    supervisor: Supervisor,
}

impl<L: InstanceList> Ports for MembershipPorts<L> {
    type Event = Event;
    type Action = Action;

    fn receive(&mut self, events: &mut Vec<Event>) {
        self.mailbox.take_into(events);
        events.extend(receive_batch(&mut self.links.inbound, duty::EVENT_BATCH));
    }

    fn perform(&mut self, _now_us: u64, action: Action) {
        match action {
            Action::FetchList => self.fetch_list(),
            Action::FetchLoad { endpoint, address, kind } => self.fetch_load(endpoint, address, kind),
            Action::Publish(endpoints) => self.publish(&endpoints),
            Action::Announce(observations) => {
                let event = peers::Event::Observed(observations);
                self.links.peers.send_or_fail(event, "membership_peers", &self.supervisor);
            }
            Action::Entries(entries) => {
                let event = peers::Event::Entries(entries);
                self.links.peers.send_or_fail(event, "membership_peers", &self.supervisor);
            }
            Action::Decide(decision) => {
                Note::Decision(Decision::Membership(decision)).send(&mut self.links.telemetry);
            }
        }
    }

    fn flush(&mut self) {
        self.links.routing.flush();
        self.links.peers.flush();
        self.links.placement.flush();
        self.links.telemetry.flush();
    }
}

impl<L: InstanceList> MembershipPorts<L> {
    fn fetch_list(&self) {
        let (list, mailbox, fetch_timeout_ms) =
            (self.list.clone(), self.mailbox.clone(), self.fetch_timeout_ms);
        actix_rt::spawn(async move {
            let instances = list.instances(fetch_timeout_ms).await;
            if let Err(error) = &instances {
                log::debug!("event=list_not_fetched error={error}");
            }
            mailbox.put(Event::Listed(instances.ok()));
        });
    }

    fn fetch_load(&self, endpoint: EndpointId, address: Address, kind: EndpointKind) {
        let (client, mailbox, fetch_timeout_ms) =
            (self.client.clone(), self.mailbox.clone(), self.fetch_timeout_ms);
        actix_rt::spawn(async move {
            let fetched = match kind {
                EndpointKind::Engine => client
                    .engine_load(address, fetch_timeout_ms)
                    .await
                    .map(|report| Event::EngineReport { endpoint: endpoint.clone(), report }),
                EndpointKind::Service => client
                    .service_load(address, fetch_timeout_ms)
                    .await
                    .map(|report| Event::ServiceReport { endpoint: endpoint.clone(), report }),
            };
            let event = fetched.unwrap_or_else(|error| {
                log::debug!("event=load_not_fetched endpoint={endpoint} error={error}");
                Event::NoReport { endpoint, reason: missing_report_reason(&error) }
            });
            mailbox.put(event);
        });
    }

    fn publish(&mut self, endpoints: &Arc<[Endpoint]>) {
        let event = routing::Event::Endpoints(Arc::clone(endpoints));
        self.links.routing.send_or_fail(event, "membership_routing", &self.supervisor);
        let event = placement::Event::Endpoints(Arc::clone(endpoints));
        self.links.placement.send_or_fail(event, "membership_placement", &self.supervisor);
        Note::Endpoints(Arc::clone(endpoints)).send(&mut self.links.telemetry);
    }
}

fn missing_report_reason(error: &EndpointError) -> MissingReportReason {
    match error {
        EndpointError::Call(CallError::NotSent(_)) => MissingReportReason::Refused,
        EndpointError::Call(CallError::Broken(_) | CallError::TimedOut { .. }) => {
            MissingReportReason::Silence
        }
        EndpointError::Call(CallError::BadAnswer(_))
        | EndpointError::Refused(_)
        | EndpointError::Status { .. } => MissingReportReason::UnexpectedAnswer,
    }
}
