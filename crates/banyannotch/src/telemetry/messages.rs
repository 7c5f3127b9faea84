//! What duties tell telemetry, and what operators order through it.

use std::fmt;
use std::sync::Arc;

use crate::configuration::{Configuration, PeerVersion};
use crate::ids::RequestId;
use crate::membership::Endpoint;
use crate::ring::Sender;
use crate::{admission, configuration, execution, ledger, membership, placement, routing};

/// One message to telemetry.
#[derive(Clone, Debug)]
pub enum Note {
    /// A decision, to be logged and kept for `explain`.
    Decision(Decision),
    /// The configuration that is now in force here.
    Configuration(Arc<Configuration>),
    /// The configuration versions that the other entries last reported.
    Peers(Arc<[PeerVersion]>),
    /// The endpoints as membership sees them.
    Endpoints(Arc<[Endpoint]>),
    /// The entry is draining.
    Draining,
}

impl Note {
    /// Sends the note. A full ring loses it, which is counted; decisions must not wait for their log.
    pub fn send(self, telemetry: &mut Sender<Note>) {
        if telemetry.send(self).is_err() {
            metrics::counter!("banyannotch_notes_lost_total").increment(1);
        }
    }
}

/// A decision of any duty. Its text is one line of key=value pairs.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Of admission.
    Admission(admission::Decision),
    /// Of configuration.
    Configuration(configuration::Decision),
    /// Of execution.
    Execution(execution::Decision),
    /// Of the ledger.
    Ledger(ledger::Decision),
    /// Of membership.
    Membership(membership::Decision),
    /// Of placement.
    Placement(placement::Decision),
    /// Of routing.
    Routing(routing::Decision),
}

impl Decision {
    /// Returns the request that the decision is about, if it is about one.
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

/// What an operator orders on the operators' port.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Switch {
    /// Stop taking requests, finish those in flight, then exit.
    Drain,
}
