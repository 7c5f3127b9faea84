//! Messages to a plain service and its answers.

use banyannotch::engine::{CallAnswer, CallRequest, ServiceLoad};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{ServiceFaultPatch, ServiceFaults};

/// A message to a service.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Runs an operation.
    Call(CallRequest),
    /// Returns the load report.
    Load,
    /// Changes the injected faults.
    SetFaults(ServiceFaultPatch),
    /// Returns the counters.
    Counts,
}

impl Message {
    /// Returns whether the message belongs to the control interface for tests, not to the service's protocol.
    pub fn is_control(&self) -> bool {
        matches!(self, Self::SetFaults(_) | Self::Counts)
    }
}

/// An answer of a service.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The call ran.
    Called(CallAnswer),
    /// The call was refused and did not run.
    Refused(Refused),
    /// Load report.
    Load(ServiceLoad),
    /// Active faults.
    Faults(ServiceFaults),
    /// Counters since startup.
    Counts(Counts),
}

/// Reason for which a service refused a call; it did not run.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Refused {
    /// The instance is leaving and takes no calls.
    #[error("the instance is leaving")]
    Leaving,
    /// An injected fault requests this refusal.
    #[error("refused by a fault")]
    Fault,
    /// The call names an operation that the service does not offer.
    #[error("unknown operation, expected one of {operations:?}")]
    UnknownOperation {
        /// Operations that the service offers.
        operations: Vec<String>,
    },
}

/// Counters of a service since startup.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Calls that ran.
    pub calls: u64,
    /// Calls that were refused.
    pub refused: u64,
    /// Calls that ran but were not answered because of an injected fault.
    pub dropped_answers: u64,
    /// Runs after the first one with the same key.
    pub duplicates: u64,
    /// Number of runs of each key, sorted by key.
    pub keys: Vec<Runs>,
    /// Number of runs of each operation, sorted by name.
    pub operations: Vec<Runs>,
}

/// Number of runs of one key or operation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Runs {
    /// The key or the name of the operation.
    pub name: String,
    /// Number of runs.
    pub runs: u64,
}
