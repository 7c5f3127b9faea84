//! Sends bad input to the callers' port while streams are open. Guards against input that affects other
//! callers' streams or stops the entry, and against refusals with the wrong status.

#![expect(
    clippy::expect_used,
    clippy::indexing_slicing,
    reason = "clippy does not take the helpers of an integration test for test code"
)]

mod common;

use std::fmt::Write as _;
use std::time::Duration;

use banyannotch::pipeline::Address;
use banyannotch_standins::caller::Caller;
use banyannotch_standins::harness::{MODEL, TOKEN};
use common::{
    PROMPTS, add_entries, add_replicas, body, check_answer, check_no_violations, read_tokens,
    serialize_tests, start_platform,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Timeout of an answer. Longer than the entry's timeout of 5 s for reading a request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(9);

/// Action of the client after it has sent its bytes.
#[derive(Clone, Copy)]
enum AfterSend {
    Wait,
    CloseWriting,
}

/// Sends bytes and returns the status and the reason of the response, or how the connection ended without a
/// response.
async fn answer(entry: Address, bytes: &[u8], after_send: AfterSend) -> String {
    let mut stream = TcpStream::connect(entry).await.expect("a connection");
    // The entry may refuse and close while the rest is still being sent.
    let sent = stream.write_all(bytes).await;
    if matches!(after_send, AfterSend::CloseWriting) && sent.is_ok() {
        let _ = stream.shutdown().await;
    }
    let mut all = Vec::new();
    let mut buffer = [0; 4_096];
    let read = async {
        while let Ok(count) = stream.read(&mut buffer).await {
            all.extend_from_slice(&buffer[..count]);
            let text = String::from_utf8_lossy(&all);
            let whole =
                text.contains("\r\n\r\n") && (text.ends_with('}') || text.contains("content-length: 0"));
            if count == 0 || whole {
                break;
            }
        }
    };
    if actix_rt::time::timeout(ANSWER_TIMEOUT, read).await.is_err() {
        return "no answer".to_owned();
    }
    let text = String::from_utf8_lossy(&all).into_owned();
    let Some(status) = text.lines().next() else { return "closed without an answer".to_owned() };
    let reason = text.split("\"reason\":\"").nth(1).and_then(|rest| rest.split('"').next());
    format!("{} {}", status.trim_start_matches("HTTP/1.1 "), reason.unwrap_or("without a reason"))
}

fn post(path: &str, token: &str, length: usize, body: &str) -> Vec<u8> {
    format!(
        "POST {path} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {token}\r\n\
         content-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

fn generate(body: &str) -> Vec<u8> {
    post("/v1/generate", TOKEN, body.len(), body)
}

fn call(body: &str) -> Vec<u8> {
    post("/v1/call", TOKEN, body.len(), body)
}

const UNKNOWN_SERVICE: &str = r#"{"service":"x","operation":"o","payload":1,"idempotent":true}"#;

const WITHOUT_KEY: &str = r#"{"service":"desk","operation":"pay","payload":1}"#;

/// Bad inputs: a name, the bytes, and the action after them.
fn inputs() -> Vec<(&'static str, Vec<u8>, AfterSend)> {
    let good = format!("{{\"model\":\"{MODEL}\",\"prompt\":\"p\",\"max_tokens\":2}}");
    let large = format!("{{\"model\":\"{MODEL}\",\"prompt\":\"{}\"}}", "x".repeat(2 << 20));
    let long_head = format!("GET /healthz HTTP/1.1\r\nhost: entry\r\nx: {}\r\n\r\n", "x".repeat(256 << 10));
    let mut not_text = generate(&good);
    if let Some(last) = not_text.iter_mut().rev().nth(20) {
        *last = 0xff;
    }
    vec![
        ("no HTTP", b"\x00\x01\x02 what is this\r\n\r\n".to_vec(), AfterSend::Wait),
        ("TLS hello", b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n".to_vec(), AfterSend::Wait),
        ("long head", long_head.into_bytes(), AfterSend::Wait),
        ("truncated head", b"POST /v1/generate HT".to_vec(), AfterSend::CloseWriting),
        ("slow head", b"POST /v1/generate HTTP/1.1\r\nhost: entry\r\n".to_vec(), AfterSend::Wait),
        ("truncated body", post("/v1/generate", TOKEN, good.len() + 100, &good), AfterSend::CloseWriting),
        ("slow body", post("/v1/generate", TOKEN, good.len() + 100, &good), AfterSend::Wait),
        ("oversized body", generate(&large), AfterSend::Wait),
        (
            "two lengths",
            b"POST /v1/generate HTTP/1.1\r\nhost: e\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\n{}"
                .to_vec(),
            AfterSend::Wait,
        ),
        (
            "bad chunk",
            b"POST /v1/generate HTTP/1.1\r\nhost: e\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n{}".to_vec(),
            AfterSend::Wait,
        ),
        ("not JSON", generate("{\"model\": "), AfterSend::Wait),
        ("deep JSON", generate(&"[".repeat(100_000)), AfterSend::Wait),
        ("not UTF-8", not_text, AfterSend::Wait),
        ("wrong type", generate("{\"model\":7,\"prompt\":\"p\"}"), AfterSend::Wait),
        ("negative number", generate(&good.replace(":2", ":-2")), AfterSend::Wait),
        ("too many tokens", generate(&good.replace(":2", ":4000000000")), AfterSend::Wait),
        ("empty prompt", generate(&good.replace("\"p\"", "\"\"")), AfterSend::Wait),
        ("unknown model", generate(&good.replace(MODEL, "reader")), AfterSend::Wait),
        ("unknown team", post("/v1/generate", "guessed", good.len(), &good), AfterSend::Wait),
        ("unknown service", call(UNKNOWN_SERVICE), AfterSend::Wait),
        ("call without a key", call(WITHOUT_KEY), AfterSend::Wait),
        ("unknown path", post("/v1/step", TOKEN, good.len(), &good), AfterSend::Wait),
        ("operators' path", post("/v1/drain", TOKEN, 2, "{}"), AfterSend::Wait),
        ("wrong method", b"GET /v1/generate HTTP/1.1\r\nhost: entry\r\n\r\n".to_vec(), AfterSend::Wait),
    ]
}

#[test]
fn bad_input_is_refused_without_affecting_other_streams() {
    let _guard = serialize_tests();
    actix_rt::System::new().block_on(async {
        let mut deployment = start_platform(&[]);
        add_replicas(&mut deployment, 1);
        add_entries(&mut deployment, 1, "");
        deployment.make_ready().await.expect("the deployment is ready");
        let entry = deployment.entries[0].callers;
        let caller = Caller::new(TOKEN);
        let mut streams = Vec::new();
        for prompt in PROMPTS {
            let mut stream = caller.generate(entry, &body(prompt, 500)).await.expect("a response");
            let answer = read_tokens(&mut stream, 1).await;
            streams.push(async move {
                let answer = stream.finish(answer).await.expect("the rest of the answer");
                check_answer(&answer, prompt, 500);
            });
        }
        let streams = futures_util::future::join_all(streams);
        let inputs = inputs();
        let answers = inputs.iter().map(|(_, bytes, after_send)| answer(entry, bytes, *after_send));
        let (answers, _) = futures_util::future::join(futures_util::future::join_all(answers), streams).await;
        let mut report = String::new();
        for ((name, ..), answer) in inputs.iter().zip(answers) {
            writeln!(report, "{name}: {answer}").expect("writing to a string cannot fail");
        }
        insta::assert_snapshot!(report);
        let after = caller.generate_whole(entry, &body(PROMPTS[0], 5)).await.expect("an answer");
        check_answer(&after, PROMPTS[0], 5);
        check_no_violations(&deployment).await;
    });
}
