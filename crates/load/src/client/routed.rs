//! Client that runs generations through an entry.

use std::time::Instant;

use banyannotch::pipeline::Address;
use banyannotch_standins::caller::{Caller, CallerError, Event, GenerateBody, OutcomeBody};
use banyannotch_standins::model::Model;

use super::messages::{TokenMatch, compare_tokens};
use super::{GenerationRequest, Generator, OutcomeKind, RequestResult};

/// Client of one team that sends its generations to one entry.
#[derive(Clone)]
pub struct RoutedClient {
    /// Client with the team's token.
    pub caller: Caller,
    /// Entry that the requests are sent to.
    pub entry: Address,
    /// Requested model.
    pub model: Model,
    /// Number of layers of the model, for the reference answer.
    pub layers: u16,
}

impl Generator for RoutedClient {
    async fn generate(&self, generation: &GenerationRequest) -> RequestResult {
        let begin = Instant::now();
        let body = GenerateBody {
            model: self.model.name.to_string(),
            prompt: generation.prompt.clone(),
            max_tokens: generation.max_tokens,
            deadline_ms: generation.deadline_ms,
        };
        let (mut tokens, mut token_times_us) = (Vec::new(), Vec::new());
        let mut in_order = true;
        let outcome = self
            .read(&body, |index, id| {
                in_order &= index as usize == tokens.len();
                tokens.push(id);
                token_times_us.push(elapsed_us(begin));
            })
            .await;
        let outcome_us = elapsed_us(begin);
        let matched = if in_order {
            compare_tokens(&self.model, self.layers, generation, &tokens)
        } else {
            TokenMatch::Mismatch
        };
        let request = outcome.as_ref().ok().and_then(|outcome| outcome.request.clone());
        let (kind, reason) = classify(matched, outcome);
        RequestResult { kind, reason, request, token_times_us, outcome_us }
    }
}

impl RoutedClient {
    async fn read(
        &self,
        body: &GenerateBody,
        mut on_token: impl FnMut(u32, u32),
    ) -> Result<OutcomeBody, CallerError> {
        let mut stream = self.caller.generate(self.entry, body).await?;
        loop {
            match stream.next().await? {
                Some(Event::Token(token)) => on_token(token.index, token.id),
                Some(Event::Outcome(outcome)) => return Ok(outcome),
                None => return Err(CallerError::NoOutcome),
            }
        }
    }
}

fn classify(matched: TokenMatch, outcome: Result<OutcomeBody, CallerError>) -> (OutcomeKind, String) {
    match (matched, outcome) {
        (TokenMatch::Mismatch, _) => (OutcomeKind::Wrong, "other_tokens".to_owned()),
        (_, Err(error)) => (OutcomeKind::Broken, error.to_string()),
        (matched, Ok(outcome)) => {
            (OutcomeKind::of(&outcome, matched == TokenMatch::Full), outcome.reason.unwrap_or_default())
        }
    }
}

pub(super) fn elapsed_us(begin: Instant) -> u64 {
    u64::try_from(begin.elapsed().as_micros()).unwrap_or(u64::MAX)
}
