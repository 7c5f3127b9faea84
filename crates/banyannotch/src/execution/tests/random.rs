//! Runs requests with random combinations of faults, to cover combinations that the other tests do not list.

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

use super::model::reference;
use super::world::{Fault, World};
use crate::execution::ExecutionSettings;
use crate::request::{Completion, Outcome};

/// Number of cases in a run. A case takes well under a millisecond in a debug build.
const CASES: u64 = 3_000;

/// Fixed seed, so that each run of CI has the same result.
const SEED: u64 = 20_261_204;

/// Maximum size of the generated vectors.
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

/// Checks that answers are correct under the given faults (by step number) and requests (prompt and length).
/// `retain_inputs` sets a limit for retained inputs that is high enough for replays.
#[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
fn answers_match_reference(
    faults: Vec<(u8, Fault)>,
    requests: Vec<(u8, u8)>,
    retain_inputs: bool,
    replicas: u8,
) -> TestResult {
    if requests.is_empty() || requests.len() > 8 || faults.len() > 12 {
        return TestResult::discard();
    }
    let retained_limit_bytes = if retain_inputs { 1 << 20 } else { 5_000 };
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
        assert!(
            expected.starts_with(tokens),
            "request {request}: expected a prefix of {expected:?}, received {tokens:?}"
        );
        if *world.outcome(request) == Outcome::Completed(Completion::Generated { tokens: length }) {
            assert_eq!(tokens, expected, "request {request} completed with an incomplete answer");
        }
    }
    TestResult::passed()
}

#[test]
fn answers_are_correct_under_random_faults() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GENERATOR_SIZE, SEED))
        .tests(CASES)
        .max_tests(CASES * 20)
        .quickcheck(answers_match_reference as fn(Vec<(u8, Fault)>, Vec<(u8, u8)>, bool, u8) -> TestResult);
}
