//! What the connections of one forwarding thread share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Notify, oneshot};

use super::pool::Pool;
use crate::clock::Clock;
use crate::duty::Supervisor;
use crate::gateway::dispatch::{self, Ending, Refusal, RefusalReason, Submission, Verdict};
use crate::gateway::{CallerLimits, Dialect, RequestInfo};
use crate::ring::Sender;
use crate::table::Table;

/// State of the thread.
pub(super) struct Context<D, C> {
    pub dialect: D,
    pub clock: C,
    pub supervisor: Supervisor,
    pub pool: RefCell<Pool>,
    pub limits: Cell<CallerLimits>,
    pub ready: Cell<bool>,
    pub stage: Cell<Stage>,
    pub stage_changed: Notify,
    pub in_flight: Cell<usize>,
    pub dispatch: RefCell<Sender<dispatch::Event>>,
    pub waiting: RefCell<Table<u64, oneshot::Sender<Verdict>>>,
    pub next_ticket: Cell<u64>,
}

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Stage {
    /// Requests are taken.
    #[default]
    Open,
    /// Requests are taken, and answers close their connections.
    Notice,
    /// New requests are refused; those in flight go on.
    Closing,
}

impl<D: Dialect, C: Clock> Context<D, C> {
    /// Submits a request and returns its number and the place where the verdict will be.
    pub fn submit(&self, ask: RequestInfo) -> (u64, oneshot::Receiver<Verdict>) {
        let ticket = self.next_ticket.get();
        self.next_ticket.set(ticket + 1);
        let receiver = self.expect(ticket);
        let event = dispatch::Event::Submit(Box::new(Submission { ticket, request: ask }));
        if self.dispatch.borrow_mut().send(event).is_err() {
            log::warn!("event=ring_full ring=forwarding_dispatch ticket={ticket} action=refuse");
            let refusal = Refusal { reason: RefusalReason::NoCapacity, retry_after_ms: Some(RING_RETRY_MS) };
            self.deliver(ticket, Verdict::Refuse(refusal));
        }
        (ticket, receiver)
    }

    /// Reports how a send ended, and returns the place of the next verdict.
    pub fn end(&self, ticket: u64, ending: Ending) -> oneshot::Receiver<Verdict> {
        let receiver = self.expect(ticket);
        self.tell_end(ticket, ending);
        receiver
    }

    /// Reports that the first event of a stream has arrived.
    pub fn started(&self, ticket: u64) {
        let event = dispatch::Event::Started { ticket };
        self.dispatch.borrow_mut().send_or_fail(event, "forwarding_dispatch", &self.supervisor);
    }

    /// Reports how a request ended for good.
    pub fn finish(&self, ticket: u64, ending: Ending) {
        if let Ending::Completed { first_ms } = ending {
            let seconds = Duration::from_millis(first_ms).as_secs_f64();
            metrics::histogram!("banyannotch_gateway_first_answer_seconds").record(seconds);
        }
        self.waiting.borrow_mut().remove(&ticket);
        self.tell_end(ticket, ending);
    }

    /// Hands a verdict to the connection that waits for it.
    pub fn deliver(&self, ticket: u64, verdict: Verdict) {
        if let Some(sender) = self.waiting.borrow_mut().remove(&ticket) {
            // The connection may have ended meanwhile and told dispatch so.
            drop(sender.send(verdict));
        }
    }

    /// Returns whether answers must close their connections.
    pub fn closes(&self) -> bool {
        self.stage.get() > Stage::Open
    }

    fn expect(&self, ticket: u64) -> oneshot::Receiver<Verdict> {
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, sender);
        receiver
    }

    fn tell_end(&self, ticket: u64, ending: Ending) {
        let event = dispatch::Event::Ended { ticket, ending };
        self.dispatch.borrow_mut().send_or_fail(event, "forwarding_dispatch", &self.supervisor);
    }
}

/// When a caller may come again that found the ring to dispatch full, in milliseconds.
const RING_RETRY_MS: u64 = 200;

/// Counts a request in flight as long as it lives.
pub(super) struct InFlight<D, C>(Rc<Context<D, C>>);

impl<D, C> InFlight<D, C> {
    /// Counts a request.
    pub fn begin(context: &Rc<Context<D, C>>) -> Self {
        context.in_flight.set(context.in_flight.get() + 1);
        Self(Rc::clone(context))
    }
}

impl<D, C> Drop for InFlight<D, C> {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
        if self.0.in_flight.get() == 0 {
            self.0.stage_changed.notify_waiters();
        }
    }
}
