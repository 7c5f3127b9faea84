//! Settings and injectable faults of a plain service.

use banyannotch::ids::{Incarnation, InstanceId, ServiceId};

use crate::control::faults;

/// Identity, operations and initial faults of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSettings {
    /// Name of the service.
    pub service: ServiceId,
    /// Name of the instance.
    pub instance: InstanceId,
    /// Identifies this start of the instance.
    pub incarnation: Incarnation,
    /// Operations that the service offers; if empty, it accepts any operation.
    pub operations: Vec<String>,
    /// Faults that are active at startup.
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
    /// Faults that can be injected into a plain service.
    ServiceFaults, ServiceFaultPatch {
        /// Delay from the run of a call to its answer, in milliseconds.
        delay_ms: u64 = 0,
        /// Number of next calls that run and whose connection is then closed without an answer.
        drop_answer_next: u32 = 0,
        /// Number of next calls that are refused without being run.
        refuse_next: u32 = 0,
        /// Defer all messages (except control messages) and all answers until this is cleared.
        freeze: bool = false,
        /// Report that the instance is leaving, and refuse all calls.
        leaving: bool = false,
    }
}
