//! Response bodies as one concrete type, which avoids boxed bodies.

use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use tokio::sync::mpsc;

use super::ConnectionMemory;

/// Body of a response.
#[derive(Debug)]
pub enum Body {
    /// A complete body.
    Full(Bytes),
    /// A body that is streamed in parts.
    Events(EventStream),
}

/// Streamed body whose parts come from a channel. It notifies its producer when a part is taken and when the stream is
/// dropped.
#[derive(Debug)]
pub struct EventStream {
    parts: mpsc::UnboundedReceiver<Bytes>,
    guard: Option<StreamGuard>,
    taken: mpsc::UnboundedSender<u32>,
    /// The connection that sends the stream.
    connection: Option<Rc<ConnectionMemory>>,
}

/// Guard that is dropped when the stream ends or its connection is closed, which notifies the producer of the parts.
#[derive(Debug)]
pub struct StreamGuard(#[allow(dead_code)] tokio::sync::oneshot::Sender<()>);

impl StreamGuard {
    /// Creates the guard and a future that completes when the guard is dropped.
    pub fn new() -> (Self, tokio::sync::oneshot::Receiver<()>) {
        let (sender, receiver) = tokio::sync::oneshot::channel();
        (Self(sender), receiver)
    }
}

impl EventStream {
    /// Creates the stream. `taken` receives a 1 for each part that the connection takes.
    pub fn new(
        parts: mpsc::UnboundedReceiver<Bytes>,
        guard: StreamGuard,
        taken: mpsc::UnboundedSender<u32>,
    ) -> Self {
        Self { parts, guard: Some(guard), taken, connection: None }
    }

    /// Reports the end of the stream to the connection that sends it.
    pub(super) fn send_on(&mut self, connection: Rc<ConnectionMemory>) {
        self.connection = Some(connection);
    }
}

impl Drop for EventStream {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection {
            connection.end_stream();
        }
    }
}

impl MessageBody for Body {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        match self {
            Self::Full(bytes) => BodySize::Sized(bytes.len() as u64),
            Self::Events(_) => BodySize::Stream,
        }
    }

    fn poll_next(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Bytes, Self::Error>>> {
        match self.get_mut() {
            Self::Full(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Full(bytes) => Poll::Ready(Some(Ok(std::mem::take(bytes)))),
            Self::Events(stream) => stream.poll_part(context).map(|part| part.map(Ok)),
        }
    }
}

impl EventStream {
    fn poll_part(&mut self, context: &mut Context<'_>) -> Poll<Option<Bytes>> {
        let part = std::task::ready!(self.parts.poll_recv(context));
        match part {
            Some(part) => {
                // The receiver of the counts may be dropped at the end of the answer, when they are no longer needed.
                let _ = self.taken.send(1);
                Poll::Ready(Some(part))
            }
            None => {
                self.guard = None;
                Poll::Ready(None)
            }
        }
    }
}
