//! One send of a request to an endpoint.

use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::timeout;

use super::answer::{Answer, Meaning, meaning, write_answer, write_stream_head};
use super::context::Context;
use super::events::EventSplitter;
use super::pool::Upstream;
use crate::clock::{Clock, US_PER_MS};
use crate::gateway::Dialect;
use crate::gateway::dispatch::{BrokenBy, Ending, SendOrder};
use crate::gateway::http1::{
    BodyDecoder, Decoded, Framing, HttpError, RequestHead, ResponseHead, connect, write_chunk,
};

/// Largest head of an endpoint's answer, in bytes.
const HEAD_LIMIT_BYTES: usize = 65_536;
/// Largest body of an answer that is not a stream, in bytes; it is held until it is whole.
const BODY_LIMIT_BYTES: usize = 16 << 20;
/// A connection whose peer acknowledges nothing for this long is given up, in milliseconds.
const SILENCE_LIMIT_MS: u64 = 2_000;

/// A request on its way through.
pub(super) struct Request {
    pub id: std::sync::Arc<str>,
    pub head: RequestHead,
    pub body: Bytes,
    pub close: bool,
    pub ticket: u64,
}

/// What the caller has got so far.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// The head of the answer was sent; only the same stream can follow.
    pub head_sent: bool,
    /// Last event that was sent.
    pub last_id: Option<u64>,
    /// The send to an endpoint has begun.
    pub sent: bool,
}

/// How a send ended, and the answer that dispatch may want delivered.
pub(super) type Exchanged = (Ending, Option<Answer>);

/// Why the exchange stopped.
enum Stop {
    Ended(Ending),
    Upstream(HttpError),
    Silent,
}

impl From<HttpError> for Stop {
    fn from(error: HttpError) -> Self {
        Self::Upstream(error)
    }
}

impl Stop {
    fn ending(self) -> Ending {
        match self {
            Self::Ended(ending) => ending,
            Self::Silent => Ending::Broken { by: BrokenBy::Silence },
            Self::Upstream(HttpError::Closed | HttpError::Truncated | HttpError::Io(_)) => {
                Ending::Broken { by: BrokenBy::Connection }
            }
            Self::Upstream(_) => Ending::Broken { by: BrokenBy::Garbled },
        }
    }
}

/// Sends a request as ordered and passes a successful answer on to the caller.
pub(super) async fn exchange<D: Dialect, C: Clock>(
    context: &Context<D, C>,
    order: &SendOrder,
    request: &Request,
    progress: &mut Progress,
    caller: &mut OwnedWriteHalf,
) -> Exchanged {
    let begun_us = context.clock.now_us();
    let Some(upstream) = open(context, order).await else { return (Ending::Unsent, None) };
    let now_us = context.clock.now_us();
    if now_us >= order.valid_until_us {
        return (Ending::Outdated, None);
    }
    let mut onward = order.forwarding_info.clone();
    onward.deadline_ms = (order.until_us.saturating_sub(now_us) / US_PER_MS).min(onward.deadline_ms);
    if let Some(last_id) = progress.last_id {
        onward.resume_after = Some(last_id);
    }
    let mut bytes = Vec::with_capacity(1_024 + request.body.len());
    context.dialect.write_head(&request.head, &onward, request.body.len(), &mut bytes);
    bytes.extend_from_slice(&request.body);
    progress.sent = true;
    let waited_ms = now_us.saturating_sub(begun_us) / US_PER_MS;
    let first_limit = Duration::from_millis(order.first_limit_ms.saturating_sub(waited_ms).max(1));
    let begun = Instant::now();
    let mut run = Run { context, order, request, upstream, begun, clean: true, reusable: None };
    let result = run.go(&bytes, first_limit, onward.resume_after, progress, caller).await;
    if let Some(idle_limit_ms) = run.reusable
        && !run.upstream.reader.has_buffered()
    {
        context.pool.borrow_mut().put(order.address, run.upstream, idle_limit_ms, order.idle_connections);
    }
    match result {
        Ok(exchanged) => exchanged,
        Err(stop) => (stop.ending(), None),
    }
}

async fn open<D: Dialect, C: Clock>(context: &Context<D, C>, order: &SendOrder) -> Option<Upstream> {
    if let Some(upstream) = context.pool.borrow_mut().take(order.address) {
        return Some(upstream);
    }
    match connect(order.address, order.connect_limit_ms, SILENCE_LIMIT_MS).await {
        Ok((reader, writer)) => {
            metrics::counter!("banyannotch_gateway_connections_total").increment(1);
            Some(Upstream { reader, writer, reused: false })
        }
        Err(error) => {
            log::info!("event=connect_failed endpoint_address={} error=\"{error}\"", order.address);
            None
        }
    }
}

struct Run<'a, D, C> {
    context: &'a Context<D, C>,
    order: &'a SendOrder,
    request: &'a Request,
    upstream: Upstream,
    begun: Instant,
    /// Nothing has happened that forbids another request on the connection.
    clean: bool,
    /// The answer was whole, and the endpoint keeps the connection for this long if it says so.
    reusable: Option<Option<u64>>,
}

impl<D: Dialect, C: Clock> Run<'_, D, C> {
    async fn go(
        &mut self,
        bytes: &[u8],
        first_limit: Duration,
        resume_after: Option<u64>,
        progress: &mut Progress,
        caller: &mut OwnedWriteHalf,
    ) -> Result<Exchanged, Stop> {
        let first = timeout(first_limit, self.head(bytes)).await.map_err(|_| Stop::Silent)?;
        let (head, meaning, fault_at) = first?;
        let framing = head.framing()?;
        let decoder = BodyDecoder::new(framing);
        match meaning {
            Meaning::Success if self.order.stream => {
                self.stream(&head, decoder, first_limit, resume_after, progress, caller).await
            }
            Meaning::Success => {
                let answer = self.whole(head, framing, decoder).await?;
                let mut out = Vec::new();
                write_answer(&self.context.dialect, &answer, self.request.close, &mut out);
                progress.head_sent = true;
                let ending = match caller.write_all(&out).await {
                    Ok(()) => Ending::Completed { first_ms: self.elapsed_ms() },
                    Err(_) => Ending::Left,
                };
                Ok((ending, None))
            }
            Meaning::NotRun => {
                let status = head.status;
                // The refusal stands even if its body does not come.
                if self.whole(head, framing, decoder).await.is_err() {
                    self.clean = false;
                }
                Ok((Ending::NotRun { status, fault_at }, None))
            }
            Meaning::Failure => {
                let answer = self.whole(head, framing, decoder).await?;
                Ok((Ending::Failed { status: answer.head.status }, Some(answer)))
            }
            Meaning::Unpromised => Ok((Ending::Broken { by: BrokenBy::Connection }, None)),
            Meaning::Garbled | Meaning::Foreign | Meaning::Interim => {
                Ok((Ending::Broken { by: BrokenBy::Garbled }, None))
            }
        }
    }

    /// Writes the request and reads the head of its answer. Answers to other requests are skipped.
    async fn head(
        &mut self,
        bytes: &[u8],
    ) -> Result<(ResponseHead, Meaning, Option<crate::pipeline::Address>), Stop> {
        let mut early = None;
        {
            let (reader, writer) = (&mut self.upstream.reader, &mut self.upstream.writer);
            let write = std::pin::pin!(writer.write_all(bytes));
            tokio::select! {
                biased;
                // An endpoint may reset after its answer; what it has written is still read.
                written = write => if written.is_err() { self.clean = false },
                head = reader.response_head(HEAD_LIMIT_BYTES) => early = Some(head?),
            }
        }
        if early.is_some() {
            // The rest of the body is still due on this connection.
            self.clean = false;
        }
        loop {
            let head = match early.take() {
                Some(head) => head,
                None => self.upstream.reader.response_head(HEAD_LIMIT_BYTES).await?,
            };
            let answered = self.context.dialect.response_info(&head);
            match meaning(&head, &answered, &self.request.id) {
                Meaning::Interim => {}
                Meaning::Foreign => {
                    log::info!(
                        "event=foreign_answer request={} endpoint={} found={:?}",
                        self.request.id,
                        self.order.forwarding_info.endpoint,
                        answered.id
                    );
                    self.clean = false;
                    let decoder = BodyDecoder::new(head.framing()?);
                    self.upstream.reader.whole_body(decoder, BODY_LIMIT_BYTES).await?;
                }
                meaning => return Ok((head, meaning, answered.fault_at)),
            }
        }
    }

    async fn whole(
        &mut self,
        head: ResponseHead,
        framing: Framing,
        decoder: BodyDecoder,
    ) -> Result<Answer, Stop> {
        let body = self.upstream.reader.whole_body(decoder, BODY_LIMIT_BYTES).await?;
        self.clean &= framing != Framing::UntilClose && head.keeps_alive();
        self.give_back(&head);
        Ok(Answer { head, body })
    }

    /// Passes whole events on as they come.
    async fn stream(
        &mut self,
        head: &ResponseHead,
        mut decoder: BodyDecoder,
        first_limit: Duration,
        resume_after: Option<u64>,
        progress: &mut Progress,
        caller: &mut OwnedWriteHalf,
    ) -> Result<Exchanged, Stop> {
        let stall_limit = Duration::from_millis(self.order.stall_limit_ms);
        let mut splitter = EventSplitter::new(resume_after);
        let mut limit = first_limit.saturating_sub(self.begun.elapsed()).max(Duration::from_millis(1));
        let mut first_ms = None;
        let (mut events, mut out) = (Vec::new(), Vec::new());
        loop {
            let read = timeout(limit, self.upstream.reader.body(&mut decoder)).await;
            let mut ended = false;
            match read.map_err(|_| Stop::Silent)?? {
                None => ended = true,
                Some(data) => self.split(&mut splitter, &data, &mut events)?,
            }
            while !ended {
                match self.upstream.reader.body_at_hand(&mut decoder)? {
                    Decoded::Data(data) => self.split(&mut splitter, &data, &mut events)?,
                    Decoded::NeedMore => break,
                    Decoded::End => ended = true,
                }
            }
            let empty = splitter.last_id().is_none();
            if ended && (splitter.is_inside_event() || empty) {
                return Err(Stop::Upstream(HttpError::Truncated));
            }
            if !events.is_empty() {
                if first_ms.is_none() {
                    first_ms = Some(self.elapsed_ms());
                    self.context.started(self.request.ticket);
                }
                limit = stall_limit;
            }
            if !events.is_empty() || ended {
                self.begin_answer(head, progress, &mut out);
                if !events.is_empty() {
                    write_chunk(&events, &mut out);
                }
                if ended {
                    out.extend_from_slice(b"0\r\n\r\n");
                }
                progress.last_id = splitter.last_id();
                if caller.write_all(&out).await.is_err() {
                    return Err(Stop::Ended(Ending::Left));
                }
                events.clear();
                out.clear();
            }
            if ended {
                self.clean &= head.framing()? != Framing::UntilClose && head.keeps_alive();
                self.give_back(head);
                let first_ms = first_ms.unwrap_or_else(|| self.elapsed_ms());
                return Ok((Ending::Completed { first_ms }, None));
            }
        }
    }

    fn split(&self, splitter: &mut EventSplitter, data: &[u8], events: &mut Vec<u8>) -> Result<(), Stop> {
        splitter.push(data, events).map(|_| ()).map_err(|error| {
            log::warn!(
                "event=events_spoiled request={} endpoint={} error=\"{error}\"",
                self.request.id,
                self.order.forwarding_info.endpoint
            );
            Stop::Ended(Ending::Broken { by: BrokenBy::Garbled })
        })
    }

    fn begin_answer(&self, head: &ResponseHead, progress: &mut Progress, out: &mut Vec<u8>) {
        if !progress.head_sent {
            write_stream_head(&self.context.dialect, head, self.request.close, out);
            progress.head_sent = true;
        }
    }

    fn give_back(&mut self, head: &ResponseHead) {
        if self.clean {
            self.reusable = Some(head.idle_limit_ms());
        }
    }

    fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.begun.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}
