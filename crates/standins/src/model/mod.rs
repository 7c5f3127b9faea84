//! Deterministic model whose answers can be checked.
//!
//! Each layer keeps a running state per cache, and its output depends on that state, its input and its
//! number. If a position skips a layer, runs through one twice or out of order, or uses another request's
//! cache, the resulting token therefore differs from the reference.

#[cfg(test)]
mod tests;

use banyannotch::engine::{Input, Token};
use banyannotch::ids::{ModelId, ModelVersion};
use banyannotch::pipeline::LayerRange;
use banyannotch::random::mix;
use banyannotch::request::digest;

/// Number of distinct tokens in the vocabulary.
pub const VOCABULARY_SIZE: u64 = 50_000;

/// Mixed into the input values of tokens, so that they do not coincide with those of words in a prompt.
const TOKEN_TAG: u64 = 0x746f_6b65_6e00_0000;

/// Identity of a model and its rule for the end of an answer. The name and version determine the tokens; the
/// rule only determines where an answer ends.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Model {
    /// Identifier of the model.
    pub name: ModelId,
    /// Version of the weights.
    pub version: ModelVersion,
    /// One in this many tokens ends the answer, on average; 0 means that no token does.
    pub end_every: u64,
}

impl Model {
    /// Creates a model whose answers never end before the requested number of tokens.
    pub fn new(name: &str, version: u32) -> Self {
        Self { name: name.into(), version: ModelVersion(version), end_every: 0 }
    }

    /// Returns the initial states of the given layers, as in an empty cache.
    pub fn initial_states(&self, layers: LayerRange) -> Vec<u64> {
        let name = digest(&[self.name.as_str()]).0 as u64;
        let seed = mix(name ^ u64::from(self.version.0));
        (layers.begin..layers.end).map(|layer| mix(seed ^ mix(u64::from(layer)))).collect()
    }

    /// Runs one position through the layers, updates their states and returns the output of the last layer.
    pub fn run_position(&self, layers: LayerRange, states: &mut [u64], input: u64) -> u64 {
        (layers.begin..).zip(states).fold(input, |value, (layer, state)| {
            *state = mix(state.rotate_left(9) ^ value ^ (u64::from(layer) << 48));
            mix(value ^ *state)
        })
    }

    /// Returns the token for an output of the model's last layer.
    pub fn token(&self, output: u64) -> Token {
        let id = (output % VOCABULARY_SIZE) as u32;
        let end = self.end_every > 0 && mix(output).is_multiple_of(self.end_every);
        Token { id, text: token_text(id), end }
    }
}

/// Returns the text of a token: a space and three syllables that encode its number.
pub fn token_text(id: u32) -> String {
    const CONSONANTS: &[u8; 16] = b"bdfghjklmnprstvz";
    const VOWELS: &[u8; 4] = b"aeio";
    let mut text = String::from(" ");
    // Three syllables of six bits encode 262,144 distinct tokens, more than the vocabulary has.
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

/// Returns the input values of a prompt, one for each word.
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

/// Computes the answer that any correct pipeline over `layers` layers generates, by running all layers in one
/// place.
pub fn reference_answer(model: &Model, layers: u16, prompt: &str, max_tokens: u32) -> Vec<Token> {
    let range = LayerRange::new(0, layers);
    let mut states = model.initial_states(range);
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
