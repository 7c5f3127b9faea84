//! The rings that join the duties of an entry.

use crate::ring::{Doorbell, Receiver, Sender, link};
use crate::telemetry::{Note, RingHeldCounts};
use crate::{
    admission, configuration, execution, intake, ledger, membership, peers, placement, routing, telemetry,
};

/// Items of a ring.
const RING_ITEMS: usize = 1_024;

/// Items that a sender may hold back. It covers the credit of all requests that can be in flight, so that a ring is
/// full only when its receiver hangs.
const HELD_ITEMS: usize = 1 << 19;

/// Requests that intake may hold back before it refuses; admission would not finish more in time.
const HELD_REQUESTS: usize = 4_096;

/// Decisions that a duty may hold back before they are lost and counted.
const HELD_NOTES: usize = 1 << 14;

/// Reports of other entries that may be held back before they are lost and counted.
const HELD_REPORTS: usize = 1 << 12;

/// The ends of the rings that each duty gets.
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
    /// For the daemon, to stop the entry.
    pub stop: Sender<intake::Event>,
}

/// Wake-ups of the duties' threads.
#[derive(Debug, Default)]
struct Bells {
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

/// Creates rings into one duty and collects their receiving ends.
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
        let (sender, receiver) = link(RING_ITEMS, held_limit, sender_bell, &self.bell);
        self.receivers.push(receiver);
        self.rings.push((name, sender.held_count()));
        sender
    }
}

impl Links {
    /// Creates all rings. `drained` is rung when everything has been answered while draining.
    pub fn connect(drained: &Doorbell) -> Self {
        let bells = Bells::default();
        let mut to_intake = Inbox::new(&bells.intake);
        let mut to_admission = Inbox::new(&bells.admission);
        let mut to_routing = Inbox::new(&bells.routing);
        let mut to_execution = Inbox::new(&bells.execution);
        let mut to_ledger = Inbox::new(&bells.ledger);
        let mut to_configuration = Inbox::new(&bells.configuration);
        let mut to_membership = Inbox::new(&bells.membership);
        let mut to_peers = Inbox::new(&bells.peers);
        let mut to_placement = Inbox::new(&bells.placement);
        let mut to_telemetry: Inbox<Note> = Inbox::new(&bells.telemetry);

        let intake_links = intake::Links {
            bell: bells.intake.clone(),
            inbound: Vec::new(),
            admission: to_admission.ring_from("intake_admission", &bells.intake, HELD_REQUESTS),
            execution: to_execution.ring_from("intake_execution", &bells.intake, HELD_ITEMS),
            telemetry: to_telemetry.ring_from("intake_telemetry", &bells.intake, HELD_NOTES),
            drained: drained.clone(),
        };
        let admission_links = admission::Links {
            bell: bells.admission.clone(),
            inbound: Vec::new(),
            intake: to_intake.ring_from("admission_intake", &bells.admission, HELD_ITEMS),
            routing: to_routing.ring_from("admission_routing", &bells.admission, HELD_ITEMS),
            telemetry: to_telemetry.ring_from("admission_telemetry", &bells.admission, HELD_NOTES),
        };
        let routing_links = routing::Links {
            bell: bells.routing.clone(),
            inbound: Vec::new(),
            execution: to_execution.ring_from("routing_execution", &bells.routing, HELD_ITEMS),
            admission: to_admission.ring_from("routing_admission", &bells.routing, HELD_ITEMS),
            telemetry: to_telemetry.ring_from("routing_telemetry", &bells.routing, HELD_NOTES),
        };
        let execution_links = execution::Links {
            bell: bells.execution.clone(),
            inbound: Vec::new(),
            intake: to_intake.ring_from("execution_intake", &bells.execution, HELD_ITEMS),
            admission: to_admission.ring_from("execution_admission", &bells.execution, HELD_ITEMS),
            routing: to_routing.ring_from("execution_routing", &bells.execution, HELD_ITEMS),
            ledger: to_ledger.ring_from("execution_ledger", &bells.execution, HELD_ITEMS),
            membership: to_membership.ring_from("execution_membership", &bells.execution, HELD_ITEMS),
            peers: to_peers.ring_from("execution_peers", &bells.execution, HELD_ITEMS),
            telemetry: to_telemetry.ring_from("execution_telemetry", &bells.execution, HELD_NOTES),
        };
        let ledger_links = ledger::Links {
            bell: bells.ledger.clone(),
            inbound: Vec::new(),
            execution: to_execution.ring_from("ledger_execution", &bells.ledger, HELD_ITEMS),
            telemetry: to_telemetry.ring_from("ledger_telemetry", &bells.ledger, HELD_NOTES),
        };
        let configuration_links = configuration::Links {
            bell: bells.configuration.clone(),
            inbound: Vec::new(),
            intake: to_intake.ring_from("configuration_intake", &bells.configuration, HELD_ITEMS),
            admission: to_admission.ring_from("configuration_admission", &bells.configuration, HELD_ITEMS),
            routing: to_routing.ring_from("configuration_routing", &bells.configuration, HELD_ITEMS),
            peers: to_peers.ring_from("configuration_peers", &bells.configuration, HELD_ITEMS),
            placement: to_placement.ring_from("configuration_placement", &bells.configuration, HELD_ITEMS),
            telemetry: to_telemetry.ring_from("configuration_telemetry", &bells.configuration, HELD_NOTES),
        };
        let membership_links = membership::Links {
            bell: bells.membership.clone(),
            inbound: Vec::new(),
            routing: to_routing.ring_from("membership_routing", &bells.membership, HELD_ITEMS),
            peers: to_peers.ring_from("membership_peers", &bells.membership, HELD_ITEMS),
            placement: to_placement.ring_from("membership_placement", &bells.membership, HELD_ITEMS),
            telemetry: to_telemetry.ring_from("membership_telemetry", &bells.membership, HELD_NOTES),
        };
        let peers_links = peers::Links {
            bell: bells.peers.clone(),
            inbound: Vec::new(),
            configuration: to_configuration.ring_from("peers_configuration", &bells.peers, HELD_REPORTS),
            membership: to_membership.ring_from("peers_membership", &bells.peers, HELD_REPORTS),
            execution: to_execution.ring_from("peers_execution", &bells.peers, HELD_REPORTS),
        };
        let placement_links = placement::Links {
            bell: bells.placement.clone(),
            inbound: Vec::new(),
            telemetry: to_telemetry.ring_from("placement_telemetry", &bells.placement, HELD_NOTES),
        };
        let telemetry_intake = to_intake.ring_from("telemetry_intake", &bells.telemetry, HELD_ITEMS);
        let stop = to_intake.ring_from("daemon_intake", &Doorbell::default(), HELD_ITEMS);

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
                bell: bells.telemetry.clone(),
                inbound: to_telemetry.receivers,
                intake: telemetry_intake,
                rings,
            },
            stop,
        }
    }
}
