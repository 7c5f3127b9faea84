//! Guards against bodies without a size limit or timeout, undetected truncation, and an error after sending that is
//! reported as "not sent".

use std::net::SocketAddr;

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::{
    CallError, Client, ClientSettings, Handler, Request, Response, ServerSettings, read_json, serve,
};

#[derive(Clone)]
struct Echo(ServerSettings);

impl Handler for Echo {
    async fn handle(&self, mut request: Request) -> Response {
        match read_json::<Value>(&mut request, &self.0).await {
            Ok(value) => super::json(200, &value),
            Err(error) => super::json(error.status(), &json!({ "error": error.to_string() })),
        }
    }
}

fn small_limits() -> ServerSettings {
    ServerSettings { read_timeout_ms: 200, body_limit_bytes: 64, ..ServerSettings::default() }
}

async fn listen() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(serve(listener, small_limits(), Echo(small_limits())));
    address
}

async fn send_raw(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(request.as_bytes()).await.expect("the request is written");
    let mut answer = Vec::new();
    // The server may reset the connection after its answer; only the bytes before are compared.
    let _ = stream.read_to_end(&mut answer).await;
    let answer = String::from_utf8_lossy(&answer).into_owned();
    answer.lines().filter(|line| !line.starts_with("date")).collect::<Vec<_>>().join("\n")
}

#[test]
fn invalid_bodies_get_typed_error_responses() {
    actix_rt::System::new().block_on(async {
        let address = listen().await;
        let cases = [
            (
                "malformed",
                "POST / HTTP/1.1\r\nhost: entry\r\nconnection: close\r\ncontent-length: 3\r\n\r\n{a}"
                    .to_owned(),
            ),
            (
                "oversized",
                format!(
                    "POST / HTTP/1.1\r\nhost: entry\r\nconnection: close\r\ncontent-length: 70\r\n\r\n{}",
                    "1".repeat(70)
                ),
            ),
            (
                "slow",
                "POST / HTTP/1.1\r\nhost: entry\r\nconnection: close\r\ncontent-length: 9\r\n\r\n{"
                    .to_owned(),
            ),
            ("no http", "hello\r\n\r\n".to_owned()),
        ];
        let mut report = String::new();
        for (name, request) in cases {
            report.push_str(&format!("## {name}\n{}\n", send_raw(address, &request).await));
        }
        insta::assert_snapshot!(report);
    });
}

#[test]
fn call_errors_show_whether_the_request_was_sent() {
    actix_rt::System::new().block_on(async {
        let client = Client::new(ClientSettings::default());
        let answer = client.post(listen().await, "/", &json!({"a": 1}), 1_000).await.expect("an answer");
        assert_eq!((answer.status, answer.json::<Value>().expect("JSON")), (200, json!({"a": 1})));

        let unused = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = unused.local_addr().expect("an address");
        drop(unused);
        let refused = client.post(address, "/", &json!({}), 1_000).await;
        assert!(matches!(refused, Err(CallError::NotSent(_))), "expected NotSent: {refused:?}");

        let silent = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = silent.local_addr().expect("an address");
        let timed_out = client.post(address, "/", &json!({}), 100).await;
        assert_eq!(timed_out, Err(CallError::TimedOut { limit_ms: 100 }));

        actix_rt::spawn(async move {
            while let Ok((mut stream, _)) = silent.accept().await {
                let mut buffer = [0; 16];
                let _ = stream.read(&mut buffer).await;
            }
        });
        let broken = client.post(address, "/", &json!({}), 1_000).await;
        assert!(matches!(broken, Err(CallError::Broken(_))), "expected Broken: {broken:?}");
    });
}

/// Answers the requests of each connection in turn with the given bytes. Those after a `|` are written when the next request
/// has arrived.
async fn listen_with(answers: &'static [&'static str]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            actix_rt::spawn(async move {
                let mut buffer = [0; 1_024];
                let mut late = "";
                for answer in answers {
                    if !matches!(stream.read(&mut buffer).await, Ok(1..)) {
                        return;
                    }
                    let (early, rest) = answer.split_once('|').unwrap_or((answer, ""));
                    if stream.write_all(format!("{late}{early}").as_bytes()).await.is_err() {
                        return;
                    }
                    late = rest;
                }
            });
        }
    });
    address
}

/// A status that no final response has was taken for an answer: an order to which an engine answered 103 or 600 counted as
/// refused.
#[test]
fn a_response_without_a_final_status_is_no_answer() {
    const RESPONSES: [&[&str]; 12] = [
        &["HTTP/1.1 000 Any\r\nContent-Length: 2\r\n\r\n{}"],
        &["HTTP/1.1 099 Any\r\nContent-Length: 2\r\n\r\n{}"],
        &["HTTP/1.1 20 Any\r\nContent-Length: 2\r\n\r\n{}"],
        &["HTTP/1.1 2 Any\r\nContent-Length: 2\r\n\r\n{}"],
        &["HTTP/1.1 1000 Any\r\nContent-Length: 2\r\n\r\n{}"],
        &["HTTP/1.1 abc Any\r\nContent-Length: 2\r\n\r\n{}"],
        &["HTTP/1.1 +200 Any\r\nContent-Length: 2\r\n\r\n{}"],
        &["HTTP/1.1 600 Any\r\nContent-Length: 2\r\n\r\n{}"],
        &["HTTP/1.1 999 Any\r\nContent-Length: 2\r\n\r\n{}"],
        &["HTTP/1.1 100 Any\r\n\r\n"],
        &["HTTP/1.1 101 Any\r\n\r\n"],
        &["HTTP/1.1 103 Any\r\n\r\n"],
    ];
    actix_rt::System::new().block_on(async {
        let client = Client::new(ClientSettings::default());
        let mut accepted = Vec::new();
        for responses in RESPONSES {
            let answer = client.post(listen_with(responses).await, "/", &json!({}), 1_000).await;
            if !matches!(answer, Err(CallError::BadAnswer(_) | CallError::Broken(_))) {
                accepted.push((responses, answer));
            }
        }
        assert!(accepted.is_empty(), "{accepted:#?}");
    });
}

/// The final response that follows an interim one is not taken for that to the next request on the same connection.
#[test]
fn a_response_after_an_interim_one_does_not_answer_the_next_request() {
    const RESPONSES: &[&str] = &[
        "HTTP/1.1 103 Any\r\n\r\n|HTTP/1.1 200 Any\r\nContent-Length: 1\r\n\r\n1",
        "HTTP/1.1 200 Any\r\nContent-Length: 1\r\n\r\n2",
    ];
    actix_rt::System::new().block_on(async {
        let client = Client::new(ClientSettings::default());
        let address = listen_with(RESPONSES).await;
        let mut bodies = Vec::new();
        for _ in 0..2 {
            let answer = client.post(address, "/", &json!({}), 1_000).await;
            bodies.extend(answer.ok().map(|answer| (answer.status, answer.body)));
        }
        assert!(
            bodies.is_empty(),
            "the response to the first request was taken for one to the second: {bodies:?}"
        );
    });
}
