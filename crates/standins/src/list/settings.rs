//! Settings and faults of the instance list.

use crate::control::faults;

faults! {
    /// Lag and faults of the instance list.
    ListFaults, ListFaultPatch {
        /// Whether reads are refused.
        down: bool = false,
        /// Time until a change becomes visible, in milliseconds.
        lag_ms: u64 = 0,
    }
}
