//! Faults of the instance list.

use crate::control::faults;

faults! {
    /// Lag and faults of the instance list.
    ListFaults, ListFaultPatch {
        /// Refuse reads.
        down: bool = false,
        /// Time after which a change is shown.
        lag_ms: u64 = 0,
    }
}
