//! Creates the rings between the duties of an entry.

use crate::ring::{Doorbell, Receiver, Sender, link};
use crate::telemetry::{Note, RingHeldCounts};
use crate::{
    admission, configuration, execution, intake, ledger, membership, peers, placement, routing, telemetry,
};

/// Capacity of a ring in items.
const RING_CAPACITY_ITEMS: usize = 1_024;

/// Maximum number of items that a sender holds while a ring is full. It covers the credit of all requests
/// that can be in flight, so that a sender reaches it only if the receiver hangs.
const HELD_LIMIT_ITEMS: usize = 1 << 19;

/// Maximum number of requests that intake holds while the ring to admission is full. Further ones are
/// refused, because admission would not finish them in time.
const HELD_LIMIT_REQUESTS: usize = 4_096;

/// Maximum number of telemetry notes that a duty holds while the ring is full. Further ones are dropped and
/// counted.
const HELD_LIMIT_NOTES: usize = 1 << 14;

/// Maximum number of reports of other entries that are held while a ring is full. Further ones are dropped
/// and counted.
const HELD_LIMIT_REPORTS: usize = 1 << 12;

/// Ring ends of each duty.
pub(super) struct Links {
    pub intake: intake::Links,
    pub admission: admission::Links,
    pub routing: routing::Links,
    pub execution: execution::Links,
    pub ledger: ledger::Links,
    pub configuration: configuration::Links,
    pub membership: membership::Links,
    pub peers: peers::Links,
    pub placement: placement::Links,
    pub telemetry: telemetry::Links,
    /// Ring of the daemon to intake, to begin a shutdown.
    pub stop: Sender<intake::Event>,
}

/// Doorbells that wake the threads of the duties.
#[derive(Debug, Default)]
struct Doorbells {
    intake: Doorbell,
    admission: Doorbell,
    routing: Doorbell,
    execution: Doorbell,
    ledger: Doorbell,
    configuration: Doorbell,
    membership: Doorbell,
    peers: Doorbell,
    placement: Doorbell,
    telemetry: Doorbell,
}

/// Creates the rings into one duty, and collects their receiving ends and names.
struct Inbox<E> {
    bell: Doorbell,
    receivers: Vec<Receiver<E>>,
    rings: RingHeldCounts,
}

impl<E> Inbox<E> {
    fn new(bell: &Doorbell) -> Self {
        Self { bell: bell.clone(), receivers: Vec::new(), rings: RingHeldCounts::new() }
    }

    fn ring_from(&mut self, name: &'static str, sender_bell: &Doorbell, held_limit: usize) -> Sender<E> {
        let (sender, receiver) = link(RING_CAPACITY_ITEMS, held_limit, sender_bell, &self.bell);
        self.receivers.push(receiver);
        self.rings.push((name, sender.held_count()));
        sender
    }
}

impl Links {
    /// Creates all rings. `drained` is rung when a draining entry has answered all requests.
    pub fn connect(drained: &Doorbell) -> Self {
        let doorbells = Doorbells::default();
        let mut to_intake = Inbox::new(&doorbells.intake);
        let mut to_admission = Inbox::new(&doorbells.admission);
        let mut to_routing = Inbox::new(&doorbells.routing);
        let mut to_execution = Inbox::new(&doorbells.execution);
        let mut to_ledger = Inbox::new(&doorbells.ledger);
        let mut to_configuration = Inbox::new(&doorbells.configuration);
        let mut to_membership = Inbox::new(&doorbells.membership);
        let mut to_peers = Inbox::new(&doorbells.peers);
        let mut to_placement = Inbox::new(&doorbells.placement);
        let mut to_telemetry: Inbox<Note> = Inbox::new(&doorbells.telemetry);

        let intake_links = intake::Links {
            bell: doorbells.intake.clone(),
            inbound: Vec::new(),
            admission: to_admission.ring_from("intake_admission", &doorbells.intake, HELD_LIMIT_REQUESTS),
            execution: to_execution.ring_from("intake_execution", &doorbells.intake, HELD_LIMIT_ITEMS),
            telemetry: to_telemetry.ring_from("intake_telemetry", &doorbells.intake, HELD_LIMIT_NOTES),
            drained: drained.clone(),
        };
        let admission_links = admission::Links {
            bell: doorbells.admission.clone(),
            inbound: Vec::new(),
            intake: to_intake.ring_from("admission_intake", &doorbells.admission, HELD_LIMIT_ITEMS),
            routing: to_routing.ring_from("admission_routing", &doorbells.admission, HELD_LIMIT_ITEMS),
            telemetry: to_telemetry.ring_from("admission_telemetry", &doorbells.admission, HELD_LIMIT_NOTES),
        };
        let routing_links = routing::Links {
            bell: doorbells.routing.clone(),
            inbound: Vec::new(),
            execution: to_execution.ring_from("routing_execution", &doorbells.routing, HELD_LIMIT_ITEMS),
            admission: to_admission.ring_from("routing_admission", &doorbells.routing, HELD_LIMIT_ITEMS),
            telemetry: to_telemetry.ring_from("routing_telemetry", &doorbells.routing, HELD_LIMIT_NOTES),
        };
        let execution_links = execution::Links {
            bell: doorbells.execution.clone(),
            inbound: Vec::new(),
            intake: to_intake.ring_from("execution_intake", &doorbells.execution, HELD_LIMIT_ITEMS),
            admission: to_admission.ring_from("execution_admission", &doorbells.execution, HELD_LIMIT_ITEMS),
            routing: to_routing.ring_from("execution_routing", &doorbells.execution, HELD_LIMIT_ITEMS),
            ledger: to_ledger.ring_from("execution_ledger", &doorbells.execution, HELD_LIMIT_ITEMS),
            membership: to_membership.ring_from(
                "execution_membership",
                &doorbells.execution,
                HELD_LIMIT_ITEMS,
            ),
            peers: to_peers.ring_from("execution_peers", &doorbells.execution, HELD_LIMIT_ITEMS),
            telemetry: to_telemetry.ring_from("execution_telemetry", &doorbells.execution, HELD_LIMIT_NOTES),
        };
        let ledger_links = ledger::Links {
            bell: doorbells.ledger.clone(),
            inbound: Vec::new(),
            execution: to_execution.ring_from("ledger_execution", &doorbells.ledger, HELD_LIMIT_ITEMS),
            telemetry: to_telemetry.ring_from("ledger_telemetry", &doorbells.ledger, HELD_LIMIT_NOTES),
        };
        let configuration_links = configuration::Links {
            bell: doorbells.configuration.clone(),
            inbound: Vec::new(),
            intake: to_intake.ring_from("configuration_intake", &doorbells.configuration, HELD_LIMIT_ITEMS),
            admission: to_admission.ring_from(
                "configuration_admission",
                &doorbells.configuration,
                HELD_LIMIT_ITEMS,
            ),
            routing: to_routing.ring_from(
                "configuration_routing",
                &doorbells.configuration,
                HELD_LIMIT_ITEMS,
            ),
            peers: to_peers.ring_from("configuration_peers", &doorbells.configuration, HELD_LIMIT_ITEMS),
            placement: to_placement.ring_from(
                "configuration_placement",
                &doorbells.configuration,
                HELD_LIMIT_ITEMS,
            ),
            telemetry: to_telemetry.ring_from(
                "configuration_telemetry",
                &doorbells.configuration,
                HELD_LIMIT_NOTES,
            ),
        };
        let membership_links = membership::Links {
            bell: doorbells.membership.clone(),
            inbound: Vec::new(),
            routing: to_routing.ring_from("membership_routing", &doorbells.membership, HELD_LIMIT_ITEMS),
            peers: to_peers.ring_from("membership_peers", &doorbells.membership, HELD_LIMIT_ITEMS),
            placement: to_placement.ring_from(
                "membership_placement",
                &doorbells.membership,
                HELD_LIMIT_ITEMS,
            ),
            telemetry: to_telemetry.ring_from(
                "membership_telemetry",
                &doorbells.membership,
                HELD_LIMIT_NOTES,
            ),
        };
        let peers_links = peers::Links {
            bell: doorbells.peers.clone(),
            inbound: Vec::new(),
            configuration: to_configuration.ring_from(
                "peers_configuration",
                &doorbells.peers,
                HELD_LIMIT_REPORTS,
            ),
            membership: to_membership.ring_from("peers_membership", &doorbells.peers, HELD_LIMIT_REPORTS),
            execution: to_execution.ring_from("peers_execution", &doorbells.peers, HELD_LIMIT_REPORTS),
        };
        let placement_links = placement::Links {
            bell: doorbells.placement.clone(),
            inbound: Vec::new(),
            telemetry: to_telemetry.ring_from("placement_telemetry", &doorbells.placement, HELD_LIMIT_NOTES),
        };
        let telemetry_intake =
            to_intake.ring_from("telemetry_intake", &doorbells.telemetry, HELD_LIMIT_ITEMS);
        let stop = to_intake.ring_from("daemon_intake", &Doorbell::default(), HELD_LIMIT_ITEMS);

        let rings: RingHeldCounts = [
            to_intake.rings,
            to_admission.rings,
            to_routing.rings,
            to_execution.rings,
            to_ledger.rings,
            to_configuration.rings,
            to_membership.rings,
            to_peers.rings,
            to_placement.rings,
            to_telemetry.rings,
        ]
        .concat();
        Self {
            intake: intake::Links { inbound: to_intake.receivers, ..intake_links },
            admission: admission::Links { inbound: to_admission.receivers, ..admission_links },
            routing: routing::Links { inbound: to_routing.receivers, ..routing_links },
            execution: execution::Links { inbound: to_execution.receivers, ..execution_links },
            ledger: ledger::Links { inbound: to_ledger.receivers, ..ledger_links },
            configuration: configuration::Links {
                inbound: to_configuration.receivers,
                ..configuration_links
            },
            membership: membership::Links { inbound: to_membership.receivers, ..membership_links },
            peers: peers::Links { inbound: to_peers.receivers, ..peers_links },
            placement: placement::Links { inbound: to_placement.receivers, ..placement_links },
            telemetry: telemetry::Links {
                bell: doorbells.telemetry.clone(),
                inbound: to_telemetry.receivers,
                intake: telemetry_intake,
                rings,
            },
            stop,
        }
    }
}
