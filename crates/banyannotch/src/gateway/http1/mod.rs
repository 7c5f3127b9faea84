//! Reads and writes HTTP/1.1 messages, and distinguishes late, duplicate, truncated and unframed responses.
//!
//! See "Seams" in `docs/platform.md` for why no HTTP client library is used.

mod body;
mod connection;
mod error;
mod head;
#[cfg(test)]
mod tests;

pub use body::{BodyDecoder, BodyQuota, Decoded, Framing};
pub use connection::{Reader, connect, connect_socket, socket_for, split};
pub use error::{HttpError, Result};
pub use head::{
    Headers, RequestHead, ResponseHead, parse_request, parse_response, write_chunk, write_chunk_size,
};
