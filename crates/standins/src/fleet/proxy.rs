//! A TCP proxy on loopback that delays, blocks, resets or refuses connections, so that network faults need no
//! support in the processes at either end.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::Path;
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
    /// Links of the connections of single processes, by process id.
    cuts: RefCell<Vec<(u32, Link)>>,
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
        let shared = Rc::new(Shared {
            link: Cell::default(),
            cuts: RefCell::default(),
            changed: Notify::new(),
            resets: Notify::new(),
        });
        let state = Rc::clone(&shared);
        let address = listen(move |stream| connect(Rc::clone(&state), stream, to))?;
        Ok(Self { shared, address })
    }

    /// Sets the link state of all current and future connections.
    pub fn set(&self, link: Link) {
        self.shared.link.set(link);
        self.shared.changed.notify_waiters();
    }

    /// Sets the link state of the current and future connections of one process.
    pub fn set_for_process(&self, process: u32, link: Link) {
        let mut cuts = self.shared.cuts.borrow_mut();
        cuts.retain(|(known, _)| *known != process);
        if link != Link::Open {
            cuts.push((process, link));
        }
        drop(cuts);
        self.shared.changed.notify_waiters();
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.shared.resets.notify_waiters();
    }
}

/// Returns whether a socket with the given local address belongs to a process.
fn owns(process: u32, local: SocketAddr) -> bool {
    let SocketAddr::V4(local) = local else { return false };
    let address = format!("{:08X}:{:04X}", u32::from_le_bytes(local.ip().octets()), local.port());
    let Ok(sockets) = std::fs::read_to_string("/proc/net/tcp") else { return false };
    let inode = sockets.lines().find_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let is_local = fields.next() == Some(&*address);
        // A closed connection that had the same address has no inode any more.
        if is_local { fields.nth(7).filter(|inode| *inode != "0") } else { None }
    });
    let Some(inode) = inode else { return false };
    let name = format!("socket:[{inode}]");
    let Ok(descriptors) = std::fs::read_dir(format!("/proc/{process}/fd")) else { return false };
    descriptors
        .filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok())
        .any(|target| target == Path::new(&name))
}

impl Shared {
    /// Returns the link state of a connection. `owner` remembers whose connection it is.
    fn link_of(&self, client: SocketAddr, owner: &Cell<Option<u32>>) -> Link {
        let cuts = self.cuts.borrow();
        let own = cuts.iter().find(|(process, _)| match owner.get() {
            Some(owner) => owner == *process,
            None => owns(*process, client),
        });
        match own {
            Some((process, link)) => {
                owner.set(Some(*process));
                *link
            }
            None => self.link.get(),
        }
    }
}

async fn connect(shared: Rc<Shared>, mut client: TcpStream, to: SocketAddr) {
    let Ok(from) = client.peer_addr() else { return };
    let owner = Cell::new(None);
    if shared.link_of(from, &owner) == Link::Refusing {
        return;
    }
    let link = || shared.link_of(from, &owner);
    let Ok(mut server) = TcpStream::connect(to).await else { return };
    let is_reset = {
        let (client_reader, client_writer) = client.split();
        let (server_reader, server_writer) = server.split();
        tokio::select! {
            () = forward(&shared, &link, client_reader, server_writer, false) => false,
            () = forward(&shared, &link, server_reader, client_writer, true) => false,
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
async fn forward(
    shared: &Shared,
    link: &impl Fn() -> Link,
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    is_response: bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(size @ 1..) = from.read(&mut buffer).await else { return };
        loop {
            let changed = shared.changed.notified();
            match link() {
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
