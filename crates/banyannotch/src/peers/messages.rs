//! What other duties give the peers to carry.

use crate::configuration::Stated;
use crate::execution::Suspicion;
use crate::ids::{EndpointId, LogOffset};
use crate::membership::Observation;
use crate::pipeline::Address;

/// What the peers hear from the other duties of this entry.
#[derive(Clone, Debug)]
pub enum Event {
    /// Requests that were in flight when endpoints crashed.
    Suspected(Vec<Suspicion>),
    /// What membership observed.
    Observed(Vec<Observation>),
    /// The configuration that is in force here.
    Configured {
        /// Its content.
        stated: Stated,
        /// Offset of the log up to which it is known to be in force.
        through: LogOffset,
    },
    /// The entries on the instance list, without this one.
    Entries(Vec<EntryAddress>),
}

/// Where another entry takes peers' connections.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct EntryAddress {
    /// Instance and incarnation of the entry.
    pub entry: EndpointId,
    /// Its peer port.
    pub address: Address,
}
