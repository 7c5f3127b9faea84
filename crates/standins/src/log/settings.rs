//! Settings and faults of the log service.

use crate::control::faults;

/// What a log service starts with.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogSettings {
    /// Unix time of the policy's time 0, for the times of records.
    pub origin_unix_ms: u64,
    /// Limits and faults at the start.
    pub faults: LogFaults,
}

faults! {
    /// Limits and faults of the log service.
    LogFaults, LogFaultPatch {
        /// Refuse everything.
        down: bool = false,
        /// Time from an append's effect, or from a read, to its answer.
        delay_ms: u64 = 0,
        /// Number of appends that take effect and whose connection is then closed without an answer.
        lose_answer_next: u32 = 0,
        /// Number of appends that are refused as over the rate.
        reject_next: u32 = 0,
        /// Time for which records are kept; 0 means for ever.
        retention_ms: u64 = 0,
        /// Appends in a second over all streams; 0 means no limit.
        rate_per_s: u64 = 500,
    }
}
