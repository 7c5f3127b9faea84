//! Requests and responses of the log service.

use banyannotch::backing::{Appended, Records};
use banyannotch::ids::LogOffset;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{LogFaultPatch, LogFaults};

/// A request to the log service.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Appends a record.
    Append {
        /// Name of the stream.
        stream: String,
        /// Content of the record.
        data: String,
    },
    /// Reads one page of records.
    Read(ReadRequest),
    /// Changes the faults in effect.
    SetFaults(LogFaultPatch),
    /// Reads the counts.
    Counts,
}

/// A request for one page of records.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReadRequest {
    /// Name of the stream.
    pub stream: String,
    /// Smallest offset to return.
    pub from: LogOffset,
    /// Maximum number of records in the page.
    pub max: usize,
    /// Maximum wait for the first record, in milliseconds; 0 returns an empty page at once.
    pub wait_ms: u64,
}

/// A response of the log service.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The record was appended.
    Appended(Appended),
    /// A page of records.
    Records(Records),
    /// The request was refused and had no effect.
    Refused(Refused),
    /// The faults in effect.
    Faults(LogFaults),
    /// Counts since the start.
    Counts(Counts),
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Refused {
    /// Appends exceed the rate limit, or a fault rejects this one.
    #[error("over the rate of appends")]
    OverRate,
    /// The service is down.
    #[error("the log service is down")]
    Down,
}

/// Counts since the log service started.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Records appended.
    pub appended: u64,
    /// Appends that took effect and whose response was lost because of a fault.
    pub lost_answers: u64,
    /// Appends refused because of the rate limit or a fault.
    pub over_rate: u64,
    /// Requests refused while the service was down.
    pub down: u64,
    /// Pages returned to readers.
    pub reads: u64,
    /// Records removed because their retention time was over.
    pub expired: u64,
    /// Streams that exist.
    pub streams: u64,
}
