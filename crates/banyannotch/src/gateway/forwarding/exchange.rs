//! Sends a request to an endpoint once and forwards the response to the caller.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::net::tcp::OwnedWriteHalf;

use super::answer::{ConnectionUse, Response};
use super::context::Context;
use super::pool::Upstream;
use super::transfer::{Stage, Transfer, TransferError};
use super::watch::{Watch, WatchLimits};
use crate::caller_memory::{Hold, Stage as CallerStage};
use crate::clock::{Clock, US_PER_MS};
use crate::gateway::Dialect;
use crate::gateway::dispatch::{Ending, SendOrder};
use crate::gateway::http1::{RequestHead, connect_socket, socket_for};

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
    /// Memory of the caller's connection.
    pub hold: Rc<Hold>,
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
}

/// What a send leaves behind.
pub(super) struct ExchangeOutcome<'a, D, C> {
    pub ending: Ending,
    /// Failure response that dispatch may decide to deliver.
    pub response: Option<Response>,
    /// Exchange that was abandoned while no other endpoint has answered. It may still go on.
    pub open: Option<Box<OpenExchange<'a, D, C>>>,
}

/// An exchange whose connection is kept while the request is offered to another endpoint.
pub(super) struct OpenExchange<'a, D, C> {
    transfer: Transfer<'a, D, C>,
    watch: Watch<'a, D, C>,
}

/// Sends a request as ordered by dispatch and forwards a successful response to the caller. `open` is an abandoned exchange
/// of the same request; it is closed as soon as this endpoint's answer begins.
pub(super) async fn exchange<'a, D: Dialect, C: Clock>(
    context: &'a Context<D, C>,
    order: Box<SendOrder>,
    request: &'a Request,
    progress: &mut Progress,
    open: Option<Box<OpenExchange<'a, D, C>>>,
    caller_writer: &mut OwnedWriteHalf,
) -> ExchangeOutcome<'a, D, C> {
    let connect_started_us = context.clock.now_us();
    let Some(upstream) = acquire_connection(context, &order, &progress.connections).await else {
        return ExchangeOutcome { ending: Ending::Unsent, response: None, open };
    };
    progress.connections.push(upstream.number);
    let now_us = context.clock.now_us();
    if let Some(ending) = order.late_ending(now_us) {
        return ExchangeOutcome { ending, response: None, open };
    }
    let mut forwarding_info = order.forwarding_info.clone();
    forwarding_info.deadline_ms =
        (order.deadline_us.saturating_sub(now_us) / US_PER_MS).min(forwarding_info.deadline_ms);
    if let Some(last_event_id) = progress.last_event_id {
        forwarding_info.resume_after = Some(last_event_id);
    }
    let mut request_head = Vec::with_capacity(1_024);
    let body_len = request.body.len();
    if order.is_handoff {
        context.dialect.write_handoff_head(&request.head, &forwarding_info, body_len, &mut request_head);
    } else {
        context.dialect.write_head(&request.head, &forwarding_info, body_len, &mut request_head);
    }
    progress.request_sent = true;
    request.hold.set_stage(CallerStage::Working);
    let connect_ms = now_us.saturating_sub(connect_started_us) / US_PER_MS;
    let limits = WatchLimits {
        first: Duration::from_millis(order.first_response_limit_ms.saturating_sub(connect_ms).max(1)),
        interval: Duration::from_millis(order.stall_limit_ms),
        silence: Duration::from_millis(order.silence_limit_ms),
    };
    let watch = Watch::start(context, request.ticket, context.begin_send(request.ticket), limits);
    let transfer = Transfer {
        context,
        order,
        request,
        upstream,
        sent_at: Instant::now(),
        resume_after: forwarding_info.resume_after,
        stage: Stage::Unsettled,
        open,
        may_reuse: true,
        pooled_keep_alive_ms: None,
    };
    Box::new(OpenExchange { transfer, watch }).run(&request_head, progress, caller_writer).await
}

impl<'a, D: Dialect, C: Clock> OpenExchange<'a, D, C> {
    /// Returns the name of the endpoint.
    pub fn endpoint(&self) -> &str {
        &self.transfer.order.forwarding_info.endpoint
    }

    /// Returns the time by which the request must have its final answer, in microseconds.
    pub fn deadline_us(&self) -> u64 {
        self.transfer.order.deadline_us
    }

    /// Goes on with an abandoned exchange, because no other endpoint has answered.
    pub async fn go_on(
        mut self: Box<Self>,
        progress: &mut Progress,
        caller_writer: &mut OwnedWriteHalf,
    ) -> ExchangeOutcome<'a, D, C> {
        self.watch.resume();
        self.run(&[], progress, caller_writer).await
    }

    async fn run(
        mut self: Box<Self>,
        request_head: &[u8],
        progress: &mut Progress,
        caller_writer: &mut OwnedWriteHalf,
    ) -> ExchangeOutcome<'a, D, C> {
        let Self { transfer, watch } = &mut *self;
        let (ending, response) = match transfer.perform(request_head, watch, progress, caller_writer).await {
            Ok(sent) => sent,
            Err(TransferError::Abandoned) => {
                let earlier = transfer.open.take();
                let may_go_on = !matches!(transfer.stage, Stage::Unsettled);
                let open = if may_go_on { Some(self) } else { earlier };
                let ending = TransferError::Abandoned.into_ending();
                return ExchangeOutcome { ending, response: None, open };
            }
            Err(error) => (error.into_ending(), None),
        };
        let Transfer { context, order, upstream, open, pooled_keep_alive_ms, .. } = self.transfer;
        if let Some(keep_alive_ms) = pooled_keep_alive_ms
            && !upstream.reader.has_buffered()
        {
            let limit = context.idle_connection_limit();
            let mut pool = context.pool.borrow_mut();
            pool.put(order.address, upstream, keep_alive_ms, order.idle_connections, limit);
        }
        ExchangeOutcome { ending, response, open }
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
    context.pool.borrow_mut().reduce_to(context.idle_connection_limit());
    let connecting = async {
        let socket = socket_for(order.address)?;
        context.buffers.limit(&socket);
        connect_socket(socket, order.address, order.connect_limit_ms, TCP_USER_TIMEOUT_MS).await
    };
    match connecting.await {
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
