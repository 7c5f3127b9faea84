//! Serves the requests of one caller connection.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::answer::{Response, write_local_reply, write_refusal, write_response};
use super::context::{Context, DrainStage, InFlightGuard};
use super::exchange::{Progress, Request, exchange};
use crate::clock::Clock;
use crate::gateway::Dialect;
use crate::gateway::dispatch::{Ending, Refusal, RefusalReason, Verdict};
use crate::gateway::http1::{BodyDecoder, HttpError, Reader, RequestHead, split};

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

/// What happens to the caller's connection after a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ConnectionAction {
    Keep,
    Close,
}

/// Serves the requests of a connection one after another.
pub(super) async fn serve<D: Dialect, C: Clock>(context: Rc<Context<D, C>>, stream: TcpStream) {
    let (mut reader, mut writer) = match split(stream, TCP_USER_TIMEOUT_MS) {
        Ok(halves) => halves,
        Err(error) => {
            log::info!("event=caller_connection_failed error=\"{error}\"");
            return;
        }
    };
    loop {
        if !wait_for_request(&context, &mut reader).await {
            return;
        }
        let in_flight = InFlightGuard::begin(&context);
        let action = match read_request(&context, &mut reader).await {
            Ok((head, body)) => handle_request(&context, head, body, &mut reader, &mut writer).await,
            Err(Some((status, text))) => reply_with_error(&mut writer, status, &text).await,
            Err(None) => ConnectionAction::Close,
        };
        drop(in_flight);
        if action == ConnectionAction::Close {
            return;
        }
    }
}

/// Waits for the first byte of a request. Returns false when the idle timeout has passed or the connection
/// has ended.
async fn wait_for_request<D: Dialect, C: Clock>(context: &Context<D, C>, reader: &mut Reader) -> bool {
    if reader.has_buffered() {
        return true;
    }
    let idle_timeout = Duration::from_millis(context.limits.get().idle_timeout_ms);
    matches!(timeout(idle_timeout, reader.fill()).await, Ok(Ok(())))
}

/// Reads a complete request. The head and the body must each arrive within `head_timeout_ms`.
///
/// The error is the status and text to respond with, or `None` when the connection has ended.
async fn read_request<D: Dialect, C: Clock>(
    context: &Context<D, C>,
    reader: &mut Reader,
) -> Result<(RequestHead, Bytes), Option<(u16, String)>> {
    let limits = context.limits.get();
    let read_timeout = Duration::from_millis(limits.head_timeout_ms);
    let to_reply = |error: HttpError| match error {
        HttpError::Closed | HttpError::Truncated | HttpError::Io(_) => None,
        HttpError::HeadTooLarge(_) => Some((431, error.to_string())),
        HttpError::BodyTooLarge(_) => Some((413, error.to_string())),
        HttpError::Malformed(_) => Some((400, error.to_string())),
    };
    let timed_out =
        |_| Some((408, format!("the request did not arrive within {} ms", limits.head_timeout_ms)));
    let head = timeout(read_timeout, reader.request_head(limits.head_bytes))
        .await
        .map_err(timed_out)?
        .map_err(to_reply)?;
    let decoder = BodyDecoder::new(head.framing().map_err(to_reply)?);
    let body = timeout(read_timeout, reader.whole_body(decoder, limits.body_bytes));
    let body = body.await.map_err(timed_out)?.map_err(to_reply)?;
    Ok((head, body))
}

async fn reply_with_error(writer: &mut OwnedWriteHalf, status: u16, text: &str) -> ConnectionAction {
    let mut out = Vec::new();
    write_local_reply(status, text, None, true, &mut out);
    write_reply(writer, &out).await;
    ConnectionAction::Close
}

/// Writes a local reply or a failure response of an endpoint. Returns false when the caller has left or does
/// not read it in time.
async fn write_reply(writer: &mut OwnedWriteHalf, out: &[u8]) -> bool {
    matches!(timeout(Duration::from_millis(REPLY_TIMEOUT_MS), writer.write_all(out)).await, Ok(Ok(())))
}

async fn handle_request<D: Dialect, C: Clock>(
    context: &Rc<Context<D, C>>,
    head: RequestHead,
    body: Bytes,
    reader: &mut Reader,
    writer: &mut OwnedWriteHalf,
) -> ConnectionAction {
    let close = context.must_close_connections() || !head.keeps_alive();
    let action = if close { ConnectionAction::Close } else { ConnectionAction::Keep };
    let request_info = match context.dialect.request_info(&head, &body) {
        Ok(request_info) => request_info,
        Err(error) => return reply_with_error(writer, 400, &error.to_string()).await,
    };
    if context.drain_stage.get() == DrainStage::Closing {
        let refusal = Refusal { reason: RefusalReason::NoCapacity, retry_after_ms: Some(SHUTDOWN_RETRY_MS) };
        return reply_refusal(writer, &refusal, true).await;
    }
    let time_limit_ms =
        request_info.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS).saturating_sub(RESPONSE_MARGIN_MS);
    let id = request_info.id.clone();
    let (ticket, verdict) = context.submit(request_info);
    let request = Request { id, head, body, close, ticket };
    let mut progress = Progress::default();
    let outcome = {
        let serving = follow_verdicts(context, ticket, verdict, &request, &mut progress, writer);
        tokio::select! {
            outcome = serving => Some(outcome),
            () = reader.wait_for_close() => None,
            () = tokio::time::sleep(Duration::from_millis(time_limit_ms)) => Some(ServeOutcome::Expired),
        }
    };
    match outcome {
        None => {
            context.finish(ticket, Ending::Left);
            ConnectionAction::Close
        }
        Some(ServeOutcome::Completed) => action,
        Some(ServeOutcome::CallerLeft) => ConnectionAction::Close,
        Some(ServeOutcome::Expired) => {
            context.finish(ticket, Ending::Expired);
            reply_expired(writer, &request, &progress).await
        }
        Some(ServeOutcome::Refused(refusal)) if !progress.head_sent => {
            reply_refusal(writer, &refusal, request.close).await;
            action
        }
        Some(ServeOutcome::Deliver(response)) if !progress.head_sent => {
            let mut out = Vec::new();
            write_response(&context.dialect, &response, request.close, &mut out);
            if write_reply(writer, &out).await { action } else { ConnectionAction::Close }
        }
        // The response has begun and cannot be completed. The connection is closed without the end of the
        // body, so that the caller detects the truncation.
        Some(ServeOutcome::Refused(_) | ServeOutcome::Deliver(_)) => ConnectionAction::Close,
    }
}

async fn reply_refusal(writer: &mut OwnedWriteHalf, refusal: &Refusal, close: bool) -> ConnectionAction {
    let mut out = Vec::new();
    write_refusal(refusal, close, &mut out);
    write_reply(writer, &out).await;
    if close { ConnectionAction::Close } else { ConnectionAction::Keep }
}

/// Responds to a request whose deadline has passed. If it was sent to an endpoint, it may have run, so the
/// status must not tell the caller that it did not run.
async fn reply_expired(
    writer: &mut OwnedWriteHalf,
    request: &Request,
    progress: &Progress,
) -> ConnectionAction {
    if progress.head_sent {
        return ConnectionAction::Close;
    }
    let reason = if progress.request_sent { RefusalReason::Expired } else { RefusalReason::NoCapacity };
    reply_refusal(writer, &Refusal { reason, retry_after_ms: None }, request.close).await
}

/// How the processing of a request ended.
enum ServeOutcome {
    Completed,
    CallerLeft,
    Expired,
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
    let mut held_response = None;
    loop {
        let order = match verdict.await {
            Ok(Verdict::Send(order)) => order,
            Ok(Verdict::Refuse(refusal)) => return ServeOutcome::Refused(refusal),
            Ok(Verdict::Deliver) => match held_response {
                Some(response) => return ServeOutcome::Deliver(response),
                None => {
                    return ServeOutcome::Refused(Refusal {
                        reason: RefusalReason::Broken,
                        retry_after_ms: None,
                    });
                }
            },
            // Dispatch never drops a request, so its thread has ended, and the process will exit. A verdict to abandon
            // a send is delivered to the send.
            Ok(Verdict::Abandon) | Err(_) => {
                return ServeOutcome::Refused(Refusal {
                    reason: RefusalReason::Broken,
                    retry_after_ms: None,
                });
            }
        };
        let remaining_us = order.deadline_us.saturating_sub(context.clock.now_us());
        let remaining =
            Duration::from_micros(remaining_us).saturating_sub(Duration::from_millis(RESPONSE_MARGIN_MS));
        let abandoned = context.begin_send(ticket);
        let sending = timeout(remaining, exchange(context, &order, request, progress, writer));
        let (ending, response) = tokio::select! {
            biased;
            sent = sending => match sent {
                Ok(sent) => sent,
                Err(_) => return ServeOutcome::Expired,
            },
            Ok(()) = abandoned => (progress.abandon(writer).await, None),
        };
        context.end_send(ticket);
        match ending {
            Ending::Completed { .. } => {
                context.finish(ticket, ending);
                return ServeOutcome::Completed;
            }
            Ending::Left => {
                context.finish(ticket, ending);
                return ServeOutcome::CallerLeft;
            }
            ending => {
                held_response = response;
                verdict = context.report_end(ticket, ending);
            }
        }
    }
}
