//! HTTP server and client with size limits, timeouts and typed errors, shared by all duties.
//!
//! The sizes and timeouts are specified under "Protocols" in `docs/design.md`.

mod body;
mod client;
mod counted;
mod error;
mod server;
#[cfg(test)]
mod tests;

pub use body::{Body, EventStream, StreamGuard};
pub use client::{Answer, Client, ClientSettings};
pub use counted::{CONNECTION_BYTES, ConnectionMemory};
pub use error::{CallError, InputError, Result};
pub use server::{
    Handler, Request, Response, ServerSettings, closing, empty, events, json, listener_from_std, read_body,
    read_json, read_json_within, serve, serve_within, text,
};
