//! Measures the cost of a request with 950 teams. Run it with `cargo test --config
//! profile.dev.opt-level=3 -p banyannotch admission_cost -- --ignored --nocapture`. It does not assert any
//! times, because the machine may be busy.

use std::time::Instant;

use super::fixtures::{configuration, preset};
use crate::admission::{Action, Admission, AdmissionSettings, Capacity, Destination, Event, Finished};
use crate::duty::Duty;
use crate::ids::RequestId;
use crate::request::{Generation, Submission, Work};

const TEAMS: usize = 950;
const REQUESTS: usize = 20_000;
const QUEUED: usize = 3_000;

#[test]
#[ignore = "prints figures for the documentation"]
fn admission_cost() {
    let names: Vec<String> = (0..TEAMS).map(|number| format!("team{number:03}")).collect();
    let teams: Vec<(&str, u32)> = names.iter().map(|name| (name.as_str(), 1)).collect();
    let configuration = configuration(&teams, preset(64, 256));
    let mut admission = Admission::new(AdmissionSettings { queue_total_limit: 2 * QUEUED as u32 });
    let destination = Destination::Model("m".into());
    let capacity = Capacity { destination, token_us: 1_000, position_us: 10, slots: 64 };
    let mut actions = Vec::new();
    admission.on_event(0, Event::Capacity(vec![capacity]), &mut actions);
    let mut placed = std::collections::VecDeque::new();
    let mut elapsed = std::time::Duration::ZERO;
    for number in 0..REQUESTS {
        let submission = Box::new(Submission {
            request: RequestId(u128::from(crate::random::mix(number as u64))),
            caller_reference: None,
            team: names[number * 7 % TEAMS].as_str().into(),
            arrived_us: 0,
            deadline_us: 1_000_000_000_000,
            priority: 0,
            work: Work::Generate(Generation { model: "m".into(), prompt: String::new(), max_tokens: 10 }),
            configuration: configuration.clone(),
        });
        let start = Instant::now();
        admission.on_event(number as u64, Event::Submit(submission), &mut actions);
        if number >= QUEUED
            && let Some(request) = placed.pop_front()
        {
            let finished = Finished { request, tokens: 10, elapsed_us: 10_000, completed: true };
            admission.on_event(number as u64, Event::Finished(finished), &mut actions);
        }
        elapsed += start.elapsed();
        placed.extend(actions.drain(..).filter_map(|action| match action {
            Action::Place(submission) => Some(submission.request),
            _ => None,
        }));
    }
    let waiting = admission.counts().1;
    let each_us = elapsed.as_secs_f64() * 1e6 / REQUESTS as f64;
    println!("{TEAMS} teams, {waiting} waiting: {each_us:.2} us per request, from submission to end");
}
