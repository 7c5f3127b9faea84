//! Requests that gateways hand on to each other: who may do so, and how a helper marks its own responses.
//!
//! A request is handed on as the caller sent it. The response of the endpoint is passed back unchanged, and a response that
//! originates in the helper says whether the request may have run. See `docs/design/handoff.md`.

use std::net::IpAddr;
use std::rc::Rc;

use tokio::net::TcpStream;

use super::answer::ResponseKind;
use super::caller;
use super::context::Context;
use crate::clock::Clock;
use crate::gateway::Dialect;
use crate::gateway::http1::ResponseHead;

/// Header of a response that originates in a helper.
const OUTCOME_HEADER: &str = "handoff-outcome";
/// The request was sent to no endpoint, or all of them stated that they did not run it.
const NOT_RUN: &str = "not-run";
/// The request may have run.
const UNKNOWN: &str = "unknown";

/// Who sent a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Origin {
    Caller,
    /// Another gateway, which has lost its links to the endpoints.
    Gateway,
}

/// Serves a connection of another gateway. Connections from anywhere else are closed.
pub(super) async fn serve<D: Dialect, C: Clock>(context: Rc<Context<D, C>>, stream: TcpStream) {
    let from = stream.peer_addr().map(|address| address.ip());
    match from {
        Ok(from) if is_known(&context.gateways.borrow(), from) => {}
        from => {
            metrics::counter!("banyannotch_gateway_handoffs_refused_total").increment(1);
            log::warn!("event=handoff_refused from={from:?} reason=\"no known gateway\"");
            return;
        }
    }
    caller::serve(context, stream, Origin::Gateway).await;
}

fn is_known(gateways: &[IpAddr], from: IpAddr) -> bool {
    gateways.binary_search(&from).is_ok()
}

impl Origin {
    /// Adds to the head of a response that originates here, without the empty line at its end, whether the request may have
    /// run. Callers learn it from the status.
    pub fn write_outcome(self, status: u16, out: &mut Vec<u8>) {
        /// Statuses of responses that do not say whether the request ran.
        const UNKNOWN_STATUSES: [u16; 2] = [502, 504];
        if self == Self::Gateway {
            let outcome = if UNKNOWN_STATUSES.contains(&status) { UNKNOWN } else { NOT_RUN };
            out.extend_from_slice(format!("{OUTCOME_HEADER}: {outcome}\r\n").as_bytes());
        }
    }
}

/// Returns whether a header is for the gateway that handed the request on. An endpoint must not set it.
pub(super) fn is_outcome_header(name: &str) -> bool {
    name.eq_ignore_ascii_case(OUTCOME_HEADER)
}

/// Classifies a response that originates in a helper. Returns none for the response of an endpoint.
pub(super) fn classify_outcome(head: &ResponseHead) -> Option<ResponseKind> {
    let outcome = head.headers.get(OUTCOME_HEADER)?;
    Some(if outcome == NOT_RUN { ResponseKind::NotRun } else { ResponseKind::Ambiguous })
}
