//! Server of the peer port: accepts connections of other entries and passes their calls to the policy.

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

/// Maximum number of connections from other entries. Each other entry of a deployment holds one.
const CONNECTION_LIMIT: usize = 1_024;

/// Maximum number of calls that wait for a reply, so that a caller that sends without reading cannot exhaust
/// the memory.
const PENDING_CALL_LIMIT: usize = 1_024;

/// Minimum time without a call before a connection is closed. Its other end may have disappeared without
/// closing it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Delay before the next accept after a failed one. Failures persist while the process has no free file
/// descriptor.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// State that the server's connections share: the calls that wait for a reply of the policy, and the
/// connection count.
#[derive(Debug)]
pub(super) struct ServerState {
    mailbox: Mailbox<Event>,
    pending_calls: RefCell<Table<CallId, oneshot::Sender<Digest>>>,
    next_call: Cell<u64>,
    connections: Cell<usize>,
}

impl ServerState {
    pub fn new(mailbox: Mailbox<Event>) -> Self {
        Self {
            mailbox,
            pending_calls: RefCell::default(),
            next_call: Cell::new(1),
            connections: Cell::new(0),
        }
    }

    /// Sends the reply to a pending call.
    pub fn reply(&self, call: CallId, digest: Digest) {
        if let Some(caller) = self.pending_calls.borrow_mut().remove(&call) {
            // Sending fails if the caller has disconnected, and then no reply is needed.
            let _ = caller.send(digest);
        }
    }

    async fn submit_call(&self, digest: Digest) -> Result<Digest> {
        if self.pending_calls.borrow().len() >= PENDING_CALL_LIMIT {
            return Err(PeerError::Overloaded { limit: PENDING_CALL_LIMIT });
        }
        let call = CallId(self.next_call.get());
        self.next_call.set(call.0 + 1);
        let (sender, receiver) = oneshot::channel();
        self.pending_calls.borrow_mut().insert(call, sender);
        self.mailbox.put(Event::CallReceived { call, digest: Box::new(digest) });
        receiver.await.map_err(|_| PeerError::Ending)
    }
}

/// Accepts connections of other entries and never returns.
pub(super) async fn serve(listener: TcpListener, state: Rc<ServerState>) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                if state.connections.get() >= CONNECTION_LIMIT {
                    log::warn!("event=peer_connection_refused address={address} limit={CONNECTION_LIMIT}");
                    continue;
                }
                let state = Rc::clone(&state);
                actix_rt::spawn(async move {
                    let guard = ConnectionGuard::new(&state);
                    serve_connection(stream, Rc::clone(&state)).await;
                    drop(guard);
                });
            }
            Err(error) => {
                log::warn!("event=accept_failed port=peers error={error}");
                actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Counts a connection until it is dropped.
struct ConnectionGuard(Rc<ServerState>);

impl ConnectionGuard {
    fn new(state: &Rc<ServerState>) -> Self {
        state.connections.set(state.connections.get() + 1);
        Self(Rc::clone(state))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get().saturating_sub(1));
    }
}

async fn serve_connection(stream: TcpStream, state: Rc<ServerState>) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=peer_connection_ended error={error}");
        return;
    }
    let calls = Rc::new(Cell::new(0));
    let server = PeerServer { state, calls: Rc::clone(&calls) };
    let system = rpc_system(stream, Side::Server, Some(capnp_rpc::new_client(server)));
    match select(system, std::pin::pin!(wait_until_idle(&calls))).await {
        Either::Left((Err(error), _)) => log::debug!("event=peer_connection_ended error={error}"),
        Either::Left((Ok(()), _)) | Either::Right(_) => {}
    }
}

/// Returns when a connection has had no call for at least [`IDLE_TIMEOUT`].
async fn wait_until_idle(calls: &Cell<u64>) {
    let mut last_calls = None;
    while last_calls != Some(calls.get()) {
        last_calls = Some(calls.get());
        actix_rt::time::sleep(IDLE_TIMEOUT).await;
    }
}

/// RPC server of one connection.
struct PeerServer {
    state: Rc<ServerState>,
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
        let answer = self.state.submit_call(digest).await?;
        write_digest(&answer, results.get().init_digest());
        Ok(())
    }
}
