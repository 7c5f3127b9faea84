//! JSON bodies of the protocol of the platform.

use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, InstanceId, LogOffset, Zone};
use crate::pipeline::Address;

/// Answer to an append.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Appended {
    /// Offset of the appended record.
    pub offset: LogOffset,
}

/// Page of records of a stream.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Records {
    /// Offset of the oldest record that is still kept; older records have expired.
    pub first: LogOffset,
    /// Offset at which the next page begins.
    pub next: LogOffset,
    /// Records in offset order.
    pub records: Vec<Record>,
}

/// Record of a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Offset in the stream.
    pub offset: LogOffset,
    /// Time at which the log service accepted the record, in Unix milliseconds.
    pub time_ms: u64,
    /// Content of the record.
    pub data: String,
}

/// The instance list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instances {
    /// Listed instances.
    pub instances: Vec<ListedInstance>,
}

/// Instance in the instance list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedInstance {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Current start of the instance.
    pub incarnation: Incarnation,
    /// Kind of process on the instance.
    pub kind: InstanceKind,
    /// Zone of the instance.
    pub zone: Zone,
    /// Address that the instance listens on.
    pub address: Address,
    /// Whether the instance is live or leaving.
    pub state: InstanceState,
    /// Whether the instance checks the fencing numbers of orders.
    #[serde(default)]
    pub fencing: Fencing,
}

/// Kind of process on an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceKind {
    /// A model engine.
    Engine,
    /// An entry of this router.
    Entry,
    /// A plain service.
    Service,
}

/// State of an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance serves requests.
    Live,
    /// The instance stops soon and gets no new work.
    Leaving,
}

/// Whether an endpoint checks fencing numbers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// The endpoint refuses orders with a fencing number below the highest one that it has accepted.
    Checked,
    /// The endpoint ignores fencing numbers.
    #[default]
    Ignored,
}
