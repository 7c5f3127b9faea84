//! A proxy on loopback that delays, resets, silences or cuts connections from outside the processes that it joins.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::Notify;

use super::listen;

/// Largest piece that is passed on at a time, in bytes.
const PIECE_BYTES: usize = 16_384;

/// What a proxy does with its connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Link {
    /// Passes everything on.
    #[default]
    Open,
    /// Passes each piece on after this many milliseconds.
    Delayed(u64),
    /// Passes nothing on, in either direction; connections stay open.
    Silent,
    /// Passes on what the connecting side sends, and none of the answers.
    OneWay,
    /// Ends new connections at once.
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
    /// Where it listens.
    pub address: SocketAddr,
}

impl Proxy {
    /// Starts a proxy before the given address.
    ///
    /// # Errors
    /// Returns the error of the operating system when it cannot listen.
    pub fn start(to: SocketAddr) -> std::io::Result<Self> {
        let shared = Rc::new(Shared { link: Cell::default(), changed: Notify::new(), resets: Notify::new() });
        let state = Rc::clone(&shared);
        let address = listen(move |stream| join(Rc::clone(&state), stream, to))?;
        Ok(Self { shared, address })
    }

    /// Sets what happens to all connections from now on.
    pub fn set(&self, link: Link) {
        self.shared.link.set(link);
        self.shared.changed.notify_waiters();
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.shared.resets.notify_waiters();
    }
}

async fn join(shared: Rc<Shared>, mut near: TcpStream, to: SocketAddr) {
    if shared.link.get() == Link::Refusing {
        return;
    }
    let Ok(mut far) = TcpStream::connect(to).await else { return };
    let is_reset = {
        let (near_reader, near_writer) = near.split();
        let (far_reader, far_writer) = far.split();
        tokio::select! {
            () = pump(&shared, near_reader, far_writer, false) => false,
            () = pump(&shared, far_reader, near_writer, true) => false,
            () = shared.resets.notified() => true,
        }
    };
    // A connection that is closed with a lingering time of 0 is reset.
    if is_reset && let Err(error) = near.set_zero_linger().and_then(|()| far.set_zero_linger()) {
        log::warn!("event=not_reset error=\"{error}\"");
    }
}

/// Passes bytes on until a side ends.
async fn pump(shared: &Shared, mut from: ReadHalf<'_>, mut to: WriteHalf<'_>, answers: bool) {
    let mut buffer = vec![0; PIECE_BYTES];
    loop {
        let Ok(size @ 1..) = from.read(&mut buffer).await else { return };
        loop {
            let changed = shared.changed.notified();
            match shared.link.get() {
                Link::Silent => changed.await,
                Link::OneWay if answers => changed.await,
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
