//! Sends large responses through large socket buffers. See "What the operating system keeps" in `docs/design/caller-memory.md`.

use std::time::Duration;

use tokio::net::tcp::OwnedWriteHalf;

use super::context::Context;
use crate::caller_memory::{Direction, Hold, LargeBuffer, is_sent};

/// Time until the first check whether a caller has received a large response. It doubles with each check.
const SENT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Makes the send buffer of a caller's socket large if a body of the given size needs that and there is room.
pub(super) fn enlarge_for<D, C>(
    context: &Context<D, C>,
    writer: &OwnedWriteHalf,
    body_bytes: usize,
) -> Option<LargeBuffer> {
    let is_large = context.buffers.is_large(body_bytes);
    if is_large { context.buffers.enlarge(writer.as_ref(), Direction::Send) } else { None }
}

/// Makes the send buffer of a caller's socket small again. What it contains counts until the caller has received it.
pub(super) fn reduce_after(hold: &Hold, writer: &OwnedWriteHalf, large: Option<LargeBuffer>) {
    if let Some(large) = large {
        large.reduce(writer.as_ref());
        hold.keep_send_buffer(Some(large));
    }
}

/// Releases the large buffer of an idle connection when the caller has received the response that was sent through it.
/// Never returns, so that it can run beside the wait for the next request.
pub(super) async fn release_when_sent(hold: &Hold, writer: &OwnedWriteHalf) {
    let mut interval = SENT_CHECK_INTERVAL;
    while hold.has_send_buffer() {
        tokio::time::sleep(interval).await;
        // Without an answer of the operating system the buffer counts until the connection ends.
        if is_sent(writer.as_ref()).unwrap_or(false) {
            hold.keep_send_buffer(None);
        }
        interval *= 2;
    }
    std::future::pending::<()>().await;
}
