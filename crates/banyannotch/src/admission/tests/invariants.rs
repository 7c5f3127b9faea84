//! Random runs that check what must always hold: each request gets exactly one answer, none waits past its deadline,
//! and the limits hold.

use quickcheck::{Arbitrary, Gen, QuickCheck};

use super::fixtures::{Ask, Bench, configuration, preset};
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
    Slowness(u8),
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
            _ => Self::Slowness(1 + u8::arbitrary(random) % 4),
        }
    }
}

#[allow(clippy::needless_pass_by_value, reason = "quickcheck passes owned values")]
fn holds(operations: Vec<Operation>) -> bool {
    let configuration = configuration(&[("a", 1), ("b", 2), ("c", 5)], preset(IN_FLIGHT_LIMIT, 20));
    let mut bench = Bench::new(&configuration, 4);
    let mut submitted: Vec<RequestId> = Vec::new();
    for operation in operations {
        match operation {
            Operation::Submit { team, tokens, time_ms, priority, call } => {
                let (team, tokens) = (TEAMS[usize::from(team)], u32::from(tokens));
                let deadline_us = bench.now_us + u64::from(time_ms) * 1_000;
                submitted.push(bench.submit(Ask { team, tokens, deadline_us, priority, call }));
            }
            Operation::Cancel(number) if !submitted.is_empty() => {
                let request = submitted[usize::from(number) % submitted.len()];
                if !bench.placed_us.contains_key(&request) {
                    bench.event(Event::Cancel(request));
                }
            }
            Operation::Cancel(_) => {}
            Operation::Wait { ms } => bench.run_until(bench.now_us + u64::from(ms) * 1_000),
            Operation::Slots(slots) => bench.capacity(slots.into()),
            Operation::Slowness(slowness) => bench.slowness = slowness.into(),
        }
        let (in_flight, waiting) = bench.admission.counts();
        assert!(in_flight <= 2 * IN_FLIGHT_LIMIT as usize, "{in_flight} in flight");
        let answered = bench.placed_us.len() + bench.refused.len();
        assert_eq!(answered + waiting, submitted.len(), "a request is lost or answered twice");
    }
    bench.run_until(u64::MAX / 4);
    for request in &submitted {
        let deadline_us = bench.deadlines_us[request];
        match (bench.placed_us.get(request), bench.refused.get(request)) {
            (Some(at_us), None) => assert!(*at_us < deadline_us, "{request} was placed too late"),
            (None, Some((_, NotRun::Cancelled | NotRun::QueueFull))) => {}
            (None, Some((at_us, NotRun::Deadline))) => {
                let limit_us = deadline_us.max(bench.arrived_us[request]);
                assert!(*at_us <= limit_us, "{request} waited past its deadline");
            }
            other => panic!("{request} ended with {other:?}"),
        }
    }
    assert_eq!(bench.admission.counts(), (0, 0), "requests are left behind");
    true
}

#[test]
fn each_request_is_placed_or_refused_once_and_in_time() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, 1))
        .tests(300)
        .quickcheck(holds as fn(Vec<Operation>) -> bool);
}
