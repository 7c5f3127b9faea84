//! Meaning of an endpoint's answer, and the heads that callers get.

use bytes::Bytes;

use crate::gateway::dispatch::Refusal;
use crate::gateway::http1::ResponseHead;
use crate::gateway::{Dialect, ResponseInfo};

/// What an answer's head means for the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Meaning {
    /// It belongs to another request and is skipped.
    Foreign,
    /// An interim answer.
    Interim,
    /// A success of the endpoint.
    Success,
    /// The endpoint did not run the request.
    NotRun,
    /// A failure of the endpoint that can be passed on.
    Failure,
    /// A failure that would promise that the request did not run, which the endpoint did not say.
    Unpromised,
    /// Not an answer that can be trusted.
    Garbled,
}

/// Statuses that tell a caller that a request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Status of an endpoint that is not the expected one; it never runs the request.
const MISDIRECTED: u16 = 421;

/// Returns what an answer means for the attempt of the given id.
pub(super) fn meaning(head: &ResponseHead, answered: &ResponseInfo, id: &str) -> Meaning {
    if (100..200).contains(&head.status) {
        return Meaning::Interim;
    }
    match &answered.id {
        Some(found) if **found != *id => return Meaning::Foreign,
        // Only rejections may come without an id: they are written before the request was read.
        None if !answered.not_run && head.status != MISDIRECTED => return Meaning::Garbled,
        _ => {}
    }
    if head.headers.get("content-encoding").is_some_and(|coding| !coding.eq_ignore_ascii_case("identity")) {
        return Meaning::Garbled;
    }
    match head.status {
        200..300 if answered.signed && !answered.not_run => Meaning::Success,
        200..400 => Meaning::Garbled,
        MISDIRECTED => Meaning::NotRun,
        _ if answered.not_run => Meaning::NotRun,
        status if PROMISES.contains(&status) => Meaning::Unpromised,
        _ => Meaning::Failure,
    }
}

/// A whole answer of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Answer {
    pub head: ResponseHead,
    pub body: Bytes,
}

/// Writes an endpoint's answer for the caller.
pub(super) fn write_answer<D: Dialect>(dialect: &D, answer: &Answer, close: bool, out: &mut Vec<u8>) {
    write_status(dialect, &answer.head, out);
    push(out, "content-length", &answer.body.len().to_string());
    end_head(close, out);
    out.extend_from_slice(&answer.body);
}

/// Writes the head of a stream for the caller.
pub(super) fn write_stream_head<D: Dialect>(
    dialect: &D,
    head: &ResponseHead,
    close: bool,
    out: &mut Vec<u8>,
) {
    write_status(dialect, head, out);
    push(out, "transfer-encoding", "chunked");
    end_head(close, out);
}

fn write_status<D: Dialect>(dialect: &D, head: &ResponseHead, out: &mut Vec<u8>) {
    out.extend_from_slice(format!("HTTP/1.1 {} {}\r\n", head.status, head.reason).as_bytes());
    for (name, value) in head.headers.iter().filter(|(name, _)| !dialect.is_hop_header(name)) {
        push(out, name, value);
    }
}

/// Writes an answer of our own.
pub(super) fn write_refusal(refusal: &Refusal, close: bool, out: &mut Vec<u8>) {
    write_own(refusal.reason.status(), &refusal.reason.to_string(), refusal.retry_after_ms, close, out);
}

/// Writes an answer of our own with a status and a text that says why.
pub(super) fn write_own(
    status: u16,
    text: &str,
    retry_after_ms: Option<u64>,
    close: bool,
    out: &mut Vec<u8>,
) {
    out.extend_from_slice(format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status)).as_bytes());
    push(out, "content-type", "text/plain");
    push(out, "content-length", &(text.len() + 1).to_string());
    if let Some(after_ms) = retry_after_ms {
        push(out, "retry-after", &format!("{}.{:03}", after_ms / 1_000, after_ms % 1_000));
    }
    end_head(close, out);
    out.extend_from_slice(text.as_bytes());
    out.push(b'\n');
}

fn push(out: &mut Vec<u8>, name: &str, value: &str) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value.as_bytes());
    out.extend_from_slice(b"\r\n");
}

fn end_head(close: bool, out: &mut Vec<u8>) {
    if close {
        push(out, "connection", "close");
    }
    out.extend_from_slice(b"\r\n");
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Failed",
    }
}
