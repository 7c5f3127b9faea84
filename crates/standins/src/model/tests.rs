//! Guards against a model that generates the reference answer in a wrong pipeline, and against answers that
//! change between versions of the code.

use banyannotch::pipeline::LayerRange;
use quickcheck::{Gen, QuickCheck, TestResult};

use super::{Model, prompt_values, reference_answer, token_value};

/// Seed of the random prompts and splits; fixed so that failures are reproducible.
const SEED: u64 = 1;

const LAYERS: u16 = 8;
const PROMPT: &str = "draft a letter for the delayed flight";

/// Generates tokens through a pipeline whose stages run the layers of `order`, in that order, and returns
/// their numbers.
fn run(order: &[LayerRange], prompt: &str, max_tokens: usize) -> Vec<u32> {
    let model = Model::new("m", 1);
    let mut states: Vec<Vec<u64>> = order.iter().map(|layers| model.initial_states(*layers)).collect();
    let mut inputs: Vec<u64> = prompt_values(prompt).collect();
    let mut ids = Vec::new();
    for _ in 0..max_tokens {
        let mut last_output = 0;
        for input in &inputs {
            last_output = order
                .iter()
                .zip(&mut states)
                .fold(*input, |value, (layers, states)| model.run_position(*layers, states, value));
        }
        let token = model.token(last_output);
        ids.push(token.id);
        inputs = vec![token_value(token.id)];
    }
    ids
}

fn reference(prompt: &str, max_tokens: u32) -> Vec<u32> {
    let model = Model::new("m", 1);
    reference_answer(&model, LAYERS, prompt, max_tokens).iter().map(|token| token.id).collect()
}

fn range(begin: u16, end: u16) -> LayerRange {
    LayerRange::new(begin, end)
}

#[test]
fn reference_answer_is_stable() {
    let model = Model { end_every: 6, ..Model::new("m", 1) };
    insta::assert_debug_snapshot!(reference_answer(&model, LAYERS, PROMPT, 12));
    assert_eq!(reference_answer(&model, LAYERS, "  ", 4), Vec::new());
}

#[test]
fn any_layer_split_generates_reference_answer() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes owned values")]
    fn property(prompt: String, cuts: Vec<u16>) -> TestResult {
        if prompt.trim().is_empty() {
            return TestResult::discard();
        }
        let mut ends: Vec<u16> = cuts.into_iter().map(|cut| cut % LAYERS).filter(|cut| *cut > 0).collect();
        ends.push(LAYERS);
        ends.sort_unstable();
        ends.dedup();
        let begins = std::iter::once(0).chain(ends.iter().copied());
        let stages: Vec<LayerRange> = begins.zip(&ends).map(|(begin, end)| range(begin, *end)).collect();
        TestResult::from_bool(run(&stages, &prompt, 4) == reference(&prompt, 4))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, SEED))
        .tests(100)
        .quickcheck(property as fn(String, Vec<u16>) -> TestResult);
}

#[test]
fn wrong_pipelines_generate_different_tokens() {
    let expected = reference(PROMPT, 4);
    let cases: [(&str, &[LayerRange]); 4] = [
        ("missing layer", &[range(0, 3), range(4, 8)]),
        ("layer twice", &[range(0, 4), range(3, 8)]),
        ("other order", &[range(4, 8), range(0, 4)]),
        ("layers missing at the end", &[range(0, 7)]),
    ];
    for (name, order) in cases {
        assert_ne!(
            run(order, PROMPT, 4),
            expected,
            "a wrong pipeline ({name}) generated the reference tokens"
        );
    }
    assert_ne!(
        reference("draft a letter for the cancelled flight", 4),
        expected,
        "another prompt generated the same tokens"
    );
    let other_version = reference_answer(&Model::new("m", 2), LAYERS, PROMPT, 4);
    assert_ne!(
        other_version.iter().map(|token| token.id).collect::<Vec<_>>(),
        expected,
        "another version generated the same tokens"
    );
}

#[test]
fn different_caches_generate_different_outputs() {
    let model = Model::new("m", 1);
    let layers = range(0, LAYERS);
    let outputs: Vec<u64> = ["first prompt", "second prompt"]
        .iter()
        .map(|prompt| {
            let mut states = model.initial_states(layers);
            for value in prompt_values(prompt) {
                model.run_position(layers, &mut states, value);
            }
            model.run_position(layers, &mut states, token_value(7))
        })
        .collect();
    assert_ne!(outputs[0], outputs[1], "the same input gave the same output in two caches");
}
