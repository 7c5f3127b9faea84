//! Guards against a stand-in that is more forgiving than the platform.

use std::time::Duration;

use super::{Endpoint, Fault, Link, Proxy, call};

#[actix_rt::test]
async fn an_endpoint_runs_nothing_that_is_meant_for_another() {
    let endpoint = Endpoint::start("e1", 3).unwrap();
    let got = call(endpoint.address, "a", "/call/x", "k", "").await;
    assert_eq!((got.status, endpoint.runs().len()), (Some(421), 0));
    endpoint.set_fault(Fault::NotRun, 1);
    let got = call(endpoint.address, "b", "/call/x", "k", "").await;
    assert_eq!((got.status, endpoint.runs().len()), (Some(421), 0));
}

/// A proxy that passes on what it should hold back would hide faults.
#[actix_rt::test]
async fn a_proxy_does_to_connections_what_it_is_set_to() {
    let endpoint = Endpoint::start("e1", 3).unwrap();
    let proxy = Proxy::start(endpoint.address).unwrap();
    // What is held back never comes, so a short wait shows it; what is passed on may take long on a busy machine.
    let (short, long) = (Duration::from_millis(150), Duration::from_secs(15));
    let links = [
        (Link::Open, long),
        (Link::Delayed(10), long),
        (Link::Silent, short),
        (Link::OneWay, short),
        (Link::Refusing, long),
        (Link::Open, long),
    ];
    let mut lines = Vec::new();
    for (link, limit) in links {
        proxy.set(link);
        let got = actix_rt::time::timeout(limit, call(proxy.address, "a", "/call/x", "k", "")).await;
        lines.push(format!("{link:?}: {:?}", got.map(|got| got.status).ok()));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Connections that are open end when they are reset.
#[actix_rt::test]
async fn a_reset_ends_open_connections() {
    let endpoint = Endpoint::start("e1", 3).unwrap();
    let proxy = Proxy::start(endpoint.address).unwrap();
    proxy.set(Link::OneWay);
    let address = proxy.address;
    let waiting = actix_rt::spawn(async move { call(address, "a", "/call/x", "k", "").await });
    let begun = std::time::Instant::now();
    while !waiting.is_finished() && begun.elapsed() < Duration::from_secs(10) {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
        proxy.reset();
    }
    assert_eq!(waiting.await.unwrap().status, None);
}
