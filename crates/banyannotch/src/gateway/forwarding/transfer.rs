//! Transfers a request to an endpoint and the response to the caller.

use std::time::{Duration, Instant};

use bytes::Buf;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::timeout;

use super::answer::{
    ConnectionUse, Response, ResponseKind, classify, describes_endpoint, is_interim, requested_hold_off_ms,
    write_response_head, write_stream_head,
};
use super::collect::{COVERED_BYTES, collect_body, read_response_head};
use super::context::Context;
use super::events::EventSplitter;
use super::exchange::{OpenExchange, Progress, Request};
use super::handoff::classify_outcome;
use super::pool::Upstream;
use super::send_buffer::{enlarge_for, reduce_after};
use super::watch::{Abandoned, Watch};
use crate::caller_memory::{Direction, PageBuffer, Part, Stage as CallerStage};
use crate::clock::Clock;
use crate::gateway::Dialect;
use crate::gateway::dispatch::{BrokenBy, Ending, SendOrder};
use crate::gateway::http1::{BodyDecoder, Decoded, Framing, HttpError, ResponseHead, write_chunk_size};
use crate::pipeline::Address;

/// Maximum number of bytes buffered of an incomplete response head.
const HEAD_LIMIT_BYTES: usize = 65_536;
/// Maximum size of the body of a rejection or of a response to another request. It is not used.
const UNUSED_BODY_LIMIT_BYTES: usize = 65_536;
/// Time limit for the body of a rejection, in milliseconds. The request waits for it before it is sent elsewhere, and
/// without the body only the connection is lost.
const REJECTION_BODY_TIMEOUT_MS: u64 = 50;

/// Memory that an incomplete event will take beside its buffer, in relation to its size: the buffer doubles, and the event is
/// copied when it is complete. All of it is asked for while the event arrives, because many streams can complete an event at
/// the same time.
const EVENT_COPIES: usize = 3;
/// Size up to which the memory for the events of a stream is kept for the next ones.
const KEPT_EVENTS_BYTES: usize = 16_384;

/// How a send ended, and the failure response that dispatch may decide to deliver.
type SendResult = (Ending, Option<Response>);

/// Why a transfer ended early.
pub(super) enum TransferError {
    /// The ending is already determined.
    Ended(Ending),
    /// The response of the endpoint could not be read.
    Upstream(HttpError),
    /// The answer or the next event was late, and dispatch abandoned the send.
    Abandoned,
}

impl From<HttpError> for TransferError {
    fn from(error: HttpError) -> Self {
        Self::Upstream(error)
    }
}

impl From<Abandoned> for TransferError {
    fn from(_: Abandoned) -> Self {
        Self::Abandoned
    }
}

impl TransferError {
    pub fn into_ending(self) -> Ending {
        match self {
            Self::Ended(ending) => ending,
            Self::Abandoned => Ending::Broken { by: BrokenBy::Silence },
            Self::Upstream(HttpError::Closed | HttpError::Truncated | HttpError::Io(_)) => {
                Ending::Broken { by: BrokenBy::Connection }
            }
            Self::Upstream(_) => Ending::Broken { by: BrokenBy::Garbled },
        }
    }
}

/// Returns whether a response is a stream of events as far as its content type says. A text of another type may contain
/// lines that look like events.
fn is_event_stream(head: &ResponseHead) -> bool {
    head.headers.get("content-type").is_none_or(|value| {
        let media_type = value.split(';').next().unwrap_or_default();
        media_type.trim().eq_ignore_ascii_case("text/event-stream")
    })
}

/// What a transfer waits for.
pub(super) enum Stage {
    /// The transfer cannot go on after it was abandoned: the request is not written completely, or a body is only partly
    /// read.
    Unsettled,
    /// The request is written, and the head of the response is awaited.
    AwaitingHead,
    /// The events of a stream are forwarded.
    Streaming(Box<StreamState>),
}

/// A stream that is being forwarded.
pub(super) struct StreamState {
    head: ResponseHead,
    decoder: BodyDecoder,
    splitter: EventSplitter,
    /// Time from the send to the first event, in milliseconds.
    first_ms: Option<u64>,
}

/// The transfer of a request to an endpoint and of its response to the caller, over one connection.
pub(super) struct Transfer<'a, D, C> {
    pub context: &'a Context<D, C>,
    pub order: Box<SendOrder>,
    pub request: &'a Request,
    pub upstream: Upstream,
    pub sent_at: Instant,
    /// Id of the last event that the caller had received when the request was sent.
    pub resume_after: Option<u64>,
    pub stage: Stage,
    /// Abandoned exchange of the same request, until this one has an answer.
    pub open: Option<Box<OpenExchange<'a, D, C>>>,
    /// Whether the connection can carry another request after this one.
    pub may_reuse: bool,
    /// Set when the response is complete and the connection can be pooled. The inner value is the idle
    /// timeout that the endpoint announced, in milliseconds.
    pub pooled_keep_alive_ms: Option<Option<u64>>,
}

impl<'a, D: Dialect, C: Clock> Transfer<'a, D, C> {
    /// Performs the transfer, or goes on with one that was abandoned.
    ///
    /// # Errors
    /// Returns [`TransferError`] when no complete answer arrived.
    pub async fn perform(
        &mut self,
        request_head: &[u8],
        watch: &mut Watch<'a, D, C>,
        progress: &mut Progress,
        caller_writer: &mut OwnedWriteHalf,
    ) -> Result<SendResult, TransferError> {
        let is_written = match std::mem::replace(&mut self.stage, Stage::Unsettled) {
            Stage::Streaming(stream) => {
                return self.forward_stream(*stream, watch, progress, caller_writer).await;
            }
            Stage::AwaitingHead => true,
            Stage::Unsettled => false,
        };
        let request_head = (!is_written).then_some(request_head);
        let (head, kind, fault_at) = watch.wait_for(self.send_and_read_head(request_head)).await??;
        self.stage = Stage::Unsettled;
        let framing = head.framing()?;
        let decoder = BodyDecoder::new(framing);
        match kind {
            ResponseKind::Success if self.order.stream => {
                if !is_event_stream(&head) {
                    return Ok((Ending::Broken { by: BrokenBy::Garbled }, None));
                }
                let splitter = EventSplitter::new(self.resume_after);
                let stream = StreamState { head, decoder, splitter, first_ms: None };
                self.forward_stream(stream, watch, progress, caller_writer).await
            }
            ResponseKind::Success => {
                watch.answer_arrived();
                let response = self.read_response(head, framing, decoder).await?;
                self.open = None;
                self.request.hold.set_stage(CallerStage::Answered);
                let mut out = Vec::new();
                write_response_head(&self.context.dialect, &response, self.request.close, &mut out);
                progress.head_sent = true;
                let large = enlarge_for(self.context, caller_writer, response.body.len());
                let mut parts = Buf::chain(out.as_slice(), &*response.body);
                let written = caller_writer.write_all_buf(&mut parts).await;
                reduce_after(&self.request.hold, caller_writer, large);
                let ending = match written {
                    Ok(()) => Ending::Completed { first_ms: self.elapsed_ms() },
                    Err(_) => Ending::Left,
                };
                Ok((ending, None))
            }
            ResponseKind::NotRun => {
                let status = head.status;
                // The endpoint did not run the request, even if the body of its response cannot be read.
                let body = self.upstream.reader.skip_body(decoder, UNUSED_BODY_LIMIT_BYTES);
                let limit = Duration::from_millis(REJECTION_BODY_TIMEOUT_MS);
                if matches!(timeout(limit, body).await, Ok(Ok(()))) {
                    self.may_reuse &= framing != Framing::UntilClose && head.keeps_alive();
                    self.allow_pooling(&head);
                }
                Ok((Ending::NotRun { status, fault_at }, None))
            }
            ResponseKind::Failure => {
                let response = self.read_response(head, framing, decoder).await?;
                Ok((Ending::Failed { status: response.head.status }, Some(response)))
            }
            ResponseKind::Ambiguous => Ok((Ending::Broken { by: BrokenBy::Connection }, None)),
            ResponseKind::Invalid | ResponseKind::Foreign | ResponseKind::Interim => {
                Ok((Ending::Broken { by: BrokenBy::Garbled }, None))
            }
        }
    }

    /// Sends the request, unless it was sent, and reads the head of its response. Interim responses and responses to other
    /// attempts are skipped.
    async fn send_and_read_head(
        &mut self,
        request_head: Option<&[u8]>,
    ) -> Result<(ResponseHead, ResponseKind, Option<Address>), TransferError> {
        let mut early_head = None;
        let mut write_failed = false;
        let mut large = None;
        {
            let (reader, writer) = (&mut self.upstream.reader, &mut self.upstream.writer);
            let hold = &self.request.hold;
            let (head, body) = request_head.map_or((&[][..], &[][..]), |head| (head, &*self.request.body));
            if self.context.buffers.is_large(body.len()) {
                large = self.context.buffers.enlarge(writer.as_ref(), Direction::Send);
            }
            let mut parts = Buf::chain(head, body);
            let mut write = std::pin::pin!(writer.write_all_buf(&mut parts));
            loop {
                tokio::select! {
                    biased;
                    // An endpoint may respond and then reset the connection; the response is still read.
                    write_result = &mut write => write_failed = write_result.is_err(),
                    head = read_response_head(reader, HEAD_LIMIT_BYTES, hold) => {
                        let head = head?;
                        // After an interim response the endpoint still expects the rest of the request.
                        if is_interim(&head) {
                            continue;
                        }
                        early_head = Some(head);
                    }
                }
                break;
            }
        }
        if let Some(large) = large {
            // What the endpoint has not read yet is a part of the body, which the account counts.
            large.reduce(self.upstream.writer.as_ref());
        }
        if write_failed {
            self.may_reuse = false;
            self.upstream.reader.record_failed_write();
        }
        if early_head.is_some() {
            // The request was not sent completely, so the endpoint still expects the rest of its body.
            self.may_reuse = false;
        }
        loop {
            self.stage = Stage::AwaitingHead;
            let head = match early_head.take() {
                Some(head) => head,
                None => {
                    read_response_head(&mut self.upstream.reader, HEAD_LIMIT_BYTES, &self.request.hold)
                        .await?
                }
            };
            if self.upstream.connection_use == ConnectionUse::Sole && !self.order.is_handoff {
                self.context.report_reached();
            }
            let response_info = self.context.dialect.response_info(&head);
            let outcome = if self.order.is_handoff { classify_outcome(&head) } else { None };
            let kind = outcome.unwrap_or_else(|| {
                classify(&head, &response_info, &self.request.id, self.upstream.connection_use)
            });
            if !self.order.is_handoff && describes_endpoint(kind, &response_info) {
                // Dispatch must know before the rest of the response arrives, which takes long for a stream.
                if response_info.leaving {
                    self.context.report_leaving(&self.order);
                }
                if let Some(for_ms) = requested_hold_off_ms(head.status, &response_info) {
                    self.context.report_hold_off(&self.order, response_info.fault_at, for_ms);
                }
            }
            match kind {
                ResponseKind::Interim => {}
                ResponseKind::Foreign => {
                    log::info!(
                        "event=foreign_answer request={} endpoint={} found={:?}",
                        self.request.id,
                        self.order.forwarding_info.endpoint,
                        response_info.id
                    );
                    self.may_reuse = false;
                    self.stage = Stage::Unsettled;
                    self.upstream.connection_use = ConnectionUse::Shared;
                    let decoder = BodyDecoder::new(head.framing()?);
                    self.upstream.reader.skip_body(decoder, UNUSED_BODY_LIMIT_BYTES).await?;
                }
                kind => return Ok((head, kind, response_info.fault_at)),
            }
        }
    }

    async fn read_response(
        &mut self,
        head: ResponseHead,
        framing: Framing,
        decoder: BodyDecoder,
    ) -> Result<Response, TransferError> {
        let mut share = self.context.bodies.share();
        let read = collect_body(
            &mut self.upstream.reader,
            decoder,
            framing,
            &mut share,
            (&self.request.hold, Part::Response),
            &self.context.buffers,
        )
        .await;
        if let Err(error @ (HttpError::BodyTooLarge(_) | HttpError::BuffersFull(_))) = &read {
            let endpoint = &self.order.forwarding_info.endpoint;
            log::warn!(
                "event=body_refused request={} endpoint={endpoint} error=\"{error}\"",
                self.request.id
            );
        }
        let body = read?;
        self.may_reuse &= framing != Framing::UntilClose && head.keeps_alive();
        self.allow_pooling(&head);
        Ok(Response { head, body, _share: share })
    }

    /// Forwards complete events of a stream as they arrive. Only complete events are progress: an endpoint that sends
    /// single bytes has stalled.
    async fn forward_stream(
        &mut self,
        mut stream: StreamState,
        watch: &mut Watch<'a, D, C>,
        progress: &mut Progress,
        caller_writer: &mut OwnedWriteHalf,
    ) -> Result<SendResult, TransferError> {
        let (mut events, mut out) = (PageBuffer::default(), Vec::new());
        loop {
            let buffered_bytes = stream.splitter.buffered_bytes() + self.upstream.reader.buffered_bytes();
            if buffered_bytes > COVERED_BYTES {
                let held_bytes =
                    stream.splitter.held_bytes() + EVENT_COPIES * buffered_bytes + events.capacity();
                self.request.hold.set(Part::Response, held_bytes).await;
            }
            let read = match watch.wait_for(self.upstream.reader.body(&mut stream.decoder)).await {
                Ok(read) => read,
                Err(abandoned) => {
                    self.stage = Stage::Streaming(Box::new(stream));
                    return Err(abandoned.into());
                }
            };
            let mut ended = false;
            match read? {
                None => ended = true,
                Some(data) => self.split_events(&mut stream.splitter, &data, &mut events)?,
            }
            while !ended {
                match self.upstream.reader.buffered_body(&mut stream.decoder)? {
                    Decoded::Data(data) => self.split_events(&mut stream.splitter, &data, &mut events)?,
                    Decoded::NeedMore => break,
                    Decoded::End => ended = true,
                }
            }
            // Without an event, a resumed run shows that nothing is left only by the end of its chunks. An endpoint that
            // failed may send a body of length 0, or close the connection.
            let shows_end = stream.first_ms.is_some()
                || !events.is_empty()
                || (stream.splitter.last_id().is_some() && stream.head.framing()? == Framing::Chunked);
            if ended && (stream.splitter.is_inside_event() || !shows_end) {
                return Err(TransferError::Upstream(HttpError::Truncated));
            }
            if !events.is_empty() && stream.first_ms.is_none() {
                stream.first_ms = Some(self.elapsed_ms());
                self.context.report_first_event(self.request.ticket);
            }
            if !events.is_empty() || ended {
                watch.answer_arrived();
                self.open = None;
                self.write_head_once(&stream.head, progress, &mut out);
                if !events.is_empty() {
                    write_chunk_size(events.len(), &mut out);
                }
                let rest: &[u8] = match (events.is_empty(), ended) {
                    (false, false) => b"\r\n",
                    (false, true) => b"\r\n0\r\n\r\n",
                    (true, _) => b"0\r\n\r\n",
                };
                progress.last_event_id = stream.splitter.last_id();
                let incomplete_bytes =
                    stream.splitter.held_bytes() + 2 * self.upstream.reader.buffered_bytes();
                let held_bytes = events.capacity() + out.capacity() + incomplete_bytes;
                if held_bytes > COVERED_BYTES {
                    self.request.hold.set(Part::Response, held_bytes).await;
                } else {
                    self.request.hold.shrink(Part::Response, held_bytes);
                }
                if held_bytes > COVERED_BYTES {
                    // The endpoint waits for the caller, so that its work does not protect the connection.
                    self.request.hold.set_stage(CallerStage::Answered);
                }
                let mut parts = Buf::chain(Buf::chain(out.as_slice(), events.as_slice()), rest);
                if caller_writer.write_all_buf(&mut parts).await.is_err() {
                    return Err(TransferError::Ended(Ending::Left));
                }
                if held_bytes > COVERED_BYTES {
                    self.request.hold.set_stage(CallerStage::Working);
                }
                watch.await_next_event();
                events.clear(KEPT_EVENTS_BYTES);
                out.clear();
                if held_bytes > KEPT_EVENTS_BYTES {
                    self.request.hold.shrink(Part::Response, events.capacity() + incomplete_bytes);
                }
            }
            if ended {
                self.may_reuse &= stream.head.framing()? != Framing::UntilClose && stream.head.keeps_alive();
                self.allow_pooling(&stream.head);
                let first_ms = stream.first_ms.unwrap_or_else(|| self.elapsed_ms());
                return Ok((Ending::Completed { first_ms }, None));
            }
        }
    }

    fn split_events(
        &self,
        splitter: &mut EventSplitter,
        data: &[u8],
        events: &mut PageBuffer,
    ) -> Result<(), TransferError> {
        splitter.push(data, events).map(|_| ()).map_err(|error| {
            log::warn!(
                "event=events_spoiled request={} endpoint={} error=\"{error}\"",
                self.request.id,
                self.order.forwarding_info.endpoint
            );
            TransferError::Ended(Ending::Broken { by: BrokenBy::Garbled })
        })
    }

    fn write_head_once(&self, head: &ResponseHead, progress: &mut Progress, out: &mut Vec<u8>) {
        if !progress.head_sent {
            write_stream_head(&self.context.dialect, head, self.request.close, out);
            progress.head_sent = true;
        }
    }

    fn allow_pooling(&mut self, head: &ResponseHead) {
        if self.may_reuse {
            self.pooled_keep_alive_ms = Some(head.keep_alive_timeout_ms());
        }
    }

    fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.sent_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}
