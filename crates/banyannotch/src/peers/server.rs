//! The peers' listener and the calls of other entries that wait for the policy.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use futures_util::future::{Either, select};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;

use super::connection::rpc_system;
use super::peer_capnp::peer;
use super::{CallId, Digest, Event, PeerError, Result, read_digest, write_digest};
use crate::duty::Mailbox;
use crate::table::Table;

/// Most connections of other entries. Each entry of a deployment holds one.
const CONNECTION_LIMIT: usize = 1_024;

/// Most calls that wait for an answer, so that a caller that sends without reading cannot fill the memory.
const WAITING_LIMIT: usize = 1_024;

/// A connection without a call for this long is closed. Its other end may be gone without a trace.
const IDLE_LIMIT: Duration = Duration::from_secs(60);

/// Pause after a failure to accept, which lasts while the process has no free file descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Calls of other entries, between their connections and the policy.
#[derive(Debug)]
pub(super) struct Desk {
    mailbox: Mailbox<Event>,
    waiting: RefCell<Table<CallId, oneshot::Sender<Digest>>>,
    next_call: Cell<u64>,
    connections: Cell<usize>,
}

impl Desk {
    pub fn new(mailbox: Mailbox<Event>) -> Self {
        Self { mailbox, waiting: RefCell::default(), next_call: Cell::new(1), connections: Cell::new(0) }
    }

    /// Gives a call its answer.
    pub fn reply(&self, call: CallId, digest: Digest) {
        if let Some(caller) = self.waiting.borrow_mut().remove(&call) {
            // A caller that has gone needs no answer.
            let _ = caller.send(digest);
        }
    }

    async fn ask(&self, digest: Digest) -> Result<Digest> {
        if self.waiting.borrow().len() >= WAITING_LIMIT {
            return Err(PeerError::Overloaded { limit: WAITING_LIMIT });
        }
        let call = CallId(self.next_call.get());
        self.next_call.set(call.0 + 1);
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(call, sender);
        self.mailbox.put(Event::Asked { call, digest: Box::new(digest) });
        receiver.await.map_err(|_| PeerError::Ending)
    }
}

/// Accepts connections of other entries and never returns.
pub(super) async fn serve(listener: TcpListener, desk: Rc<Desk>) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                if desk.connections.get() >= CONNECTION_LIMIT {
                    log::warn!("event=peer_connection_refused address={address} limit={CONNECTION_LIMIT}");
                    continue;
                }
                let desk = Rc::clone(&desk);
                actix_rt::spawn(async move {
                    let counted = Counted::new(&desk);
                    serve_connection(stream, Rc::clone(&desk)).await;
                    drop(counted);
                });
            }
            Err(error) => {
                log::warn!("event=accept_failed port=peers error={error}");
                actix_rt::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Counts a connection until it is dropped.
struct Counted(Rc<Desk>);

impl Counted {
    fn new(desk: &Rc<Desk>) -> Self {
        desk.connections.set(desk.connections.get() + 1);
        Self(Rc::clone(desk))
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get().saturating_sub(1));
    }
}

async fn serve_connection(stream: TcpStream, desk: Rc<Desk>) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=peer_connection_ended error={error}");
        return;
    }
    let calls = Rc::new(Cell::new(0));
    let server = PeerServer { desk, calls: Rc::clone(&calls) };
    let system = rpc_system(stream, Side::Server, Some(capnp_rpc::new_client(server)));
    match select(system, std::pin::pin!(idle(&calls))).await {
        Either::Left((Err(error), _)) => log::debug!("event=peer_connection_ended error={error}"),
        Either::Left((Ok(()), _)) | Either::Right(_) => {}
    }
}

/// Returns when a connection has had no call for the limit.
async fn idle(calls: &Cell<u64>) {
    let mut seen = None;
    while seen != Some(calls.get()) {
        seen = Some(calls.get());
        actix_rt::time::sleep(IDLE_LIMIT).await;
    }
}

/// Answers the calls of one connection.
struct PeerServer {
    desk: Rc<Desk>,
    calls: Rc<Cell<u64>>,
}

impl peer::Server for PeerServer {
    async fn exchange(
        self: Rc<Self>,
        params: peer::ExchangeParams,
        mut results: peer::ExchangeResults,
    ) -> std::result::Result<(), capnp::Error> {
        self.calls.set(self.calls.get() + 1);
        let digest = read_digest(params.get()?.get_digest()?)?;
        let answer = self.desk.ask(digest).await?;
        write_digest(&answer, results.get().init_digest());
        Ok(())
    }
}
