//! State that all connections of the forwarding thread share.

use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Notify, oneshot};

use super::budget::BodyBudget;
use super::handoff::Origin;
use super::pool::Pool;
use super::watch::Abandonment;
use crate::caller_memory::{CallerMemory, SocketBuffers};
use crate::clock::Clock;
use crate::duty::Supervisor;
use crate::gateway::dispatch::{self, Ending, Refusal, RefusalReason, SendOrder, Submission, Verdict};
use crate::gateway::{CallerLimits, Dialect, RequestInfo};
use crate::pipeline::Address;
use crate::ring::Sender;
use crate::table::Table;

/// Shared state of the forwarding thread.
pub(super) struct Context<D, C> {
    pub dialect: D,
    pub clock: C,
    pub supervisor: Supervisor,
    pub pool: RefCell<Pool>,
    /// Limits the response bodies that are buffered together.
    pub bodies: BodyBudget,
    /// Limits what all callers together can make the gateway hold, and their connections.
    pub memory: Rc<CallerMemory>,
    /// Limits the connections for readiness checks.
    pub checks: Rc<CallerMemory>,
    /// Limits what the operating system keeps for the connections.
    pub buffers: Rc<SocketBuffers>,
    /// Number of connections whose remaining bytes are discarded before they are closed.
    pub lingering: Cell<usize>,
    pub limits: Cell<CallerLimits>,
    /// Time until a configuration has reached all gateways, in milliseconds.
    pub config_apply_ms: u64,
    pub ready: Cell<bool>,
    /// Addresses of the gateways that may hand requests on to this one, sorted.
    pub gateways: RefCell<Arc<[IpAddr]>>,
    pub drain_stage: Cell<DrainStage>,
    /// Notified when the number of requests in flight becomes zero.
    pub became_idle: Notify,
    /// Notified when the time limit of a shutdown has passed, and requests in flight must get their responses at once.
    pub must_end: Notify,
    pub in_flight: Cell<usize>,
    /// Number of requests that were submitted to dispatch and have not ended. Each may have a connection to an endpoint.
    pub submitted: Cell<usize>,
    /// Maximum numbers of connections.
    pub connection_limits: ConnectionLimits,
    pub dispatch: RefCell<Sender<dispatch::Event>>,
    /// Requests that wait for a verdict, by number.
    pub pending_verdicts: RefCell<Table<u64, oneshot::Sender<Verdict>>>,
    /// Sends in progress, by number of the request, which dispatch may abandon.
    pub sends: RefCell<Table<u64, Rc<Abandonment>>>,
    pub next_ticket: Cell<u64>,
}

/// Maximum numbers of connections of the forwarding thread, so that descriptors are left for everything else.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionLimits {
    /// Connections of callers and those to endpoints together.
    pub shared: usize,
    /// Idle connections to endpoints.
    pub idle: usize,
}

/// Progress of a graceful shutdown.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum DrainStage {
    /// No shutdown is in progress; requests are accepted.
    #[default]
    Accepting,
    /// Requests are still accepted, and responses close their connections.
    Notice,
    /// New requests are refused; requests in flight continue.
    Closing,
}

impl<D: Dialect, C: Clock> Context<D, C> {
    /// Submits a request to dispatch. Returns its number and the receiver of the verdict.
    ///
    /// The request is refused at once when the ring to dispatch is full.
    pub fn submit(&self, request_info: RequestInfo, origin: Origin) -> (u64, oneshot::Receiver<Verdict>) {
        let ticket = self.next_ticket.get();
        self.next_ticket.set(ticket + 1);
        let receiver = self.register_verdict(ticket);
        let is_handed_on = origin == Origin::Gateway;
        let event =
            dispatch::Event::Submit(Box::new(Submission { ticket, request: request_info, is_handed_on }));
        if self.dispatch.borrow_mut().send(event).is_err() {
            log::warn!("event=ring_full ring=forwarding_dispatch ticket={ticket} action=refuse");
            let refusal =
                Refusal { reason: RefusalReason::NoCapacity, retry_after_ms: Some(RING_FULL_RETRY_MS) };
            self.deliver_verdict(ticket, Verdict::Refuse(refusal));
        }
        (ticket, receiver)
    }

    /// Reports to dispatch that an endpoint answered on a connection that was just made.
    pub fn report_reached(&self) {
        self.dispatch.borrow_mut().send_or_fail(
            dispatch::Event::Reached,
            "forwarding_dispatch",
            &self.supervisor,
        );
    }

    /// Reports to dispatch how a send ended. Returns the receiver of the next verdict.
    pub fn report_end(&self, ticket: u64, ending: Ending) -> oneshot::Receiver<Verdict> {
        let receiver = self.register_verdict(ticket);
        self.send_ended(ticket, ending);
        receiver
    }

    /// Reports to dispatch that the first event of a stream has arrived.
    pub fn report_first_event(&self, ticket: u64) {
        let event = dispatch::Event::StreamStarted { ticket };
        self.dispatch.borrow_mut().send_or_fail(event, "forwarding_dispatch", &self.supervisor);
    }

    /// Reports to dispatch that the answer or the next event of a stream is late.
    pub fn report_late_answer(&self, ticket: u64, report: u32, silent_ms: u64) {
        let event = dispatch::Event::Waiting { ticket, report, silent_ms };
        self.dispatch.borrow_mut().send_or_fail(event, "forwarding_dispatch", &self.supervisor);
    }

    /// Reports to dispatch that an answer that was late goes on.
    pub fn report_resumed_answer(&self, ticket: u64) {
        let event = dispatch::Event::Resumed { ticket };
        self.dispatch.borrow_mut().send_or_fail(event, "forwarding_dispatch", &self.supervisor);
    }

    /// Reports to dispatch that the endpoint of a send announced its departure.
    pub fn report_leaving(&self, order: &SendOrder) {
        let event = dispatch::Event::Leaving(order.endpoint_start());
        self.dispatch.borrow_mut().send_or_fail(event, "forwarding_dispatch", &self.supervisor);
    }

    /// Reports to dispatch that the endpoint of a send wants no requests for a time, and the engine that its rejection
    /// names as the cause.
    pub fn report_hold_off(&self, order: &SendOrder, fault_at: Option<Address>, for_ms: u64) {
        let event = dispatch::Event::HoldOff { start: order.endpoint_start(), fault_at, for_ms };
        self.dispatch.borrow_mut().send_or_fail(event, "forwarding_dispatch", &self.supervisor);
    }

    /// Reports the final outcome of a request to dispatch. No further verdict is expected.
    pub fn finish(&self, ticket: u64, ending: Ending) {
        if let Ending::Completed { first_ms } = ending {
            let seconds = Duration::from_millis(first_ms).as_secs_f64();
            metrics::histogram!("banyannotch_gateway_first_answer_seconds").record(seconds);
        }
        self.pending_verdicts.borrow_mut().remove(&ticket);
        self.end_send(ticket);
        self.send_ended(ticket, ending);
    }

    /// Returns the signal by which dispatch abandons the send that begins now.
    pub fn begin_send(&self, ticket: u64) -> Rc<Abandonment> {
        let abandonment = Rc::new(Abandonment::default());
        self.sends.borrow_mut().insert(ticket, Rc::clone(&abandonment));
        abandonment
    }

    /// Removes the send of a request that has ended. A later verdict to abandon it has no effect.
    pub fn end_send(&self, ticket: u64) {
        self.sends.borrow_mut().remove(&ticket);
    }

    /// Delivers a verdict to the connection that waits for it.
    pub fn deliver_verdict(&self, ticket: u64, verdict: Verdict) {
        if let Verdict::Abandon { report } = verdict {
            match self.sends.borrow().get(&ticket) {
                Some(abandonment) => abandonment.abandon(report),
                None => log::debug!("event=send_already_ended ticket={ticket}"),
            }
            return;
        }
        if let Some(sender) = self.pending_verdicts.borrow_mut().remove(&ticket) {
            // The connection may have ended meanwhile and reported that to dispatch.
            drop(sender.send(verdict));
        }
    }

    /// Returns the number of idle connections to endpoints that may be kept beside those of the submitted requests.
    pub fn idle_connection_limit(&self) -> usize {
        let used = self.memory.connections() + self.submitted.get();
        self.connection_limits.shared.saturating_sub(used).min(self.connection_limits.idle)
    }

    /// Returns whether responses must close their connections, because the process is shutting down.
    pub fn must_close_connections(&self) -> bool {
        self.drain_stage.get() > DrainStage::Accepting
    }

    fn register_verdict(&self, ticket: u64) -> oneshot::Receiver<Verdict> {
        let (sender, receiver) = oneshot::channel();
        self.pending_verdicts.borrow_mut().insert(ticket, sender);
        receiver
    }

    fn send_ended(&self, ticket: u64, ending: Ending) {
        let event = dispatch::Event::Ended { ticket, ending };
        self.dispatch.borrow_mut().send_or_fail(event, "forwarding_dispatch", &self.supervisor);
    }
}

/// Retry delay announced to a caller whose request is refused because the ring to dispatch is full.
const RING_FULL_RETRY_MS: u64 = 200;

/// Counts a request as submitted until the guard is dropped.
pub(super) struct SubmittedGuard<D, C>(Rc<Context<D, C>>);

impl<D, C> SubmittedGuard<D, C> {
    /// Counts a request and returns its guard, unless there is no descriptor for a connection to an endpoint.
    pub fn begin(context: &Rc<Context<D, C>>) -> Option<Self> {
        if context.memory.connections() + context.submitted.get() >= context.connection_limits.shared {
            return None;
        }
        context.set_submitted(context.submitted.get() + 1);
        Some(Self(Rc::clone(context)))
    }
}

impl<D, C> Context<D, C> {
    /// Sets the number of submitted requests, and leaves their descriptors to them when callers connect.
    fn set_submitted(&self, submitted: usize) {
        self.submitted.set(submitted);
        self.memory.reduce_connection_limit(self.connection_limits.shared.saturating_sub(submitted));
    }
}

impl<D, C> Drop for SubmittedGuard<D, C> {
    fn drop(&mut self) {
        self.0.set_submitted(self.0.submitted.get() - 1);
    }
}

/// Counts a request as in flight until the guard is dropped.
pub(super) struct InFlightGuard<D, C>(Rc<Context<D, C>>);

impl<D, C> InFlightGuard<D, C> {
    /// Counts a request and returns its guard.
    pub fn begin(context: &Rc<Context<D, C>>) -> Self {
        context.in_flight.set(context.in_flight.get() + 1);
        Self(Rc::clone(context))
    }
}

impl<D, C> Drop for InFlightGuard<D, C> {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
        if self.0.in_flight.get() == 0 {
            self.0.became_idle.notify_waiters();
        }
    }
}
