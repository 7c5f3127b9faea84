//! Common parts of all duties: the interface of a policy, which has no side effects, and the event loop of a thread.
//!
//! See "Shape of the code" in `docs/design.md`.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::Future;
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::Duration;

use futures_util::future::{Either, select};

use crate::clock::Clock;
use crate::ring::Doorbell;

/// Policy of a duty: a state machine without side effects that turns events into actions.
pub trait Duty {
    /// Input of the policy.
    type Event;
    /// Output of the policy, which [`Ports::perform`] carries out.
    type Action;

    /// Handles one event and adds the resulting actions to `actions`.
    fn on_event(&mut self, now_us: u64, event: Self::Event, actions: &mut Vec<Self::Action>);

    /// Returns the time at which [`Duty::on_timer`] is due, or `None` when no timer is set.
    fn next_timer_us(&self) -> Option<u64>;

    /// Handles all timers that are due at `now_us` and adds the resulting actions to `actions`.
    fn on_timer(&mut self, now_us: u64, actions: &mut Vec<Self::Action>);

    /// Reports the sizes of the state that operators monitor, as names and values of gauges.
    fn measure(&self, _gauge: impl FnMut(&'static str, f64)) {}
}

/// Input and output of a duty's thread: rings, sockets and logs. All decisions are made by the policy.
pub trait Ports {
    /// Event type of the duty.
    type Event;
    /// Action type of the duty.
    type Action;

    /// Moves pending events into `events`, at most [`EVENT_BATCH`] from each ring.
    fn receive(&mut self, events: &mut Vec<Self::Event>);

    /// Carries out one action. A failure is reported to the policy as an event.
    fn perform(&mut self, now_us: u64, action: Self::Action);

    /// Retries sending the items that are held because their ring was full.
    fn flush(&mut self);
}

/// Maximum number of events that a thread takes from one ring before it carries out the resulting actions.
pub const EVENT_BATCH: usize = 256;

/// Minimum time between two measurements of a duty. A duty whose state does not change is not measured, so that its
/// thread can sleep.
const MEASURE_INTERVAL_US: u64 = 500_000;

/// Queue of events from the thread's own tasks (sockets, timers) to its policy.
#[derive(Debug)]
pub struct Mailbox<E> {
    events: Rc<RefCell<VecDeque<E>>>,
    bell: Doorbell,
}

impl<E> Clone for Mailbox<E> {
    fn clone(&self) -> Self {
        Self { events: Rc::clone(&self.events), bell: self.bell.clone() }
    }
}

impl<E> Mailbox<E> {
    /// Creates a mailbox that rings the doorbell of its thread.
    pub fn new(bell: &Doorbell) -> Self {
        Self { events: Rc::default(), bell: bell.clone() }
    }

    /// Queues an event and wakes the thread's event loop.
    pub fn put(&self, event: E) {
        self.events.borrow_mut().push_back(event);
        self.bell.ring();
    }

    /// Moves all queued events into `events`.
    pub fn take_into(&self, events: &mut Vec<E>) {
        events.extend(self.events.borrow_mut().drain(..));
    }
}

/// Runs the event loop of a duty on the current thread; never returns.
pub async fn run<D, P, C>(clock: C, bell: Doorbell, mut duty: D, mut ports: P)
where
    D: Duty,
    P: Ports<Event = D::Event, Action = D::Action>,
    C: Clock,
{
    let mut events = Vec::with_capacity(EVENT_BATCH);
    let mut actions = Vec::with_capacity(EVENT_BATCH);
    let (mut next_measure_us, mut changed) = (0, true);
    loop {
        ports.flush();
        ports.receive(&mut events);
        let idle = events.is_empty();
        for event in events.drain(..) {
            duty.on_event(clock.now_us(), event, &mut actions);
        }
        let now_us = clock.now_us();
        let timer_due = duty.next_timer_us().is_some_and(|due_us| due_us <= now_us);
        if timer_due {
            duty.on_timer(now_us, &mut actions);
        }
        for action in actions.drain(..) {
            ports.perform(now_us, action);
        }
        // Both events and timers may change the measured state.
        changed |= !idle || timer_due;
        if idle {
            if changed && now_us >= next_measure_us {
                duty.measure(|name, value| metrics::gauge!(name).set(value));
                next_measure_us = now_us + MEASURE_INTERVAL_US;
                changed = false;
            }
            let timers = [duty.next_timer_us(), changed.then_some(next_measure_us)];
            sleep_until(&clock, &bell, timers.into_iter().flatten().min()).await;
        } else {
            // Lets the socket tasks of this thread run between two batches.
            tokio::task::yield_now().await;
        }
    }
}

/// Waits until the doorbell is rung or the timer is due.
async fn sleep_until<C: Clock>(clock: &C, bell: &Doorbell, timer_us: Option<u64>) {
    let Some(due_us) = timer_us else {
        bell.wait().await;
        return;
    };
    let wait_us = due_us.saturating_sub(clock.now_us());
    if wait_us == 0 {
        tokio::task::yield_now().await;
        return;
    }
    let bell_rung = std::pin::pin!(bell.wait());
    let timer = std::pin::pin!(actix_rt::time::sleep(Duration::from_micros(wait_us)));
    match select(bell_rung, timer).await {
        Either::Left(_) | Either::Right(_) => {}
    }
}

/// Notifies the main thread when a duty's thread has ended. The process then exits, because it cannot keep its
/// guarantees without one of its duties.
#[derive(Clone, Debug, Default)]
pub struct Supervisor {
    ended: Doorbell,
}

impl Supervisor {
    /// Waits until a supervised thread has ended or [`Supervisor::fail`] was called.
    pub async fn wait(&self) {
        self.ended.wait().await;
    }

    /// Reports a fatal failure, after which the process has to exit.
    pub fn fail(&self) {
        self.ended.ring();
    }

    /// Starts a thread that runs `main` on its own single-threaded `actix_rt` system.
    ///
    /// # Errors
    /// Returns the error of the operating system when no thread can be created.
    pub fn spawn<F, Fut>(&self, name: &str, main: F) -> std::io::Result<JoinHandle<()>>
    where
        F: FnOnce() -> Fut + Send + 'static,
        Fut: Future<Output = ()>,
    {
        let guard = EndGuard(self.ended.clone());
        std::thread::Builder::new().name(name.to_owned()).spawn(move || {
            let _guard = guard;
            actix_rt::System::new().block_on(main());
        })
    }
}

/// Rings the doorbell on drop, so that a panic of the thread is detected as well as a return.
struct EndGuard(Doorbell);

impl Drop for EndGuard {
    fn drop(&mut self) {
        self.0.ring();
    }
}
