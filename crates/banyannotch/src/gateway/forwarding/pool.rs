//! A pool of idle connections to endpoints.

use std::time::{Duration, Instant};

use tokio::net::tcp::OwnedWriteHalf;

use super::answer::ConnectionUse;
use crate::gateway::http1::Reader;
use crate::pipeline::Address;
use crate::table::Table;

/// Idle time after which a connection is not reused if the endpoint does not announce an idle timeout.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 2_000;
/// A connection is discarded this long before the announced idle timeout ends, so that no request is sent
/// while the endpoint closes the connection.
const IDLE_MARGIN_MS: u64 = 1_000;

/// An open connection to an endpoint.
#[derive(Debug)]
pub(super) struct Upstream {
    pub reader: Reader,
    pub writer: OwnedWriteHalf,
    /// Number of the connection, which no other one has.
    pub number: u64,
    /// Which requests a response without an id may belong to.
    pub connection_use: ConnectionUse,
}

#[derive(Debug)]
struct Idle {
    upstream: Upstream,
    expires_at: Instant,
}

/// Idle connections by address. For each address, the most recently used one is taken first.
#[derive(Debug, Default)]
pub(super) struct Pool {
    idle: Table<Address, Vec<Idle>>,
    count: usize,
    /// Number of connections opened so far.
    opened: u64,
}

impl Pool {
    /// Returns the number of a connection that was just opened.
    pub fn number_connection(&mut self) -> u64 {
        self.opened += 1;
        self.opened
    }

    /// Takes an idle connection that is neither expired nor stale, and whose number is not among those that are excluded.
    pub fn take(&mut self, address: Address, excluded: &[u64]) -> Option<Upstream> {
        let stack = self.idle.get_mut(&address)?;
        let now = Instant::now();
        while let Some(index) = stack.iter().rposition(|idle| !excluded.contains(&idle.upstream.number)) {
            let mut idle = stack.remove(index);
            self.count -= 1;
            if idle.expires_at > now && !idle.upstream.reader.is_stale() {
                return Some(idle.upstream);
            }
        }
        None
    }

    /// Keeps a connection for reuse, or closes it when the pool is full or the announced idle timeout is not
    /// longer than [`IDLE_MARGIN_MS`].
    ///
    /// `keep_alive_ms` is the idle timeout that the endpoint announced. At most `address_limit` connections
    /// are kept for an address, and `limit` over all addresses.
    pub fn put(
        &mut self,
        address: Address,
        upstream: Upstream,
        keep_alive_ms: Option<u64>,
        address_limit: usize,
        limit: usize,
    ) {
        let keep_ms =
            keep_alive_ms.unwrap_or(DEFAULT_IDLE_TIMEOUT_MS + IDLE_MARGIN_MS).saturating_sub(IDLE_MARGIN_MS);
        let stack = self.idle.entry(address);
        if keep_ms == 0 || stack.len() >= address_limit || self.count >= limit {
            return;
        }
        self.count += 1;
        let mut upstream = Upstream { connection_use: ConnectionUse::Shared, ..upstream };
        // It may have grown with the last response.
        upstream.reader.release_buffer();
        stack.push(Idle { upstream, expires_at: Instant::now() + Duration::from_millis(keep_ms) });
    }

    /// Closes idle connections until at most `limit` are left, those first that expire first.
    pub fn reduce_to(&mut self, limit: usize) {
        while self.count > limit {
            let stacks = self.idle.iter_mut().map(|(_, stack)| stack).filter(|stack| !stack.is_empty());
            // The most recently used connection of a stack is its last one.
            let Some(stack) = stacks.min_by_key(|stack| stack.first().map(|idle| idle.expires_at)) else {
                return;
            };
            stack.remove(0);
            self.count -= 1;
        }
    }

    /// Closes expired connections.
    pub fn remove_expired(&mut self) {
        let now = Instant::now();
        let mut remaining = 0;
        self.idle.retain(|_, stack| {
            stack.retain(|idle| idle.expires_at > now);
            remaining += stack.len();
            !stack.is_empty()
        });
        self.count = remaining;
    }
}
