//! What is asked and what came back.

use banyannotch_standins::caller::OutcomeBody;
use banyannotch_standins::model::{Model, reference_answer};
use serde::Serialize;

/// One generation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ask {
    /// Prompt text.
    pub prompt: String,
    /// Most tokens.
    pub max_tokens: u32,
    /// Time to the deadline.
    pub deadline_ms: u64,
}

/// How a request ended, from the caller's side.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Whole and right.
    Right,
    /// Reported as completed, but not the right answer; or a token that is not the right one.
    Wrong,
    /// Reported as not run.
    NotRun,
    /// Reported as failed.
    Failed,
    /// Reported as unknown.
    Unknown,
    /// No outcome arrived.
    Broken,
}

impl Kind {
    /// Judges an outcome whose content is right or not.
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

/// What came back.
#[derive(Clone, Debug, PartialEq)]
pub struct Received {
    /// How it ended.
    pub kind: Kind,
    /// Typed reason of the entry, or the error.
    pub reason: String,
    /// Name of the request inside the system, if an outcome gave one.
    pub request: Option<String>,
    /// When each token arrived, in microseconds since the request was sent.
    pub token_us: Vec<u64>,
    /// When the outcome arrived, in microseconds since the request was sent.
    pub whole_us: u64,
}

/// Runs generations over one path.
pub trait Generator {
    /// Runs one generation and checks it.
    fn generate(&self, ask: &Ask) -> impl Future<Output = Received>;
}

/// Returns whether tokens are those of the reference answer, or its beginning.
pub(super) fn matches(model: &Model, layers: u16, ask: &Ask, tokens: &[u32]) -> Match {
    let expected = reference_answer(model, layers, &ask.prompt, ask.max_tokens);
    let begins = tokens.len() <= expected.len()
        && tokens.iter().zip(&expected).all(|(token, expected)| *token == expected.id);
    match (begins, tokens.len() == expected.len()) {
        (false, _) => Match::Wrong,
        (true, true) => Match::Whole,
        (true, false) => Match::Part,
    }
}

/// How tokens compare to the reference answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Match {
    /// The whole answer.
    Whole,
    /// Its beginning.
    Part,
    /// Another answer.
    Wrong,
}
