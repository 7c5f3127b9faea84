//! Settings and faults of a plain service.

use banyannotch::ids::{Incarnation, InstanceId, ServiceId};

use crate::control::faults;

/// What a service is.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSettings {
    /// Name of the service.
    pub service: ServiceId,
    /// Name of the instance.
    pub instance: InstanceId,
    /// Start of the instance.
    pub incarnation: Incarnation,
    /// Operations that it offers; an empty list means any.
    pub operations: Vec<String>,
    /// Faults at the start.
    pub faults: ServiceFaults,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            service: "service".into(),
            instance: "service".into(),
            incarnation: Incarnation(1),
            operations: Vec::new(),
            faults: ServiceFaults::default(),
        }
    }
}

faults! {
    /// Faults of a plain service.
    ServiceFaults, ServiceFaultPatch {
        /// Time from the call's effect to its answer.
        delay_ms: u64 = 0,
        /// Number of calls that run and whose connection is then closed without an answer.
        drop_answer_next: u32 = 0,
        /// Number of calls that are refused before they start.
        refuse_next: u32 = 0,
        /// Accept everything, run and answer nothing until this is cleared.
        freeze: bool = false,
        /// Report that the instance is leaving, and refuse calls.
        leaving: bool = false,
    }
}
