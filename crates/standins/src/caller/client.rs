//! HTTP client of the callers' protocol.

use std::io::ErrorKind;

use awc::error::{ConnectError, PayloadError, SendRequestError};
use banyannotch::pipeline::Address;
use bytes::Bytes;
use futures_util::Stream;
use serde::Serialize;

use super::{Answer, AnswerStream, CallBody, CallerError, GenerateBody, Result};

/// A client that sends requests on behalf of one team.
#[derive(Clone)]
pub struct Caller {
    client: awc::Client,
    authorization: String,
}

impl Caller {
    /// Creates a client that authenticates with the team's bearer token.
    pub fn new(token: &str) -> Self {
        let connector = awc::Connector::new().limit(8_192);
        let client = awc::Client::builder().connector(connector).disable_timeout().finish();
        Self { client, authorization: format!("Bearer {token}") }
    }

    /// Requests a generation and returns its answer as a stream of events.
    ///
    /// # Errors
    /// Returns [`CallerError`] when no response head arrives.
    pub async fn generate(
        &self,
        entry: Address,
        body: &GenerateBody,
    ) -> Result<AnswerStream<impl Stream<Item = std::result::Result<Bytes, PayloadError>> + Unpin + use<>>>
    {
        self.post(entry, "/v1/generate", body).await
    }

    /// Requests a generation and reads the whole answer.
    ///
    /// # Errors
    /// Returns [`CallerError`] when there is no definite outcome.
    pub async fn generate_whole(&self, entry: Address, body: &GenerateBody) -> Result<Answer> {
        self.generate(entry, body).await?.finish(Answer::default()).await
    }

    /// Calls a plain service.
    ///
    /// # Errors
    /// Returns [`CallerError`] when there is no definite outcome.
    pub async fn call(&self, entry: Address, body: &CallBody) -> Result<Answer> {
        self.post(entry, "/v1/call", body).await?.finish(Answer::default()).await
    }

    async fn post<B: Serialize>(
        &self,
        entry: Address,
        path: &str,
        body: &B,
    ) -> Result<AnswerStream<impl Stream<Item = std::result::Result<Bytes, PayloadError>> + Unpin + use<B>>>
    {
        let request = self
            .client
            .post(format!("http://{entry}{path}"))
            .insert_header(("authorization", self.authorization.as_str()));
        let response = request.send_json(body).await.map_err(|error| match error {
            // awc also reports a connection that ended before the response head as these connect errors. The
            // request may have been sent by then; of these errors, only a refused connection rules that out.
            SendRequestError::Connect(error @ (ConnectError::Disconnected | ConnectError::Io(_)))
                if !is_refused(&error) =>
            {
                CallerError::Broken(error.to_string())
            }
            SendRequestError::Connect(error) => CallerError::NotSent(error.to_string()),
            error => CallerError::Broken(error.to_string()),
        })?;
        let streamed = response
            .headers()
            .get("content-type")
            .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
        Ok(AnswerStream::new(response.status().as_u16(), streamed, response))
    }
}

fn is_refused(error: &ConnectError) -> bool {
    matches!(error, ConnectError::Io(error) if error.kind() == ErrorKind::ConnectionRefused)
}
