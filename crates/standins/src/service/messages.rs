//! Messages and answers of a plain service.

use banyannotch::engine::{CallAnswer, CallRequest, ServiceLoad};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{ServiceFaultPatch, ServiceFaults};

/// A message to a service.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Run an operation.
    Call(CallRequest),
    /// Report the load.
    Load,
    /// Change faults.
    SetFaults(ServiceFaultPatch),
    /// Report the counts.
    Counts,
}

impl Message {
    /// Returns whether the message comes from a test rather than over the published protocol.
    pub fn is_control(&self) -> bool {
        matches!(self, Self::SetFaults(_) | Self::Counts)
    }
}

/// An answer of a service.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The call ran.
    Called(CallAnswer),
    /// The call did not run.
    Refused(Refused),
    /// Load report.
    Load(ServiceLoad),
    /// Faults in effect.
    Faults(ServiceFaults),
    /// Counts since the start.
    Counts(Counts),
}

/// Why a call did not run.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Refused {
    /// The instance is leaving.
    #[error("the instance is leaving")]
    Leaving,
    /// A fault that was set asks for this refusal.
    #[error("refused by a fault")]
    Fault,
    /// The service has no such operation.
    #[error("unknown operation, expected one of {operations:?}")]
    UnknownOperation {
        /// Operations that exist.
        operations: Vec<String>,
    },
}

/// What a service did since it started.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Calls that ran.
    pub calls: u64,
    /// Calls that were refused.
    pub refused: u64,
    /// Calls that ran and got no answer because of a fault.
    pub dropped_answers: u64,
    /// Runs beyond the first of each key.
    pub duplicates: u64,
    /// Runs of each key, in key order.
    pub keys: Vec<Runs>,
    /// Runs of each operation, in name order.
    pub operations: Vec<Runs>,
}

/// Number of runs under one name.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Runs {
    /// Key or operation.
    pub name: String,
    /// Number of runs.
    pub runs: u64,
}
