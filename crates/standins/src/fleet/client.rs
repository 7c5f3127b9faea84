//! A caller that notes exactly what it gets.

use std::net::SocketAddr;
use std::time::Duration;

use banyannotch::gateway::http1::{BodyDecoder, Reader, connect};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;

use super::LIMIT_BYTES;

/// Longest time that a caller of the tests waits.
const LIMIT: Duration = Duration::from_secs(20);
/// How long a caller that keeps its connection waits for an answer, in milliseconds.
const KEPT_DEADLINE_MS: u64 = 4_000;
/// Longest time for a connection, and for its peer to acknowledge data, in milliseconds.
const CONNECT_LIMIT_MS: u64 = 5_000;

/// What a caller got.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Got {
    /// Status; none if there was no answer.
    pub status: Option<u16>,
    /// Signature of the endpoint.
    pub signature: Option<String>,
    /// Whether the body is whole.
    pub whole: bool,
    /// Body.
    pub body: String,
    /// When to come again, as the answer says.
    pub retry_after: Option<String>,
    /// Whether the answer ends the connection.
    pub close: bool,
}

impl Got {
    /// Returns the ids of the events in the body.
    pub fn events(&self) -> Vec<u64> {
        self.body.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
    }
}

/// Sends one request on a new connection.
pub async fn call(address: SocketAddr, id: &str, path: &str, key: &str, body: &str) -> Got {
    send(address, id, path, key, body, 3_000).await
}

/// Asks for a stream on a new connection.
pub async fn stream(address: SocketAddr, id: &str, key: &str) -> Got {
    send(address, id, "/write/x", key, "prompt", 8_000).await
}

/// A caller that keeps its connection for its next request, as long as both sides do.
#[derive(Default)]
pub struct Caller(Option<(Reader, OwnedWriteHalf)>);

impl Caller {
    /// Sends a request on the kept connection, or on a new one to the given address.
    pub async fn send(&mut self, address: SocketAddr, id: &str, path: &str, key: &str) -> Got {
        let exchange = async {
            let kept = self.0.take();
            let opened = match kept {
                Some(kept) => Ok(kept),
                None => connect(address, CONNECT_LIMIT_MS, CONNECT_LIMIT_MS).await,
            };
            let Ok((mut reader, mut writer)) = opened else { return Got::default() };
            let got = exchange(&mut reader, &mut writer, id, path, key, "body", KEPT_DEADLINE_MS).await;
            if got.whole && !got.close {
                self.0 = Some((reader, writer));
            }
            got
        };
        actix_rt::time::timeout(LIMIT, exchange).await.unwrap_or_default()
    }
}

async fn send(address: SocketAddr, id: &str, path: &str, key: &str, body: &str, deadline_ms: u64) -> Got {
    let once = async {
        let Ok((mut reader, mut writer)) = connect(address, CONNECT_LIMIT_MS, CONNECT_LIMIT_MS).await else {
            return Got::default();
        };
        exchange(&mut reader, &mut writer, id, path, key, body, deadline_ms).await
    };
    actix_rt::time::timeout(LIMIT, once).await.unwrap_or_default()
}

async fn exchange(
    reader: &mut Reader,
    writer: &mut OwnedWriteHalf,
    id: &str,
    path: &str,
    key: &str,
    body: &str,
    deadline_ms: u64,
) -> Got {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\nKey: {key}\r\nTenant: forged\r\n\
             Deadline-Ms: {deadline_ms}\r\nToken-Usage: 10,20\r\nLength-Hint: 5\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    if writer.write_all(head.as_bytes()).await.is_err() {
        return Got::default();
    }
    receive(reader).await
}

async fn receive(reader: &mut Reader) -> Got {
    let Ok(head) = reader.response_head(LIMIT_BYTES).await else { return Got::default() };
    let header = |name: &str| head.headers.get(name).map(str::to_owned);
    let mut got = Got {
        status: Some(head.status),
        signature: header("Server-Signature"),
        retry_after: header("Retry-After"),
        close: !head.keeps_alive(),
        ..Got::default()
    };
    let Ok(framing) = head.framing() else { return got };
    let mut decoder = BodyDecoder::new(framing);
    loop {
        match reader.body(&mut decoder).await {
            Ok(Some(data)) => got.body.push_str(&String::from_utf8_lossy(&data)),
            Ok(None) => {
                got.whole = true;
                return got;
            }
            Err(_) => return got,
        }
    }
}
