//! Counts what the HTTP library holds for a connection in the account of the callers' memory.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use actix_http::HttpMessage;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::Request;
use crate::caller_memory::{Hold, Part, Refused, Stage};

/// Bytes that a connection takes by itself: the buffers of the library, its task and that of the request.
pub const CONNECTION_BYTES: usize = 24 << 10;
/// Unprocessed bytes of a connection that [`CONNECTION_BYTES`] covers.
const COVERED_BYTES: usize = 8 << 10;
/// Maximum number of unprocessed bytes that the library holds: 128 KiB in its buffer, and 32 KiB of a body. What is received
/// beyond that has been processed as the lines between chunks, which are not counted one by one.
const UNPROCESSED_LIMIT_BYTES: usize = 160 << 10;
/// Number of bytes behind a request that are read while it is served. The library would not stop to ask for more when its
/// buffer is full.
const READ_AHEAD_LIMIT_BYTES: usize = 64 << 10;
/// Memory of a buffer in relation to its content: it doubles when it is full.
const BUFFER_FACTOR: usize = 2;
/// What separates a header's name, its value and the next header.
const HEADER_SEPARATORS_BYTES: usize = 4;
/// Estimate of what the first line of a head takes beside the target: the method, spaces, the version and the line end.
const REQUEST_LINE_BYTES: usize = 32;
/// Interval at which a connection asks again for memory that others are about to release.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// What the library holds for one connection.
#[derive(Debug)]
pub struct ConnectionMemory {
    hold: Rc<Hold>,
    unprocessed_bytes: Cell<usize>,
    /// Bytes of a response that are not written yet.
    unwritten_bytes: Cell<usize>,
    /// Whether the handler of a request runs.
    is_serving: Cell<bool>,
    /// Whether the body of the request was read, so that all further bytes belong to later requests.
    is_body_read: Cell<bool>,
    reader: RefCell<Option<Waker>>,
}

impl ConnectionMemory {
    pub(super) fn new(hold: Rc<Hold>) -> Rc<Self> {
        Rc::new(Self {
            hold,
            unprocessed_bytes: Cell::new(0),
            unwritten_bytes: Cell::new(0),
            is_serving: Cell::new(false),
            is_body_read: Cell::new(false),
            reader: RefCell::default(),
        })
    }

    /// Returns the memory of the connection on which a request arrived.
    pub fn of(request: &Request) -> Option<Rc<Self>> {
        request.conn_data::<Rc<Self>>().cloned()
    }

    /// Returns the account's record of the connection.
    pub fn hold(&self) -> &Hold {
        &self.hold
    }

    /// Records that the head of a request was decoded, and its handler runs.
    pub fn begin_request(&self, request: &Request) {
        self.hold.end_request();
        self.unwritten_bytes.set(0);
        self.is_serving.set(true);
        self.is_body_read.set(false);
        let headers = request.headers().iter();
        let headers_bytes = headers
            .map(|(name, value)| name.as_str().len() + value.len() + HEADER_SEPARATORS_BYTES)
            .sum::<usize>();
        let target_bytes = request.uri().path_and_query().map_or(0, |target| target.as_str().len());
        self.processed(headers_bytes + target_bytes + REQUEST_LINE_BYTES);
        self.hold.set_stage(Stage::Arriving);
    }

    /// Records that the body of the request was read, and the request is worked on.
    pub fn begin_work(&self) {
        self.is_body_read.set(true);
        self.hold.set_stage(Stage::Working);
    }

    /// Records that a complete response of the given size is handed to the library, which copies it. Waits until there is
    /// memory for it; without any, the connection is closed and this does not return.
    pub async fn begin_response(&self, size_bytes: usize) {
        self.end_handler();
        self.hold.set_stage(Stage::Answered);
        self.unwritten_bytes.set(size_bytes);
        self.hold.shrink(Part::Body, 0);
        if size_bytes > COVERED_BYTES {
            self.hold.set(Part::Response, BUFFER_FACTOR * size_bytes).await;
        }
    }

    /// Records that a streamed response has ended.
    pub fn end_stream(&self) {
        self.end_handler();
        self.hold.end_request();
    }

    /// Records that bytes of a head or a body were processed.
    pub fn processed(&self, size_bytes: usize) {
        self.unprocessed_bytes.set(self.unprocessed_bytes.get().saturating_sub(size_bytes));
        self.hold.shrink(Part::Ahead, self.unprocessed_memory());
        self.wake_reader();
    }

    /// Waits until the connection must be closed: it was dropped, and has had the time to write its response. Returns what
    /// its caller does not get, unless the handler has said so.
    pub(super) async fn closed(&self) -> Option<Refused> {
        /// Time for the response of a connection that was dropped.
        const RESPONSE_TIME: Duration = Duration::from_millis(500);
        self.hold.dropped().await;
        if self.is_serving.get() {
            tokio::time::sleep(RESPONSE_TIME).await;
            return None;
        }
        let is_answered = self.unwritten_bytes.get() > 0;
        Some(if is_answered { Refused::Response } else { Refused::IdleConnection })
    }

    fn end_handler(&self) {
        self.is_serving.set(false);
        self.is_body_read.set(false);
        self.wake_reader();
    }

    fn received(&self, size_bytes: usize) {
        let unprocessed_bytes = self.unprocessed_bytes.get() + size_bytes;
        self.unprocessed_bytes.set(unprocessed_bytes.min(UNPROCESSED_LIMIT_BYTES));
    }

    fn written(&self, size_bytes: usize) {
        let unwritten_bytes = self.unwritten_bytes.get();
        if unwritten_bytes > 0 {
            self.unwritten_bytes.set(unwritten_bytes.saturating_sub(size_bytes));
            if unwritten_bytes <= size_bytes {
                self.hold.end_request();
            }
        }
    }

    /// Returns the memory that the unprocessed bytes take beyond what a connection takes by itself.
    fn unprocessed_memory(&self) -> usize {
        let bytes = self.unprocessed_bytes.get();
        if bytes > COVERED_BYTES { BUFFER_FACTOR * bytes } else { 0 }
    }

    fn wake_reader(&self) {
        if let Some(waker) = self.reader.take() {
            waker.wake();
        }
    }
}

/// A connection whose unprocessed bytes are counted.
#[derive(Debug)]
pub(super) struct CountedStream {
    stream: TcpStream,
    memory: Rc<ConnectionMemory>,
    retry: Option<Pin<Box<tokio::time::Sleep>>>,
}

impl CountedStream {
    pub fn new(stream: TcpStream, memory: Rc<ConnectionMemory>) -> Self {
        Self { stream, memory, retry: None }
    }

    pub fn memory(&self) -> &Rc<ConnectionMemory> {
        &self.memory
    }

    /// Asks for the memory of the bytes that were received so far, before more are read.
    fn poll_memory(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            if let Some(retry) = &mut self.retry {
                std::task::ready!(retry.as_mut().poll(context));
                self.retry = None;
            }
            let memory_bytes = self.memory.unprocessed_memory();
            if memory_bytes == 0 || self.memory.hold.try_set(Part::Ahead, memory_bytes) {
                return Poll::Ready(Ok(()));
            }
            if self.memory.hold.is_dropped() {
                return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
            }
            self.retry = Some(Box::pin(tokio::time::sleep(RETRY_INTERVAL)));
        }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.memory.is_body_read.get() && self.memory.unprocessed_bytes.get() > READ_AHEAD_LIMIT_BYTES {
            *self.memory.reader.borrow_mut() = Some(context.waker().clone());
            return Poll::Pending;
        }
        std::task::ready!(self.poll_memory(context))?;
        let filled_bytes = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.memory.received(buffer.filled().len() - filled_bytes);
        read
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(size_bytes)) = written {
            self.memory.written(size_bytes);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
