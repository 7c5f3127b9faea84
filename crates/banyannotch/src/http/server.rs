//! Accepts connections on one thread and passes requests to a handler.

use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{Extensions, HttpService, StatusCode};
use actix_service::{IntoServiceFactory, Service, ServiceFactory, fn_service};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;

use super::counted::CountedStream;
use super::{Body, CONNECTION_BYTES, ConnectionMemory, EventStream, InputError, Result};
use crate::caller_memory::{AccountSettings, CallerMemory, PageBuffer, Part, Refused};

/// Request that a listener received.
pub type Request = actix_http::Request;

/// Response to a request.
pub type Response = actix_http::Response<Body>;

/// Limits of a listener.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerSettings {
    /// Timeout for reading the head of a request, and separately for reading its body.
    pub read_timeout_ms: u64,
    /// Time for which an idle connection is kept open.
    pub keep_alive_ms: u64,
    /// Maximum size of the body of a request.
    pub body_limit_bytes: usize,
    /// Maximum number of open connections; further ones are closed immediately.
    pub connection_limit: usize,
}

impl Default for ServerSettings {
    fn default() -> Self {
        Self {
            read_timeout_ms: 5_000,
            keep_alive_ms: 75_000,
            body_limit_bytes: 1 << 20,
            connection_limit: 4_096,
        }
    }
}

/// Handler of the requests of a listener.
pub trait Handler: Clone + 'static {
    /// Returns the response to a request. Errors are responses, too.
    fn handle(&self, request: Request) -> impl Future<Output = Response>;
}

/// Accepts and serves connections until the task is dropped. What the callers make the process hold is limited only for each
/// connection, and by the number of connections.
pub async fn serve<H: Handler>(listener: TcpListener, settings: ServerSettings, handler: H) {
    let limits = AccountSettings {
        limit_bytes: usize::MAX,
        reserved_bytes: 0,
        connection_bytes: CONNECTION_BYTES,
        connection_limit: settings.connection_limit,
        ..AccountSettings::default()
    };
    serve_within(listener, settings, CallerMemory::new(limits, "http"), handler).await;
}

/// Accepts and serves connections until the task is dropped, within the account of what callers make the process hold.
pub async fn serve_within<H: Handler>(
    listener: TcpListener,
    settings: ServerSettings,
    memory: Rc<CallerMemory>,
    handler: H,
) {
    let factory = HttpService::<CountedStream, _, _>::build()
        .keep_alive(Duration::from_millis(settings.keep_alive_ms))
        .client_request_timeout(Duration::from_millis(settings.read_timeout_ms))
        .on_connect_ext(|stream: &CountedStream, data: &mut Extensions| {
            data.insert(Rc::clone(stream.memory()));
        })
        .h1(fn_service(move |request: Request| {
            let handler = handler.clone();
            async move { Ok::<_, Infallible>(handle(&handler, request).await) }
        })
        .into_factory());
    let Ok(service) = factory.new_service(()).await else {
        log::error!("event=listener_failed reason=service_not_created");
        return;
    };
    let service = Rc::new(service);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                // File descriptors can run out temporarily; without the pause the loop would spin.
                log::warn!("event=accept_failed error={error:?}");
                actix_rt::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let Some(hold) = memory.open() else {
            memory.record(Refused::Connection);
            continue;
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("event=nodelay_failed error={error:?}");
        }
        let connection_memory = ConnectionMemory::new(hold);
        let connection = service.call((CountedStream::new(stream, Rc::clone(&connection_memory)), None));
        actix_rt::spawn(async move {
            tokio::select! {
                result = connection => {
                    if let Err(error) = result {
                        log::debug!("event=connection_ended error={error:?}");
                    }
                }
                refused = connection_memory.closed() => {
                    if let Some(refused) = refused {
                        connection_memory.hold().record(refused);
                    }
                }
            }
        });
    }
}

/// Handles a request, and counts what is held for it.
async fn handle<H: Handler>(handler: &H, request: Request) -> Response {
    let Some(memory) = ConnectionMemory::of(&request) else { return handler.handle(request).await };
    memory.begin_request(&request);
    let response = handler.handle(request).await;
    if let Body::Full(bytes) = response.body() {
        memory.begin_response(bytes.len()).await;
    }
    response.map_body(|_, mut body| {
        if let Body::Events(stream) = &mut body {
            stream.send_on(memory);
        }
        body
    })
}

/// Reads the whole body of a request within the size limit and the timeout.
///
/// # Errors
/// Returns [`InputError`] when the body is too large, too slow or truncated.
pub async fn read_body(request: &mut Request, settings: &ServerSettings) -> Result<Bytes> {
    let limit_ms = settings.read_timeout_ms;
    actix_rt::time::timeout(Duration::from_millis(limit_ms), collect(request, settings.body_limit_bytes))
        .await
        .map_err(|_| InputError::TooSlow { limit_ms })?
}

async fn collect(request: &mut Request, limit_bytes: usize) -> Result<Bytes> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(part) = payload.next().await {
        let part = part.map_err(|_| InputError::Truncated)?;
        if body.len() + part.len() > limit_bytes {
            return Err(InputError::TooLarge { limit_bytes });
        }
        body.extend_from_slice(&part);
    }
    Ok(body.freeze())
}

/// Reads and decodes a JSON body within the size limit and the timeout.
///
/// # Errors
/// Returns [`InputError`] when the body cannot be read or is not the expected JSON.
pub async fn read_json<T: DeserializeOwned>(request: &mut Request, settings: &ServerSettings) -> Result<T> {
    let body = read_body(request, settings).await?;
    Ok(serde_json::from_slice(&body)?)
}

/// Reads and decodes a JSON body as [`read_json`] does. Its memory is counted for the connection, and `copies` times when it is
/// decoded. This does not return when there is no memory for it, and the connection is dropped.
///
/// # Errors
/// Returns [`InputError`] when the body cannot be read or is not the expected JSON.
pub async fn read_json_within<T: DeserializeOwned>(
    request: &mut Request,
    settings: &ServerSettings,
    memory: &ConnectionMemory,
    copies: usize,
) -> Result<T> {
    let (limit_ms, hold) = (settings.read_timeout_ms, memory.hold());
    let reading = collect_within(request, settings.body_limit_bytes, memory);
    let body = actix_rt::time::timeout(Duration::from_millis(limit_ms), reading)
        .await
        .map_err(|_| InputError::TooSlow { limit_ms })??;
    // The decoded text takes as much again, and the text of the body is dropped after it.
    hold.set(Part::Head, body.len()).await;
    let value = serde_json::from_slice(body.as_slice())?;
    let size_bytes = body.len();
    drop(body);
    hold.shrink(Part::Head, 0);
    hold.set(Part::Body, copies * size_bytes).await;
    Ok(value)
}

async fn collect_within(
    request: &mut Request,
    limit_bytes: usize,
    memory: &ConnectionMemory,
) -> Result<PageBuffer> {
    let mut payload = request.take_payload();
    let mut body = PageBuffer::default();
    while let Some(part) = payload.next().await {
        let part = part.map_err(|_| InputError::Truncated)?;
        let size_bytes = body.len() + part.len();
        if size_bytes > limit_bytes {
            return Err(InputError::TooLarge { limit_bytes });
        }
        if size_bytes > body.capacity() {
            let capacity_bytes = (size_bytes + size_bytes / 4).min(limit_bytes);
            memory.hold().set(Part::Body, capacity_bytes).await;
            body.set_capacity(capacity_bytes);
        }
        body.extend_from_slice(&part);
        memory.processed(part.len());
    }
    Ok(body)
}

/// Closes the connection after the response.
pub fn closing(mut response: Response) -> Response {
    response.head_mut().set_connection_type(actix_http::ConnectionType::Close);
    response
}

/// Creates a JSON response.
pub fn json<T: Serialize>(status: u16, value: &T) -> Response {
    match serde_json::to_vec(value) {
        Ok(bytes) => with_type(status, "application/json", Bytes::from(bytes)),
        Err(error) => {
            log::error!("event=response_not_encoded error={error}");
            empty(500)
        }
    }
}

/// Creates a plain text response.
pub fn text(status: u16, body: String) -> Response {
    with_type(status, "text/plain; charset=utf-8", Bytes::from(body))
}

/// Creates a response that streams server-sent events.
pub fn events(stream: EventStream) -> Response {
    let mut response = actix_http::Response::with_body(StatusCode::OK, Body::Events(stream));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    response
}

/// Converts a listener that was bound before the thread started to a listener of the thread's runtime.
///
/// # Errors
/// Returns the error of the operating system.
pub fn listener_from_std(listener: std::net::TcpListener) -> std::io::Result<TcpListener> {
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Creates a response without a body.
pub fn empty(status: u16) -> Response {
    with_type(status, "application/json", Bytes::new())
}

fn with_type(status: u16, content_type: &'static str, bytes: Bytes) -> Response {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = actix_http::Response::with_body(status, Body::Full(bytes));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
