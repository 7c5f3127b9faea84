//! Property test with random operations. Each request has to be placed or refused exactly once, none may wait
//! past its deadline, and the in-flight limit has to hold.

use quickcheck::{Arbitrary, Gen, QuickCheck};

use super::fixtures::{Harness, TestRequest, configuration, preset};
use crate::admission::Event;
use crate::ids::RequestId;
use crate::request::NotRun;

const TEAMS: [&str; 3] = ["a", "b", "c"];
const IN_FLIGHT_LIMIT: u32 = 6;

#[derive(Clone, Debug)]
enum Operation {
    Submit { team: u8, tokens: u8, time_ms: u8, priority: u8, call: bool },
    Cancel(u8),
    Wait { ms: u8 },
    Slots(u8),
    Slowdown(u8),
}

impl Arbitrary for Operation {
    fn arbitrary(random: &mut Gen) -> Self {
        match u8::arbitrary(random) % 10 {
            0..=5 => Self::Submit {
                team: u8::arbitrary(random) % 3,
                tokens: 1 + u8::arbitrary(random) % 40,
                time_ms: u8::arbitrary(random),
                priority: u8::arbitrary(random) % 10,
                call: u8::arbitrary(random) % 4 == 0,
            },
            6 => Self::Cancel(u8::arbitrary(random)),
            7 | 8 => Self::Wait { ms: u8::arbitrary(random) % 30 },
            _ if bool::arbitrary(random) => Self::Slots(u8::arbitrary(random) % 8),
            _ => Self::Slowdown(1 + u8::arbitrary(random) % 4),
        }
    }
}

#[allow(clippy::needless_pass_by_value, reason = "quickcheck passes owned values")]
fn invariants_hold(operations: Vec<Operation>) -> bool {
    let configuration = configuration(&[("a", 1), ("b", 2), ("c", 5)], preset(IN_FLIGHT_LIMIT, 20));
    let mut harness = Harness::new(&configuration, 4);
    let mut submitted: Vec<RequestId> = Vec::new();
    for operation in operations {
        match operation {
            Operation::Submit { team, tokens, time_ms, priority, call } => {
                let (team, tokens) = (TEAMS[usize::from(team)], u32::from(tokens));
                let deadline_us = harness.now_us + u64::from(time_ms) * 1_000;
                submitted.push(harness.submit(TestRequest { team, tokens, deadline_us, priority, call }));
            }
            Operation::Cancel(number) if !submitted.is_empty() => {
                let request = submitted[usize::from(number) % submitted.len()];
                if !harness.placed_us.contains_key(&request) {
                    harness.send(Event::Cancel(request));
                }
            }
            Operation::Cancel(_) => {}
            Operation::Wait { ms } => harness.run_until(harness.now_us + u64::from(ms) * 1_000),
            Operation::Slots(slots) => harness.report_capacity(slots.into()),
            Operation::Slowdown(slowdown) => harness.slowdown = slowdown.into(),
        }
        let (in_flight, waiting) = harness.admission.counts();
        assert!(
            in_flight <= 2 * IN_FLIGHT_LIMIT as usize,
            "{in_flight} requests in flight, expected at most {IN_FLIGHT_LIMIT} of each kind"
        );
        let answered = harness.placed_us.len() + harness.refused.len();
        assert_eq!(
            answered + waiting,
            submitted.len(),
            "answered and waiting requests differ from the submitted ones"
        );
    }
    harness.run_until(u64::MAX / 4);
    for request in &submitted {
        let deadline_us = harness.deadlines_us[request];
        match (harness.placed_us.get(request), harness.refused.get(request)) {
            (Some(at_us), None) => assert!(
                *at_us < deadline_us,
                "{request} was placed at {at_us} us, its deadline is {deadline_us} us"
            ),
            (None, Some((_, NotRun::Cancelled | NotRun::QueueFull))) => {}
            (None, Some((at_us, NotRun::Deadline))) => {
                let limit_us = deadline_us.max(harness.arrived_us[request]);
                assert!(
                    *at_us <= limit_us,
                    "{request} was refused at {at_us} us, its deadline is {limit_us} us"
                );
            }
            other => panic!("{request} ended with {other:?}"),
        }
    }
    assert_eq!(harness.admission.counts(), (0, 0), "requests in flight and waiting after all have ended");
    true
}

#[test]
fn each_request_is_placed_or_refused_once_and_in_time() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, 1))
        .tests(300)
        .quickcheck(invariants_hold as fn(Vec<Operation>) -> bool);
}
