//! Translation between HTTP and the messages of a stand-in.

use std::future::Future;

use banyannotch::http::{InputError, Request, Response, ServerSettings, read_json};
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Result of decoding.
pub type Result<T> = std::result::Result<T, DecodeError>;

/// Translates HTTP requests to messages and answers to HTTP responses.
pub trait Codec: Clone + 'static {
    /// Decoded request.
    type Message: 'static;
    /// Answer of the policy.
    type Answer: 'static;

    /// Decodes a request.
    fn decode(&self, request: &mut Request) -> impl Future<Output = Result<Self::Message>>;

    /// Encodes an answer.
    fn encode(&self, answer: &Self::Answer) -> Response;
}

/// Why a request is not a message.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// There is no such path or method.
    #[error("there is no {method} {path}")]
    NoSuchPath {
        /// Method that was used.
        method: String,
        /// Path that was asked for.
        path: String,
    },
    /// The body cannot be used.
    #[error(transparent)]
    Body(#[from] InputError),
    /// The body has to be text.
    #[error("the body is not valid UTF-8")]
    NotText,
    /// A parameter of the query is no number.
    #[error("query parameter {name:?} is {value:?}, expected a whole number")]
    Query {
        /// Name of the parameter.
        name: &'static str,
        /// What was given.
        value: String,
    },
}

impl DecodeError {
    /// Creates the error for a request to an unknown path.
    pub fn no_such_path(request: &Request) -> Self {
        Self::NoSuchPath { method: request.method().to_string(), path: request.path().to_owned() }
    }

    /// Returns the HTTP status of the error.
    pub fn status(&self) -> u16 {
        match self {
            Self::NoSuchPath { .. } => 404,
            Self::Body(error) => error.status(),
            Self::NotText | Self::Query { .. } => 400,
        }
    }
}

/// Decodes the JSON body.
///
/// # Errors
/// Returns [`DecodeError::Body`] when it cannot be read.
pub async fn message<T: DeserializeOwned>(request: &mut Request) -> Result<T> {
    Ok(read_json(request, &ServerSettings::default()).await?)
}

/// Returns the segments of a path.
pub fn segments(path: &str) -> Vec<&str> {
    path.trim_matches('/').split('/').collect()
}

/// Returns a number from the query, or the default when it is absent.
///
/// # Errors
/// Returns [`DecodeError::Query`] when the parameter is no number.
pub fn query_number(request: &Request, name: &'static str, default: u64) -> Result<u64> {
    let query = request.uri().query().unwrap_or_default();
    let value = query.split('&').find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name));
    let Some((_, value)) = value else {
        return Ok(default);
    };
    value.parse().map_err(|_| DecodeError::Query { name, value: value.to_owned() })
}
