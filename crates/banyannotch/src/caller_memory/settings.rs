//! Settings of the account.

/// Limits of the account.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AccountSettings {
    /// Maximum number of bytes that all callers together can make the process hold.
    pub limit_bytes: usize,
    /// Part of `limit_bytes` that only requests up to `small_bytes` can take.
    pub reserved_bytes: usize,
    /// Size up to which a request counts as small.
    pub small_bytes: usize,
    /// Bytes that a connection takes by itself.
    pub connection_bytes: usize,
    /// Maximum number of connections of callers.
    pub connection_limit: usize,
}

/// Maximum number of bytes that the connections of a port for operators make the process hold.
const OPERATORS_LIMIT_BYTES: usize = 4 << 20;
/// Maximum number of connections of a port for operators.
const OPERATORS_CONNECTION_LIMIT: usize = 32;

impl AccountSettings {
    /// Returns the limits of a port for the platform and its operators, which a few of them use at a time. Strangers who
    /// reach it take neither the descriptors of the process nor the place of a caller whose requests were served.
    pub fn for_operators() -> Self {
        Self {
            limit_bytes: OPERATORS_LIMIT_BYTES,
            reserved_bytes: 0,
            connection_limit: OPERATORS_CONNECTION_LIMIT,
            ..Self::default()
        }
    }
}

impl Default for AccountSettings {
    /// Returns the limits for the smallest machines that gateways run on.
    fn default() -> Self {
        Self {
            limit_bytes: 28 << 20,
            reserved_bytes: 7 << 20,
            small_bytes: 64 << 10,
            connection_bytes: 4 << 10,
            connection_limit: 4_096,
        }
    }
}
