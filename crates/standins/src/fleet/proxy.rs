//! A TCP proxy on loopback that delays, blocks, resets or refuses connections, so that network faults need no
//! support in the processes at either end.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::Notify;

use super::listen;

/// Size of the buffer through which data is forwarded, in bytes.
const BUFFER_BYTES: usize = 16_384;

/// State of the network link that a proxy simulates.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Link {
    /// Forwards everything.
    #[default]
    Open,
    /// Delays each chunk of data by this many milliseconds.
    Delayed(u64),
    /// Holds back data in both directions until the link state changes; connections stay open.
    Silent,
    /// Forwards data from the connecting side and holds back the responses.
    OneWay,
    /// Closes new connections at once; open ones keep forwarding.
    Refusing,
}

struct Shared {
    link: Cell<Link>,
    changed: Notify,
    resets: Notify,
}

/// A proxy in the test's own process.
#[derive(Clone)]
pub struct Proxy {
    shared: Rc<Shared>,
    /// Address that the proxy listens on.
    pub address: SocketAddr,
}

impl Proxy {
    /// Starts a proxy that forwards connections to the given address.
    ///
    /// # Errors
    /// Returns the error of the operating system when it cannot listen.
    pub fn start(to: SocketAddr) -> std::io::Result<Self> {
        let shared = Rc::new(Shared { link: Cell::default(), changed: Notify::new(), resets: Notify::new() });
        let state = Rc::clone(&shared);
        let address = listen(move |stream| connect(Rc::clone(&state), stream, to))?;
        Ok(Self { shared, address })
    }

    /// Sets the link state of all current and future connections.
    pub fn set(&self, link: Link) {
        self.shared.link.set(link);
        self.shared.changed.notify_waiters();
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.shared.resets.notify_waiters();
    }
}

async fn connect(shared: Rc<Shared>, mut client: TcpStream, to: SocketAddr) {
    if shared.link.get() == Link::Refusing {
        return;
    }
    let Ok(mut server) = TcpStream::connect(to).await else { return };
    let is_reset = {
        let (client_reader, client_writer) = client.split();
        let (server_reader, server_writer) = server.split();
        tokio::select! {
            () = forward(&shared, client_reader, server_writer, false) => false,
            () = forward(&shared, server_reader, client_writer, true) => false,
            () = shared.resets.notified() => true,
        }
    };
    // Closing a socket with SO_LINGER set to 0 resets the connection.
    if is_reset && let Err(error) = client.set_zero_linger().and_then(|()| server.set_zero_linger()) {
        log::warn!("event=not_reset error=\"{error}\"");
    }
}

/// Forwards data in one direction until either side closes. `is_response` marks the direction to the
/// connecting side.
async fn forward(shared: &Shared, mut from: ReadHalf<'_>, mut to: WriteHalf<'_>, is_response: bool) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(size @ 1..) = from.read(&mut buffer).await else { return };
        loop {
            let changed = shared.changed.notified();
            match shared.link.get() {
                Link::Silent => changed.await,
                Link::OneWay if is_response => changed.await,
                Link::Delayed(ms) => {
                    actix_rt::time::sleep(Duration::from_millis(ms)).await;
                    break;
                }
                Link::Open | Link::OneWay | Link::Refusing => break,
            }
        }
        if to.write_all(buffer.get(..size).unwrap_or_default()).await.is_err() {
            return;
        }
    }
}
