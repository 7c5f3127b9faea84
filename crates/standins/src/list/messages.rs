//! Requests and responses of the instance list.

use banyannotch::backing::{Instances, ListedInstance};
use banyannotch::ids::InstanceId;
use serde::Deserialize;

use super::{ListFaultPatch, ListFaults};

/// A request to the instance list.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Reads the list.
    Read,
    /// Changes the list.
    Change(Change),
    /// Changes the faults in effect.
    SetFaults(ListFaultPatch),
}

/// A change of the list. The variants are distinguished by their fields.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(untagged)]
pub enum Change {
    /// Replaces the whole list.
    Replace {
        /// The new list.
        instances: Vec<ListedInstance>,
    },
    /// Removes an instance.
    Remove {
        /// Name of the instance.
        remove: InstanceId,
    },
    /// Replaces the instance with the same name, or adds the instance if there is none.
    Put(ListedInstance),
}

/// A response of the instance list.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The visible list.
    Instances(Instances),
    /// The change was accepted. It becomes visible after the lag.
    Done,
    /// The read was refused because the service is down.
    Down,
    /// The faults in effect.
    Faults(ListFaults),
}
