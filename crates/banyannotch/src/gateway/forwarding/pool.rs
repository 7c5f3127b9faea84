//! Idle connections to endpoints.

use std::time::{Duration, Instant};

use tokio::net::tcp::OwnedWriteHalf;

use crate::gateway::http1::Reader;
use crate::pipeline::Address;
use crate::table::Table;

/// Idle time after which a connection is not used again when the endpoint does not say how long it keeps one.
const DEFAULT_IDLE_MS: u64 = 2_000;
/// A connection is given up this long before the endpoint closes it, so that a request does not cross the close.
const IDLE_MARGIN_MS: u64 = 1_000;

/// A connection to an endpoint.
#[derive(Debug)]
pub(super) struct Upstream {
    pub reader: Reader,
    pub writer: OwnedWriteHalf,
    pub reused: bool,
}

#[derive(Debug)]
struct Idle {
    upstream: Upstream,
    until: Instant,
}

/// Idle connections by address, the one used last on top.
#[derive(Debug)]
pub(super) struct Pool {
    limit: usize,
    idle: Table<Address, Vec<Idle>>,
    count: usize,
}

impl Pool {
    /// Creates a pool of at most the given number of connections.
    pub fn new(limit: usize) -> Self {
        Self { limit, idle: Table::default(), count: 0 }
    }

    /// Takes a connection that is still good.
    pub fn take(&mut self, address: Address) -> Option<Upstream> {
        let stack = self.idle.get_mut(&address)?;
        let now = Instant::now();
        while let Some(mut idle) = stack.pop() {
            self.count -= 1;
            if idle.until > now && !idle.upstream.reader.is_stale() {
                idle.upstream.reused = true;
                return Some(idle.upstream);
            }
        }
        None
    }

    /// Keeps a connection for the next request.
    pub fn put(&mut self, address: Address, upstream: Upstream, idle_limit_ms: Option<u64>, most: usize) {
        let keep_ms =
            idle_limit_ms.unwrap_or(DEFAULT_IDLE_MS + IDLE_MARGIN_MS).saturating_sub(IDLE_MARGIN_MS);
        let stack = self.idle.entry(address);
        if keep_ms == 0 || stack.len() >= most || self.count >= self.limit {
            return;
        }
        self.count += 1;
        stack.push(Idle { upstream, until: Instant::now() + Duration::from_millis(keep_ms) });
    }

    /// Closes connections that are too old.
    pub fn sweep(&mut self) {
        let now = Instant::now();
        let mut left = 0;
        self.idle.retain(|_, stack| {
            stack.retain(|idle| idle.until > now);
            left += stack.len();
            !stack.is_empty()
        });
        self.count = left;
    }
}
