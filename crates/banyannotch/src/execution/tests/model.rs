//! A small model whose layers depend on all previous positions, so that a lost, repeated or foreign step
//! changes the answer.

use crate::pipeline::LayerRange;
use crate::random::mix;

/// Number of layers of the model.
pub const LAYERS: u16 = 6;

/// State of a range of layers in one cache.
#[derive(Clone, Debug, Default)]
pub struct Layers {
    pub positions: u32,
    states: Vec<u64>,
}

impl Layers {
    /// Runs one position through the layers.
    pub fn run(&mut self, layers: LayerRange, input: u64) -> u64 {
        self.states.resize(usize::from(layers.len()), 0);
        self.positions += 1;
        (layers.begin..).zip(&mut self.states).fold(input, |value, (layer, state)| {
            *state = mix(*state ^ value ^ u64::from(layer));
            mix(value ^ *state)
        })
    }
}

/// Returns the input values of a prompt, one for each byte.
pub fn prompt_values(prompt: &str) -> Vec<u64> {
    prompt.bytes().map(|byte| mix(u64::from(byte))).collect()
}

/// Returns the input value of a token.
pub fn token_value(token: u32) -> u64 {
    mix(u64::from(token) << 20)
}

/// Returns the token of an output of the last layer.
pub fn token(output: u64) -> u32 {
    (output % 1_000) as u32
}

/// Returns the answer that every correct pipeline gives.
pub fn reference(prompt: &str, tokens: usize) -> Vec<u32> {
    let mut layers = Layers::default();
    let all = LayerRange::new(0, LAYERS);
    let mut inputs = prompt_values(prompt);
    let mut answer = Vec::new();
    while answer.len() < tokens {
        let output = inputs.iter().fold(0, |_, input| layers.run(all, *input));
        answer.push(token(output));
        inputs = vec![token_value(token(output))];
    }
    answer
}
