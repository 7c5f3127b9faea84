//! Classifies the responses of endpoints and writes responses to callers.

use bytes::Bytes;

use super::budget::BodyShare;
use super::handoff::{Origin, is_outcome_header};
use crate::gateway::dispatch::Refusal;
use crate::gateway::http1::ResponseHead;
use crate::gateway::{Dialect, ResponseInfo};

/// What the head of an endpoint's response means for the attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ResponseKind {
    /// It belongs to another attempt and is skipped.
    Foreign,
    /// An interim response (status 1xx, but not 101).
    Interim,
    /// A success that is signed by the endpoint.
    Success,
    /// The endpoint states that it did not run the request.
    NotRun,
    /// A failure that can be forwarded to the caller.
    Failure,
    /// A failure whose status would tell the caller that the request did not run, although the endpoint did
    /// not state this. The request may have run.
    Ambiguous,
    /// A response that cannot be trusted: without a required id or signature, with a content encoding, a
    /// redirection, a change of the protocol, or a success that is marked as not run. The request may have run.
    Invalid,
}

/// Which requests a response without an id may belong to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ConnectionUse {
    /// Only to the one that was sent: the connection has carried no other request or response.
    Sole,
    /// Also to an earlier one, whose response the endpoint may have written once more.
    Shared,
}

/// Statuses that tell a caller that the request did not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Status "Misdirected Request" of an endpoint that is not the expected one. It never runs the request.
const MISDIRECTED_STATUS: u16 = 421;

/// Status "Switching Protocols".
const SWITCHING_PROTOCOLS_STATUS: u16 = 101;

/// Classifies a response to the attempt with the given id.
pub(super) fn classify(
    head: &ResponseHead,
    response_info: &ResponseInfo,
    id: &str,
    connection_use: ConnectionUse,
) -> ResponseKind {
    if is_interim(head) {
        return ResponseKind::Interim;
    }
    // No request asks for another protocol. What follows is not HTTP, even if it looks like a response.
    if head.status == SWITCHING_PROTOCOLS_STATUS {
        return ResponseKind::Invalid;
    }
    match &response_info.id {
        Some(found) if **found != *id => return ResponseKind::Foreign,
        // Only rejections may have no id, since an endpoint may write them before it has read the request. One that may
        // be a copy of an earlier rejection says nothing about this request.
        None if connection_use == ConnectionUse::Shared => return ResponseKind::Invalid,
        None if !response_info.not_run && head.status != MISDIRECTED_STATUS => return ResponseKind::Invalid,
        _ => {}
    }
    if head.headers.get("content-encoding").is_some_and(|coding| !coding.eq_ignore_ascii_case("identity")) {
        return ResponseKind::Invalid;
    }
    match head.status {
        200..300 if response_info.signed && !response_info.not_run => ResponseKind::Success,
        200..400 => ResponseKind::Invalid,
        MISDIRECTED_STATUS => ResponseKind::NotRun,
        _ if response_info.not_run => ResponseKind::NotRun,
        status if NOT_RUN_STATUSES.contains(&status) => ResponseKind::Ambiguous,
        _ => ResponseKind::Failure,
    }
}

/// Returns whether a response is followed by another one to the same request.
pub(super) fn is_interim(head: &ResponseHead) -> bool {
    (100..200).contains(&head.status) && head.status != SWITCHING_PROTOCOLS_STATUS
}

/// Returns whether what a response head says about the endpoint itself is used. A head that names another attempt, or none
/// although only rejections may do so, is not passed on and may be a copy of another endpoint's answer.
pub(super) fn describes_endpoint(kind: ResponseKind, response_info: &ResponseInfo) -> bool {
    match kind {
        ResponseKind::Foreign | ResponseKind::Interim => false,
        ResponseKind::Invalid => response_info.id.is_some(),
        ResponseKind::Success | ResponseKind::NotRun | ResponseKind::Failure | ResponseKind::Ambiguous => {
            true
        }
    }
}

/// Returns the time for which an endpoint wants no requests, if its response rejects this one. Whether the request ran does
/// not matter.
pub(super) fn requested_hold_off_ms(status: u16, response_info: &ResponseInfo) -> Option<u64> {
    /// Statuses "Too Many Requests" and "Service Unavailable", with which `Retry-After` asks the sender to wait.
    const HOLD_OFF_STATUSES: [u16; 2] = [429, 503];
    response_info.retry_after_ms.filter(|_| HOLD_OFF_STATUSES.contains(&status))
}

/// A complete response of an endpoint.
#[derive(Debug)]
pub(super) struct Response {
    pub head: ResponseHead,
    pub body: Bytes,
    /// The body counts as buffered until the response is dropped.
    pub _share: BodyShare,
}

/// Writes the head of a complete response of an endpoint to the caller's output. Its body follows.
pub(super) fn write_response_head<D: Dialect>(
    dialect: &D,
    response: &Response,
    close: bool,
    out: &mut Vec<u8>,
) {
    write_status_and_headers(dialect, &response.head, out);
    push_header(out, "content-length", &response.body.len().to_string());
    finish_head(close, out);
}

/// Writes the head of a streamed response; its body is sent in chunks.
pub(super) fn write_stream_head<D: Dialect>(
    dialect: &D,
    head: &ResponseHead,
    close: bool,
    out: &mut Vec<u8>,
) {
    write_status_and_headers(dialect, head, out);
    push_header(out, "transfer-encoding", "chunked");
    finish_head(close, out);
}

fn write_status_and_headers<D: Dialect>(dialect: &D, head: &ResponseHead, out: &mut Vec<u8>) {
    out.extend_from_slice(format!("HTTP/1.1 {} {}\r\n", head.status, head.reason).as_bytes());
    let is_forwarded = |name: &str| !dialect.is_hop_header(name) && !is_outcome_header(name);
    for (name, value) in head.headers.iter().filter(|(name, _)| is_forwarded(name)) {
        push_header(out, name, value);
    }
}

/// Writes a response that tells the caller why its request is refused.
pub(super) fn write_refusal(refusal: &Refusal, origin: Origin, close: bool, out: &mut Vec<u8>) {
    let text = refusal.reason.to_string();
    write_reply_to(origin, refusal.reason.status(), &text, refusal.retry_after_ms, close, out);
}

/// Writes a response to a caller that originates in this gateway, with a plain-text body.
pub(super) fn write_local_reply(
    status: u16,
    text: &str,
    retry_after_ms: Option<u64>,
    close: bool,
    out: &mut Vec<u8>,
) {
    write_reply_to(Origin::Caller, status, text, retry_after_ms, close, out);
}

/// Writes a response that originates in this gateway, with a plain-text body.
pub(super) fn write_reply_to(
    origin: Origin,
    status: u16,
    text: &str,
    retry_after_ms: Option<u64>,
    close: bool,
    out: &mut Vec<u8>,
) {
    out.extend_from_slice(format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status)).as_bytes());
    push_header(out, "content-type", "text/plain");
    push_header(out, "content-length", &(text.len() + 1).to_string());
    if let Some(delay_ms) = retry_after_ms {
        push_header(out, "retry-after", &format!("{}.{:03}", delay_ms / 1_000, delay_ms % 1_000));
    }
    origin.write_outcome(status, out);
    finish_head(close, out);
    out.extend_from_slice(text.as_bytes());
    out.push(b'\n');
}

fn push_header(out: &mut Vec<u8>, name: &str, value: &str) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value.as_bytes());
    out.extend_from_slice(b"\r\n");
}

fn finish_head(close: bool, out: &mut Vec<u8>) {
    if close {
        push_header(out, "connection", "close");
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
