//! Derives what callers and connections may take of a machine from the settings. See `docs/design/caller-memory.md`.

use super::GatewaySettings;
use super::forwarding::ConnectionLimits;
use crate::caller_memory::{AccountSettings, BufferSettings};

/// Idle connections to endpoints may use one in this many file descriptors; callers need the rest.
const IDLE_CONNECTION_DIVISOR: usize = 4;
/// One in this many file descriptors is for other things than connections of callers and to endpoints: the other ports, other
/// gateways, the store, and files.
const OTHER_DESCRIPTORS_DIVISOR: usize = 8;
/// Bytes of a megabyte of the settings.
const BYTES_PER_MB: f64 = 1_048_576.0;

/// Part of the socket buffers that is for large ones.
const LARGE_BUFFERS_SHARE: f64 = 0.125;
/// Number of bytes that the operating system may keep for a connection, in relation to the size that is asked for each of
/// its two buffers: twice as much to send, and half as much again to read.
const BYTES_PER_BUFFER_BYTE: f64 = 3.5;
/// Smallest and largest size that is asked for the buffers of a connection without a large message.
const BUFFER_BYTES: std::ops::RangeInclusive<f64> = 4_096.0..=65_536.0;

/// Returns the maximum numbers of connections of callers and to endpoints.
pub(super) fn connection_limits(settings: &GatewaySettings) -> ConnectionLimits {
    ConnectionLimits {
        shared: settings.descriptors - settings.descriptors / OTHER_DESCRIPTORS_DIVISOR,
        idle: settings.descriptors / IDLE_CONNECTION_DIVISOR,
    }
}

/// Returns the maximum number of connections of callers. Each of them needs a descriptor, and the smallest socket buffers.
fn caller_connection_limit(settings: &GatewaySettings) -> f64 {
    let by_memory = small_buffers_bytes(settings) / (BYTES_PER_BUFFER_BYTE * BUFFER_BYTES.start());
    (settings.descriptors as f64 * settings.callers_connections_share).min(by_memory)
}

/// Returns the bytes that the small socket buffers of all connections of callers may take.
fn small_buffers_bytes(settings: &GatewaySettings) -> f64 {
    settings.memory_mb * BYTES_PER_MB * settings.socket_buffers_share * (1.0 - LARGE_BUFFERS_SHARE)
}

/// Returns the sizes of the socket buffers of callers' connections and of those to endpoints.
pub(super) fn buffer_limits(settings: &GatewaySettings) -> BufferSettings {
    let buffer_bytes =
        small_buffers_bytes(settings) / (BYTES_PER_BUFFER_BYTE * caller_connection_limit(settings));
    let share_bytes = settings.memory_mb * BYTES_PER_MB * settings.socket_buffers_share;
    BufferSettings {
        buffer_bytes: buffer_bytes.clamp(*BUFFER_BYTES.start(), *BUFFER_BYTES.end()) as usize,
        large_limit_bytes: (share_bytes * LARGE_BUFFERS_SHARE) as usize,
        ..BufferSettings::default()
    }
}

/// Returns the limits of what all callers together can make the gateway hold.
pub(super) fn caller_limits(settings: &GatewaySettings) -> AccountSettings {
    const BYTES_PER_KB: usize = 1_024;
    let limit_bytes = settings.memory_mb * BYTES_PER_MB * settings.callers_memory_share;
    AccountSettings {
        limit_bytes: limit_bytes as usize,
        reserved_bytes: (limit_bytes * settings.callers_reserved_share) as usize,
        small_bytes: settings.callers_small_kb * BYTES_PER_KB,
        connection_limit: caller_connection_limit(settings) as usize,
        ..AccountSettings::default()
    }
}
