//! Test doubles that run on loopback in the test's own process: the platform's store, engines that hold
//! layers, plain services, a proxy that injects network faults, and a client that records each response.
//!
//! Faults can be set on each server while it runs.

mod client;
mod endpoint;
mod proxy;
mod store;
#[cfg(test)]
mod tests;

pub use client::{Caller, RecordedResponse, call, stream, stream_of_parts};
pub use endpoint::{Endpoint, FLOOD_EVENTS, Fault, ReportFault, Run, Spoiled};
pub use proxy::{Link, Proxy};
pub use store::{Store, StoreFault};

use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Notify;

use banyannotch::gateway::http1::{BodyDecoder, Reader, RequestHead, split};

/// Maximum size of a message head, and of a request body, in bytes.
const HEAD_AND_BODY_LIMIT_BYTES: usize = 4 << 20;
/// A connection is aborted when sent data stays unacknowledged for this long, in milliseconds.
const TCP_USER_TIMEOUT_MS: u64 = 30_000;
/// Pause between two attempts to listen again on the port of a crashed endpoint.
const REBIND_PAUSE: Duration = Duration::from_millis(10);

/// Binds a listener to an ephemeral loopback port and serves each connection on the current thread.
fn listen<F>(serve: impl Fn(TcpStream) -> F + 'static) -> std::io::Result<SocketAddr>
where
    F: Future<Output = ()> + 'static,
{
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    let listener = banyannotch::http::listener_from_std(listener)?;
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(serve(stream));
        }
    });
    Ok(address)
}

/// Accepts connections on a free port like [`listen`]. After each notification of a crash nothing listens there for a time.
fn listen_between_crashes<F>(
    crashed: Rc<Notify>,
    restart: impl Fn() -> Duration + 'static,
    serve: impl Fn(TcpStream) -> F + 'static,
) -> std::io::Result<SocketAddr>
where
    F: Future<Output = ()> + 'static,
{
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    let mut listener = banyannotch::http::listener_from_std(listener)?;
    actix_rt::spawn(async move {
        loop {
            tokio::select! {
                biased;
                () = crashed.notified() => {
                    drop(listener);
                    actix_rt::time::sleep(restart()).await;
                    listener = loop {
                        match TcpListener::bind(address).and_then(banyannotch::http::listener_from_std) {
                            Ok(listener) => break listener,
                            Err(_) => actix_rt::time::sleep(REBIND_PAUSE).await,
                        }
                    };
                }
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { return };
                    actix_rt::spawn(serve(stream));
                }
            }
        }
    });
    Ok(address)
}

/// Reads one request. Returns `None` when the connection ends, or when the request is malformed or too large.
async fn read_request(reader: &mut Reader) -> Option<(RequestHead, Bytes)> {
    let head = reader.request_head(HEAD_AND_BODY_LIMIT_BYTES).await.ok()?;
    let decoder = BodyDecoder::new(head.framing().ok()?);
    let body = reader.whole_body(decoder, HEAD_AND_BODY_LIMIT_BYTES).await.ok()?;
    Some((head, body))
}

fn split_stream(stream: TcpStream) -> std::io::Result<(Reader, OwnedWriteHalf)> {
    split(stream, TCP_USER_TIMEOUT_MS)
}

/// Encodes a response with a `Content-Length` header.
fn encode_response(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut out =
        format!("HTTP/1.1 {status:03} Any\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    out.extend_from_slice(body);
    out
}

/// A chunk of the chunked transfer coding.
const FILLER_CHUNK: &[u8] = b"10\r\nxxxxxxxxxxxxxxxx\r\n";

/// Writes the same bytes until the client closes the connection.
async fn write_without_end(head: &[u8], filler: &[u8], writer: &mut OwnedWriteHalf) -> bool {
    /// Number of times that the bytes are repeated in one write.
    const REPETITIONS: usize = 256;
    let filler = filler.repeat(REPETITIONS);
    if writer.write_all(head).await.is_err() {
        return false;
    }
    while writer.write_all(&filler).await.is_ok() {}
    false
}
