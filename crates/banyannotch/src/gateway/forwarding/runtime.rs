//! The forwarding thread: accepts connections, delivers the verdicts of dispatch and drains at shutdown.
//! Routing decisions are made by dispatch only.

use std::cell::{Cell, RefCell};
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpStream;

use super::budget::BodyBudget;
use super::context::{ConnectionLimits, Context, DrainStage};
use super::pool::Pool;
use super::{Event, caller, handoff, probe};
use crate::caller_memory::{AccountSettings, BufferSettings, CallerMemory, SocketBuffers};
use crate::clock::Clock;
use crate::duty::Supervisor;
use crate::gateway::{CallerLimits, Dialect, dispatch};
use crate::http::listener_from_std;
use crate::ring::{Doorbell, Receiver, Sender, receive_batch};
use crate::table::Table;

/// Maximum number of events that are received from one ring at a time.
const EVENT_BATCH: usize = 256;
/// Interval at which expired idle connections are closed.
const POOL_SWEEP_INTERVAL: Duration = Duration::from_secs(2);
/// Delay before the next `accept` after a failed one, so that the thread does not spin while file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Rings and doorbells of the forwarding thread.
#[derive(Debug)]
pub struct Links {
    /// Wakes the thread when a ring has new messages or room.
    pub bell: Doorbell,
    /// Messages from dispatch, the catalog and the daemon.
    pub inbound: Vec<Receiver<Event>>,
    /// Messages to dispatch.
    pub dispatch: Sender<dispatch::Event>,
    /// Rung during shutdown when no requests are in flight any more, or when the time limit for them has
    /// passed.
    pub drained: Doorbell,
}

/// Listening sockets of the forwarding thread.
#[derive(Debug)]
pub struct Listeners {
    /// Accepts connections of callers.
    pub callers: TcpListener,
    /// Accepts connections for the readiness checks of the balancer.
    pub readiness: TcpListener,
    /// Accepts connections of other gateways that hand requests on; none if this gateway takes none.
    pub handoffs: Option<TcpListener>,
}

/// Settings of the forwarding thread.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ForwardingSettings {
    /// Grace period between SIGTERM and SIGKILL, in milliseconds.
    pub grace_ms: u64,
    /// Maximum numbers of connections of callers and to endpoints.
    pub connections: ConnectionLimits,
    /// Time until a configuration has reached all gateways, in milliseconds.
    pub config_apply_ms: u64,
    /// Limits of what all callers together can make the gateway hold, and of their connections.
    pub callers: AccountSettings,
    /// Limits of what the operating system keeps for the connections of callers and to endpoints.
    pub buffers: BufferSettings,
}

/// Time limits of a graceful shutdown, counted from its start.
#[derive(Clone, Copy, Debug)]
struct DrainTimes {
    /// New requests are accepted for this long, until the balancer no longer sends any.
    notice_period: Duration,
    /// Requests in flight may continue for this long.
    time_limit: Duration,
}

/// Time for which new requests are accepted after readiness is withdrawn. The balancer removes an instance after two
/// failed checks, one second apart. A request that is accepted later than 3 s after the signal must not be cut at the time
/// limit, so the period ends before that, with room for a process that is slow to handle the signal.
const NOTICE_PERIOD_MS: u64 = 2_700;
/// The shutdown ends this long before the end of the grace period, so that the process exits before SIGKILL.
const GRACE_MARGIN_MS: u64 = 400;
/// Time after the time limit of a shutdown in which the requests still in flight are answered. A part of
/// [`GRACE_MARGIN_MS`].
const LAST_RESPONSES_PERIOD: Duration = Duration::from_millis(100);

/// Starts the forwarding thread.
///
/// # Errors
/// Returns the error of the operating system when the thread cannot be created.
pub fn spawn<D: Dialect, C: Clock>(
    supervisor: &Supervisor,
    clock: C,
    links: Links,
    listeners: Listeners,
    dialect: D,
    settings: ForwardingSettings,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    let thread_supervisor = supervisor.clone();
    supervisor.spawn("forwarding", move || async move {
        let Links { bell, mut inbound, dispatch, drained } = links;
        let context = Rc::new(Context {
            dialect,
            clock,
            supervisor: thread_supervisor.clone(),
            pool: RefCell::new(Pool::default()),
            bodies: BodyBudget::default(),
            memory: CallerMemory::new(settings.callers, "callers"),
            checks: CallerMemory::new(AccountSettings::for_operators(), "readiness"),
            buffers: SocketBuffers::new(settings.buffers),
            lingering: Cell::new(0),
            limits: Cell::new(CallerLimits::default()),
            config_apply_ms: settings.config_apply_ms,
            ready: Cell::new(false),
            gateways: RefCell::new(Arc::new([])),
            drain_stage: Cell::new(DrainStage::Accepting),
            became_idle: tokio::sync::Notify::new(),
            must_end: tokio::sync::Notify::new(),
            in_flight: Cell::new(0),
            submitted: Cell::new(0),
            connection_limits: settings.connections,
            dispatch: RefCell::new(dispatch),
            pending_verdicts: RefCell::new(Table::default()),
            sends: RefCell::new(Table::default()),
            next_ticket: Cell::new(1),
        });
        let drain_times = DrainTimes {
            notice_period: Duration::from_millis(NOTICE_PERIOD_MS.min(settings.grace_ms / 2)),
            time_limit: Duration::from_millis(settings.grace_ms.saturating_sub(GRACE_MARGIN_MS)),
        };
        context.buffers.limit(&listeners.callers);
        context.buffers.limit(&listeners.readiness);
        accept_connections(&context, listeners.callers, "callers", caller::serve_caller);
        accept_connections(&context, listeners.readiness, "readiness", probe::serve);
        if let Some(handoffs) = listeners.handoffs {
            context.buffers.limit(&handoffs);
            accept_connections(&context, handoffs, "handoffs", handoff::serve);
        }
        actix_rt::spawn(sweep_pool(Rc::clone(&context)));
        loop {
            let mut idle = true;
            for event in receive_batch(&mut inbound, EVENT_BATCH) {
                idle = false;
                match event {
                    Event::Verdict { ticket, verdict } => context.deliver_verdict(ticket, verdict),
                    Event::Ready(ready) => context.ready.set(ready),
                    Event::Limits(limits) => apply_limits(&context, limits),
                    Event::Gateways(gateways) => drop(context.gateways.replace(gateways)),
                    Event::Drain => {
                        actix_rt::spawn(drain(Rc::clone(&context), drain_times, drained.clone()));
                    }
                }
            }
            context.dispatch.borrow_mut().flush();
            if idle {
                bell.wait().await;
            } else {
                tokio::task::yield_now().await;
            }
        }
    })
}

fn apply_limits<D, C>(context: &Context<D, C>, limits: CallerLimits) {
    if context.limits.replace(limits) != limits {
        log::info!(
            "event=limits_changed head_bytes={} body_bytes={} head_timeout_ms={} idle_timeout_ms={}",
            limits.head_bytes,
            limits.body_bytes,
            limits.head_timeout_ms,
            limits.idle_timeout_ms
        );
    }
}

fn accept_connections<D, C, F>(
    context: &Rc<Context<D, C>>,
    listener: TcpListener,
    port: &'static str,
    serve: fn(Rc<Context<D, C>>, TcpStream) -> F,
) where
    D: Dialect,
    C: Clock,
    F: Future<Output = ()> + 'static,
{
    let context = Rc::clone(context);
    actix_rt::spawn(async move {
        let listener = match listener_from_std(listener) {
            Ok(listener) => listener,
            Err(error) => {
                log::error!("event=listener_failed port={port} error=\"{error}\"");
                context.supervisor.fail();
                return;
            }
        };
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    actix_rt::spawn(serve(Rc::clone(&context), stream));
                }
                Err(error) => {
                    log::warn!("event=accept_failed port={port} error=\"{error}\"");
                    actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    });
}

async fn sweep_pool<D, C>(context: Rc<Context<D, C>>) {
    loop {
        actix_rt::time::sleep(POOL_SWEEP_INTERVAL).await;
        context.pool.borrow_mut().remove_expired();
        context.memory.publish();
    }
}

/// Accepts requests during the notice period, then refuses new ones and waits for those in flight up to the
/// time limit. Those that have no response by then get one before the process ends.
async fn drain<D: Dialect, C: Clock>(context: Rc<Context<D, C>>, times: DrainTimes, drained: Doorbell) {
    let started_at = tokio::time::Instant::now();
    context.ready.set(false);
    context.drain_stage.set(DrainStage::Notice);
    log::info!("event=stopping stage=notice in_flight={}", context.in_flight.get());
    tokio::time::sleep(times.notice_period).await;
    context.drain_stage.set(DrainStage::Closing);
    log::info!("event=stopping stage=closing in_flight={}", context.in_flight.get());
    let in_time = tokio::time::timeout_at(started_at + times.time_limit, until_idle(&context)).await.is_ok();
    log::info!("event=stopping stage=end in_flight={} in_time={in_time}", context.in_flight.get());
    if !in_time {
        context.must_end.notify_waiters();
        let answered = tokio::time::timeout(LAST_RESPONSES_PERIOD, until_idle(&context)).await.is_ok();
        log::info!("event=stopping stage=answered all={answered}");
    }
    drained.ring();
}

async fn until_idle<D, C>(context: &Context<D, C>) {
    while context.in_flight.get() > 0 {
        context.became_idle.notified().await;
    }
}
