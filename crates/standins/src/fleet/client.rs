//! An HTTP client that records exactly what it receives.

use std::net::SocketAddr;
use std::time::Duration;

use banyannotch::gateway::http1::{BodyDecoder, Reader, connect};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;

use super::HEAD_AND_BODY_LIMIT_BYTES;

/// Timeout of a whole exchange, including the connection.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(20);
/// `Deadline-Ms` of the requests of a [`Caller`], in milliseconds.
const CALLER_DEADLINE_MS: u64 = 4_000;
/// Timeout for connecting, and for the peer to acknowledge sent data, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 5_000;

/// The response to a request, as far as it arrived.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RecordedResponse {
    /// HTTP status; `None` if no response head arrived.
    pub status: Option<u16>,
    /// Value of the `Server-Signature` header, which the endpoint sets.
    pub signature: Option<String>,
    /// Whether the body arrived completely, according to its framing.
    pub complete: bool,
    /// The part of the body that arrived.
    pub body: String,
    /// Value of the `Retry-After` header.
    pub retry_after: Option<String>,
    /// Whether the connection closes after this response.
    pub close: bool,
}

impl RecordedResponse {
    /// Returns the ids of the events in the body.
    pub fn events(&self) -> Vec<u64> {
        self.body.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
    }
}

/// Sends one request, with a deadline of 3 s, on a new connection.
pub async fn call(address: SocketAddr, id: &str, path: &str, key: &str, body: &str) -> RecordedResponse {
    send(address, id, path, key, body, ("", 3_000)).await
}

/// Requests a stream, with a deadline of 8 s, on a new connection.
pub async fn stream(address: SocketAddr, id: &str, key: &str) -> RecordedResponse {
    send(address, id, "/write/x", key, "prompt", ("", 8_000)).await
}

/// Requests a stream for a prompt of the given parts, which are entries of an id and a number of tokens.
pub async fn stream_of_parts(address: SocketAddr, id: &str, key: &str, parts: &str) -> RecordedResponse {
    send(address, id, "/write/x", key, parts, (&format!("Prefix-Hash: {parts}\r\n"), 8_000)).await
}

/// A client that reuses its connection for the next request, unless the last response was incomplete or
/// announced that the connection closes.
#[derive(Default)]
pub struct Caller(Option<(Reader, OwnedWriteHalf)>);

impl Caller {
    /// Sends a request on the open connection, or on a new one to the given address.
    pub async fn send(&mut self, address: SocketAddr, id: &str, path: &str, key: &str) -> RecordedResponse {
        let exchange = async {
            let reused = self.0.take();
            let connection = match reused {
                Some(reused) => Ok(reused),
                None => connect(address, CONNECT_TIMEOUT_MS, CONNECT_TIMEOUT_MS).await,
            };
            let Ok((mut reader, mut writer)) = connection else { return RecordedResponse::default() };
            let response =
                exchange(&mut reader, &mut writer, id, path, key, "body", ("", CALLER_DEADLINE_MS)).await;
            if response.complete && !response.close {
                self.0 = Some((reader, writer));
            }
            response
        };
        actix_rt::time::timeout(EXCHANGE_TIMEOUT, exchange).await.unwrap_or_default()
    }
}

async fn send(
    address: SocketAddr,
    id: &str,
    path: &str,
    key: &str,
    body: &str,
    (headers, deadline_ms): (&str, u64),
) -> RecordedResponse {
    let once = async {
        let Ok((mut reader, mut writer)) = connect(address, CONNECT_TIMEOUT_MS, CONNECT_TIMEOUT_MS).await
        else {
            return RecordedResponse::default();
        };
        exchange(&mut reader, &mut writer, id, path, key, body, (headers, deadline_ms)).await
    };
    actix_rt::time::timeout(EXCHANGE_TIMEOUT, once).await.unwrap_or_default()
}

async fn exchange(
    reader: &mut Reader,
    writer: &mut OwnedWriteHalf,
    id: &str,
    path: &str,
    key: &str,
    body: &str,
    (headers, deadline_ms): (&str, u64),
) -> RecordedResponse {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\nKey: {key}\r\nTenant: forged\r\n{headers}\
             Deadline-Ms: {deadline_ms}\r\nToken-Usage: 10,20\r\nLength-Hint: 5\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    if writer.write_all(head.as_bytes()).await.is_err() {
        return RecordedResponse::default();
    }
    receive(reader).await
}

async fn receive(reader: &mut Reader) -> RecordedResponse {
    let Ok(head) = reader.response_head(HEAD_AND_BODY_LIMIT_BYTES).await else {
        return RecordedResponse::default();
    };
    let header = |name: &str| head.headers.get(name).map(str::to_owned);
    let mut response = RecordedResponse {
        status: Some(head.status),
        signature: header("Server-Signature"),
        retry_after: header("Retry-After"),
        close: !head.keeps_alive(),
        ..RecordedResponse::default()
    };
    let Ok(framing) = head.framing() else { return response };
    let mut decoder = BodyDecoder::new(framing);
    loop {
        match reader.body(&mut decoder).await {
            Ok(Some(data)) => response.body.push_str(&String::from_utf8_lossy(&data)),
            Ok(None) => {
                response.complete = true;
                return response;
            }
            Err(_) => return response,
        }
    }
}
