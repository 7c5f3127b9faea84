//! A model whose answers can be checked.
//!
//! Each layer keeps a running state per cache, and its output depends on that state, its input and its number. A token
//! that missed a layer, ran one twice or out of order, or used another request's cache therefore comes out wrong.

#[cfg(test)]
mod tests;

use banyannotch::engine::{Input, Token};
use banyannotch::ids::{ModelId, ModelVersion};
use banyannotch::pipeline::LayerRange;
use banyannotch::random::mix;
use banyannotch::request::digest;

/// Number of distinct tokens.
pub const VOCABULARY: u64 = 50_000;

/// Separates token numbers from words of the prompt, so that a token never equals a word by accident.
const TOKEN_TAG: u64 = 0x746f_6b65_6e00_0000;

/// Identity of a model; every part of it changes the answers, except the rule for the end.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Model {
    /// Name.
    pub name: ModelId,
    /// Version of the weights.
    pub version: ModelVersion,
    /// One token in this many ends the answer; 0 means none.
    pub end_every: u64,
}

impl Model {
    /// Creates a model whose answers have no end of their own.
    pub fn new(name: &str, version: u32) -> Self {
        Self { name: name.into(), version: ModelVersion(version), end_every: 0 }
    }

    /// Returns the states of the given layers of an empty cache.
    pub fn empty_states(&self, layers: LayerRange) -> Vec<u64> {
        let name = digest(&[self.name.as_str()]).0 as u64;
        let seed = mix(name ^ u64::from(self.version.0));
        (layers.begin..layers.end).map(|layer| mix(seed ^ mix(u64::from(layer)))).collect()
    }

    /// Runs one position through the layers and updates their states.
    pub fn run_position(&self, layers: LayerRange, states: &mut [u64], input: u64) -> u64 {
        (layers.begin..).zip(states).fold(input, |value, (layer, state)| {
            *state = mix(state.rotate_left(9) ^ value ^ (u64::from(layer) << 48));
            mix(value ^ *state)
        })
    }

    /// Returns the token that the output of the last layer stands for.
    pub fn token(&self, output: u64) -> Token {
        let id = (output % VOCABULARY) as u32;
        let end = self.end_every > 0 && mix(output).is_multiple_of(self.end_every);
        Token { id, text: word(id), end }
    }
}

/// Returns the text of a token.
pub fn word(id: u32) -> String {
    const CONSONANTS: &[u8; 16] = b"bdfghjklmnprstvz";
    const VOWELS: &[u8; 4] = b"aeio";
    let mut text = String::from(" ");
    // Three syllables of six bits tell apart 262,144 tokens, more than the vocabulary holds.
    for syllable in 0..3 {
        let bits = (id >> (6 * syllable)) as usize;
        let consonant = CONSONANTS.get(bits & 15).copied().unwrap_or_default();
        let vowel = VOWELS.get((bits >> 4) & 3).copied().unwrap_or_default();
        text.push(char::from(consonant));
        text.push(char::from(vowel));
    }
    text
}

/// Returns the input value of one token.
pub fn token_value(id: u32) -> u64 {
    mix(TOKEN_TAG ^ u64::from(id))
}

/// Splits a prompt into positions: one for each word.
pub fn prompt_values(prompt: &str) -> impl Iterator<Item = u64> + '_ {
    prompt.split_whitespace().map(|word| digest(&[word]).0 as u64)
}

/// Returns the input values of a step, one for each position.
pub fn input_values(input: &Input) -> Vec<u64> {
    match input {
        Input::Prompt { prompt, tokens } => {
            prompt_values(prompt).chain(tokens.iter().copied().map(token_value)).collect()
        }
        Input::Tokens { tokens } => tokens.iter().copied().map(token_value).collect(),
        Input::Hidden { hidden } => hidden.clone(),
    }
}

/// Computes in one go the answer that any correct pipeline of `layers` layers gives.
pub fn reference_answer(model: &Model, layers: u16, prompt: &str, max_tokens: u32) -> Vec<Token> {
    let range = LayerRange::new(0, layers);
    let mut states = model.empty_states(range);
    let mut inputs: Vec<u64> = prompt_values(prompt).collect();
    let mut tokens = Vec::new();
    while !inputs.is_empty() && tokens.len() < max_tokens as usize {
        let output = inputs.iter().fold(0, |_, input| model.run_position(range, &mut states, *input));
        let token = model.token(output);
        let end = token.end;
        inputs = if end { Vec::new() } else { vec![token_value(token.id)] };
        tokens.push(token);
    }
    tokens
}
