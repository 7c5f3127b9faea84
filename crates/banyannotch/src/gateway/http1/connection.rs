//! Buffered reading from TCP connections, and opening them with time limits.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::AsyncReadExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpSocket, TcpStream};

use super::body::{BodyDecoder, BodyQuota, Decoded, FixedQuota};
use super::{HttpError, RequestHead, ResponseHead, Result, parse_request, parse_response};
use crate::caller_memory::{Direction, LargeBuffer, SocketBuffers};
use crate::pipeline::Address;

/// Buffer space reserved for one read, enough for a few events of a stream and for most heads.
const READ_RESERVE_BYTES: usize = 4_096;

/// Size from which the buffer of a request head is not kept for the next bytes.
const KEPT_BUFFER_BYTES: usize = 16_384;

/// Number of buffered bytes of pipelined requests above which nothing more is read from the socket until the
/// current request is answered.
const PIPELINED_LIMIT_BYTES: usize = 65_536;

/// Idle time before the operating system sends a keep-alive probe, and the interval between probes. A peer
/// that does not answer is detected within twice this time.
const KEEPALIVE_INTERVAL_S: u64 = 5;

/// Reads HTTP messages from the receiving half of a connection.
#[derive(Debug)]
pub struct Reader {
    read_half: OwnedReadHalf,
    buffer: BytesMut,
    /// Whether a write on the connection has failed.
    write_failed: bool,
    /// Large buffer of the socket for a large message that is being read.
    large_buffer: Option<LargeBuffer>,
}

impl Reader {
    /// Reads more bytes from the connection into the buffer.
    ///
    /// # Errors
    /// Returns [`HttpError::Closed`] when the peer has closed the connection, or [`HttpError::Io`].
    pub async fn fill(&mut self) -> Result<()> {
        self.buffer.reserve(READ_RESERVE_BYTES);
        match self.read_half.read_buf(&mut self.buffer).await? {
            0 => Err(HttpError::Closed),
            _ => Ok(()),
        }
    }

    /// Reads more bytes as [`Reader::fill`] does. An empty buffer takes no memory until there are bytes to read.
    ///
    /// # Errors
    /// Returns [`HttpError::Closed`] when the peer has closed the connection, or [`HttpError::Io`].
    pub async fn fill_when_readable(&mut self) -> Result<()> {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
            self.read_half.readable().await?;
        }
        self.fill().await
    }

    /// Reads and discards the next bytes of the connection. Returns their number.
    ///
    /// # Errors
    /// Returns [`HttpError::Closed`] when the peer has closed the connection, or [`HttpError::Io`].
    pub async fn discard(&mut self) -> Result<usize> {
        self.buffer.clear();
        self.fill().await?;
        Ok(self.buffer.len())
    }

    /// Discards the buffered bytes and releases their memory.
    pub fn release_buffer(&mut self) {
        self.buffer = BytesMut::new();
    }

    /// Makes the receive buffer of the socket large for a large message, if there is room for that.
    pub fn enlarge_buffer(&mut self, buffers: &Rc<SocketBuffers>) {
        if self.large_buffer.is_none() {
            self.large_buffer = buffers.enlarge(self.read_half.as_ref(), Direction::Receive);
        }
    }

    /// Makes the receive buffer of the socket small again after a large message.
    pub fn reduce_buffer(&mut self) {
        if let Some(buffer) = self.large_buffer.take() {
            buffer.reduce(self.read_half.as_ref());
        }
    }

    /// Returns the number of bytes that are buffered and have not been decoded.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Records that a write on the connection has failed. From then on, the end of the connection no longer completes a
    /// body without a length: the operating system reports a reset only once, so that the reads after a write that
    /// received the report find an orderly end.
    pub fn record_failed_write(&mut self) {
        self.write_failed = true;
    }

    /// Returns whether the buffer holds bytes that have not been decoded.
    pub fn has_buffered(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Reads a request head.
    ///
    /// # Errors
    /// Returns [`HttpError::Closed`] when the connection ends before the first byte, [`HttpError::Truncated`]
    /// when it ends later in the head, and the errors of [`parse_request`].
    pub async fn request_head(&mut self, limit_bytes: usize) -> Result<RequestHead> {
        loop {
            if let Some(head) = parse_request(&mut self.buffer, limit_bytes)? {
                return Ok(head);
            }
            self.fill_within_head().await?;
        }
    }

    /// Decodes a request head from the buffer, without reading from the connection. Returns `None` while it is incomplete.
    ///
    /// # Errors
    /// Returns the errors of [`parse_request`].
    pub fn buffered_request_head(&mut self, limit_bytes: usize) -> Result<Option<RequestHead>> {
        let buffered_bytes = self.buffer.len();
        let head = parse_request(&mut self.buffer, limit_bytes)?;
        if head.is_some() && buffered_bytes > KEPT_BUFFER_BYTES {
            self.buffer = BytesMut::from(&*self.buffer);
        }
        Ok(head)
    }

    /// Reads more bytes of a head.
    ///
    /// # Errors
    /// Returns [`HttpError::Closed`] when the connection ends before the first byte, and [`HttpError::Truncated`] when it
    /// ends later.
    pub async fn fill_within_head(&mut self) -> Result<()> {
        match self.fill().await {
            Err(HttpError::Closed) if !self.buffer.is_empty() => Err(HttpError::Truncated),
            result => result,
        }
    }

    /// Reads a response head.
    ///
    /// # Errors
    /// Returns [`HttpError::Closed`] when the connection ends before the first byte, [`HttpError::Truncated`]
    /// when it ends later in the head, and the errors of [`parse_response`].
    pub async fn response_head(&mut self, limit_bytes: usize) -> Result<ResponseHead> {
        loop {
            if let Some(head) = parse_response(&mut self.buffer, limit_bytes)? {
                return Ok(head);
            }
            self.fill_within_head().await?;
        }
    }

    /// Decodes a response head from the buffer, without reading from the connection. Returns `None` while it is incomplete.
    ///
    /// # Errors
    /// Returns the errors of [`parse_response`].
    pub fn buffered_response_head(&mut self, limit_bytes: usize) -> Result<Option<ResponseHead>> {
        let buffered_bytes = self.buffer.len();
        let head = parse_response(&mut self.buffer, limit_bytes)?;
        if head.is_some() && buffered_bytes > KEPT_BUFFER_BYTES {
            self.buffer = BytesMut::from(&*self.buffer);
        }
        Ok(head)
    }

    /// Reads the next bytes of a body. Returns `None` at its end.
    ///
    /// # Errors
    /// Returns [`HttpError::Truncated`] when the connection ends before the body is complete, or may have been reset.
    pub async fn body(&mut self, decoder: &mut BodyDecoder) -> Result<Option<Bytes>> {
        loop {
            match decoder.decode(&mut self.buffer)? {
                Decoded::Data(data) => return Ok(Some(data)),
                Decoded::End => return Ok(None),
                Decoded::NeedMore => match self.fill().await {
                    Ok(()) => {}
                    Err(HttpError::Closed) if decoder.ends_with_connection() && !self.write_failed => {
                        return Ok(None);
                    }
                    Err(HttpError::Closed) => return Err(HttpError::Truncated),
                    Err(error) => return Err(error),
                },
            }
        }
    }

    /// Decodes the next part of a body from the buffer, without reading from the connection.
    ///
    /// # Errors
    /// Returns [`HttpError::Malformed`] when the buffered bytes cannot be decoded.
    pub fn buffered_body(&mut self, decoder: &mut BodyDecoder) -> Result<Decoded> {
        decoder.decode(&mut self.buffer)
    }

    /// Reads a complete body.
    ///
    /// # Errors
    /// Returns [`HttpError::BodyTooLarge`] when it is larger than `limit_bytes`.
    pub async fn whole_body(&mut self, decoder: BodyDecoder, limit_bytes: usize) -> Result<Bytes> {
        self.whole_body_within(decoder, &mut FixedQuota::new(limit_bytes)).await
    }

    /// Reads a complete body and discards it.
    ///
    /// # Errors
    /// Returns [`HttpError::BodyTooLarge`] when it is larger than `limit_bytes`.
    pub async fn skip_body(&mut self, mut decoder: BodyDecoder, limit_bytes: usize) -> Result<()> {
        let mut quota = FixedQuota::new(limit_bytes);
        while let Some(data) = self.body(&mut decoder).await? {
            quota.take(data.len())?;
        }
        Ok(())
    }

    /// Reads a complete body as far as the quota allows.
    ///
    /// # Errors
    /// Returns the error of the quota when it has no room for the body.
    pub async fn whole_body_within<Q: BodyQuota>(
        &mut self,
        mut decoder: BodyDecoder,
        quota: &mut Q,
    ) -> Result<Bytes> {
        let mut collected = BytesMut::new();
        while let Some(data) = self.body(&mut decoder).await? {
            quota.take(data.len())?;
            collected.extend_from_slice(&data);
        }
        Ok(collected.freeze())
    }

    /// Waits until the peer closes the connection or it fails. Bytes that arrive meanwhile are buffered up to
    /// a limit, and only while `may_hold` allows the memory that the buffer takes; beyond that, the close is no longer
    /// detected and this never returns.
    pub async fn wait_for_close(&mut self, may_hold: impl Fn(usize) -> bool) {
        while self.buffer.len() <= PIPELINED_LIMIT_BYTES && may_hold(self.buffer_bytes_after_fill()) {
            if self.fill_when_readable().await.is_err() {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    /// Returns the memory that bytes in the buffer take after the next fill; none while the buffer is empty. A buffer that
    /// is full doubles.
    fn buffer_bytes_after_fill(&self) -> usize {
        if self.buffer.is_empty() { 0 } else { 2 * (self.buffer.len() + READ_RESERVE_BYTES) }
    }

    /// Returns whether an idle connection cannot be reused, because it has been closed or has received
    /// unexpected bytes.
    pub fn is_stale(&mut self) -> bool {
        if self.has_buffered() {
            return true;
        }
        let mut byte = [0];
        match self.read_half.try_read(&mut byte) {
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
            Ok(_) => true,
        }
    }
}

/// Splits a connection into a reader and a writer.
///
/// `TCP_NODELAY` is set, so that data is sent without delay. Keep-alive probes and `TCP_USER_TIMEOUT` are
/// set, so that a peer that stops responding is detected.
///
/// # Errors
/// Returns the error of the operating system when a socket option cannot be set.
pub fn split(stream: TcpStream, user_timeout_ms: u64) -> io::Result<(Reader, OwnedWriteHalf)> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(&stream);
    let keep_alive = socket2::TcpKeepalive::new()
        .with_time(Duration::from_secs(KEEPALIVE_INTERVAL_S))
        .with_interval(Duration::from_secs(KEEPALIVE_INTERVAL_S));
    socket.set_tcp_keepalive(&keep_alive)?;
    socket.set_tcp_user_timeout(Some(Duration::from_millis(user_timeout_ms)))?;
    let (read_half, writer) = stream.into_split();
    Ok((Reader { read_half, buffer: BytesMut::new(), write_failed: false, large_buffer: None }, writer))
}

/// Opens a connection within `timeout_ms` and splits it as [`split`] does.
///
/// # Errors
/// Returns the error of the operating system, or [`io::ErrorKind::TimedOut`] when the time limit has passed.
pub async fn connect(
    address: Address,
    timeout_ms: u64,
    user_timeout_ms: u64,
) -> io::Result<(Reader, OwnedWriteHalf)> {
    connect_socket(socket_for(address)?, address, timeout_ms, user_timeout_ms).await
}

/// Creates a socket that can be connected to an address.
///
/// # Errors
/// Returns the error of the operating system.
pub fn socket_for(address: Address) -> io::Result<TcpSocket> {
    if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }
}

/// Connects a socket within `timeout_ms` and splits the connection as [`split`] does.
///
/// # Errors
/// Returns the error of the operating system, or [`io::ErrorKind::TimedOut`] when the time limit has passed.
pub async fn connect_socket(
    socket: TcpSocket,
    address: Address,
    timeout_ms: u64,
    user_timeout_ms: u64,
) -> io::Result<(Reader, OwnedWriteHalf)> {
    let connecting = socket.connect(address);
    let stream = tokio::time::timeout(Duration::from_millis(timeout_ms), connecting)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    split(stream, user_timeout_ms)
}
