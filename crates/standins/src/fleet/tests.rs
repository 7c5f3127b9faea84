//! Tests that the test doubles are as strict as the platform, so that they do not hide faults of the gateway.

use std::time::Duration;

use super::{Endpoint, Fault, Link, Proxy, call};

#[actix_rt::test]
async fn an_endpoint_refuses_requests_for_another_instance() {
    let endpoint = Endpoint::start("e1", 3).unwrap();
    let response = call(endpoint.address, "a", "/call/x", "k", "").await;
    assert_eq!((response.status, endpoint.runs().len()), (Some(421), 0));
    endpoint.set_fault(Fault::NotRun, 1);
    let response = call(endpoint.address, "b", "/call/x", "k", "").await;
    assert_eq!((response.status, endpoint.runs().len()), (Some(421), 0));
}

/// Guards against a proxy that forwards data it should hold back, which would hide faults in other tests.
#[actix_rt::test]
async fn a_proxy_applies_the_link_state_to_connections() {
    let endpoint = Endpoint::start("e1", 3).unwrap();
    let proxy = Proxy::start(endpoint.address).unwrap();
    // Data that is held back never arrives, so a short timeout is enough. Forwarded data may be slow on a
    // busy machine.
    let (blocked_timeout, forwarded_timeout) = (Duration::from_millis(150), Duration::from_secs(15));
    let links = [
        (Link::Open, forwarded_timeout),
        (Link::Delayed(10), forwarded_timeout),
        (Link::Silent, blocked_timeout),
        (Link::OneWay, blocked_timeout),
        (Link::Refusing, forwarded_timeout),
        (Link::Open, forwarded_timeout),
    ];
    let mut lines = Vec::new();
    for (link, timeout) in links {
        proxy.set(link);
        let response = actix_rt::time::timeout(timeout, call(proxy.address, "a", "/call/x", "k", "")).await;
        lines.push(format!("{link:?}: {:?}", response.map(|response| response.status).ok()));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against a reset that leaves open connections waiting.
#[actix_rt::test]
async fn a_reset_ends_open_connections() {
    let endpoint = Endpoint::start("e1", 3).unwrap();
    let proxy = Proxy::start(endpoint.address).unwrap();
    proxy.set(Link::OneWay);
    let address = proxy.address;
    let waiting = actix_rt::spawn(async move { call(address, "a", "/call/x", "k", "").await });
    let started = std::time::Instant::now();
    while !waiting.is_finished() && started.elapsed() < Duration::from_secs(10) {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
        proxy.reset();
    }
    assert_eq!(waiting.await.unwrap().status, None);
}
