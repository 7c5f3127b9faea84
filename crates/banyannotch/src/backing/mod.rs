//! The platform's log service and instance list: traits, wire types and HTTP clients for their published protocol.
//!
//! The traits allow tests to replace the platform by a fake without sockets.

mod client;
mod wire;

pub use client::{HttpInstanceList, HttpLog, PlatformError, Result};
pub use wire::{Appended, Fencing, InstanceKind, InstanceState, Instances, ListedInstance, Record, Records};

use std::future::Future;

use crate::ids::LogOffset;

/// Append-only log service of the platform.
pub trait LogService: Clone + 'static {
    /// Appends one record and returns its offset.
    fn append(&self, stream: &str, record: &[u8], limit_ms: u64) -> impl Future<Output = Result<LogOffset>>;

    /// Reads up to `max` records starting at an offset. If there is none, it waits up to `wait_ms` for the first.
    fn read(
        &self,
        stream: &str,
        from: LogOffset,
        max: u32,
        wait_ms: u64,
    ) -> impl Future<Output = Result<Records>>;
}

/// List of the instances of the platform, which lags behind their actual state.
pub trait InstanceList: Clone + 'static {
    /// Fetches the list.
    fn instances(&self, limit_ms: u64) -> impl Future<Output = Result<Instances>>;
}
