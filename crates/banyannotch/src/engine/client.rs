//! Client for the protocol of the endpoints.

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use super::{
    CacheEvents, CacheName, CallAnswer, CallRequest, EngineLoad, Order, Refusal, ServiceLoad, StepAnswer,
    StepRequest,
};
use crate::http::{Answer, CallError, Client};
use crate::pipeline::Address;

/// Result of a call to an endpoint.
pub type Result<T> = std::result::Result<T, EndpointError>;

/// Error of a call to an endpoint.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum EndpointError {
    /// The endpoint refused the call, so nothing ran.
    #[error("the endpoint refused: {}", .0.error)]
    Refused(Refusal),
    /// The endpoint answered with a status other than 200 and 409.
    #[error("the endpoint answered status {status}")]
    Status {
        /// HTTP status.
        status: u16,
    },
    /// There was no valid answer.
    #[error(transparent)]
    Call(#[from] CallError),
}

/// Client for all endpoints, used by one thread.
#[derive(Clone)]
pub struct EndpointClient {
    http: Client,
}

impl EndpointClient {
    /// Creates the client on top of an HTTP client of the same thread.
    pub fn new(http: Client) -> Self {
        Self { http }
    }

    /// Runs one step of a stage.
    ///
    /// # Errors
    /// Returns [`EndpointError`]; only a refusal and [`CallError::NotSent`] mean that the step did not run.
    pub async fn step(&self, address: Address, step: &StepRequest, limit_ms: u64) -> Result<StepAnswer> {
        self.post(address, "/v1/step", step, limit_ms).await
    }

    /// Frees a cache. Freeing an unknown cache is not an error.
    ///
    /// # Errors
    /// Returns [`EndpointError`] when the endpoint did not confirm the call.
    pub async fn cancel(&self, address: Address, cache: CacheName, limit_ms: u64) -> Result<()> {
        let answer = self.http.post(address, "/v1/cancel", &cache, limit_ms).await?;
        accepted(&answer).map(|_| ())
    }

    /// Calls a plain service.
    ///
    /// # Errors
    /// Returns [`EndpointError`]; only a refusal and [`CallError::NotSent`] mean that the call did not run.
    pub async fn call(&self, address: Address, call: &CallRequest, limit_ms: u64) -> Result<CallAnswer> {
        self.post(address, "/v1/call", call, limit_ms).await
    }

    /// Fetches the load report of an engine.
    ///
    /// # Errors
    /// Returns [`EndpointError`] when there is no report in time.
    pub async fn engine_load(&self, address: Address, limit_ms: u64) -> Result<EngineLoad> {
        self.get(address, "/v1/load", limit_ms).await
    }

    /// Fetches the load report of a plain service.
    ///
    /// # Errors
    /// Returns [`EndpointError`] when there is no report in time.
    pub async fn service_load(&self, address: Address, limit_ms: u64) -> Result<ServiceLoad> {
        self.get(address, "/v1/load", limit_ms).await
    }

    /// Fetches the cache events of an engine, starting at a sequence number.
    ///
    /// # Errors
    /// Returns [`EndpointError`] when there is no answer in time.
    pub async fn cache_events(&self, address: Address, from: u64, limit_ms: u64) -> Result<CacheEvents> {
        self.get(address, &format!("/v1/cache-events?from={from}"), limit_ms).await
    }

    /// Orders an engine to hold a range of layers.
    ///
    /// # Errors
    /// Returns [`EndpointError`]. Without an answer, the order may have taken effect.
    pub async fn order(&self, address: Address, order: &Order, limit_ms: u64) -> Result<()> {
        let answer = self.http.post(address, "/v1/orders", order, limit_ms).await?;
        accepted(&answer).map(|_| ())
    }

    async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        address: Address,
        path: &str,
        body: &B,
        limit_ms: u64,
    ) -> Result<T> {
        let answer = self.http.post(address, path, body, limit_ms).await?;
        Ok(accepted(&answer)?.json()?)
    }

    async fn get<T: DeserializeOwned>(&self, address: Address, path: &str, limit_ms: u64) -> Result<T> {
        let answer = self.http.get(address, path, limit_ms).await?;
        Ok(accepted(&answer)?.json()?)
    }
}

fn accepted(answer: &Answer) -> Result<&Answer> {
    match answer.status {
        200 => Ok(answer),
        409 => Err(EndpointError::Refused(answer.json()?)),
        status => Err(EndpointError::Status { status }),
    }
}
