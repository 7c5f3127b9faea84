//! Sizes of the buffers that the operating system keeps for the sockets of a thread.

use std::cell::Cell;
use std::io;
use std::os::fd::AsFd;
use std::rc::Rc;

use socket2::SockRef;

/// Number of bytes that the operating system may keep in a buffer, in relation to the size that was asked for.
const KERNEL_FACTOR: usize = 2;

/// Limits of the socket buffers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BufferSettings {
    /// Size of each of the two buffers of a connection, as it is asked for.
    pub buffer_bytes: usize,
    /// Size of a buffer through which a message larger than `buffer_bytes` passes.
    pub large_buffer_bytes: usize,
    /// Maximum number of bytes that all large buffers together may keep.
    pub large_limit_bytes: usize,
}

impl Default for BufferSettings {
    /// Returns the sizes for the smallest machines that gateways run on.
    fn default() -> Self {
        Self { buffer_bytes: 4 << 10, large_buffer_bytes: 64 << 10, large_limit_bytes: 7 << 20 }
    }
}

/// A buffer of a socket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// Bytes that were received and not read.
    Receive,
    /// Bytes that were not sent, or whose receipt was not confirmed.
    Send,
}

/// Gives small buffers to all sockets and large ones to a few, so that a large message does not need a round trip for each
/// small buffer. See `docs/design/caller-memory.md`.
#[derive(Debug)]
pub struct SocketBuffers {
    settings: BufferSettings,
    large_bytes: Cell<usize>,
}

impl SocketBuffers {
    /// Creates the buffers of a thread, none of which is large.
    pub fn new(settings: BufferSettings) -> Rc<Self> {
        Rc::new(Self { settings, large_bytes: Cell::new(0) })
    }

    /// Returns whether a message of the given size needs a large buffer.
    pub fn is_large(&self, size_bytes: usize) -> bool {
        size_bytes > self.settings.buffer_bytes
    }

    /// Gives small buffers to a socket that is not connected yet. The connections that a listener accepts have the sizes of
    /// its own buffers.
    pub fn limit(&self, socket: &impl AsFd) {
        for direction in [Direction::Receive, Direction::Send] {
            set_size(socket, direction, self.settings.buffer_bytes);
        }
    }

    /// Gives a small receive buffer to a listener whose connections are not read.
    pub fn limit_receive(&self, socket: &impl AsFd) {
        set_size(socket, Direction::Receive, self.settings.buffer_bytes);
    }

    /// Makes a buffer large, unless the other large ones leave no room.
    pub fn enlarge(self: &Rc<Self>, socket: &impl AsFd, direction: Direction) -> Option<LargeBuffer> {
        let large_bytes = self.large_bytes.get() + KERNEL_FACTOR * self.settings.large_buffer_bytes;
        if large_bytes > self.settings.large_limit_bytes {
            return None;
        }
        self.large_bytes.set(large_bytes);
        set_size(socket, direction, self.settings.large_buffer_bytes);
        Some(LargeBuffer { buffers: Rc::clone(self), direction })
    }

    /// Returns the bytes that large buffers may keep now.
    pub fn large_bytes(&self) -> usize {
        self.large_bytes.get()
    }
}

/// A large buffer of a socket. Its share is free when the value is dropped.
#[derive(Debug)]
pub struct LargeBuffer {
    buffers: Rc<SocketBuffers>,
    direction: Direction,
}

impl LargeBuffer {
    /// Makes the buffer small again. A buffer for sending keeps what is not sent; the value must be kept until then.
    pub fn reduce(&self, socket: &impl AsFd) {
        set_size(socket, self.direction, self.buffers.settings.buffer_bytes);
    }
}

impl Drop for LargeBuffer {
    fn drop(&mut self) {
        let size_bytes = KERNEL_FACTOR * self.buffers.settings.large_buffer_bytes;
        self.buffers.large_bytes.set(self.buffers.large_bytes.get() - size_bytes);
    }
}

/// Asks for the size of a buffer. Without it the connection works, and takes more memory.
fn set_size(socket: &impl AsFd, direction: Direction, size_bytes: usize) {
    let socket = SockRef::from(socket);
    let set = match direction {
        Direction::Receive => socket.set_recv_buffer_size(size_bytes),
        Direction::Send => socket.set_send_buffer_size(size_bytes),
    };
    if let Err(error) = set {
        log::debug!("event=buffer_not_sized direction={direction:?} error=\"{error}\"");
    }
}

/// Returns whether the other end has confirmed nearly everything that was sent to it. The buffer for sending must be small.
///
/// # Errors
/// Returns the error of the operating system.
pub fn is_sent(socket: &impl AsFd) -> io::Result<bool> {
    use rustix::event::{PollFd, PollFlags, Timespec, poll};
    let mut sockets = [PollFd::new(socket, PollFlags::OUT)];
    let ready = poll(&mut sockets, Some(&Timespec { tv_sec: 0, tv_nsec: 0 }))?;
    Ok(ready > 0)
}
