//! One connection of a caller.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::answer::{Answer, write_answer, write_own, write_refusal};
use super::context::{Context, InFlight, Stage};
use super::exchange::{Progress, Request, exchange};
use crate::clock::Clock;
use crate::gateway::Dialect;
use crate::gateway::dispatch::{Ending, Refusal, RefusalReason, Verdict};
use crate::gateway::http1::{BodyDecoder, HttpError, Reader, RequestHead, split};

/// A connection whose peer acknowledges nothing for this long is given up, in milliseconds.
const SILENCE_LIMIT_MS: u64 = 10_000;
/// The final answer goes out this long before the time of a request is over, so that it arrives in time.
const FINAL_MARGIN_MS: u64 = 20;
/// Time that a caller waits at most when it does not say so, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 60_000;
/// Longest time to write an answer of our own, in milliseconds.
const OWN_ANSWER_LIMIT_MS: u64 = 1_000;
/// When a caller may come again that is refused because the process is stopping, in milliseconds.
const STOPPING_RETRY_MS: u64 = 50;

/// What happens to the connection after a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum After {
    Keep,
    Close,
}

/// Serves the requests of a connection one after another.
pub(super) async fn serve<D: Dialect, C: Clock>(context: Rc<Context<D, C>>, stream: TcpStream) {
    let (mut reader, mut writer) = match split(stream, SILENCE_LIMIT_MS) {
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
        let in_flight = InFlight::begin(&context);
        let after = match read_request(&context, &mut reader).await {
            Ok((head, body)) => answer_request(&context, head, body, &mut reader, &mut writer).await,
            Err(Some((status, text))) => answer_own(&mut writer, status, &text).await,
            Err(None) => After::Close,
        };
        drop(in_flight);
        if after == After::Close {
            return;
        }
    }
}

/// Waits for the first byte of a request; false when the connection is idle for too long or has ended.
async fn wait_for_request<D: Dialect, C: Clock>(context: &Context<D, C>, reader: &mut Reader) -> bool {
    if reader.has_buffered() {
        return true;
    }
    let idle = Duration::from_millis(context.limits.get().idle_timeout_ms);
    matches!(timeout(idle, reader.fill()).await, Ok(Ok(())))
}

/// Reads a whole request, or returns the failure to answer with.
async fn read_request<D: Dialect, C: Clock>(
    context: &Context<D, C>,
    reader: &mut Reader,
) -> Result<(RequestHead, Bytes), Option<(u16, String)>> {
    let limits = context.limits.get();
    let limit = Duration::from_millis(limits.head_timeout_ms);
    let refused = |error: HttpError| match error {
        HttpError::Closed | HttpError::Truncated | HttpError::Io(_) => None,
        HttpError::HeadTooLarge(_) => Some((431, error.to_string())),
        HttpError::BodyTooLarge(_) => Some((413, error.to_string())),
        HttpError::Malformed(_) => Some((400, error.to_string())),
    };
    let too_slow =
        |_| Some((408, format!("the request did not arrive within {} ms", limits.head_timeout_ms)));
    let head =
        timeout(limit, reader.request_head(limits.head_bytes)).await.map_err(too_slow)?.map_err(refused)?;
    let decoder = BodyDecoder::new(head.framing().map_err(refused)?);
    let body = timeout(limit, reader.whole_body(decoder, limits.body_bytes));
    let body = body.await.map_err(too_slow)?.map_err(refused)?;
    Ok((head, body))
}

async fn answer_own(writer: &mut OwnedWriteHalf, status: u16, text: &str) -> After {
    let mut out = Vec::new();
    write_own(status, text, None, true, &mut out);
    send_own(writer, &out).await;
    After::Close
}

/// Writes an answer of our own. A caller that does not read it has left.
async fn send_own(writer: &mut OwnedWriteHalf, out: &[u8]) -> bool {
    matches!(timeout(Duration::from_millis(OWN_ANSWER_LIMIT_MS), writer.write_all(out)).await, Ok(Ok(())))
}

async fn answer_request<D: Dialect, C: Clock>(
    context: &Rc<Context<D, C>>,
    head: RequestHead,
    body: Bytes,
    reader: &mut Reader,
    writer: &mut OwnedWriteHalf,
) -> After {
    let close = context.closes() || !head.keeps_alive();
    let after = if close { After::Close } else { After::Keep };
    let ask = match context.dialect.request_info(&head, &body) {
        Ok(ask) => ask,
        Err(error) => return answer_own(writer, 400, &error.to_string()).await,
    };
    if context.stage.get() == Stage::Closing {
        let refusal = Refusal { reason: RefusalReason::NoCapacity, retry_after_ms: Some(STOPPING_RETRY_MS) };
        return refuse(writer, &refusal, true).await;
    }
    let limit_ms = ask.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS).saturating_sub(FINAL_MARGIN_MS);
    let id = ask.id.clone();
    let (ticket, verdict) = context.submit(ask);
    let request = Request { id, head, body, close, ticket };
    let mut progress = Progress::default();
    let served = {
        let serving = serve_ticket(context, ticket, verdict, &request, &mut progress, writer);
        tokio::select! {
            served = serving => Some(served),
            () = reader.closed() => None,
            () = tokio::time::sleep(Duration::from_millis(limit_ms)) => Some(Served::Expired),
        }
    };
    match served {
        None => {
            context.finish(ticket, Ending::Left);
            After::Close
        }
        Some(Served::Answered) => after,
        Some(Served::Left) => After::Close,
        Some(Served::Expired) => {
            context.finish(ticket, Ending::Expired);
            expire(writer, &request, &progress).await
        }
        Some(Served::Refused(refusal)) if !progress.head_sent => {
            refuse(writer, &refusal, request.close).await;
            after
        }
        Some(Served::Deliver(answer)) if !progress.head_sent => {
            let mut out = Vec::new();
            write_answer(&context.dialect, &answer, request.close, &mut out);
            if send_own(writer, &out).await { after } else { After::Close }
        }
        // The rest of a begun answer cannot be had: the connection ends without the end of the body.
        Some(Served::Refused(_) | Served::Deliver(_)) => After::Close,
    }
}

async fn refuse(writer: &mut OwnedWriteHalf, refusal: &Refusal, close: bool) -> After {
    let mut out = Vec::new();
    write_refusal(refusal, close, &mut out);
    send_own(writer, &out).await;
    if close { After::Close } else { After::Keep }
}

/// Answers a request whose time is over. It may have run once it was sent.
async fn expire(writer: &mut OwnedWriteHalf, request: &Request, progress: &Progress) -> After {
    if progress.head_sent {
        return After::Close;
    }
    let reason = if progress.sent { RefusalReason::Expired } else { RefusalReason::NoCapacity };
    refuse(writer, &Refusal { reason, retry_after_ms: None }, request.close).await
}

/// How the service of a request ended on our side.
enum Served {
    Answered,
    Left,
    Expired,
    Refused(Refusal),
    Deliver(Answer),
}

/// Follows dispatch's verdicts until the request has its final answer.
async fn serve_ticket<D: Dialect, C: Clock>(
    context: &Context<D, C>,
    ticket: u64,
    mut verdict: oneshot::Receiver<Verdict>,
    request: &Request,
    progress: &mut Progress,
    writer: &mut OwnedWriteHalf,
) -> Served {
    let mut held = None;
    loop {
        let order = match verdict.await {
            Ok(Verdict::Send(order)) => order,
            Ok(Verdict::Refuse(refusal)) => return Served::Refused(refusal),
            Ok(Verdict::Deliver) => match held {
                Some(answer) => return Served::Deliver(answer),
                None => {
                    return Served::Refused(Refusal { reason: RefusalReason::Broken, retry_after_ms: None });
                }
            },
            // Dispatch never drops a request; its thread has ended, and so will the process.
            Err(_) => {
                return Served::Refused(Refusal { reason: RefusalReason::Broken, retry_after_ms: None });
            }
        };
        let left_us = order.until_us.saturating_sub(context.clock.now_us());
        let left = Duration::from_micros(left_us).saturating_sub(Duration::from_millis(FINAL_MARGIN_MS));
        let sent = exchange(context, &order, request, progress, writer);
        let Ok((ending, answer)) = timeout(left, sent).await else { return Served::Expired };
        match ending {
            Ending::Completed { .. } => {
                context.finish(ticket, ending);
                return Served::Answered;
            }
            Ending::Left => {
                context.finish(ticket, ending);
                return Served::Left;
            }
            ending => {
                held = answer;
                verdict = context.end(ticket, ending);
            }
        }
    }
}
