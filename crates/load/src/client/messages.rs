//! Generation requests and the checked results of requests.

use banyannotch_standins::caller::OutcomeBody;
use banyannotch_standins::model::{Model, reference_answer};
use serde::Serialize;

/// Request for one generation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GenerationRequest {
    /// Prompt text.
    pub prompt: String,
    /// Maximum number of tokens in the answer.
    pub max_tokens: u32,
    /// Time from sending to the deadline.
    pub deadline_ms: u64,
}

/// How a request ended, as the caller observed it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeKind {
    /// Reported as completed, with the complete and correct answer.
    Right,
    /// Reported as completed with an incorrect answer, or with any outcome after an incorrect token.
    Wrong,
    /// Reported as not run (`not_run`).
    NotRun,
    /// Reported as failed.
    Failed,
    /// Reported with an unknown outcome.
    Unknown,
    /// No outcome arrived.
    Broken,
}

impl OutcomeKind {
    /// Classifies an outcome; `right` is whether the answer is complete and correct.
    pub fn of(outcome: &OutcomeBody, right: bool) -> Self {
        match outcome.outcome.as_str() {
            "completed" if right => Self::Right,
            "completed" => Self::Wrong,
            "not_run" => Self::NotRun,
            "failed" => Self::Failed,
            _ => Self::Unknown,
        }
    }

    /// Returns the name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Right => "right",
            Self::Wrong => "wrong",
            Self::NotRun => "not_run",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
            Self::Broken => "broken",
        }
    }
}

/// Result of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestResult {
    /// How it ended.
    pub kind: OutcomeKind,
    /// Reason that the entry reported, or the text of the error.
    pub reason: String,
    /// Identifier of the request in the system, if the outcome contains one.
    pub request: Option<String>,
    /// When each token arrived, in microseconds since the request was sent.
    pub token_times_us: Vec<u64>,
    /// When the outcome arrived, in microseconds since the request was sent.
    pub outcome_us: u64,
}

/// Client that runs generations, either through an entry or directly on the engines.
pub trait Generator {
    /// Runs one generation and checks its tokens against the reference answer.
    fn generate(&self, generation: &GenerationRequest) -> impl Future<Output = RequestResult>;
}

/// Compares tokens with the reference answer.
pub(super) fn compare_tokens(
    model: &Model,
    layers: u16,
    generation: &GenerationRequest,
    tokens: &[u32],
) -> TokenMatch {
    let expected = reference_answer(model, layers, &generation.prompt, generation.max_tokens);
    let is_prefix = tokens.len() <= expected.len()
        && tokens.iter().zip(&expected).all(|(token, expected)| *token == expected.id);
    match (is_prefix, tokens.len() == expected.len()) {
        (false, _) => TokenMatch::Mismatch,
        (true, true) => TokenMatch::Full,
        (true, false) => TokenMatch::Prefix,
    }
}

/// Result of the comparison with the reference answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum TokenMatch {
    /// The tokens are the whole reference answer.
    Full,
    /// The tokens are a proper prefix of the reference answer.
    Prefix,
    /// The tokens differ from the reference answer.
    Mismatch,
}
