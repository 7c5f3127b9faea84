//! The users' platform on loopback, in the test's own process: its store, engines that hold layers, plain services, and
//! a client that checks what it gets. Faults are set on each of them.

mod client;
mod endpoint;
mod proxy;
mod store;
#[cfg(test)]
mod tests;

pub use client::{Caller, Got, call, stream};
pub use endpoint::{Endpoint, Fault, Run};
pub use proxy::{Link, Proxy};
pub use store::{Store, StoreFault};

use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use bytes::Bytes;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;

use banyannotch::gateway::http1::{BodyDecoder, Reader, RequestHead, split};

/// Largest head and body that the stand-ins read, in bytes.
const LIMIT_BYTES: usize = 4 << 20;
/// A connection whose peer acknowledges nothing for this long is given up, in milliseconds.
const SILENCE_LIMIT_MS: u64 = 30_000;

/// Opens a listener on a port of the kernel's choice and serves each connection on the current thread.
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

/// Reads one request, or nothing when the connection has ended.
async fn read_request(reader: &mut Reader) -> Option<(RequestHead, Bytes)> {
    let head = reader.request_head(LIMIT_BYTES).await.ok()?;
    let decoder = BodyDecoder::new(head.framing().ok()?);
    let body = reader.whole_body(decoder, LIMIT_BYTES).await.ok()?;
    Some((head, body))
}

fn halves(stream: TcpStream) -> std::io::Result<(Reader, OwnedWriteHalf)> {
    split(stream, SILENCE_LIMIT_MS)
}

/// Returns an answer with a length.
fn answer(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut out =
        format!("HTTP/1.1 {status} Any\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    out.extend_from_slice(body);
    out
}
