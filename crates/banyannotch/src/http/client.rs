//! Calls to other processes with a time limit and a typed failure.

use std::io::ErrorKind;
use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::CallError;
use crate::pipeline::Address;

/// Result of a call.
type CallResult<T> = std::result::Result<T, CallError>;

/// Limits of a client.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClientSettings {
    /// Longest time to make a connection.
    pub connect_timeout_ms: u64,
    /// How long an idle connection is kept. Shorter than a server keeps it, so that a reused one is seldom closed.
    pub keep_alive_ms: u64,
    /// Most connections at one time.
    pub connection_limit: usize,
    /// Largest answer.
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

/// An answer with its status and body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// Decodes the body.
    ///
    /// # Errors
    /// Returns [`CallError::BadAnswer`] when the body is not the expected JSON.
    pub fn json<T: DeserializeOwned>(&self) -> CallResult<T> {
        serde_json::from_slice(&self.body).map_err(|error| CallError::BadAnswer(error.to_string()))
    }
}

/// Client of one thread; connections are pooled per address.
#[derive(Clone)]
pub struct Client {
    inner: awc::Client,
    settings: ClientSettings,
}

impl Client {
    /// Creates a client; needs the thread's system to run.
    pub fn new(settings: ClientSettings) -> Self {
        let connector = awc::Connector::new()
            .timeout(Duration::from_millis(settings.connect_timeout_ms))
            .conn_keep_alive(Duration::from_millis(settings.keep_alive_ms))
            .limit(settings.connection_limit);
        let inner = awc::Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish();
        Self { inner, settings }
    }

    /// Sends JSON and awaits the answer.
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

    /// Sends bytes and awaits the answer.
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
        let request = self
            .inner
            .post(format!("http://{address}{path}"))
            .content_type("application/json")
            .send_body(body);
        self.finish(request, limit_ms).await
    }

    /// Fetches a path.
    ///
    /// # Errors
    /// Returns [`CallError`] when there is no answer in time.
    pub async fn get(&self, address: Address, path: &str, limit_ms: u64) -> CallResult<Answer> {
        let request = self.inner.get(format!("http://{address}{path}")).send();
        self.finish(request, limit_ms).await
    }

    async fn finish(&self, request: awc::SendClientRequest, limit_ms: u64) -> CallResult<Answer> {
        let limit_bytes = self.settings.body_limit_bytes;
        let exchange = async move {
            let mut response = request.await.map_err(classify)?;
            let status = response.status().as_u16();
            let body = response
                .body()
                .limit(limit_bytes)
                .await
                .map_err(|error| CallError::Broken(error.to_string()))?;
            Ok(Answer { status, body })
        };
        actix_rt::time::timeout(Duration::from_millis(limit_ms), exchange)
            .await
            .map_err(|_| CallError::TimedOut { limit_ms })?
    }
}

/// Tells a failure before anything was sent from one after it. The library reports a connection that the server closes
/// after the request as a connect error as well, so only errors of making a connection count as not sent.
fn classify(error: SendRequestError) -> CallError {
    match error {
        SendRequestError::Url(error) => CallError::NotSent(error.to_string()),
        SendRequestError::Connect(error) if is_before_connection(&error) => {
            CallError::NotSent(error.to_string())
        }
        error => CallError::Broken(error.to_string()),
    }
}

fn is_before_connection(error: &ConnectError) -> bool {
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
