//! HTTP clients for the services of the platform.

use thiserror::Error;

use super::{Appended, InstanceList, Instances, LogService, Records};
use crate::http::{Answer, CallError, Client};
use crate::ids::LogOffset;
use crate::pipeline::Address;

/// Result of a call to the platform.
pub type Result<T> = std::result::Result<T, PlatformError>;

/// Error of a call to the platform.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum PlatformError {
    /// The called service is over its rate limit; nothing was appended.
    #[error("the platform service is over its rate limit (status 429)")]
    RateLimited,
    /// The called service is unavailable; nothing was appended.
    #[error("the platform service is unavailable (status 503)")]
    Down,
    /// The called service answered with a status other than 200, 429 and 503.
    #[error("the platform answered status {status}")]
    Status {
        /// HTTP status.
        status: u16,
    },
    /// There was no valid answer. After [`CallError::NotSent`], nothing was appended; otherwise, that is unknown.
    #[error(transparent)]
    Call(#[from] CallError),
}

impl PlatformError {
    /// Returns whether an append that failed this way may have taken effect.
    pub fn may_have_been_appended(&self) -> bool {
        match self {
            Self::RateLimited | Self::Down => false,
            Self::Status { .. } => true,
            Self::Call(error) => !matches!(error, CallError::NotSent(_)),
        }
    }
}

/// HTTP client of the log service.
#[derive(Clone)]
pub struct HttpLog {
    http: Client,
    address: Address,
}

/// HTTP client of the instance list.
#[derive(Clone)]
pub struct HttpInstanceList {
    http: Client,
    address: Address,
}

/// Time by which the timeout of a read exceeds its `wait_ms`.
const READ_MARGIN_MS: u64 = 2_000;

impl HttpLog {
    /// Creates the client on top of an HTTP client of the same thread.
    pub fn new(http: Client, address: Address) -> Self {
        Self { http, address }
    }
}

impl LogService for HttpLog {
    async fn append(&self, stream: &str, record: &[u8], limit_ms: u64) -> Result<LogOffset> {
        let path = format!("/v1/streams/{stream}/records");
        let body = bytes::Bytes::copy_from_slice(record);
        let answer = self.http.post_bytes(self.address, &path, body, limit_ms).await?;
        let appended: Appended = accepted(&answer)?.json()?;
        Ok(appended.offset)
    }

    async fn read(&self, stream: &str, from: LogOffset, max: u32, wait_ms: u64) -> Result<Records> {
        let path = format!("/v1/streams/{stream}/records?from={from}&max={max}&wait_ms={wait_ms}");
        let answer = self.http.get(self.address, &path, wait_ms + READ_MARGIN_MS).await?;
        Ok(accepted(&answer)?.json()?)
    }
}

impl HttpInstanceList {
    /// Creates the client on top of an HTTP client of the same thread.
    pub fn new(http: Client, address: Address) -> Self {
        Self { http, address }
    }
}

impl InstanceList for HttpInstanceList {
    async fn instances(&self, limit_ms: u64) -> Result<Instances> {
        let answer = self.http.get(self.address, "/v1/instances", limit_ms).await?;
        Ok(accepted(&answer)?.json()?)
    }
}

fn accepted(answer: &Answer) -> Result<&Answer> {
    match answer.status {
        200 => Ok(answer),
        429 => Err(PlatformError::RateLimited),
        503 => Err(PlatformError::Down),
        status => Err(PlatformError::Status { status }),
    }
}
