//! Measures the cost of a placement. Run it with `cargo test --config
//! profile.dev.opt-level=3 -p banyannotch placement_cost -- --ignored --nocapture`. It does not assert any
//! times, because the machine may be busy.

use std::time::Instant;

use super::fixtures::{LAYERS, configuration, engine, generation, routing, send, table};
use crate::duty::Duty;
use crate::ids::{EndpointId, RequestId};
use crate::routing::{Event, Observation};

const PLACEMENTS: u128 = 20_000;

#[test]
#[ignore = "prints figures for the documentation"]
fn placement_cost() {
    for count in [36, 5_500] {
        let endpoints: Vec<_> = (0..count)
            .map(|number| {
                let begin = number % 4 * (LAYERS / 4);
                engine(&format!("e{number:04}"), begin, begin + LAYERS / 4)
            })
            .collect();
        let mut routing = routing(1);
        let configured = configuration(1, &[]);
        send(&mut routing, 0, table(endpoints.clone()));
        let place = |routing: &mut _, request: u128| {
            let submission = generation(request, &format!("{request}"), &configured);
            let start = Instant::now();
            let actions = send(routing, 10_000_000, Event::Place(submission));
            let elapsed = start.elapsed();
            drop(actions);
            elapsed
        };
        let mut elapsed = std::time::Duration::ZERO;
        for request in 0..PLACEMENTS {
            elapsed += place(&mut routing, request);
            if request >= 1_000 {
                send(&mut routing, 10_000_000, Event::Finished(RequestId(request - 1_000)));
            }
        }
        println!(
            "{count} endpoints: {:.2} us per placement",
            elapsed.as_secs_f64() * 1e6 / PLACEMENTS as f64
        );
        let start = Instant::now();
        for endpoint in &endpoints {
            let endpoint = EndpointId::clone(&endpoint.id);
            let observation = Observation { endpoint, positions: 1, elapsed_us: 1_000 };
            send(&mut routing, 10_000_000, Event::Observed(vec![observation]));
        }
        let elapsed_us = start.elapsed().as_secs_f64() * 1e6;
        println!("{count} endpoints: {:.2} us per observation", elapsed_us / f64::from(count));
        for (what, changed) in [("new loads", 0), ("another endpoint", 1)] {
            let table = table(endpoints[changed..].to_vec());
            let start = Instant::now();
            send(&mut routing, 10_000_000, table);
            println!(
                "{count} endpoints: {:.0} us for a table with {what}",
                start.elapsed().as_secs_f64() * 1e6
            );
        }
        let start = Instant::now();
        routing.on_timer(11_000_000, &mut Vec::new());
        println!("{count} endpoints: {:.0} us for a report", start.elapsed().as_secs_f64() * 1e6);
    }
}
