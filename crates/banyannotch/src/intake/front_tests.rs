//! Guards against callers that make an entry hold any number of unfinished bodies.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::front::{CallerHandler, FrontEnd};
use crate::caller_memory::{AccountSettings, CallerMemory};
use crate::clock::SystemClock;
use crate::duty::Mailbox;
use crate::http::{ServerSettings, serve_within};
use crate::ring::Doorbell;

const MIB: usize = 1 << 20;
const LIMIT_BYTES: usize = 4 * MIB;
/// Time after which no more of a response is expected.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

async fn listen(memory: &Rc<CallerMemory>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let settings = ServerSettings { read_timeout_ms: 60_000, ..ServerSettings::default() };
    let handler = CallerHandler {
        front_end: Rc::new(FrontEnd::new(Mailbox::new(&Doorbell::default()), 1)),
        settings,
        clock: SystemClock::start(),
    };
    actix_rt::spawn(serve_within(listener, settings, Rc::clone(memory), handler));
    address
}

fn head(length: usize) -> String {
    format!("POST /v1/generate HTTP/1.1\r\nhost: entry\r\ncontent-length: {length}\r\n\r\n")
}

async fn read(stream: &mut TcpStream) -> String {
    let mut response = vec![0; 4_096];
    let size = actix_rt::time::timeout(READ_TIMEOUT, stream.read(&mut response)).await;
    response.truncate(size.map_or(0, Result::unwrap_or_default));
    String::from_utf8_lossy(&response).into_owned()
}

/// An entry took the whole of each body, for as many callers as there were connections.
#[test]
fn unfinished_bodies_stay_within_the_memory_of_all_callers() {
    const CLIENTS: usize = 16;
    actix_rt::System::new().block_on(async {
        let limits = AccountSettings {
            limit_bytes: LIMIT_BYTES,
            reserved_bytes: LIMIT_BYTES / 4,
            ..AccountSettings::default()
        };
        let memory = CallerMemory::new(limits, "callers");
        let address = listen(&memory).await;
        let mut streams = Vec::new();
        for _ in 0..CLIENTS {
            let mut stream = TcpStream::connect(address).await.expect("a connection");
            let bytes = [head(MIB).into_bytes(), vec![b'x'; MIB - 1]].concat();
            // A connection whose request is refused is closed before all of it is read.
            drop(actix_rt::time::timeout(READ_TIMEOUT, stream.write_all(&bytes)).await);
            assert!(memory.held_bytes() <= LIMIT_BYTES, "{} bytes", memory.held_bytes());
            streams.push(stream);
        }
        let mut refused = Vec::new();
        for stream in &mut streams {
            let response = read(stream).await;
            if !response.is_empty() {
                refused.push(response);
            }
        }
        assert!(refused.len() >= CLIENTS / 2, "{} of {CLIENTS} were refused", refused.len());
        for response in &refused {
            let is_refusal = response.starts_with("HTTP/1.1 503 ") && response.contains("retry-after: 1\r\n");
            assert!(is_refusal && response.contains("\"outcome\":\"not_run\""), "{response}");
        }
        let mut ordinary = TcpStream::connect(address).await.expect("a connection");
        ordinary.write_all(format!("{}{{}}", head(2)).as_bytes()).await.expect("the request is written");
        let response = read(&mut ordinary).await;
        assert!(response.starts_with("HTTP/1.1 400 "), "{response}");
    });
}
