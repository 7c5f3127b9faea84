//! Shares one account among the connections of a thread.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use super::{Account, AccountSettings, Grant, LargeBuffer, Stage};

/// Minimum time between two log lines about refusals of the same kind, so that many refusals do not flood the log.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What a connection holds memory for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Part {
    /// The head of the request.
    Head,
    /// The body of the request.
    Body,
    /// Bytes that follow the request.
    Ahead,
    /// The head of the response.
    ResponseHead,
    /// A response, or a part of a stream, that the caller has not read.
    Response,
}

const PART_COUNT: usize = 5;

/// Why a caller does not get a response, or not the whole response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refused {
    /// There was no memory for its request, which was not run.
    Request,
    /// There was no memory for its response, or for a request that was sent to an endpoint.
    Response,
    /// Its connection was idle, and another connection took its place.
    IdleConnection,
    /// It connected while all connections were in use.
    Connection,
}

impl Refused {
    /// Returns the name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Response => "response",
            Self::IdleConnection => "idle_connection",
            Self::Connection => "connection",
        }
    }
}

/// Time of the last log line about a kind of refusal, and the number of refusals that were not logged since.
#[derive(Clone, Copy, Debug, Default)]
struct LogState {
    last: Option<Instant>,
    unlogged: u64,
}

/// The account of a thread.
#[derive(Debug)]
pub struct CallerMemory {
    account: RefCell<Account>,
    settings: AccountSettings,
    /// Name of the port in logs and metrics.
    port: &'static str,
    /// Signals of the connections by their number in the account.
    signals: RefCell<Vec<Rc<Notify>>>,
    /// Notified when a connection that was dropped has released memory.
    released: Notify,
    logs: [Cell<LogState>; 4],
    origin: Instant,
}

impl CallerMemory {
    /// Creates an account without connections, for a port with the given name.
    pub fn new(settings: AccountSettings, port: &'static str) -> Rc<Self> {
        Rc::new(Self {
            account: RefCell::new(Account::new(settings)),
            settings,
            port,
            signals: RefCell::default(),
            released: Notify::new(),
            logs: Default::default(),
            origin: Instant::now(),
        })
    }

    /// Returns the limits of the account.
    pub fn settings(&self) -> AccountSettings {
        self.settings
    }

    /// Returns the bytes that all connections hold.
    pub fn held_bytes(&self) -> usize {
        self.account.borrow().held_bytes()
    }

    /// Returns the number of open connections, without those that were dropped.
    pub fn connections(&self) -> usize {
        self.account.borrow().connections()
    }

    /// Changes the maximum number of connections, up to that of the settings. Those that are open remain.
    pub fn reduce_connection_limit(&self, connection_limit: usize) {
        let connection_limit = connection_limit.min(self.settings.connection_limit);
        self.account.borrow_mut().set_connection_limit(connection_limit);
    }

    /// Sets the gauges of the account, which a process has one of.
    pub fn publish(&self) {
        metrics::gauge!("banyannotch_callers_held_bytes").set(self.held_bytes() as f64);
        metrics::gauge!("banyannotch_callers_connections").set(self.connections() as f64);
    }

    /// Opens the hold of a new connection, or returns `None` if the connection must be refused.
    pub fn open(self: &Rc<Self>) -> Option<Rc<Hold>> {
        let mut victims = Vec::new();
        let id = self.account.borrow_mut().open(self.now_us(), &mut victims);
        self.signal(&victims);
        let id = id?;
        let signal = Rc::new(Notify::new());
        let mut signals = self.signals.borrow_mut();
        match signals.get_mut(id) {
            Some(slot) => *slot = Rc::clone(&signal),
            None => signals.push(Rc::clone(&signal)),
        }
        Some(Rc::new(Hold {
            memory: Rc::clone(self),
            id,
            signal,
            parts: Cell::default(),
            send_buffer: RefCell::default(),
        }))
    }

    /// Counts a refusal, and logs it unless one of the same kind was logged shortly before.
    pub fn record(&self, refused: Refused) {
        let kind = refused.label();
        let port = self.port;
        metrics::counter!("banyannotch_callers_refused_total", "kind" => kind, "port" => port).increment(1);
        let Some(log) = self.logs.get(refused as usize) else { return };
        let LogState { last, unlogged } = log.get();
        if last.is_some_and(|last| last.elapsed() < LOG_INTERVAL) {
            log.set(LogState { last, unlogged: unlogged + 1 });
            return;
        }
        log.set(LogState { last: Some(Instant::now()), unlogged: 0 });
        let account = self.account.borrow();
        log::warn!(
            "event=caller_refused kind={kind} port={port} held_bytes={} limit_bytes={} connections={} connection_limit={} \
             unlogged={unlogged}",
            account.held_bytes(),
            self.settings.limit_bytes,
            account.connections(),
            self.settings.connection_limit
        );
    }

    fn now_us(&self) -> u64 {
        u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    fn signal(&self, victims: &[usize]) {
        let signals = self.signals.borrow();
        for signal in victims.iter().filter_map(|victim| signals.get(*victim)) {
            signal.notify_waiters();
        }
    }
}

/// The memory that one connection holds. It is released when the value is dropped.
#[derive(Debug)]
pub struct Hold {
    memory: Rc<CallerMemory>,
    id: usize,
    signal: Rc<Notify>,
    parts: Cell<[usize; PART_COUNT]>,
    /// Large buffer through which a response was sent, until the caller has received it.
    send_buffer: RefCell<Option<LargeBuffer>>,
}

impl Hold {
    /// Records what the connection is doing now.
    pub fn set_stage(&self, stage: Stage) {
        self.memory.account.borrow_mut().set_stage(self.id, stage, self.memory.now_us());
    }

    /// Records that the request has ended and its memory is released. Bytes that follow it are still held.
    pub fn end_request(&self) {
        for part in [Part::Head, Part::Body, Part::ResponseHead, Part::Response] {
            self.shrink(part, 0);
        }
        self.set_stage(Stage::Idle);
    }

    /// Sets the size of a part, before the memory is used. Waits until connections that are dropped for it have released
    /// their memory. If there is none, the connection is dropped itself, and this does not return.
    pub async fn set(&self, part: Part, size_bytes: usize) {
        while !self.try_set(part, size_bytes) {
            if self.is_dropped() {
                std::future::pending::<()>().await;
            }
            self.memory.released.notified().await;
        }
    }

    /// Sets the size of a part if there is memory that nobody else uses and that is not reserved.
    pub fn set_if_free(&self, part: Part, size_bytes: usize) -> bool {
        let (parts, held_bytes) = self.with(part, size_bytes);
        let mut account = self.memory.account.borrow_mut();
        let is_free = account.resize_if_free(self.id, held_bytes, self.memory.now_us());
        if is_free {
            self.parts.set(parts);
        }
        is_free
    }

    /// Reduces the size of a part after its memory was released.
    pub fn shrink(&self, part: Part, size_bytes: usize) {
        if self.parts.get().get(part as usize).is_some_and(|now_bytes| *now_bytes > size_bytes) {
            self.try_set(part, size_bytes);
            if self.is_dropped() {
                self.memory.released.notify_waiters();
            }
        }
    }

    /// Keeps the large buffer of the connection until the response that was sent through it has been received.
    pub fn keep_send_buffer(&self, buffer: Option<LargeBuffer>) {
        *self.send_buffer.borrow_mut() = buffer;
    }

    /// Returns whether a response may still be in a large buffer.
    pub fn has_send_buffer(&self) -> bool {
        self.send_buffer.borrow().is_some()
    }

    /// Returns whether the connection was dropped.
    pub fn is_dropped(&self) -> bool {
        self.memory.account.borrow().is_dropped(self.id)
    }

    /// Waits until the connection is dropped.
    pub async fn dropped(&self) {
        while !self.is_dropped() {
            self.signal.notified().await;
        }
    }

    /// Counts and logs that the caller is refused.
    pub fn record(&self, refused: Refused) {
        self.memory.record(refused);
    }

    /// Sets the size of a part if there is memory for it now. Otherwise other connections are being dropped for it, or this one
    /// is dropped.
    pub fn try_set(&self, part: Part, size_bytes: usize) -> bool {
        let (parts, held_bytes) = self.with(part, size_bytes);
        let mut victims = Vec::new();
        let grant =
            self.memory.account.borrow_mut().resize(self.id, held_bytes, self.memory.now_us(), &mut victims);
        self.memory.signal(&victims);
        match grant {
            Grant::Granted => self.parts.set(parts),
            Grant::Wait => {}
            Grant::Dropped => self.signal.notify_waiters(),
        }
        grant == Grant::Granted
    }

    /// Returns the parts and the bytes held together if a part has the given size.
    fn with(&self, part: Part, size_bytes: usize) -> ([usize; PART_COUNT], usize) {
        let mut parts = self.parts.get();
        if let Some(slot) = parts.get_mut(part as usize) {
            *slot = size_bytes;
        }
        (parts, self.memory.settings.connection_bytes + parts.iter().sum::<usize>())
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let is_dropped = self.is_dropped();
        self.memory.account.borrow_mut().close(self.id);
        if is_dropped {
            self.memory.released.notify_waiters();
        }
    }
}
