//! Long runs with random faults. Guards against combinations that nobody thought of.

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

use super::model::reference;
use super::world::{Fault, World};
use crate::execution::ExecutionSettings;
use crate::request::{Completion, Outcome};

/// Cases of one run; the cost of one is well under a millisecond in a debug build.
const CASES: u64 = 3_000;

/// Fixed, so that CI gives the same verdict every time.
const SEED: u64 = 20_261_204;

/// Largest size of generated vectors.
const GENERATOR_SIZE: usize = 40;

impl Arbitrary for Fault {
    fn arbitrary(generator: &mut Gen) -> Self {
        let faults = [
            Self::Kill,
            Self::BreakBefore,
            Self::BreakAfter,
            Self::Freeze,
            Self::Late,
            Self::Refuse,
            Self::Twice,
            Self::WrongCount,
        ];
        *generator.choose(&faults).expect("there are faults")
    }
}

/// Faults by step, requests by prompt and length, and whether inputs are kept.
#[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
fn property(faults: Vec<(u8, Fault)>, requests: Vec<(u8, u8)>, keep: bool, replicas: u8) -> TestResult {
    if requests.is_empty() || requests.len() > 8 || faults.len() > 12 {
        return TestResult::discard();
    }
    let retained_limit_bytes = if keep { 1 << 20 } else { 5_000 };
    let settings = ExecutionSettings { retained_limit_bytes, ..ExecutionSettings::default() };
    let mut world = World::new(usize::from(replicas % 3) + 1, settings);
    world.faults = faults.iter().map(|(step, fault)| (usize::from(*step), *fault)).collect();
    let planned: Vec<(u128, String, u32)> = requests
        .iter()
        .enumerate()
        .map(|(index, (prompt, length))| {
            (index as u128 + 1, format!("prompt {prompt}"), u32::from(length % 12) + 1)
        })
        .collect();
    for (request, prompt, length) in &planned {
        world.generate(*request, prompt, *length, 8_000);
    }
    world.run();
    world.check_ended();
    for (request, prompt, length) in planned {
        let expected = reference(&prompt, length as usize);
        let tokens = world.received.get(&crate::ids::RequestId(request)).map_or(&[][..], |r| &r.tokens);
        assert!(expected.starts_with(tokens), "request {request} got other tokens");
        if *world.outcome(request) == Outcome::Completed(Completion::Generated { tokens: length }) {
            assert_eq!(tokens, expected, "request {request} is not whole");
        }
    }
    TestResult::passed()
}

#[test]
fn random_faults_never_change_an_answer() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GENERATOR_SIZE, SEED))
        .tests(CASES)
        .max_tests(CASES * 20)
        .quickcheck(property as fn(Vec<(u8, Fault)>, Vec<(u8, u8)>, bool, u8) -> TestResult);
}
