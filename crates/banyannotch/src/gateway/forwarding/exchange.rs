//! Sends a request to an endpoint once and forwards the response to the caller.

use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::{timeout, timeout_at};

use super::answer::{ConnectionUse, Response, ResponseKind, classify, write_response, write_stream_head};
use super::context::Context;
use super::events::EventSplitter;
use super::pool::Upstream;
use crate::clock::{Clock, US_PER_MS};
use crate::gateway::Dialect;
use crate::gateway::dispatch::{BrokenBy, Ending, SendOrder};
use crate::gateway::http1::{
    BodyDecoder, Decoded, Framing, HttpError, RequestHead, ResponseHead, connect, write_chunk,
};

/// Maximum number of bytes buffered of an incomplete response head.
const HEAD_LIMIT_BYTES: usize = 65_536;
/// Maximum size of the body of a response that is not a stream. It is buffered until it is complete, and an instance
/// with little memory may buffer several.
const BODY_LIMIT_BYTES: usize = 4 << 20;
/// Maximum size of the body of a rejection or of a response to another request. It is not used.
const UNUSED_BODY_LIMIT_BYTES: usize = 65_536;
/// Time limit for the body of a rejection, in milliseconds. The request waits for it before it is sent elsewhere, and
/// without the body only the connection is lost.
const REJECTION_BODY_TIMEOUT_MS: u64 = 50;
/// The operating system closes a connection whose peer acknowledges no data for this long.
const TCP_USER_TIMEOUT_MS: u64 = 2_000;

/// A caller's request that is being forwarded.
pub(super) struct Request {
    pub id: std::sync::Arc<str>,
    pub head: RequestHead,
    pub body: Bytes,
    /// The connection of the caller is closed after the response.
    pub close: bool,
    /// Number of the request, assigned by forwarding.
    pub ticket: u64,
}

/// How far the forwarding of a request has progressed, over all sends.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Sending of a response head to the caller has begun; only the rest of the same stream may follow.
    pub head_sent: bool,
    /// Id of the last event of a stream that was sent to the caller.
    pub last_event_id: Option<u64>,
    /// Sending to an endpoint has begun, so the request may have run.
    pub request_sent: bool,
    /// Numbers of the connections on which the request was sent. None of them carries it again: a second copy of the
    /// earlier response would have the same id as the response that is expected.
    connections: Vec<u64>,
    /// Output of a stream that is being written to the caller. A send that is abandoned meanwhile leaves it here.
    output: Vec<u8>,
    /// Number of bytes of the output that have been written.
    written: usize,
    /// Time from the send to the first event of a stream whose end is part of the output, in milliseconds.
    completed_first_ms: Option<u64>,
}

impl Progress {
    /// Writes the rest of the output. After a cancelled call, the next one continues where it stopped, so that no part of
    /// a chunk is lost or interrupted by another chunk.
    async fn write_output(&mut self, caller_writer: &mut OwnedWriteHalf) -> std::io::Result<()> {
        while let Some(rest) = self.output.get(self.written..).filter(|rest| !rest.is_empty()) {
            match caller_writer.write(rest).await? {
                0 => return Err(std::io::ErrorKind::WriteZero.into()),
                size => self.written += size,
            }
        }
        self.output.clear();
        self.written = 0;
        Ok(())
    }

    /// Returns how a send ends that dispatch abandons. A stream that has arrived completely is delivered nevertheless.
    pub async fn abandon(&mut self, caller_writer: &mut OwnedWriteHalf) -> Ending {
        match self.completed_first_ms {
            None => Ending::Broken { by: BrokenBy::Silence },
            Some(first_ms) => match self.write_output(caller_writer).await {
                Ok(()) => Ending::Completed { first_ms },
                Err(_) => Ending::Left,
            },
        }
    }
}

/// How a send ended, and the failure response that dispatch may decide to deliver.
pub(super) type ExchangeOutcome = (Ending, Option<Response>);

/// Why an exchange ended early.
enum ExchangeError {
    /// The ending is already determined.
    Ended(Ending),
    /// The response of the endpoint could not be read.
    Upstream(HttpError),
    /// The head or the next part of a stream did not arrive within its time limit.
    TimedOut,
}

impl From<HttpError> for ExchangeError {
    fn from(error: HttpError) -> Self {
        Self::Upstream(error)
    }
}

impl ExchangeError {
    fn into_ending(self) -> Ending {
        match self {
            Self::Ended(ending) => ending,
            Self::TimedOut => Ending::Broken { by: BrokenBy::Silence },
            Self::Upstream(HttpError::Closed | HttpError::Truncated | HttpError::Io(_)) => {
                Ending::Broken { by: BrokenBy::Connection }
            }
            Self::Upstream(_) => Ending::Broken { by: BrokenBy::Garbled },
        }
    }
}

/// Sends a request as ordered by dispatch and forwards a successful response to the caller.
pub(super) async fn exchange<D: Dialect, C: Clock>(
    context: &Context<D, C>,
    order: &SendOrder,
    request: &Request,
    progress: &mut Progress,
    caller_writer: &mut OwnedWriteHalf,
) -> ExchangeOutcome {
    // The rest of what an abandoned send has left goes first. A caller that does not read it needs no further events.
    if progress.write_output(caller_writer).await.is_err() {
        return (Ending::Left, None);
    }
    let connect_started_us = context.clock.now_us();
    let Some(upstream) = acquire_connection(context, order, &progress.connections).await else {
        return (Ending::Unsent, None);
    };
    progress.connections.push(upstream.number);
    let now_us = context.clock.now_us();
    if now_us >= order.valid_until_us {
        return (Ending::Outdated, None);
    }
    let mut forwarding_info = order.forwarding_info.clone();
    forwarding_info.deadline_ms =
        (order.deadline_us.saturating_sub(now_us) / US_PER_MS).min(forwarding_info.deadline_ms);
    if let Some(last_event_id) = progress.last_event_id {
        forwarding_info.resume_after = Some(last_event_id);
    }
    let mut request_bytes = Vec::with_capacity(1_024 + request.body.len());
    context.dialect.write_head(&request.head, &forwarding_info, request.body.len(), &mut request_bytes);
    request_bytes.extend_from_slice(&request.body);
    progress.request_sent = true;
    let connect_ms = now_us.saturating_sub(connect_started_us) / US_PER_MS;
    let response_start_timeout =
        Duration::from_millis(order.first_response_limit_ms.saturating_sub(connect_ms).max(1));
    let sent_at = Instant::now();
    let mut exchange =
        Exchange { context, order, request, upstream, sent_at, may_reuse: true, pooled_keep_alive_ms: None };
    let result = exchange
        .perform(
            &request_bytes,
            response_start_timeout,
            forwarding_info.resume_after,
            progress,
            caller_writer,
        )
        .await;
    if let Some(keep_alive_ms) = exchange.pooled_keep_alive_ms
        && !exchange.upstream.reader.has_buffered()
    {
        context.pool.borrow_mut().put(
            order.address,
            exchange.upstream,
            keep_alive_ms,
            order.idle_connections,
        );
    }
    match result {
        Ok(outcome) => outcome,
        Err(error) => (error.into_ending(), None),
    }
}

async fn acquire_connection<D: Dialect, C: Clock>(
    context: &Context<D, C>,
    order: &SendOrder,
    excluded: &[u64],
) -> Option<Upstream> {
    if let Some(upstream) = context.pool.borrow_mut().take(order.address, excluded) {
        return Some(upstream);
    }
    match connect(order.address, order.connect_limit_ms, TCP_USER_TIMEOUT_MS).await {
        Ok((reader, writer)) => {
            metrics::counter!("banyannotch_gateway_connections_total").increment(1);
            let number = context.pool.borrow_mut().number_connection();
            Some(Upstream { reader, writer, number, connection_use: ConnectionUse::Sole })
        }
        Err(error) => {
            log::info!("event=connect_failed endpoint_address={} error=\"{error}\"", order.address);
            None
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

struct Exchange<'a, D, C> {
    context: &'a Context<D, C>,
    order: &'a SendOrder,
    request: &'a Request,
    upstream: Upstream,
    sent_at: Instant,
    /// Whether the connection can carry another request after this one.
    may_reuse: bool,
    /// Set when the response is complete and the connection can be pooled. The inner value is the idle
    /// timeout that the endpoint announced, in milliseconds.
    pooled_keep_alive_ms: Option<Option<u64>>,
}

impl<D: Dialect, C: Clock> Exchange<'_, D, C> {
    async fn perform(
        &mut self,
        request_bytes: &[u8],
        response_start_timeout: Duration,
        resume_after: Option<u64>,
        progress: &mut Progress,
        caller_writer: &mut OwnedWriteHalf,
    ) -> Result<ExchangeOutcome, ExchangeError> {
        let head_result = self.read_head_in_time(request_bytes, response_start_timeout).await?;
        let (head, kind, fault_at) = head_result;
        let framing = head.framing()?;
        let decoder = BodyDecoder::new(framing);
        match kind {
            ResponseKind::Success if self.order.stream => {
                if !is_event_stream(&head) {
                    return Ok((Ending::Broken { by: BrokenBy::Garbled }, None));
                }
                self.forward_stream(
                    &head,
                    decoder,
                    response_start_timeout,
                    resume_after,
                    progress,
                    caller_writer,
                )
                .await
            }
            ResponseKind::Success => {
                let response = self.read_response(head, framing, decoder).await?;
                let mut out = Vec::new();
                write_response(&self.context.dialect, &response, self.request.close, &mut out);
                progress.head_sent = true;
                let ending = match caller_writer.write_all(&out).await {
                    Ok(()) => Ending::Completed { first_ms: self.elapsed_ms() },
                    Err(_) => Ending::Left,
                };
                Ok((ending, None))
            }
            ResponseKind::NotRun => {
                let status = head.status;
                // The endpoint did not run the request, even if the body of its response cannot be read.
                let body = self.upstream.reader.whole_body(decoder, UNUSED_BODY_LIMIT_BYTES);
                let limit = Duration::from_millis(REJECTION_BODY_TIMEOUT_MS);
                if matches!(timeout(limit, body).await, Ok(Ok(_))) {
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

    /// Sends the request and reads the head of its response within the time limits of the order.
    async fn read_head_in_time(
        &mut self,
        request_bytes: &[u8],
        limit: Duration,
    ) -> Result<(ResponseHead, ResponseKind, Option<crate::pipeline::Address>), ExchangeError> {
        let (context, ticket, stream) = (self.context, self.request.ticket, self.order.stream);
        let silence_due = self.sent_at + Duration::from_millis(self.order.silence_limit_ms);
        let mut reading = std::pin::pin!(self.send_and_read_head(request_bytes));
        let mut due = Instant::now() + limit;
        loop {
            if let Ok(head) = timeout_at(due.into(), &mut reading).await {
                return head;
            }
            if !stream || Instant::now() >= silence_due {
                return Err(ExchangeError::TimedOut);
            }
            context.report_late_event(ticket);
            due = (Instant::now() + limit).min(silence_due);
        }
    }

    /// Sends the request and reads the head of its response. Interim responses and responses to other
    /// attempts are skipped.
    async fn send_and_read_head(
        &mut self,
        request_bytes: &[u8],
    ) -> Result<(ResponseHead, ResponseKind, Option<crate::pipeline::Address>), ExchangeError> {
        let mut early_head = None;
        {
            let (reader, writer) = (&mut self.upstream.reader, &mut self.upstream.writer);
            let write = std::pin::pin!(writer.write_all(request_bytes));
            tokio::select! {
                biased;
                // An endpoint may respond and then reset the connection; the response is still read.
                write_result = write => if write_result.is_err() { self.may_reuse = false },
                head = reader.response_head(HEAD_LIMIT_BYTES) => early_head = Some(head?),
            }
        }
        if early_head.is_some() {
            // The request was not sent completely, so the endpoint still expects the rest of its body.
            self.may_reuse = false;
        }
        loop {
            let head = match early_head.take() {
                Some(head) => head,
                None => self.upstream.reader.response_head(HEAD_LIMIT_BYTES).await?,
            };
            let response_info = self.context.dialect.response_info(&head);
            match classify(&head, &response_info, &self.request.id, self.upstream.connection_use) {
                ResponseKind::Interim => {}
                ResponseKind::Foreign => {
                    log::info!(
                        "event=foreign_answer request={} endpoint={} found={:?}",
                        self.request.id,
                        self.order.forwarding_info.endpoint,
                        response_info.id
                    );
                    self.may_reuse = false;
                    self.upstream.connection_use = ConnectionUse::Shared;
                    let decoder = BodyDecoder::new(head.framing()?);
                    self.upstream.reader.whole_body(decoder, UNUSED_BODY_LIMIT_BYTES).await?;
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
    ) -> Result<Response, ExchangeError> {
        let body = self.upstream.reader.whole_body(decoder, BODY_LIMIT_BYTES).await?;
        self.may_reuse &= framing != Framing::UntilClose && head.keeps_alive();
        self.allow_pooling(&head);
        Ok(Response { head, body })
    }

    /// Forwards complete events of a stream as they arrive. Only complete events are progress: an endpoint that sends
    /// single bytes has stalled.
    async fn forward_stream(
        &mut self,
        head: &ResponseHead,
        mut decoder: BodyDecoder,
        response_start_timeout: Duration,
        resume_after: Option<u64>,
        progress: &mut Progress,
        caller_writer: &mut OwnedWriteHalf,
    ) -> Result<ExchangeOutcome, ExchangeError> {
        let stall_limit = Duration::from_millis(self.order.stall_limit_ms);
        let mut splitter = EventSplitter::new(resume_after);
        let silence_limit = Duration::from_millis(self.order.silence_limit_ms);
        let mut silence_due = self.sent_at + silence_limit;
        let mut event_due = (self.sent_at + response_start_timeout).max(Instant::now());
        let mut first_ms = None;
        let mut events = Vec::new();
        loop {
            let Ok(read) = timeout_at(event_due.into(), self.upstream.reader.body(&mut decoder)).await else {
                if Instant::now() >= silence_due {
                    return Err(ExchangeError::TimedOut);
                }
                self.context.report_late_event(self.request.ticket);
                event_due = (Instant::now() + stall_limit).min(silence_due);
                continue;
            };
            let mut ended = false;
            match read? {
                None => ended = true,
                Some(data) => self.split_events(&mut splitter, &data, &mut events)?,
            }
            while !ended {
                match self.upstream.reader.buffered_body(&mut decoder)? {
                    Decoded::Data(data) => self.split_events(&mut splitter, &data, &mut events)?,
                    Decoded::NeedMore => break,
                    Decoded::End => ended = true,
                }
            }
            // Without an event, a resumed run shows that nothing is left only by the end of its chunks. An endpoint that
            // failed may send a body of length 0, or close the connection.
            let shows_end = first_ms.is_some()
                || !events.is_empty()
                || (splitter.last_id().is_some() && head.framing()? == Framing::Chunked);
            if ended && (splitter.is_inside_event() || !shows_end) {
                return Err(ExchangeError::Upstream(HttpError::Truncated));
            }
            if !events.is_empty() && first_ms.is_none() {
                first_ms = Some(self.elapsed_ms());
                self.context.report_first_event(self.request.ticket);
            }
            if !events.is_empty() || ended {
                self.write_head_once(head, progress);
                if !events.is_empty() {
                    write_chunk(&events, &mut progress.output);
                }
                if ended {
                    progress.output.extend_from_slice(b"0\r\n\r\n");
                    progress.completed_first_ms = Some(first_ms.unwrap_or_else(|| self.elapsed_ms()));
                }
                progress.last_event_id = splitter.last_id();
                if progress.write_output(caller_writer).await.is_err() {
                    return Err(ExchangeError::Ended(Ending::Left));
                }
                // The time that the caller took to read does not count.
                event_due = Instant::now() + stall_limit;
                silence_due = Instant::now() + silence_limit;
                events.clear();
            }
            if let Some(first_ms) = progress.completed_first_ms {
                self.may_reuse &= head.framing()? != Framing::UntilClose && head.keeps_alive();
                self.allow_pooling(head);
                return Ok((Ending::Completed { first_ms }, None));
            }
        }
    }

    fn split_events(
        &self,
        splitter: &mut EventSplitter,
        data: &[u8],
        events: &mut Vec<u8>,
    ) -> Result<(), ExchangeError> {
        splitter.push(data, events).map(|_| ()).map_err(|error| {
            log::warn!(
                "event=events_spoiled request={} endpoint={} error=\"{error}\"",
                self.request.id,
                self.order.forwarding_info.endpoint
            );
            ExchangeError::Ended(Ending::Broken { by: BrokenBy::Garbled })
        })
    }

    fn write_head_once(&self, head: &ResponseHead, progress: &mut Progress) {
        if !progress.head_sent {
            write_stream_head(&self.context.dialect, head, self.request.close, &mut progress.output);
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
