//! Serves the requests of one caller connection.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, Bytes};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::oneshot;
use tokio::time::{timeout, timeout_at};

use super::answer::{Response, write_refusal, write_reply_to, write_response_head};
use super::closing::{RETRY_MS, close_in_order, refuse_connection};
use super::collect::{RequestQuota, collect_body, read_head};
use super::context::{Context, DrainStage, InFlightGuard, SubmittedGuard};
use super::exchange::{ExchangeOutcome, OpenExchange, Progress, Request, exchange};
use super::handoff::Origin;
use super::send_buffer::{enlarge_for, reduce_after, release_when_sent};
use crate::caller_memory::{Hold, Part, Refused, Stage as CallerStage};
use crate::clock::Clock;
use crate::gateway::Dialect;
use crate::gateway::dispatch::{Ending, Refusal, RefusalReason, Verdict};
use crate::gateway::http1::{BodyDecoder, Framing, HttpError, Reader, RequestHead, split};

/// The operating system closes a connection whose peer acknowledges no data for this long.
const TCP_USER_TIMEOUT_MS: u64 = 10_000;
/// Work on a request ends this long before its deadline, so that the final response arrives in time.
const RESPONSE_MARGIN_MS: u64 = 20;
/// Deadline of a request that does not state one.
const DEFAULT_DEADLINE_MS: u64 = 60_000;
/// Time limit for writing a local reply or a failure response of an endpoint.
const REPLY_TIMEOUT_MS: u64 = 1_000;
/// Retry delay announced to a caller whose request is refused because the process is shutting down.
const SHUTDOWN_RETRY_MS: u64 = 50;
/// Retry delay announced to a caller whose request is refused because all connections to endpoints are in use.
const NO_CONNECTION_RETRY_MS: u64 = 200;

/// What happens to the caller's connection after a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ConnectionAction {
    Keep,
    Close,
    /// It is closed after what the caller still sends has been discarded.
    CloseInOrder,
}

/// Serves the connection of a caller.
pub(super) async fn serve_caller<D: Dialect, C: Clock>(context: Rc<Context<D, C>>, stream: TcpStream) {
    serve(context, stream, Origin::Caller).await;
}

/// Serves the requests of a connection one after another.
pub(super) async fn serve<D: Dialect, C: Clock>(
    context: Rc<Context<D, C>>,
    stream: TcpStream,
    origin: Origin,
) {
    let Some(hold) = context.memory.open() else {
        return refuse_connection(&context, stream).await;
    };
    context.pool.borrow_mut().reduce_to(context.idle_connection_limit());
    let (mut reader, mut writer) = match split(stream, TCP_USER_TIMEOUT_MS) {
        Ok(halves) => halves,
        Err(error) => {
            log::info!("event=caller_connection_failed error=\"{error}\"");
            return;
        }
    };
    loop {
        let is_waiting = tokio::select! {
            biased;
            () = hold.dropped() => {
                hold.record(Refused::IdleConnection);
                false
            }
            is_waiting = wait_for_request(&context, &mut reader) => is_waiting,
            () = release_when_sent(&hold, &writer) => false,
        };
        if !is_waiting {
            return;
        }
        let in_flight = InFlightGuard::begin(&context);
        hold.set_stage(CallerStage::Arriving);
        let read = tokio::select! {
            biased;
            () = hold.dropped() => None,
            read = read_request(&context, &mut reader, &hold) => Some(read),
        };
        let action = match read {
            Some(Ok((head, body))) => {
                handle_request(&context, origin, (head, body), &hold, &mut reader, &mut writer).await
            }
            Some(Err(Some((status, text)))) => reply_with_error(&mut writer, origin, status, &text).await,
            Some(Err(None)) => ConnectionAction::Close,
            None => {
                reader.release_buffer();
                reply_no_memory(&hold, origin, &mut writer).await
            }
        };
        drop(in_flight);
        hold.end_request();
        match action {
            ConnectionAction::Keep => {}
            ConnectionAction::Close => return,
            ConnectionAction::CloseInOrder => {
                return close_in_order(&context, &mut reader, &mut writer).await;
            }
        }
    }
}

/// Waits for the first byte of a request. Returns false when the connection has been idle for too long or has ended.
///
/// A caller may know either the limit that was in force when the connection became idle or the present one, so the longer
/// one applies. It may also know one that has not reached this gateway yet.
async fn wait_for_request<D: Dialect, C: Clock>(context: &Context<D, C>, reader: &mut Reader) -> bool {
    if reader.has_buffered() {
        return true;
    }
    let idle_since = tokio::time::Instant::now();
    let mut applied_ms = context.limits.get().idle_timeout_ms;
    loop {
        let due = idle_since + Duration::from_millis(applied_ms + context.config_apply_ms);
        if let Ok(result) = timeout_at(due, reader.fill_when_readable()).await {
            return result.is_ok();
        }
        let present_ms = context.limits.get().idle_timeout_ms;
        if present_ms <= applied_ms {
            metrics::counter!("banyannotch_gateway_idle_connections_closed_total").increment(1);
            log::debug!("event=idle_connection_closed after_ms={applied_ms}");
            return false;
        }
        applied_ms = present_ms;
    }
}

/// Reads a complete request. The head and the body must each arrive within `head_timeout_ms`.
///
/// The error is the status and text to respond with, or `None` when the connection has ended.
async fn read_request<D: Dialect, C: Clock>(
    context: &Context<D, C>,
    reader: &mut Reader,
    hold: &Hold,
) -> Result<(RequestHead, Bytes), Option<(u16, String)>> {
    let limits = context.limits.get();
    let read_timeout = Duration::from_millis(limits.head_timeout_ms);
    let to_reply = |error: HttpError| match error {
        HttpError::Closed | HttpError::Truncated | HttpError::Io(_) => None,
        HttpError::HeadTooLarge(_) => Some((431, error.to_string())),
        HttpError::BodyTooLarge(_) | HttpError::BuffersFull(_) => Some((413, error.to_string())),
        HttpError::Malformed(_) => Some((400, error.to_string())),
    };
    let timed_out =
        |_| Some((408, format!("the request did not arrive within {} ms", limits.head_timeout_ms)));
    let head = timeout(read_timeout, read_head(reader, limits.head_bytes, hold))
        .await
        .map_err(timed_out)?
        .map_err(to_reply)?;
    let framing = head.framing().map_err(to_reply)?;
    if let Framing::Length(length) = framing
        && length > limits.body_bytes as u64
    {
        return Err(to_reply(HttpError::BodyTooLarge(limits.body_bytes)));
    }
    let mut quota = RequestQuota::new(limits.body_bytes);
    let decoder = BodyDecoder::new(framing);
    let body = collect_body(reader, decoder, framing, &mut quota, (hold, Part::Body), &context.buffers);
    let body = timeout(read_timeout, body).await.map_err(timed_out)?.map_err(to_reply)?;
    Ok((head, body))
}

async fn reply_with_error(
    writer: &mut OwnedWriteHalf,
    origin: Origin,
    status: u16,
    text: &str,
) -> ConnectionAction {
    let mut out = Vec::new();
    write_reply_to(origin, status, text, None, true, &mut out);
    write_reply(writer, &out).await;
    ConnectionAction::CloseInOrder
}

/// Responds to a request that was not run because there is no memory for it.
async fn reply_no_memory(hold: &Hold, origin: Origin, writer: &mut OwnedWriteHalf) -> ConnectionAction {
    hold.record(Refused::Request);
    hold.end_request();
    let mut out = Vec::new();
    write_reply_to(origin, 503, "callers hold too much memory", Some(RETRY_MS), true, &mut out);
    write_reply(writer, &out).await;
    ConnectionAction::CloseInOrder
}

/// Writes a local reply or a failure response of an endpoint. Returns false when the caller has left or does
/// not read it in time.
async fn write_reply(writer: &mut OwnedWriteHalf, out: &[u8]) -> bool {
    matches!(timeout(Duration::from_millis(REPLY_TIMEOUT_MS), writer.write_all(out)).await, Ok(Ok(())))
}

async fn handle_request<D: Dialect, C: Clock>(
    context: &Rc<Context<D, C>>,
    origin: Origin,
    (head, body): (RequestHead, Bytes),
    hold: &Rc<Hold>,
    reader: &mut Reader,
    writer: &mut OwnedWriteHalf,
) -> ConnectionAction {
    let close = context.must_close_connections() || !head.keeps_alive();
    let action = if close { ConnectionAction::Close } else { ConnectionAction::Keep };
    let request_info = match context.dialect.request_info(&head, &body) {
        Ok(request_info) => request_info,
        Err(error) => return reply_with_error(writer, origin, 400, &error.to_string()).await,
    };
    if context.drain_stage.get() == DrainStage::Closing {
        let refusal = Refusal { reason: RefusalReason::NoCapacity, retry_after_ms: Some(SHUTDOWN_RETRY_MS) };
        return reply_refusal(writer, origin, &refusal, true).await;
    }
    let Some(_submitted) = SubmittedGuard::begin(context) else {
        hold.record(Refused::Request);
        let refusal =
            Refusal { reason: RefusalReason::NoCapacity, retry_after_ms: Some(NO_CONNECTION_RETRY_MS) };
        return reply_refusal(writer, origin, &refusal, close).await;
    };
    let time_limit_ms =
        request_info.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS).saturating_sub(RESPONSE_MARGIN_MS);
    let id = request_info.id.clone();
    let (ticket, verdict) = context.submit(request_info, origin);
    let request = Request { id, head, body, close, ticket, hold: Rc::clone(hold) };
    let mut progress = Progress::default();
    let outcome = {
        let serving = follow_verdicts(context, ticket, verdict, &request, &mut progress, writer);
        tokio::select! {
            outcome = serving => Some(outcome),
            () = reader.wait_for_close(|size_bytes| hold.set_if_free(Part::Ahead, size_bytes)) => None,
            () = hold.dropped() => Some(ServeOutcome::NoMemory),
            () = tokio::time::sleep(Duration::from_millis(time_limit_ms)) => Some(ServeOutcome::Expired),
            () = context.must_end.notified() => Some(ServeOutcome::Expired),
        }
    };
    // The shutdown may have begun since the request arrived.
    let close = close || context.must_close_connections();
    match outcome {
        None => {
            context.finish(ticket, Ending::Left);
            ConnectionAction::Close
        }
        Some(ServeOutcome::Completed) => action,
        Some(ServeOutcome::CallerLeft) => ConnectionAction::Close,
        Some(ServeOutcome::NoMemory) => {
            context.finish(ticket, Ending::Left);
            let id = request.id;
            drop(request.body);
            reader.release_buffer();
            if !progress.request_sent {
                return reply_no_memory(hold, origin, writer).await;
            }
            hold.record(Refused::Response);
            hold.end_request();
            if progress.head_sent {
                record_cut(&id, RefusalReason::Broken);
                return ConnectionAction::Close;
            }
            // The request may have run, so that the status must not promise that it has not.
            reply_with_error(writer, origin, 502, "callers hold too much memory").await
        }
        Some(ServeOutcome::Expired) => {
            context.finish(ticket, Ending::Expired);
            if progress.head_sent {
                record_cut(&request.id, RefusalReason::Expired);
                return ConnectionAction::Close;
            }
            reply_expired(writer, origin, &progress, close).await
        }
        Some(ServeOutcome::Refused(refusal)) if !progress.head_sent => {
            reply_refusal(writer, origin, &refusal, close).await
        }
        Some(ServeOutcome::Deliver(response)) if !progress.head_sent => {
            let mut out = Vec::new();
            write_response_head(&context.dialect, &response, close, &mut out);
            let large = enlarge_for(context, writer, response.body.len());
            let mut parts = Buf::chain(out.as_slice(), &*response.body);
            let written = timeout(Duration::from_millis(REPLY_TIMEOUT_MS), writer.write_all_buf(&mut parts));
            let is_written = matches!(written.await, Ok(Ok(())));
            reduce_after(hold, writer, large);
            if is_written && !close { ConnectionAction::Keep } else { ConnectionAction::Close }
        }
        // The response has begun and cannot be completed. The connection is closed without the end of the
        // body, so that the caller detects the truncation.
        Some(ServeOutcome::Refused(refusal)) => {
            record_cut(&request.id, refusal.reason);
            ConnectionAction::Close
        }
        Some(ServeOutcome::Deliver(_)) => {
            record_cut(&request.id, RefusalReason::Broken);
            ConnectionAction::Close
        }
    }
}

/// Logs and counts a response that ends before it is complete.
fn record_cut(id: &str, reason: RefusalReason) {
    metrics::counter!("banyannotch_gateway_responses_cut_total").increment(1);
    log::info!("event=response_cut request={id} reason=\"{reason}\"");
}

async fn reply_refusal(
    writer: &mut OwnedWriteHalf,
    origin: Origin,
    refusal: &Refusal,
    close: bool,
) -> ConnectionAction {
    let mut out = Vec::new();
    write_refusal(refusal, origin, close, &mut out);
    write_reply(writer, &out).await;
    if close { ConnectionAction::Close } else { ConnectionAction::Keep }
}

/// Responds to a request whose deadline has passed. If it was sent to an endpoint, it may have run, so the
/// status must not tell the caller that it did not run.
async fn reply_expired(
    writer: &mut OwnedWriteHalf,
    origin: Origin,
    progress: &Progress,
    close: bool,
) -> ConnectionAction {
    let reason = if progress.request_sent { RefusalReason::Expired } else { RefusalReason::NoCapacity };
    reply_refusal(writer, origin, &Refusal { reason, retry_after_ms: None }, close).await
}

/// How the processing of a request ended.
enum ServeOutcome {
    Completed,
    CallerLeft,
    Expired,
    /// The connection was dropped for the memory that it holds.
    NoMemory,
    Refused(Refusal),
    /// The failure response of the endpoint is to be forwarded.
    Deliver(Response),
}

/// Carries out the verdicts of dispatch until the final response is sent or determined.
async fn follow_verdicts<D: Dialect, C: Clock>(
    context: &Context<D, C>,
    ticket: u64,
    mut verdict: oneshot::Receiver<Verdict>,
    request: &Request,
    progress: &mut Progress,
    writer: &mut OwnedWriteHalf,
) -> ServeOutcome {
    let broken = Refusal { reason: RefusalReason::Broken, retry_after_ms: None };
    let (mut held_response, mut open) = (None, None);
    loop {
        let unserved = match verdict.await {
            Ok(Verdict::Send(order)) => {
                let remaining = remaining_time(context, order.deadline_us);
                let sending = exchange(context, order, request, progress, open, writer);
                let Ok(outcome) = timeout(remaining, sending).await else { return ServeOutcome::Expired };
                context.end_send(ticket);
                open = outcome.open;
                match outcome.ending {
                    ending @ Ending::Completed { .. } => {
                        context.finish(ticket, ending);
                        return ServeOutcome::Completed;
                    }
                    Ending::Left => {
                        context.finish(ticket, Ending::Left);
                        return ServeOutcome::CallerLeft;
                    }
                    ending => {
                        held_response = outcome.response;
                        verdict = context.report_end(ticket, ending);
                    }
                }
                continue;
            }
            Ok(Verdict::Refuse(refusal)) => ServeOutcome::Refused(refusal),
            Ok(Verdict::Deliver) => {
                held_response.map_or(ServeOutcome::Refused(broken), ServeOutcome::Deliver)
            }
            // Dispatch never drops a request, so its thread has ended, and the process will exit. A verdict to abandon
            // a send is delivered to the send.
            Ok(Verdict::Abandon { .. }) | Err(_) => ServeOutcome::Refused(broken),
        };
        return match open {
            Some(open) => go_on(context, open, unserved, request, progress, writer).await,
            None => unserved,
        };
    }
}

/// Goes on with an exchange that was abandoned for an endpoint that did not answer either. `unserved` is the outcome if it
/// does not complete.
async fn go_on<'a, D: Dialect, C: Clock>(
    context: &'a Context<D, C>,
    open: Box<OpenExchange<'a, D, C>>,
    unserved: ServeOutcome,
    request: &'a Request,
    progress: &mut Progress,
    writer: &mut OwnedWriteHalf,
) -> ServeOutcome {
    log::info!("event=send_resumed request={} endpoint={}", request.id, open.endpoint());
    let remaining = remaining_time(context, open.deadline_us());
    match timeout(remaining, open.go_on(progress, writer)).await {
        Ok(ExchangeOutcome { ending: Ending::Completed { .. }, .. }) => ServeOutcome::Completed,
        Ok(ExchangeOutcome { ending: Ending::Left, .. }) => ServeOutcome::CallerLeft,
        Ok(_) => unserved,
        Err(_) => ServeOutcome::Expired,
    }
}

/// Returns the time in which a send must end, so that the final response arrives before the deadline.
fn remaining_time<D, C: Clock>(context: &Context<D, C>, deadline_us: u64) -> Duration {
    let remaining_us = deadline_us.saturating_sub(context.clock.now_us());
    Duration::from_micros(remaining_us).saturating_sub(Duration::from_millis(RESPONSE_MARGIN_MS))
}
