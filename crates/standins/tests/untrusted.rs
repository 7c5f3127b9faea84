//! Guards against callers that make an entry take more memory than its machine has. Each test starts an entry with a lowered
//! limit and lets a fixed number of clients misbehave. The loads and the bound were chosen before the entry limited what it
//! holds for them, and are not adapted to it.

#![expect(
    clippy::expect_used,
    clippy::indexing_slicing,
    reason = "clippy does not take the helpers of an integration test for test code"
)]

mod common;

use banyannotch_standins::caller::Caller;
use banyannotch_standins::harness::crowd::{
    HOLD, chunks, connect, read_response, read_slowly, send_parts, write_as_far_as_read,
};
use banyannotch_standins::harness::{Deployment, Ports, TOKEN, UsageSampler, metric, usage, wait_until};
use common::{
    PROMPTS, TIMEOUT, add_entries, add_replicas, body, check_answer, check_no_violations, serialize_tests,
    start_platform,
};

const KB: usize = 1 << 10;

/// Memory of the machine: four times what callers can take, as on the machines of a gateway.
const MACHINE_KB: u64 = 48 * 1_024;
/// Memory of the process without callers, in kilobytes, with a margin for what its allocator and its threads keep.
const IDLE_ALLOWANCE_KB: u64 = 20_000;
/// Settings of the entry.
const SETTINGS: &str = "[intake]\ncallers_limit_mb = 12\n";
/// File descriptors that a machine of this size allows.
const DESCRIPTORS: usize = 1_024;

/// Starts an entry and an engine for each stage, and samples what the entry uses.
async fn start() -> (Deployment, UsageSampler) {
    let mut deployment = start_platform(&[]);
    add_replicas(&mut deployment, 1);
    add_entries(&mut deployment, 1, SETTINGS);
    deployment.make_ready().await.expect("the deployment is ready");
    let entry = &deployment.entries[0];
    let ports = Ports {
        listening: [entry.callers, entry.operators, entry.peers].map(|address| address.port()).to_vec(),
        connected: deployment.endpoints.iter().map(|endpoint| endpoint.listed.address.port()).collect(),
    };
    let sampler = UsageSampler::start(entry.process.id(), ports);
    (deployment, sampler)
}

/// Checks that the entry stayed within its machine, is alive and answers an ordinary request.
async fn check_machine(mut deployment: Deployment, sampler: UsageSampler, case: &str) {
    actix_rt::time::sleep(HOLD).await;
    let peak = sampler.peak();
    drop(sampler);
    println!("{case}: {peak}; the machine has {MACHINE_KB} kB and {DESCRIPTORS} descriptors");
    let caller = Caller::new(TOKEN);
    let callers = deployment.entries[0].callers;
    let mut answer = None;
    let answered = wait_until(TIMEOUT, async || {
        answer = caller.generate_whole(callers, &body(PROMPTS[0], 4)).await.ok();
        answer.as_ref().is_some_and(|answer| answer.outcome.outcome == "completed")
    });
    assert!(
        answered.await.is_ok(),
        "{case}: no ordinary request was answered, the last answer was {answer:?}"
    );
    check_answer(&answer.expect("there is an answer"), PROMPTS[0], 4);
    check_no_violations(&deployment).await;
    let has_ended = deployment.entries[0].process.has_ended().expect("the state of the process is known");
    assert!(!has_ended, "{case}: the process has ended");
    assert!(peak.total_kb() <= MACHINE_KB, "{case}: {peak}, the machine has {MACHINE_KB} kB");
    assert!(peak.descriptors <= DESCRIPTORS, "{case}: {peak}, the machine has {DESCRIPTORS} descriptors");
}

fn head(path: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {TOKEN}\r\ncontent-type: application/json\r\n"
    )
}

/// Returns a call whose response contains a payload of the given size.
fn call(payload_bytes: usize) -> Vec<u8> {
    let payload = "x".repeat(payload_bytes);
    let body =
        format!("{{\"service\":\"desk\",\"operation\":\"o\",\"payload\":\"{payload}\",\"idempotent\":true}}");
    format!("{}content-length: {}\r\n\r\n{body}", head("/v1/call"), body.len()).into_bytes()
}

/// Heads that never end are held as far as they have arrived.
#[test]
fn unfinished_heads_stay_within_the_machine_of_an_entry() {
    let _guard = serialize_tests();
    actix_rt::System::new().block_on(async {
        let (deployment, sampler) = start().await;
        let part = |_, _| format!("{}x-filler: {}", head("/v1/call"), "x".repeat(100 * KB)).into_bytes();
        let open = send_parts(deployment.entries[0].callers, 500, 1, part).await;
        check_machine(deployment, sampler, "unfinished heads").await;
        drop(open);
    });
}

/// A connection takes memory and a descriptor also without a request.
#[test]
fn idle_connections_stay_within_the_machine_of_an_entry() {
    let _guard = serialize_tests();
    actix_rt::System::new().block_on(async {
        let (deployment, sampler) = start().await;
        let open = send_parts(deployment.entries[0].callers, 3_000, 1, |_, _| Vec::new()).await;
        check_machine(deployment, sampler, "idle connections").await;
        drop(open);
    });
}

/// Bodies that stop just short of their end stay open until the time limit.
#[test]
fn unfinished_bodies_stay_within_the_machine_of_an_entry() {
    let _guard = serialize_tests();
    actix_rt::System::new().block_on(async {
        let (deployment, sampler) = start().await;
        let part = |_, _| {
            let head = format!("{}transfer-encoding: chunked\r\n\r\n", head("/v1/call"));
            [head.into_bytes(), chunks(960 * KB, 64 * KB)].concat()
        };
        let open = send_parts(deployment.entries[0].callers, 120, 1, part).await;
        check_machine(deployment, sampler, "unfinished bodies").await;
        drop(open);
    });
}

/// A response is held by the entry or by the operating system until its caller has read it.
#[test]
fn responses_that_are_read_slowly_stay_within_the_machine_of_an_entry() {
    let _guard = serialize_tests();
    actix_rt::System::new().block_on(async {
        let (deployment, sampler) = start().await;
        let callers = deployment.entries[0].callers;
        let mut open = Vec::new();
        for _ in 0..10 {
            open.extend(send_parts(callers, 12, 1, |_, _| call(900 * KB)).await);
        }
        let open = read_slowly(open, 512, 10).await;
        check_machine(deployment, sampler, "responses read 512 bytes at a time").await;
        drop(open);
    });
}

/// Bytes behind a request are read ahead, or wait in the operating system.
#[test]
fn bytes_behind_requests_stay_within_the_machine_of_an_entry() {
    let _guard = serialize_tests();
    actix_rt::System::new().block_on(async {
        let (deployment, sampler) = start().await;
        let part = |_, _| {
            let behind = format!("{}x-filler: {}", head("/v1/call"), "x".repeat(256 * KB));
            [call(KB), behind.into_bytes()].concat()
        };
        let open = send_parts(deployment.entries[0].callers, 400, 1, part).await;
        check_machine(deployment, sampler, "bytes behind requests").await;
        drop(open);
    });
}

/// A limit for all callers together must not refuse the largest request that an entry accepts.
#[test]
fn the_largest_request_is_served_while_the_entry_is_calm() {
    /// Maximum size of the body of a request, without that of the call around its payload.
    const PAYLOAD_BYTES: usize = 1_024 * KB - 128;
    let _guard = serialize_tests();
    actix_rt::System::new().block_on(async {
        let (deployment, _sampler) = start().await;
        let mut stream = connect(deployment.entries[0].callers).await;
        write_as_far_as_read(&mut stream, &call(PAYLOAD_BYTES)).await;
        let response = read_response(&mut stream).await;
        let head = response.lines().next().unwrap_or_default();
        assert!(response.starts_with("HTTP/1.1 200 "), "{head} {}", response.len());
        assert!(
            response.contains(&"x".repeat(PAYLOAD_BYTES)),
            "the response is incomplete: {}",
            response.len()
        );
    });
}

/// What a crowd made the entry hold is free again when the crowd has left; else the next one ends the process.
#[test]
fn memory_is_released_after_each_of_ten_crowds_of_an_entry() {
    const CROWDS: usize = 10;
    let _guard = serialize_tests();
    actix_rt::System::new().block_on(async {
        let (deployment, sampler) = start().await;
        let entry = &deployment.entries[0];
        let process = entry.process.id();
        let resident_kb = || usage(process, &Ports::default()).expect("the entry runs").resident_kb;
        println!("before the clients: {} kB resident", resident_kb());
        for crowd in 0..CROWDS {
            let part = |client: usize, _| match client % 3 {
                0 => {
                    let head = format!("{}transfer-encoding: chunked\r\n\r\n", head("/v1/call"));
                    [head.into_bytes(), chunks(960 * KB, 64 * KB)].concat()
                }
                1 => format!("{}x-filler: {}", head("/v1/call"), "x".repeat(100 * KB)).into_bytes(),
                _ => call(300 * KB),
            };
            let open = send_parts(entry.callers, 180, 1, part).await;
            let open = read_slowly(open, 512, 5).await;
            let mut held = None;
            let counted = wait_until(TIMEOUT, async || {
                held = metric(entry.operators, "banyannotch_callers_held_bytes").await;
                held.is_some_and(|bytes| bytes > 0.0)
            });
            assert!(counted.await.is_ok(), "during crowd {crowd}: {held:?} bytes in the account");
            drop(open);
            let released = wait_until(TIMEOUT, async || {
                held = metric(entry.operators, "banyannotch_callers_held_bytes").await;
                held == Some(0.0)
            });
            let is_released = released.await.is_ok();
            let resident_kb =
                usage(entry.process.id(), &Ports::default()).expect("the entry runs").resident_kb;
            println!("after crowd {crowd}: {resident_kb} kB resident, {held:?} bytes in the account");
            assert!(
                resident_kb <= IDLE_ALLOWANCE_KB,
                "after crowd {crowd}: {resident_kb} of {IDLE_ALLOWANCE_KB} kB"
            );
            assert!(is_released, "after crowd {crowd}: {held:?} bytes in the account");
        }
        check_machine(deployment, sampler, "ten crowds").await;
    });
}
