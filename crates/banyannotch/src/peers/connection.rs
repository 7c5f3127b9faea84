//! Client connections to other entries, and the limits of messages.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use capnp::message::ReaderOptions;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use futures_util::AsyncReadExt;
use tokio::net::TcpStream;
use tokio_util::compat::TokioAsyncReadCompatExt;

use super::peer_capnp::peer;
use super::{Digest, PeerError, Result, read_digest, write_digest};
use crate::pipeline::Address;
use crate::table::Table;

/// Maximum size of a message, in words of 8 bytes. A digest with the largest document and the maximum number
/// of findings takes less than half of it.
pub(super) const MESSAGE_LIMIT_WORDS: usize = 128 << 10;

/// Maximum nesting depth of pointers in a message. A digest in the envelope of a call needs fewer than 10
/// levels.
const NESTING_LIMIT: i32 = 24;

/// Returns the limits for reading messages.
pub(super) fn reader_options() -> ReaderOptions {
    ReaderOptions { traversal_limit_in_words: Some(MESSAGE_LIMIT_WORDS), nesting_limit: NESTING_LIMIT }
}

/// Creates the RPC system of a connection.
pub(super) fn rpc_system(stream: TcpStream, side: Side, server: Option<peer::Client>) -> RpcSystem<Side> {
    let (reader, writer) = stream.compat().split();
    let network = VatNetwork::new(reader, writer, side, reader_options());
    RpcSystem::new(Box::new(network), server.map(|server| server.client))
}

/// Open connections, at most one for each address.
#[derive(Clone, Default)]
pub(super) struct Connections(Rc<RefCell<Table<Address, Connection>>>);

struct Connection {
    client: peer::Client,
    task: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connections {
    /// Exchanges digests with the entry at an address. The connection stays open for the next exchange if
    /// this one succeeds.
    pub async fn exchange(&self, address: Address, digest: &Digest, limit_ms: u64) -> Result<Digest> {
        let limit = Duration::from_millis(limit_ms);
        let answer = match tokio::time::timeout(limit, self.try_exchange(address, digest)).await {
            Ok(answer) => answer,
            Err(_) => Err(PeerError::TimedOut { limit_ms }),
        };
        if answer.is_err() {
            self.close(address);
        }
        answer
    }

    /// Closes the connection to an address.
    pub fn close(&self, address: Address) {
        self.0.borrow_mut().remove(&address);
    }

    async fn try_exchange(&self, address: Address, digest: &Digest) -> Result<Digest> {
        let open = self.0.borrow().get(&address).map(|connection| connection.client.clone());
        if let Some(client) = open {
            match call(&client, digest).await {
                // The other entry may have restarted or closed an idle connection. An exchange is idempotent,
                // so it is repeated on a new connection.
                Err(PeerError::Call(error)) if error.kind == capnp::ErrorKind::Disconnected => {}
                answer => return answer,
            }
        }
        call(&self.connect(address).await?, digest).await
    }

    async fn connect(&self, address: Address) -> Result<peer::Client> {
        let stream = TcpStream::connect(address).await.map_err(PeerError::Connect)?;
        stream.set_nodelay(true).map_err(PeerError::Connect)?;
        let mut system = rpc_system(stream, Side::Client, None);
        let client: peer::Client = system.bootstrap(Side::Server);
        let task = actix_rt::spawn(async move {
            if let Err(error) = system.await {
                log::debug!("event=peer_connection_ended address={address} error={error}");
            }
        });
        self.0.borrow_mut().insert(address, Connection { client: client.clone(), task });
        Ok(client)
    }
}

async fn call(client: &peer::Client, digest: &Digest) -> Result<Digest> {
    let mut request = client.exchange_request();
    write_digest(digest, request.get().init_digest());
    let response = request.send().promise.await?;
    read_digest(response.get()?.get_digest()?)
}
