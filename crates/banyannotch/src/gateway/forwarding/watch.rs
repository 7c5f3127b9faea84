//! Watches a send: reports a late answer to dispatch, and ends the wait if dispatch abandons the send.

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
    /// Number of the report that the signal refers to; 0 without a signal.
    report: Cell<u32>,
    changed: Notify,
}

impl Abandonment {
    /// Abandons the send, unless an event has arrived since the given report of a late answer.
    pub fn abandon(&self, report: u32) {
        self.report.set(report);
        self.changed.notify_one();
    }

    /// Waits for a signal that refers to the given report or a later one.
    async fn abandoned_since(&self, report: u32) {
        while self.report.get() < report {
            self.changed.notified().await;
        }
    }
}

/// Times after which an answer is reported as late.
#[derive(Clone, Copy, Debug)]
pub(super) struct WatchLimits {
    /// Until the head of the answer or the first event.
    pub first: Duration,
    /// Between two events, and between two reports.
    pub interval: Duration,
    /// Without an event, for one further report.
    pub silence: Duration,
}

impl WatchLimits {
    /// Returns when the next report is due after one at `now`: after the interval, or at the limit of silence if that is
    /// earlier and still ahead.
    pub fn next_report(&self, now: Instant, last_event: Instant) -> Instant {
        let next = now + self.interval;
        let silence_due = last_event + self.silence;
        if silence_due > now { next.min(silence_due) } else { next }
    }
}

/// A send was abandoned by dispatch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Abandoned;

/// Watch over the answer to one send.
///
/// A send is abandoned only between two events: data that is being written to the caller is never cut off, because the
/// bytes of the next endpoint would follow in the middle of it.
pub(super) struct Watch<'a, D, C> {
    context: &'a Context<D, C>,
    ticket: u64,
    abandonment: Rc<Abandonment>,
    limits: WatchLimits,
    /// When the answer or the next event is reported as late.
    due: Instant,
    /// When the last event arrived, or when the request was sent.
    last_event: Instant,
    /// Number of reports so far.
    reports: u32,
    /// Number of the first report since the last event; none if the answer is not late.
    late_since: Option<u32>,
}

impl<'a, D: Dialect, C: Clock> Watch<'a, D, C> {
    /// Starts the watch over a request that is being sent.
    pub fn start(
        context: &'a Context<D, C>,
        ticket: u64,
        abandonment: Rc<Abandonment>,
        limits: WatchLimits,
    ) -> Self {
        let now = Instant::now();
        Self {
            context,
            ticket,
            abandonment,
            limits,
            due: now + limits.first,
            last_event: now,
            reports: 0,
            late_since: None,
        }
    }

    /// Waits for data of the endpoint.
    ///
    /// # Errors
    /// Returns [`Abandoned`] if dispatch abandons the send while the data is late.
    pub async fn wait_for<T>(&mut self, data: impl Future<Output = T>) -> Result<T, Abandoned> {
        let mut data = std::pin::pin!(data);
        loop {
            let abandoned = async {
                match self.late_since {
                    Some(report) => self.abandonment.abandoned_since(report).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                data = &mut data => return Ok(data),
                () = abandoned => return Err(Abandoned),
                () = sleep_until(self.due.into()) => {}
            }
            self.report_late();
        }
    }

    /// Notes that the answer goes on.
    pub fn answer_arrived(&mut self) {
        if self.late_since.take().is_some() {
            self.context.report_resumed_answer(self.ticket);
        }
    }

    /// Starts to wait for the next event. The time that the caller took to read the last one does not count.
    pub fn await_next_event(&mut self) {
        self.last_event = Instant::now();
        self.due = self.last_event + self.limits.interval;
    }

    /// Starts to wait again for the answer of an abandoned send.
    pub fn resume(&mut self) {
        self.late_since = None;
        self.due = Instant::now() + self.limits.interval;
    }

    fn report_late(&mut self) {
        self.reports += 1;
        self.late_since.get_or_insert(self.reports);
        let silent_ms = u64::try_from(self.last_event.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.context.report_late_answer(self.ticket, self.reports, silent_ms);
        self.due = self.limits.next_report(Instant::now(), self.last_event);
    }
}
