//! Translation between HTTP and the messages and answers of a stand-in.

use std::future::Future;

use banyannotch::http::{InputError, Request, Response, ServerSettings, read_json};
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Result of decoding a request.
pub type Result<T> = std::result::Result<T, DecodeError>;

/// Decodes HTTP requests to messages and encodes answers as HTTP responses.
pub trait Codec: Clone + 'static {
    /// Message that a request is decoded to.
    type Message: 'static;
    /// Answer of the policy to a message.
    type Answer: 'static;

    /// Decodes a request.
    fn decode(&self, request: &mut Request) -> impl Future<Output = Result<Self::Message>>;

    /// Encodes an answer.
    fn encode(&self, answer: &Self::Answer) -> Response;
}

/// Error from decoding a request.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// No route matches this method and path.
    #[error("there is no {method} {path}")]
    NoSuchPath {
        /// Method of the request.
        method: String,
        /// Path of the request.
        path: String,
    },
    /// The body cannot be read or parsed.
    #[error(transparent)]
    Body(#[from] InputError),
    /// The body is not valid UTF-8.
    #[error("the body is not valid UTF-8")]
    NotText,
    /// A query parameter is not an unsigned whole number.
    #[error("query parameter {name:?} is {value:?}, expected a whole number")]
    Query {
        /// Name of the parameter.
        name: &'static str,
        /// Value that the request gave.
        value: String,
    },
}

impl DecodeError {
    /// Creates the error for a request to an unknown path.
    pub fn no_such_path(request: &Request) -> Self {
        Self::NoSuchPath { method: request.method().to_string(), path: request.path().to_owned() }
    }

    /// Returns the HTTP status code for the error.
    pub fn status(&self) -> u16 {
        match self {
            Self::NoSuchPath { .. } => 404,
            Self::Body(error) => error.status(),
            Self::NotText | Self::Query { .. } => 400,
        }
    }
}

/// Decodes the JSON body of a request.
///
/// # Errors
/// Returns [`DecodeError::Body`] when the body cannot be read or parsed.
pub async fn decode_json<T: DeserializeOwned>(request: &mut Request) -> Result<T> {
    Ok(read_json(request, &ServerSettings::default()).await?)
}

/// Returns the segments of a path.
pub fn segments(path: &str) -> Vec<&str> {
    path.trim_matches('/').split('/').collect()
}

/// Returns a number from the query, or `default` when the parameter is absent.
///
/// # Errors
/// Returns [`DecodeError::Query`] when the parameter is not an unsigned whole number.
pub fn query_number(request: &Request, name: &'static str, default: u64) -> Result<u64> {
    let query = request.uri().query().unwrap_or_default();
    let value = query.split('&').find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name));
    let Some((_, value)) = value else {
        return Ok(default);
    };
    value.parse().map_err(|_| DecodeError::Query { name, value: value.to_owned() })
}
