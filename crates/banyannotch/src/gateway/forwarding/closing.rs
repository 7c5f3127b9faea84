//! Closes the connections of callers in an orderly way, so that they receive the last response.

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::timeout;

use super::answer::write_local_reply;
use super::context::Context;
use crate::caller_memory::Refused;
use crate::gateway::http1::{Reader, split};

/// Bytes of a caller that are discarded after its last response. A connection with unread bytes is reset when it is closed,
/// and the reset can discard the response.
const DISCARD_LIMIT_BYTES: usize = 256 << 10;
/// Time for which bytes are discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);
/// One part in this many of the connections can be discarding at a time. Others are closed at once, because they keep their
/// descriptors meanwhile.
const DISCARDING_DIVISOR: usize = 8;
/// Time limit for writing the refusal of a connection.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(100);
/// The operating system closes a connection whose peer acknowledges no data for this long.
const TCP_USER_TIMEOUT_MS: u64 = 1_000;
/// Retry delay announced to a caller for which there is no memory or no connection.
pub(super) const RETRY_MS: u64 = 1_000;

/// Closes the sending half of a connection and discards what the caller still sends, up to a limit.
pub(super) async fn close_in_order<D, C>(
    context: &Context<D, C>,
    reader: &mut Reader,
    writer: &mut OwnedWriteHalf,
) {
    let limit = context.memory.settings().connection_limit / DISCARDING_DIVISOR;
    if context.lingering.get() >= limit {
        return;
    }
    let _guard = LingeringGuard::begin(context);
    let closing = async {
        if writer.shutdown().await.is_err() {
            return;
        }
        let mut discarded_bytes = 0;
        while discarded_bytes < DISCARD_LIMIT_BYTES {
            let Ok(size_bytes) = reader.discard().await else { return };
            discarded_bytes += size_bytes;
        }
    };
    // The connection is closed whether or not the caller closes its half in time.
    drop(timeout(DISCARD_TIMEOUT, closing).await);
}

/// Refuses a connection for which there is no room.
pub(super) async fn refuse_connection<D, C>(context: &Context<D, C>, stream: TcpStream) {
    context.memory.record(Refused::Connection);
    let Ok((mut reader, mut writer)) = split(stream, TCP_USER_TIMEOUT_MS) else { return };
    let mut out = Vec::new();
    write_local_reply(503, "too many connections", Some(RETRY_MS), true, &mut out);
    if matches!(timeout(REFUSAL_TIMEOUT, writer.write_all(&out)).await, Ok(Ok(()))) {
        close_in_order(context, &mut reader, &mut writer).await;
    }
}

/// Counts a connection as lingering until the guard is dropped.
struct LingeringGuard<'a, D, C>(&'a Context<D, C>);

impl<'a, D, C> LingeringGuard<'a, D, C> {
    fn begin(context: &'a Context<D, C>) -> Self {
        context.lingering.set(context.lingering.get() + 1);
        Self(context)
    }
}

impl<D, C> Drop for LingeringGuard<'_, D, C> {
    fn drop(&mut self) {
        self.0.lingering.set(self.0.lingering.get() - 1);
    }
}
