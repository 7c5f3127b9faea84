//! What every duty has in common: a policy without side effects, and the loop of its thread.
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

/// A policy: a state machine that turns events into actions and does nothing else.
pub trait Duty {
    /// What happened.
    type Event;
    /// What is to be done.
    type Action;

    /// Takes one event at the given time.
    fn on_event(&mut self, now_us: u64, event: Self::Event, actions: &mut Vec<Self::Action>);

    /// Returns the time at which [`Duty::on_timer`] is due, if any.
    fn next_timer_us(&self) -> Option<u64>;

    /// Handles every deadline up to the given time.
    fn on_timer(&mut self, now_us: u64, actions: &mut Vec<Self::Action>);

    /// Tells the sizes of the state that operators watch, as names and values of gauges.
    fn measure(&self, _gauge: impl FnMut(&'static str, f64)) {}
}

/// The edges of a duty's thread: rings, sockets and logs. Nothing is decided here.
pub trait Ports {
    /// Event of the duty.
    type Event;
    /// Action of the duty.
    type Action;

    /// Moves the waiting events into `events`, at most a batch.
    fn receive(&mut self, events: &mut Vec<Self::Event>);

    /// Carries out one action. A failure comes back as an event.
    fn perform(&mut self, now_us: u64, action: Self::Action);

    /// Gives held items to the rings again.
    fn flush(&mut self);
}

/// Most events that a thread takes from one source before it carries out the actions.
pub const EVENT_BATCH: usize = 256;

/// Shortest time between two measurements of a duty. A duty whose state does not change is not measured, so that its
/// thread can sleep.
const MEASURE_INTERVAL_US: u64 = 500_000;

/// Events that the thread's own tasks (sockets, timers) leave for its policy.
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
    /// Creates a mailbox that rings the given bell.
    pub fn new(bell: &Doorbell) -> Self {
        Self { events: Rc::default(), bell: bell.clone() }
    }

    /// Leaves an event and wakes the thread's loop.
    pub fn put(&self, event: E) {
        self.events.borrow_mut().push_back(event);
        self.bell.ring();
    }

    /// Moves the waiting events into `events`.
    pub fn take_into(&self, events: &mut Vec<E>) {
        events.extend(self.events.borrow_mut().drain(..));
    }
}

/// Runs a duty on the current thread and never returns.
pub async fn run<D, P, C>(clock: C, bell: Doorbell, mut duty: D, mut ports: P)
where
    D: Duty,
    P: Ports<Event = D::Event, Action = D::Action>,
    C: Clock,
{
    let mut events = Vec::with_capacity(EVENT_BATCH);
    let mut actions = Vec::with_capacity(EVENT_BATCH);
    let (mut measure_us, mut changed) = (0, true);
    loop {
        ports.flush();
        ports.receive(&mut events);
        let idle = events.is_empty();
        for event in events.drain(..) {
            duty.on_event(clock.now_us(), event, &mut actions);
        }
        let now_us = clock.now_us();
        let timed = duty.next_timer_us().is_some_and(|due_us| due_us <= now_us);
        if timed {
            duty.on_timer(now_us, &mut actions);
        }
        for action in actions.drain(..) {
            ports.perform(now_us, action);
        }
        // Events change what is measured, and so may timers.
        changed |= !idle || timed;
        if idle {
            if changed && now_us >= measure_us {
                duty.measure(|name, value| metrics::gauge!(name).set(value));
                measure_us = now_us + MEASURE_INTERVAL_US;
                changed = false;
            }
            let timers = [duty.next_timer_us(), changed.then_some(measure_us)];
            sleep_until(&clock, &bell, timers.into_iter().flatten().min()).await;
        } else {
            // Lets the socket tasks of this thread run between two batches.
            tokio::task::yield_now().await;
        }
    }
}

/// Waits for the bell or the timer, whichever is first.
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

/// Tells the process that a duty's thread ended. A half-alive entry cannot keep its promises, so the process exits.
#[derive(Clone, Debug, Default)]
pub struct Supervisor {
    ended: Doorbell,
}

impl Supervisor {
    /// Waits until any supervised thread has ended.
    pub async fn wait(&self) {
        self.ended.wait().await;
    }

    /// Reports a failure that the process cannot go on with.
    pub fn fail(&self) {
        self.ended.ring();
    }

    /// Starts the thread of a duty with its own single-threaded system.
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

/// Rings on drop, so that a panic is noticed like a return.
struct EndGuard(Doorbell);

impl Drop for EndGuard {
    fn drop(&mut self) {
        self.0.ring();
    }
}
