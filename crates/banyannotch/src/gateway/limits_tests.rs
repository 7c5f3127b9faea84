//! Guards against limits that do not fit into the machine, or that a machine of the users' pages has no room for.

use super::GatewaySettings;
use super::limits::{buffer_limits, caller_limits, connection_limits};

/// Descriptors that the users' machines reserve for files.
const RESERVED_DESCRIPTORS: usize = 200;
const KIB: usize = 1 << 10;

fn settings(memory_mb: usize, descriptors: usize) -> GatewaySettings {
    let text = format!(
        "instance = \"g\"\nzone = \"a\"\ncallers = \"127.0.0.1:0\"\nreadiness = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
         metrics = \"127.0.0.1:0\"\nstore = \"127.0.0.1:1\"\nheartbeat_ms = 1200\nrevoke_ms = 5000\n\
         strict_revocation = true\nconfig_apply_ms = 2000\ndrain_ms = 2000\ngrace_s = 8\nstall_ms = 2000\n\
         retry_ratio = 0.2\nretry_window_s = 10\nretry_allowance = 196\ngroup_ttl_least_ms = 1000\n\
         group_partitions = 32\nmemory_mb = {memory_mb}\ndescriptors = {descriptors}\n"
    );
    GatewaySettings::parse("gateway.toml", &text).expect("the settings are valid")
}

/// Buffers of all connections stay within their share of the machine, also with more descriptors than it has memory for.
#[test]
fn socket_buffers_of_all_callers_fit_into_their_share() {
    for (memory_mb, descriptors) in
        [(32, 100_000), (48, 1_024), (112, 2_870), (160, 4_100), (260, 4_200), (512, 8_192), (4_096, 1_024)]
    {
        let settings = settings(memory_mb, descriptors);
        let (callers, buffers) = (caller_limits(&settings), buffer_limits(&settings));
        // Linux keeps twice the size that it is asked for when it sends, and half as much again when it receives.
        let small_bytes = callers.connection_limit * buffers.buffer_bytes * 7 / 2;
        let share_bytes = (memory_mb << 20) / 4;
        let taken_bytes = small_bytes + buffers.large_limit_bytes;
        assert!(taken_bytes <= share_bytes + callers.connection_limit * 4, "{memory_mb} MB: {taken_bytes}");
        assert!((4 * KIB..=64 * KIB).contains(&buffers.buffer_bytes), "{memory_mb} MB: {buffers:?}");
    }
}

/// The machines of the users' pages have room for all connections, and no fewer of callers than before there were limits on
/// their buffers.
#[test]
fn machines_of_the_pages_keep_their_connections() {
    for (memory_mb, descriptors) in [(112, 2_870), (160, 4_100), (260, 4_200), (512, 8_192)] {
        let settings = settings(memory_mb, descriptors);
        let limits = connection_limits(&settings);
        assert!(limits.shared + RESERVED_DESCRIPTORS < descriptors, "{memory_mb} MB: {limits:?}");
        let callers = caller_limits(&settings).connection_limit;
        assert!(callers * 1_000 >= descriptors * 624, "{memory_mb} MB: {callers} of {descriptors}");
    }
}
