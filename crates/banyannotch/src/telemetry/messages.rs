//! Messages from the duties to telemetry, and commands of operators.

use std::fmt;
use std::sync::Arc;

use crate::configuration::{Configuration, PeerVersion};
use crate::ids::RequestId;
use crate::membership::Endpoint;
use crate::ring::Sender;
use crate::{admission, configuration, execution, ledger, membership, placement, routing};

/// Message from a duty to telemetry.
#[derive(Clone, Debug)]
pub enum Note {
    /// A decision, which is logged and kept for `explain`.
    Decision(Decision),
    /// The configuration that is now in force at this entry.
    Configuration(Arc<Configuration>),
    /// The configuration versions that the other entries last reported.
    Peers(Arc<[PeerVersion]>),
    /// The endpoints that membership currently lists.
    Endpoints(Arc<[Endpoint]>),
    /// The entry is draining.
    Draining,
}

impl Note {
    /// Sends the note. If the ring is full, the note is dropped and counted, because decisions must not wait for their
    /// logging.
    pub fn send(self, telemetry: &mut Sender<Note>) {
        if telemetry.send(self).is_err() {
            metrics::counter!("banyannotch_notes_lost_total").increment(1);
        }
    }
}

/// Decision of a duty. It is formatted as one line of key=value pairs.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Decision of admission.
    Admission(admission::Decision),
    /// Decision of configuration.
    Configuration(configuration::Decision),
    /// Decision of execution.
    Execution(execution::Decision),
    /// Decision of the ledger.
    Ledger(ledger::Decision),
    /// Decision of membership.
    Membership(membership::Decision),
    /// Decision of placement.
    Placement(placement::Decision),
    /// Decision of routing.
    Routing(routing::Decision),
}

impl Decision {
    /// Returns the request that the decision concerns, if there is one.
    pub fn request(&self) -> Option<RequestId> {
        match self {
            Self::Admission(decision) => Some(decision.request()),
            Self::Execution(decision) => decision.request(),
            Self::Ledger(decision) => decision.request(),
            Self::Routing(decision) => Some(decision.request()),
            Self::Configuration(_) | Self::Membership(_) | Self::Placement(_) => None,
        }
    }
}

impl fmt::Display for Decision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Admission(decision) => write!(formatter, "duty=admission {decision}"),
            Self::Configuration(decision) => write!(formatter, "duty=configuration {decision}"),
            Self::Execution(decision) => write!(formatter, "duty=execution {decision}"),
            Self::Ledger(decision) => write!(formatter, "duty=ledger {decision}"),
            Self::Membership(decision) => write!(formatter, "duty=membership {decision}"),
            Self::Placement(decision) => write!(formatter, "duty=placement {decision}"),
            Self::Routing(decision) => write!(formatter, "duty=routing {decision}"),
        }
    }
}

/// Command that an operator sends to the operators' port.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OperatorCommand {
    /// Accept no further requests, finish those in flight, then exit.
    Drain,
}
