//! Guards against callers that make the process run out of memory or file descriptors. Such a process was terminated by its
//! machine, with all the requests that it served.
#![allow(
    clippy::expect_used,
    clippy::indexing_slicing,
    clippy::panic,
    reason = "a failure here fails the test"
)]

#[allow(dead_code, reason = "each test file uses a part of it")]
mod common;

use banyannotch_standins::fleet::Fault;
use banyannotch_standins::harness::crowd::{
    HOLD, chunks, connect, read_response, send_parts, write_as_far_as_read,
};
use common::crowd::{BODY_LIMIT_BYTES, HEAD_LIMIT_BYTES, KB, MB, SERIAL, Scene, head, unfinished_body};
use tokio::io::AsyncWriteExt;

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
