//! HTTP calls to other processes with a timeout and typed errors.

use std::cell::RefCell;
use std::io::ErrorKind;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::{Duration, Instant};

use awc::error::{ConnectError, SendRequestError};
use awc::http::Method;
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::CallError;
use crate::pipeline::Address;
use crate::table::Table;

/// Result of a call.
type CallResult<T> = std::result::Result<T, CallError>;

/// Statuses of final responses. RFC 9110, section 15, calls values above 599 invalid; a response with one is no answer.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Limits of a client.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClientSettings {
    /// Timeout for establishing a connection.
    pub connect_timeout_ms: u64,
    /// Time for which an idle connection is kept open. It is shorter than at the server, so that a reused connection is
    /// rarely one that the server has already closed.
    pub keep_alive_ms: u64,
    /// Maximum number of open connections.
    pub connection_limit: usize,
    /// Maximum size of the body of an answer.
    pub body_limit_bytes: usize,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 1_000,
            keep_alive_ms: 30_000,
            connection_limit: 4_096,
            body_limit_bytes: 8 << 20,
        }
    }
}

/// HTTP answer with its status and body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Body of the answer.
    pub body: Bytes,
    /// Value of the header that the client keeps, see [`Client::keeping`]; several values are separated by commas.
    pub kept_header: Option<Bytes>,
}

impl Answer {
    /// Decodes the body as JSON.
    ///
    /// # Errors
    /// Returns [`CallError::BadAnswer`] when the body is not valid JSON, or not of the expected type.
    pub fn json<T: DeserializeOwned>(&self) -> CallResult<T> {
        serde_json::from_slice(&self.body).map_err(|error| CallError::BadAnswer(error.to_string()))
    }
}

/// HTTP client of one thread, with a connection pool for each address.
#[derive(Clone)]
pub struct Client {
    inner: awc::Client,
    /// Client for servers that sent an interim response. It keeps no connections.
    unpooled: awc::Client,
    settings: ClientSettings,
    /// Servers that have sent an interim response, and when they last did so. `awc` takes such a response for the final one
    /// and keeps the connection, on which the final one may arrive as the answer to the next request.
    interim_senders: Rc<RefCell<Table<Address, Instant>>>,
    kept_header: Option<&'static str>,
}

impl Client {
    /// Creates a client. The thread's `actix_rt` system must be running.
    pub fn new(settings: ClientSettings) -> Self {
        Self {
            inner: new_client(settings),
            unpooled: new_client(settings),
            settings,
            interim_senders: Rc::default(),
            kept_header: None,
        }
    }

    /// Returns a client with the same connections whose answers also have the value of one header, named in lower case.
    #[must_use]
    pub fn keeping(self, header: &'static str) -> Self {
        Self { kept_header: Some(header), ..self }
    }

    /// Sends a JSON body with POST and waits for the answer.
    ///
    /// # Errors
    /// Returns [`CallError`]; only [`CallError::NotSent`] means that nothing left this process.
    pub async fn post<T: Serialize>(
        &self,
        address: Address,
        path: &str,
        body: &T,
        limit_ms: u64,
    ) -> CallResult<Answer> {
        let bytes = serde_json::to_vec(body).map_err(|error| CallError::NotSent(error.to_string()))?;
        self.post_bytes(address, path, Bytes::from(bytes), limit_ms).await
    }

    /// Sends an encoded JSON body with POST and waits for the answer.
    ///
    /// # Errors
    /// Returns [`CallError`]; only [`CallError::NotSent`] means that nothing left this process.
    pub async fn post_bytes(
        &self,
        address: Address,
        path: &str,
        body: Bytes,
        limit_ms: u64,
    ) -> CallResult<Answer> {
        let request = self.request(Method::POST, address, path);
        let request = request.content_type("application/json").send_body(body);
        self.finish(address, request, limit_ms).await
    }

    /// Fetches a path with GET.
    ///
    /// # Errors
    /// Returns [`CallError`] when there is no answer in time.
    pub async fn get(&self, address: Address, path: &str, limit_ms: u64) -> CallResult<Answer> {
        let request = self.request(Method::GET, address, path).send();
        self.finish(address, request, limit_ms).await
    }

    fn request(&self, method: Method, address: Address, path: &str) -> awc::ClientRequest {
        let url = format!("http://{address}{path}");
        let sent_at = self.interim_senders.borrow().get(&address).copied();
        if sent_at.is_some_and(|sent_at| sent_at.elapsed() <= self.connection_lifetime()) {
            self.unpooled.request(method, url).force_close()
        } else {
            self.inner.request(method, url)
        }
    }

    /// Returns the time after which an idle connection is not used again.
    fn connection_lifetime(&self) -> Duration {
        Duration::from_millis(self.settings.keep_alive_ms)
    }

    fn record_interim_response(&self, address: Address) {
        let mut senders = self.interim_senders.borrow_mut();
        senders.retain(|_, sent_at| sent_at.elapsed() <= self.connection_lifetime());
        senders.insert(address, Instant::now());
    }

    async fn finish(
        &self,
        address: Address,
        request: awc::SendClientRequest,
        limit_ms: u64,
    ) -> CallResult<Answer> {
        let (limit_bytes, kept_header) = (self.settings.body_limit_bytes, self.kept_header);
        let exchange = async move {
            let mut response = request.await.map_err(classify)?;
            let status = response.status().as_u16();
            if status < *FINAL_STATUSES.start() {
                self.record_interim_response(address);
            }
            if !FINAL_STATUSES.contains(&status) {
                return Err(CallError::BadAnswer(format!("status {status} is none of a final response")));
            }
            let kept_header = kept_header.and_then(|name| {
                let values: Vec<&[u8]> =
                    response.headers().get_all(name).map(|value| value.as_bytes()).collect();
                (!values.is_empty()).then(|| Bytes::from(values.join(b",".as_slice())))
            });
            let body = response
                .body()
                .limit(limit_bytes)
                .await
                .map_err(|error| CallError::Broken(error.to_string()))?;
            Ok(Answer { status, body, kept_header })
        };
        actix_rt::time::timeout(Duration::from_millis(limit_ms), exchange)
            .await
            .map_err(|_| CallError::TimedOut { limit_ms })?
    }
}

fn new_client(settings: ClientSettings) -> awc::Client {
    let connector = awc::Connector::new()
        .timeout(Duration::from_millis(settings.connect_timeout_ms))
        .conn_keep_alive(Duration::from_millis(settings.keep_alive_ms))
        .limit(settings.connection_limit);
    awc::Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .finish()
}

/// Distinguishes errors before anything was sent from later ones. `awc` reports a connection that the server closes
/// after the request as a connect error, too, so only errors of establishing a connection count as not sent.
fn classify(error: SendRequestError) -> CallError {
    match error {
        SendRequestError::Url(error) => CallError::NotSent(error.to_string()),
        SendRequestError::Connect(error) if is_connection_failure(&error) => {
            CallError::NotSent(error.to_string())
        }
        error => CallError::Broken(error.to_string()),
    }
}

fn is_connection_failure(error: &ConnectError) -> bool {
    match error {
        ConnectError::Timeout
        | ConnectError::Unresolved
        | ConnectError::NoRecords
        | ConnectError::SslIsNotSupported => true,
        ConnectError::Io(error) => matches!(
            error.kind(),
            ErrorKind::AddrNotAvailable
                | ErrorKind::ConnectionRefused
                | ErrorKind::HostUnreachable
                | ErrorKind::NetworkUnreachable
        ),
        _ => false,
    }
}
