//! Guards against callers that make a gateway take more memory than its machine has. Beside the memory of the process, the
//! machine counts the bytes that its sockets have received and it has not read, and those that wait to be sent. Such a
//! process was terminated by its machine, with all the requests that it served.
#![allow(
    clippy::expect_used,
    clippy::indexing_slicing,
    clippy::panic,
    reason = "a failure here fails the test"
)]

#[allow(dead_code, reason = "each test file uses a part of it")]
mod common;

use std::io::ErrorKind;
use std::time::{Duration, Instant};

use banyannotch_standins::fleet::{Fault, call};
use banyannotch_standins::harness::crowd::{HOLD, read_slowly, send_parts};
use banyannotch_standins::harness::{UsageSampler, wait_until};
use common::LIMIT;
use common::crowd::{
    BODY_LIMIT_BYTES, DESCRIPTORS, HEAD_LIMIT_BYTES, IDLE_ALLOWANCE_KB, KB, MB, MEMORY_MB, SERIAL, Scene,
    head, unfinished_body,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Memory of the machine.
const MACHINE_KB: u64 = MEMORY_MB * 1_024;

/// Checks that the gateway stayed within its machine, is alive and answers an ordinary request.
async fn check_machine(scene: &mut Scene, sampler: UsageSampler, case: &str) {
    scene.settle().await;
    let peak = sampler.peak();
    drop(sampler);
    println!("{case}: {peak}; the machine has {MACHINE_KB} kB and {DESCRIPTORS} descriptors");
    let answered =
        wait_until(LIMIT, async || scene.gateway.call("after", "/call/x").await.body == "answer of after");
    assert!(answered.await.is_ok(), "{case}: no ordinary request was answered");
    assert!(matches!(scene.gateway.child.try_wait(), Ok(None)), "{case}: the process has ended");
    assert!(peak.total_kb() <= MACHINE_KB, "{case}: {peak}, the machine has {MACHINE_KB} kB");
    assert!(peak.descriptors <= DESCRIPTORS, "{case}: {peak}, the machine has {DESCRIPTORS} descriptors");
}

/// Sets the fault of all endpoints.
fn set_fault(scene: &Scene, fault: Fault) {
    for endpoint in scene.fleet.engines.iter().chain(&scene.fleet.replicas) {
        endpoint.set_fault(fault, if fault == Fault::None { 0 } else { usize::MAX });
    }
}

fn stream_request(id: &str) -> Vec<u8> {
    format!("{}Content-Length: 6\r\n\r\nprompt", head("/write/x", id)).into_bytes()
}

fn call_request(id: &str) -> Vec<u8> {
    format!("{}Content-Length: 4\r\n\r\nbody", head("/call/x", id)).into_bytes()
}

/// A stream moves on while its caller reads a little of it, and the gateway holds a part of it all the time.
#[actix_rt::test]
async fn streams_that_are_read_in_large_pieces_stay_within_the_machine() {
    let _serial = SERIAL.lock().await;
    let mut scene = Scene::start().await;
    set_fault(&scene, Fault::Flood);
    let sampler = scene.sample();
    let request = |client, _| stream_request(&format!("slow-{client}"));
    let open = send_parts(scene.gateway.callers, 600, 1, request).await;
    let open = read_slowly(open, 16 * KB, 50).await;
    set_fault(&scene, Fault::None);
    check_machine(&mut scene, sampler, "streams read 16 kB at a time").await;
    drop(open);
}

/// As with large pieces, but the stream hardly moves.
#[actix_rt::test]
async fn streams_that_are_read_in_small_pieces_stay_within_the_machine() {
    let _serial = SERIAL.lock().await;
    let mut scene = Scene::start().await;
    set_fault(&scene, Fault::Flood);
    let sampler = scene.sample();
    let request = |client, _| stream_request(&format!("slow-{client}"));
    let open = send_parts(scene.gateway.callers, 400, 1, request).await;
    let open = read_slowly(open, 512, 50).await;
    set_fault(&scene, Fault::None);
    check_machine(&mut scene, sampler, "streams read 512 bytes at a time").await;
    drop(open);
}

/// The operating system took 900 kB of each stream that nobody read.
#[actix_rt::test]
async fn streams_that_are_not_read_stay_within_the_machine() {
    let _serial = SERIAL.lock().await;
    let mut scene = Scene::start().await;
    set_fault(&scene, Fault::Flood);
    let sampler = scene.sample();
    let request = |client, _| stream_request(&format!("unread-{client}"));
    let open = send_parts(scene.gateway.callers, 150, 1, request).await;
    actix_rt::time::sleep(2 * HOLD).await;
    set_fault(&scene, Fault::None);
    check_machine(&mut scene, sampler, "streams that are not read").await;
    drop(open);
}

/// A response is held by the gateway or by the operating system until its caller has read it.
#[actix_rt::test]
async fn responses_that_are_read_slowly_stay_within_the_machine() {
    let _serial = SERIAL.lock().await;
    let mut scene = Scene::start().await;
    set_fault(&scene, Fault::LargeBody(BODY_LIMIT_BYTES - MB));
    let sampler = scene.sample();
    let request = |client, _| call_request(&format!("slow-{client}"));
    let open = send_parts(scene.gateway.callers, 200, 1, request).await;
    let open = read_slowly(open, 512, 50).await;
    set_fault(&scene, Fault::None);
    check_machine(&mut scene, sampler, "responses read 512 bytes at a time").await;
    drop(open);
}

/// Bytes behind a request that an endpoint works on wait in the operating system.
#[actix_rt::test]
async fn bytes_behind_requests_stay_within_the_machine() {
    let _serial = SERIAL.lock().await;
    let mut scene = Scene::start().await;
    set_fault(&scene, Fault::Hang);
    let sampler = scene.sample();
    let part = |client, _| {
        let behind = unfinished_body(&format!("behind-{client}"), 256 * KB, 16 * KB);
        [call_request(&format!("pipe-{client}")), behind].concat()
    };
    let open = send_parts(scene.gateway.callers, 400, 1, part).await;
    set_fault(&scene, Fault::None);
    check_machine(&mut scene, sampler, "bytes behind requests").await;
    drop(open);
}

/// A head is held several times: its text, its parts, and the head that is sent to the endpoint.
#[actix_rt::test]
async fn long_heads_stay_within_the_machine() {
    let _serial = SERIAL.lock().await;
    let mut scene = Scene::start().await;
    set_fault(&scene, Fault::Hang);
    let sampler = scene.sample();
    let part = |client, _| {
        let path = format!("/call/{}", "x".repeat(HEAD_LIMIT_BYTES - 4 * KB));
        format!("{}Content-Length: 4\r\n\r\nbody", head(&path, &format!("head-{client}"))).into_bytes()
    };
    let open = send_parts(scene.gateway.callers, 500, 1, part).await;
    set_fault(&scene, Fault::None);
    check_machine(&mut scene, sampler, "long heads").await;
    drop(open);
}

/// Callers also decide how many responses of endpoints arrive at a time.
#[actix_rt::test]
async fn unfinished_heads_of_endpoints_stay_within_the_machine() {
    let _serial = SERIAL.lock().await;
    let mut scene = Scene::start().await;
    set_fault(&scene, Fault::UnfinishedHead(HEAD_LIMIT_BYTES - 4 * KB));
    let sampler = scene.sample();
    let request = |client, _| call_request(&format!("answer-{client}"));
    let open = send_parts(scene.gateway.callers, 500, 1, request).await;
    set_fault(&scene, Fault::None);
    check_machine(&mut scene, sampler, "unfinished heads of endpoints").await;
    drop(open);
}

/// The port for readiness checks has to answer the balancer, whoever else connects to it.
#[actix_rt::test]
async fn unfinished_readiness_checks_stay_within_the_machine() {
    let _serial = SERIAL.lock().await;
    let mut scene = Scene::start().await;
    let sampler = scene.sample();
    let part = |_, _| format!("GET /-/readyz HTTP/1.1\r\nX-Filler: {}", "x".repeat(8_000)).into_bytes();
    let open = send_parts(scene.gateway.readiness, 1_500, 1, part).await;
    let checked = wait_until(LIMIT, async || scene.gateway.readiness().await == Some(200));
    assert!(checked.await.is_ok(), "no readiness check was answered");
    check_machine(&mut scene, sampler, "unfinished readiness checks").await;
    drop(open);
}

/// The port for metrics is the one that operators need when a gateway is in trouble.
#[actix_rt::test]
async fn unfinished_requests_for_metrics_stay_within_the_machine() {
    let _serial = SERIAL.lock().await;
    let mut scene = Scene::start().await;
    let sampler = scene.sample();
    let part = |_, _| format!("GET /metrics HTTP/1.1\r\nX-Filler: {}", "x".repeat(8_000)).into_bytes();
    let open = send_parts(scene.gateway.metrics, 1_500, 1, part).await;
    let served = wait_until(LIMIT, async || {
        call(scene.gateway.metrics, "operator", "/metrics", "", "").await.status == Some(200)
    });
    assert!(served.await.is_ok(), "no request for metrics was served");
    check_machine(&mut scene, sampler, "unfinished requests for metrics").await;
    drop(open);
}

/// Reads what arrives until the end, or until the given number of bytes, in steps of one round trip: what the buffer of the
/// socket cannot hold has to wait for the next one.
async fn read_at_a_distance(stream: TcpStream, limit_bytes: usize) -> Vec<u8> {
    const ROUND_TRIP: Duration = Duration::from_millis(3);
    let (mut received, mut piece) = (Vec::new(), vec![0; 256 * KB]);
    while received.len() < limit_bytes {
        stream.readable().await.expect("the connection is open");
        actix_rt::time::sleep(ROUND_TRIP).await;
        loop {
            match stream.try_read(&mut piece) {
                Ok(0) => return received,
                Ok(size_bytes) => received.extend_from_slice(&piece[..size_bytes]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) => panic!("the connection failed: {error}"),
            }
        }
    }
    received
}

/// Small buffers make a response wait for one round trip after the other. The times are printed, not checked.
#[actix_rt::test]
async fn callers_at_a_distance_get_large_responses_and_streams() {
    let _serial = SERIAL.lock().await;
    let scene = Scene::start().await;
    let cases = [
        ("response", Fault::LargeBody(BODY_LIMIT_BYTES - MB), call_request("far"), BODY_LIMIT_BYTES - MB),
        ("stream of large events", Fault::Flood, stream_request("far"), MB),
        ("stream", Fault::None, stream_request("near"), KB / 4),
    ];
    for (name, fault, request, size_bytes) in cases {
        set_fault(&scene, fault);
        let mut stream =
            TcpStream::connect(scene.gateway.callers).await.expect("the gateway accepts connections");
        let started = Instant::now();
        stream.write_all(&request).await.expect("the gateway reads the request");
        let received = read_at_a_distance(stream, size_bytes).await;
        println!("{name}: {} bytes in {} ms", received.len(), started.elapsed().as_millis());
        assert!(
            received.starts_with(b"HTTP/1.1 200 ") && received.len() >= size_bytes,
            "{name} is incomplete"
        );
    }
}

/// What a crowd made the gateway hold is free again when the crowd has left; else the next one ends the process.
#[actix_rt::test]
async fn memory_is_released_after_each_of_ten_crowds() {
    const CROWDS: usize = 10;
    let _serial = SERIAL.lock().await;
    let mut scene = Scene::start().await;
    let sampler = scene.sample();
    for crowd in 0..CROWDS {
        let part = move |client: usize, _| match client % 3 {
            0 => unfinished_body(&format!("body-{crowd}-{client}"), 3_900 * KB, 64 * KB),
            1 => format!("{}X-Filler: {}", head("/call/x", "head"), "x".repeat(48 * KB)).into_bytes(),
            _ => stream_request(&format!("stream-{crowd}-{client}")),
        };
        set_fault(&scene, Fault::Flood);
        let open = send_parts(scene.gateway.callers, 180, 1, part).await;
        let open = read_slowly(open, 16 * KB, 5).await;
        set_fault(&scene, Fault::None);
        drop(open);
        let mut held = None;
        let released = wait_until(LIMIT, async || {
            let metrics = call(scene.gateway.metrics, "operator", "/metrics", "", "").await.body;
            let name = "banyannotch_callers_held_bytes ";
            held = metrics.lines().find_map(|line| line.strip_prefix(name)?.parse::<f64>().ok());
            held == Some(0.0)
        });
        let is_released = released.await.is_ok();
        let resident_kb = scene.usage().resident_kb;
        println!("after crowd {crowd}: {resident_kb} kB resident, {held:?} bytes in the account");
        assert!(
            resident_kb <= IDLE_ALLOWANCE_KB,
            "after crowd {crowd}: {resident_kb} of {IDLE_ALLOWANCE_KB} kB"
        );
        assert!(is_released, "after crowd {crowd}: {held:?} bytes in the account");
    }
    check_machine(&mut scene, sampler, "ten crowds").await;
}
