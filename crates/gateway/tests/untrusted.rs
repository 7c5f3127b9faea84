//! Guards against callers that make the process run out of memory or file descriptors. Such a process was terminated by its
//! machine, with all the requests that it served.
//!
//! Each test starts a gateway with lowered limits and lets a fixed number of clients misbehave. The loads and the bounds
//! were chosen before the gateway limited what it holds for callers, and are not adapted to it.
#![allow(
    clippy::expect_used,
    clippy::indexing_slicing,
    clippy::panic,
    reason = "a failure here fails the test"
)]

#[allow(dead_code, reason = "each test file uses a part of it")]
mod common;

use std::net::SocketAddr;
use std::time::Duration;

use banyannotch_standins::fleet::Fault;
use banyannotch_standins::harness::wait_until;
use common::{Fleet, Gateway, LIMIT, configuration};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Mutex;

/// Only one of the tests runs at a time, because each of them moves many megabytes.
static SERIAL: Mutex<()> = Mutex::const_new(());

const KB: usize = 1 << 10;
const MB: usize = 1 << 20;

/// `memory_mb` of the settings.
const MEMORY_MB: u64 = 48;
/// Part of the machine's memory that callers can make a gateway hold.
const CALLERS_SHARE: u64 = 4;
/// Memory of the process without callers, in kilobytes, with a margin for what its allocator and its threads keep. A debug
/// build that serves single requests takes about 10,000 kB.
const IDLE_ALLOWANCE_KB: u64 = 20_000;
/// Maximum resident memory of the process at any time.
const RESIDENT_LIMIT_KB: u64 = MEMORY_MB * 1_024 / CALLERS_SHARE + IDLE_ALLOWANCE_KB;

/// `descriptors` of the settings, which open files and connections together must not exceed.
const DESCRIPTORS: usize = 1_024;

/// Limits of the configuration: a body of a request, its head, and the time in which each must arrive, which is longer than
/// a test takes.
const BODY_LIMIT_BYTES: usize = 4 * MB;
const HEAD_LIMIT_BYTES: usize = 64 * KB;
const READ_TIMEOUT_MS: u64 = 60_000;

/// Requests that an endpoint accepts at a time, more than there are clients.
const SLOTS: usize = 1_000;

/// Time without progress after which a client stops waiting until the gateway reads on.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which the clients keep their connections open after the last write, so that the gateway has read all bytes that
/// it reads.
const HOLD: Duration = Duration::from_millis(700);

/// Maximum number of seconds for which the memory of the process may grow after the last write.
const SETTLE_LIMIT_S: u32 = 30;

/// A gateway with lowered limits, whose endpoints accept as many requests as the clients send.
struct Scene {
    fleet: Fleet,
    gateway: Gateway,
}

impl Scene {
    async fn start() -> Self {
        let mut fleet = Fleet::start();
        fleet.store.put_configuration(&generous_configuration());
        let memory_mb = MEMORY_MB.to_string();
        let descriptors = DESCRIPTORS.to_string();
        let settings = [("memory_mb", memory_mb.as_str()), ("descriptors", descriptors.as_str())];
        let gateway = Gateway::start(fleet.store.address, &settings);
        fleet.wait_placed().await;
        for (number, engine) in fleet.engines.iter().enumerate() {
            let entry = with_slots(engine.entry("model", Some("fast"), "ready"));
            fleet.store.put_endpoint(&format!("engine-{}", number + 1), Some(&entry));
        }
        for (number, replica) in fleet.replicas.iter().enumerate() {
            let entry = with_slots(replica.entry("desk", None, "ready"));
            fleet.store.put_endpoint(&format!("desk-{}", number + 1), Some(&entry));
        }
        gateway.wait_ready().await;
        gateway.first_stream().await;
        println!("before the clients: {} kB", gateway.peak_memory_kb());
        Self { fleet, gateway }
    }

    /// Waits until the process has read what the kernel holds of the clients' bytes, as far as its memory shows.
    async fn settle(&self) {
        let mut earlier_kb = 0;
        for _ in 0..SETTLE_LIMIT_S {
            let peak_kb = self.gateway.peak_memory_kb();
            if peak_kb == earlier_kb {
                return;
            }
            earlier_kb = peak_kb;
            actix_rt::time::sleep(Duration::from_secs(1)).await;
        }
    }

    /// Checks that the process is alive within its bounds and answers an ordinary request.
    async fn check(&mut self, case: &str) {
        self.settle().await;
        let open_files = std::fs::read_dir(format!("/proc/{}/fd", self.gateway.child.id()));
        let open_files = open_files.expect("the process runs").count();
        let peak_kb = self.gateway.peak_memory_kb();
        println!("{case}: {peak_kb} kB of {RESIDENT_LIMIT_KB}, {open_files} descriptors of {DESCRIPTORS}");
        let mut last = None;
        let answered = wait_until(LIMIT, async || {
            let got = self.gateway.call("after", "/call/x").await;
            let is_answered = got.body == "answer of after";
            last = Some(got);
            is_answered
        });
        let is_answered = answered.await.is_ok();
        assert!(is_answered, "{case}: no ordinary request was answered, the last response was {last:?}");
        assert!(matches!(self.gateway.child.try_wait(), Ok(None)), "{case}: the process has ended");
        assert!(peak_kb <= RESIDENT_LIMIT_KB, "{case}: the gateway used {peak_kb} of {RESIDENT_LIMIT_KB} kB");
        assert!(open_files <= DESCRIPTORS, "{case}: {open_files} of {DESCRIPTORS} descriptors are open");
    }
}

fn with_slots(mut entry: Value) -> Value {
    entry["slots"] = json!(SLOTS);
    entry
}

/// Returns a configuration whose limits neither end the requests of the clients nor keep them from the endpoints.
fn generous_configuration() -> Value {
    let mut document = configuration(2, &["secret"]);
    document["limits"] = json!({
        "max_header_bytes": HEAD_LIMIT_BYTES, "max_body_bytes": BODY_LIMIT_BYTES,
        "header_timeout_ms": READ_TIMEOUT_MS, "idle_timeout_ms": 60_000
    });
    for route in document["routes"].as_array_mut().expect("the configuration has routes") {
        route["timeout_ms"] = json!(60_000);
    }
    for service in document["services"].as_array_mut().expect("the configuration has services") {
        service["max_connections"] = json!(SLOTS);
        if let Some(engine) = service.get_mut("engine_type") {
            engine["slots"] = json!(SLOTS);
        }
    }
    document
}

/// Returns a request head without its last line, for the given path.
fn head(path: &str, id: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\nKey: secret\r\nDeadline-Ms: 60000\r\n\
         Token-Usage: 10,20\r\nLength-Hint: 5\r\n"
    )
}

/// Returns the beginning of a request with a chunked body of the given size, whose last chunk is missing.
fn unfinished_body(id: &str, size_bytes: usize, chunk_bytes: usize) -> Vec<u8> {
    let mut out = format!("{}Transfer-Encoding: chunked\r\n\r\n", head("/call/x", id)).into_bytes();
    out.extend(chunks(size_bytes, chunk_bytes));
    out
}

fn chunks(size_bytes: usize, chunk_bytes: usize) -> Vec<u8> {
    let mut chunk = format!("{chunk_bytes:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + chunk_bytes, b'x');
    chunk.extend_from_slice(b"\r\n");
    chunk.repeat(size_bytes / chunk_bytes)
}

/// Connects with a receive buffer that holds little of a response that is not read.
async fn connect(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket is created");
    socket.set_recv_buffer_size(4_096).expect("the size of the buffer is set");
    socket.connect(address).await.expect("the gateway accepts connections")
}

/// Writes the bytes as far as the gateway reads them.
async fn write_as_far_as_read(stream: &mut TcpStream, bytes: &[u8]) {
    for piece in bytes.chunks(64 * KB) {
        // The gateway may close the connection or stop to read from it.
        if !matches!(actix_rt::time::timeout(WRITE_TIMEOUT, stream.write_all(piece)).await, Ok(Ok(()))) {
            return;
        }
    }
}

/// Opens a connection for each client at the same time and writes what `parts` returns for the client, one part after all
/// clients have written the one before. Returns the connections, on which nothing was read.
async fn send_parts<P>(callers: SocketAddr, clients: usize, part_count: usize, parts: P) -> Vec<TcpStream>
where
    P: Fn(usize, usize) -> Vec<u8> + Clone + 'static,
{
    let mut streams = Vec::new();
    for _ in 0..clients {
        streams.push(connect(callers).await);
    }
    for part in 0..part_count {
        let writes: Vec<_> = streams
            .into_iter()
            .enumerate()
            .map(|(client, mut stream)| {
                let bytes = parts(client, part);
                actix_rt::spawn(async move {
                    write_as_far_as_read(&mut stream, &bytes).await;
                    stream
                })
            })
            .collect();
        streams = Vec::new();
        for write in writes {
            streams.push(write.await.expect("the task ends"));
        }
        actix_rt::time::sleep(HOLD).await;
    }
    streams
}

/// Many bodies that stop just short of their end took all the memory.
#[actix_rt::test]
async fn unfinished_bodies_in_large_chunks_stay_within_the_memory() {
    let _serial = SERIAL.lock().await;
    let mut scene = Scene::start().await;
    let body = |client, _| unfinished_body(&format!("large-{client}"), 3_900 * KB, 64 * KB);
    let open = send_parts(scene.gateway.callers, 40, 1, body).await;
    scene.check("large chunks").await;
    drop(open);
}

/// Each byte of such a body can cost more memory than one byte.
#[actix_rt::test]
async fn unfinished_bodies_in_chunks_of_one_byte_stay_within_the_memory() {
    let _serial = SERIAL.lock().await;
    let mut scene = Scene::start().await;
    let body = |client, _| unfinished_body(&format!("tiny-{client}"), 1_600 * KB, 1);
    let open = send_parts(scene.gateway.callers, 24, 1, body).await;
    scene.check("chunks of one byte").await;
    drop(open);
}

/// A body far over the limit is held up to the limit, however much of it is still to come.
#[actix_rt::test]
async fn bodies_over_the_limit_without_a_length_stay_within_the_memory() {
    let _serial = SERIAL.lock().await;
    let mut scene = Scene::start().await;
    let part = |client, part| match part {
        0 => unfinished_body(&format!("endless-{client}"), 3_900 * KB, 64 * KB),
        _ => chunks(16 * MB, 64 * KB),
    };
    let open = send_parts(scene.gateway.callers, 24, 2, part).await;
    scene.check("bodies over the limit").await;
    drop(open);
}

/// A body whose announced length is far over the limit needs no memory at all.
#[actix_rt::test]
async fn announced_bodies_over_the_limit_stay_within_the_memory() {
    let _serial = SERIAL.lock().await;
    let mut scene = Scene::start().await;
    let part = |client, part| {
        let head = format!("{}Content-Length: {}\r\n\r\n", head("/call/x", &format!("a-{client}")), 64 * MB);
        let (head, size_bytes) = if part == 0 { (head, 3_900 * KB) } else { (String::new(), 16 * MB) };
        [head.into_bytes(), vec![b'x'; size_bytes]].concat()
    };
    let open = send_parts(scene.gateway.callers, 24, 2, part).await;
    scene.check("announced bodies over the limit").await;
    drop(open);
}

/// Heads that never end are held as far as they have arrived.
#[actix_rt::test]
async fn unfinished_heads_stay_within_the_memory() {
    let _serial = SERIAL.lock().await;
    let mut scene = Scene::start().await;
    let part = |client, _| {
        let filler = "x".repeat(HEAD_LIMIT_BYTES - 2 * KB);
        format!("{}X-Filler: {filler}", head("/call/x", &format!("head-{client}"))).into_bytes()
    };
    let open = send_parts(scene.gateway.callers, 500, 1, part).await;
    scene.check("unfinished heads").await;
    drop(open);
}

/// Connections without requests use descriptors that the gateway needs for its endpoints, the other gateways and the store.
#[actix_rt::test]
async fn idle_connections_leave_descriptors_for_everything_else() {
    let _serial = SERIAL.lock().await;
    let mut scene = Scene::start().await;
    let open = send_parts(scene.gateway.callers, 3_000, 1, |_, _| Vec::new()).await;
    scene.check("idle connections").await;
    drop(open);
}

/// Requests behind one that an endpoint works on are read ahead, and many callers can send them.
#[actix_rt::test]
async fn pipelined_requests_stay_within_the_memory() {
    let _serial = SERIAL.lock().await;
    let mut scene = Scene::start().await;
    for replica in &scene.fleet.replicas {
        replica.set_fault(Fault::Hang, usize::MAX);
    }
    let part = |client, _| {
        let first = format!("{}Content-Length: 4\r\n\r\nbody", head("/call/x", &format!("pipe-{client}")));
        [first.into_bytes(), unfinished_body(&format!("behind-{client}"), 256 * KB, 16 * KB)].concat()
    };
    let open = send_parts(scene.gateway.callers, 400, 1, part).await;
    for replica in &scene.fleet.replicas {
        replica.set_fault(Fault::None, 0);
    }
    scene.check("pipelined requests").await;
    drop(open);
}

/// A response is held until its caller has read it.
#[actix_rt::test]
async fn responses_that_are_not_read_stay_within_the_memory() {
    let _serial = SERIAL.lock().await;
    let mut scene = Scene::start().await;
    for replica in &scene.fleet.replicas {
        replica.set_fault(Fault::LargeBody(BODY_LIMIT_BYTES), usize::MAX);
    }
    let part = |client, _| {
        format!("{}Content-Length: 4\r\n\r\nbody", head("/call/x", &format!("unread-{client}"))).into_bytes()
    };
    let open = send_parts(scene.gateway.callers, 40, 1, part).await;
    for replica in &scene.fleet.replicas {
        replica.set_fault(Fault::None, 0);
    }
    scene.check("responses that are not read").await;
    drop(open);
}

/// The events of a stream are held until its caller has read them.
#[actix_rt::test]
async fn streams_that_are_not_read_stay_within_the_memory() {
    let _serial = SERIAL.lock().await;
    let mut scene = Scene::start().await;
    for engine in &scene.fleet.engines {
        engine.set_fault(Fault::Flood, usize::MAX);
    }
    let part = |client, _| {
        format!("{}Content-Length: 6\r\n\r\nprompt", head("/write/x", &format!("stream-{client}")))
            .into_bytes()
    };
    let open = send_parts(scene.gateway.callers, 150, 1, part).await;
    actix_rt::time::sleep(2 * HOLD).await;
    for engine in &scene.fleet.engines {
        engine.set_fault(Fault::None, 0);
    }
    scene.check("streams that are not read").await;
    drop(open);
}

/// Reads what the gateway sends until it closes the connection or sends nothing more.
async fn read_response(stream: &mut TcpStream) -> String {
    let mut response = Vec::new();
    // Without an end of the connection, what has arrived is the response.
    drop(actix_rt::time::timeout(WRITE_TIMEOUT, stream.read_to_end(&mut response)).await);
    String::from_utf8_lossy(&response).into_owned()
}

/// A caller repeats a request that was refused with 503, so that it must not have run. It needs the response for that, which
/// a reset of the connection would discard.
#[actix_rt::test]
async fn a_request_without_memory_gets_its_refusal_and_has_not_run() {
    const CLIENTS: usize = 20;
    let _serial = SERIAL.lock().await;
    let mut scene = Scene::start().await;
    let body = |client, _| unfinished_body(&format!("refused-{client}"), 2 * MB, 64 * KB);
    let mut open = send_parts(scene.gateway.callers, CLIENTS, 1, body).await;
    let mut refused = Vec::new();
    for stream in &mut open {
        let response = read_response(stream).await;
        if !response.is_empty() {
            refused.push(response);
        }
    }
    // The account has room for fewer than half of the clients.
    assert!(refused.len() >= CLIENTS / 2, "{} of {CLIENTS} were refused", refused.len());
    for response in &refused {
        let is_refusal = response.starts_with("HTTP/1.1 503 ") && response.contains("\r\nretry-after: ");
        assert!(is_refusal && response.contains("\r\nconnection: close\r\n"), "{response}");
    }
    let ran = scene.fleet.replicas.iter().flat_map(|replica| replica.runs());
    assert_eq!(ran.filter(|run| run.id.starts_with("refused-")).count(), 0);
    assert!(!scene.gateway.lines("event=caller_refused kind=request").is_empty());
    scene.check("refused requests").await;
}

/// A limit for all callers together must not refuse the largest request that the configuration allows.
#[actix_rt::test]
async fn the_largest_request_is_served_while_the_gateway_is_calm() {
    let _serial = SERIAL.lock().await;
    let scene = Scene::start().await;
    for replica in &scene.fleet.replicas {
        replica.set_fault(Fault::LargeBody(BODY_LIMIT_BYTES - MB), usize::MAX);
    }
    let requests = [
        (
            "length",
            format!("Content-Length: {BODY_LIMIT_BYTES}\r\n\r\n").into_bytes(),
            vec![b'x'; BODY_LIMIT_BYTES],
        ),
        (
            "chunked",
            b"Transfer-Encoding: chunked\r\n\r\n".to_vec(),
            [chunks(BODY_LIMIT_BYTES, KB), b"0\r\n\r\n".to_vec()].concat(),
        ),
    ];
    for (id, framing, body) in requests {
        let mut stream = connect(scene.gateway.callers).await;
        let request = [format!("{}Connection: close\r\n", head("/call/x", id)).into_bytes(), framing, body];
        stream.write_all(&request.concat()).await.expect("the gateway reads the request");
        let response = read_response(&mut stream).await;
        assert!(
            response.starts_with("HTTP/1.1 200 "),
            "{id}: {}",
            response.lines().next().unwrap_or_default()
        );
        assert!(response.ends_with(&"x".repeat(BODY_LIMIT_BYTES - MB)), "{id}: the response is incomplete");
        let runs = scene.fleet.replicas.iter().flat_map(|replica| replica.runs());
        let sizes: Vec<_> = runs.filter(|run| run.id == id).map(|run| run.body.len()).collect();
        assert_eq!(sizes, [BODY_LIMIT_BYTES], "{id}");
    }
}

/// A caller that has begun to send a body over the limit learns why its connection ends.
#[actix_rt::test]
async fn an_announced_body_over_the_limit_is_refused_at_once() {
    let _serial = SERIAL.lock().await;
    let scene = Scene::start().await;
    let mut stream = connect(scene.gateway.callers).await;
    let length = BODY_LIMIT_BYTES + 1;
    let request = format!("{}Content-Length: {length}\r\n\r\n", head("/call/x", "large"));
    stream.write_all(request.as_bytes()).await.expect("the gateway reads the head");
    write_as_far_as_read(&mut stream, &vec![b'x'; 64 * KB]).await;
    let response = read_response(&mut stream).await;
    assert!(response.starts_with("HTTP/1.1 413 "), "{response:?}");
}
