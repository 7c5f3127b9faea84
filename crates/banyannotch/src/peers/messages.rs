//! What other duties give the peers to carry.

use std::sync::Arc;

use crate::configuration::Configuration;
use crate::execution::Suspicion;
use crate::ids::EndpointId;
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
    Configured(Arc<Configuration>),
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
