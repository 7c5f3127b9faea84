//! Settings and faults of the log service.

use crate::control::faults;

/// Settings of a log service at the start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogSettings {
    /// Unix time that corresponds to time 0 of the policy's clock, in milliseconds. Used for the time stamps
    /// of records.
    pub origin_unix_ms: u64,
    /// Limits and faults that are in effect at the start.
    pub faults: LogFaults,
}

faults! {
    /// Limits and faults of the log service.
    LogFaults, LogFaultPatch {
        /// Whether all appends and reads are refused.
        down: bool = false,
        /// Delay between the execution of an append or read and its response, in milliseconds.
        delay_ms: u64 = 0,
        /// Number of next appends that take effect and whose connection is then closed without a response.
        lose_answer_next: u32 = 0,
        /// Number of next appends that are refused as if they exceeded the rate limit.
        reject_next: u32 = 0,
        /// Retention time of records, in milliseconds; 0 means that records never expire.
        retention_ms: u64 = 0,
        /// Maximum rate of appends per second over all streams; 0 means no limit.
        rate_per_s: u64 = 500,
    }
}
