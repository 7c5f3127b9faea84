//! Watches a send: reports a late answer to dispatch, and ends the send if dispatch abandons it.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::Notify;
use tokio::time::sleep_until;

use super::context::Context;
use crate::clock::Clock;
use crate::gateway::Dialect;

/// Signal of dispatch that a send is abandoned.
#[derive(Debug, Default)]
pub(super) struct Abandonment {
    is_abandoned: Cell<bool>,
    changed: Notify,
}

impl Abandonment {
    /// Abandons the send.
    pub fn abandon(&self) {
        self.is_abandoned.set(true);
        self.changed.notify_one();
    }

    /// Discards a signal that refers to an earlier report of a late answer.
    fn reset(&self) {
        self.is_abandoned.set(false);
    }

    async fn abandoned(&self) {
        while !self.is_abandoned.get() {
            self.changed.notified().await;
        }
    }
}

/// A send was abandoned by dispatch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Abandoned;

/// Watch over the answer to one send.
///
/// A send ends only between two events: data that is being written to the caller is never cut off, because the bytes of
/// the next endpoint would follow in the middle of it.
pub(super) struct Watch<'a, D, C> {
    context: &'a Context<D, C>,
    ticket: u64,
    abandonment: Rc<Abandonment>,
    /// When the answer or the next event is late.
    due: Instant,
    /// Time between two events after which the next one is late, and between two reports.
    interval: Duration,
    /// When the last event arrived, or when the request was sent.
    last_event: Instant,
    /// Whether the answer was reported as late and has not gone on since.
    is_late: bool,
}

impl<'a, D: Dialect, C: Clock> Watch<'a, D, C> {
    /// Starts the watch over a request that is being sent. The answer is late after `first_limit`.
    pub fn start(
        context: &'a Context<D, C>,
        ticket: u64,
        abandonment: Rc<Abandonment>,
        first_limit: Duration,
        interval: Duration,
    ) -> Self {
        let now = Instant::now();
        Self {
            context,
            ticket,
            abandonment,
            due: now + first_limit,
            interval,
            last_event: now,
            is_late: false,
        }
    }

    /// Waits for data of the endpoint.
    ///
    /// # Errors
    /// Returns [`Abandoned`] if dispatch abandons the send while the data is late.
    pub async fn wait_for<T>(&mut self, data: impl Future<Output = T>) -> Result<T, Abandoned> {
        let mut data = std::pin::pin!(data);
        loop {
            tokio::select! {
                biased;
                data = &mut data => return Ok(data),
                () = self.abandonment.abandoned(), if self.is_late => return Err(Abandoned),
                () = sleep_until(self.due.into()) => self.report_late(),
            }
        }
    }

    /// Notes that an event arrived.
    pub fn event_arrived(&mut self) {
        if self.is_late {
            self.is_late = false;
            self.context.report_resumed_answer(self.ticket);
        }
    }

    /// Starts to wait for the next event. The time that the caller took to read the last one does not count.
    pub fn await_next_event(&mut self) {
        self.last_event = Instant::now();
        self.due = self.last_event + self.interval;
    }

    fn report_late(&mut self) {
        if !self.is_late {
            self.abandonment.reset();
            self.is_late = true;
        }
        let silent_ms = u64::try_from(self.last_event.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.context.report_late_answer(self.ticket, silent_ms);
        self.due = Instant::now() + self.interval;
    }
}
