//! Reads the messages of callers and the bodies of responses within the account of the callers' memory.

use std::rc::Rc;

use bytes::Bytes;

use crate::caller_memory::{Hold, PageBuffer, Part, SocketBuffers};
use crate::gateway::http1::{
    BodyDecoder, BodyQuota, Framing, HttpError, Reader, RequestHead, ResponseHead, Result,
};

/// Buffer space of a connection, which the account covers by what it counts for each connection.
pub(super) const COVERED_BYTES: usize = 4_096;
/// Memory that a request head takes in relation to its size: while it arrives, its buffer doubles, and then its strings, those
/// of the request that is submitted to dispatch, and the head that is sent to the endpoint take about as much as its text.
const HEAD_COPIES: usize = 3;
/// Minimum growth of a body whose length is not known.
const MIN_GROWTH_BYTES: usize = 4_096;
/// Size from which a body without a length passes through a large buffer, which most such bodies do not need.
const UNANNOUNCED_LARGE_BYTES: usize = 65_536;

/// A limit on the body of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestQuota {
    limit_bytes: usize,
    taken_bytes: usize,
}

impl RequestQuota {
    /// Creates the quota of a body that is still empty.
    pub fn new(limit_bytes: usize) -> Self {
        Self { limit_bytes, taken_bytes: 0 }
    }
}

impl BodyQuota for RequestQuota {
    fn take(&mut self, size_bytes: usize) -> Result<()> {
        self.taken_bytes = self.taken_bytes.saturating_add(size_bytes);
        if self.taken_bytes > self.limit_bytes {
            return Err(HttpError::BodyTooLarge(self.limit_bytes));
        }
        Ok(())
    }
}

/// Reads a request head.
///
/// # Errors
/// Returns the errors of [`Reader::request_head`].
pub(super) async fn read_head(reader: &mut Reader, limit_bytes: usize, hold: &Hold) -> Result<RequestHead> {
    loop {
        let buffered_bytes = reader.buffered_bytes();
        if let Some(head) = reader.buffered_request_head(limit_bytes)? {
            let head_bytes = buffered_bytes - reader.buffered_bytes();
            if head_bytes > COVERED_BYTES {
                hold.set(Part::Head, HEAD_COPIES * head_bytes).await;
            }
            let ahead_bytes = reader.buffered_bytes();
            hold.shrink(Part::Ahead, if ahead_bytes > COVERED_BYTES { 2 * ahead_bytes } else { 0 });
            return Ok(head);
        }
        if buffered_bytes >= COVERED_BYTES {
            hold.set(Part::Head, HEAD_COPIES * (buffered_bytes + COVERED_BYTES)).await;
        }
        reader.fill_within_head().await?;
    }
}

/// Reads a response head.
///
/// # Errors
/// Returns the errors of [`Reader::response_head`].
pub(super) async fn read_response_head(
    reader: &mut Reader,
    limit_bytes: usize,
    hold: &Hold,
) -> Result<ResponseHead> {
    loop {
        let buffered_bytes = reader.buffered_bytes();
        if let Some(head) = reader.buffered_response_head(limit_bytes)? {
            // The strings of the head take about as much as its text, and so does the head that the caller gets.
            let head_bytes = buffered_bytes - reader.buffered_bytes();
            if head_bytes > COVERED_BYTES {
                hold.set(Part::ResponseHead, 2 * head_bytes).await;
            }
            return Ok(head);
        }
        if buffered_bytes >= COVERED_BYTES {
            // The buffer doubles when it is full.
            hold.set(Part::ResponseHead, 2 * (buffered_bytes + COVERED_BYTES)).await;
        }
        reader.fill_within_head().await?;
    }
}

/// Reads a complete body. Its memory grows by a quarter at a time, so that little of it is unused. A large body passes through
/// a large buffer of the socket if there is one.
///
/// # Errors
/// Returns the errors of [`Reader::body`] and of the quota.
pub(super) async fn collect_body<Q: BodyQuota>(
    reader: &mut Reader,
    mut decoder: BodyDecoder,
    framing: Framing,
    quota: &mut Q,
    (hold, part): (&Hold, Part),
    buffers: &Rc<SocketBuffers>,
) -> Result<Bytes> {
    let announced_bytes = match framing {
        Framing::Length(length) => usize::try_from(length).unwrap_or(usize::MAX),
        Framing::Chunked | Framing::UntilClose => usize::MAX,
    };
    if announced_bytes != usize::MAX && buffers.is_large(announced_bytes) {
        reader.enlarge_buffer(buffers);
    }
    let mut collected = PageBuffer::default();
    while let Some(data) = reader.body(&mut decoder).await? {
        quota.take(data.len())?;
        let size_bytes = collected.len() + data.len();
        if size_bytes > collected.capacity() {
            let growth_bytes = (size_bytes / 4).max(MIN_GROWTH_BYTES);
            let capacity_bytes = (size_bytes + growth_bytes).min(announced_bytes).max(size_bytes);
            hold.set(part, capacity_bytes).await;
            collected.set_capacity(capacity_bytes);
            if size_bytes > UNANNOUNCED_LARGE_BYTES {
                reader.enlarge_buffer(buffers);
            }
        }
        collected.extend_from_slice(&data);
    }
    reader.reduce_buffer();
    Ok(collected.into())
}
