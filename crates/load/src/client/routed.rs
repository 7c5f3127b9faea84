//! Generations through an entry.

use std::time::Instant;

use banyannotch::pipeline::Address;
use banyannotch_standins::caller::{Caller, CallerError, Event, GenerateBody, OutcomeBody};
use banyannotch_standins::model::Model;

use super::messages::{Match, matches};
use super::{Ask, Generator, Kind, Received};

/// A caller of one team at one entry.
#[derive(Clone)]
pub struct Routed {
    /// Client with the team's token.
    pub caller: Caller,
    /// Entry to ask.
    pub entry: Address,
    /// Model to ask for.
    pub model: Model,
    /// Layers of the model.
    pub layers: u16,
}

impl Generator for Routed {
    async fn generate(&self, ask: &Ask) -> Received {
        let begin = Instant::now();
        let body = GenerateBody {
            model: self.model.name.to_string(),
            prompt: ask.prompt.clone(),
            max_tokens: ask.max_tokens,
            deadline_ms: ask.deadline_ms,
        };
        let (mut tokens, mut token_us) = (Vec::new(), Vec::new());
        let mut in_order = true;
        let outcome = self
            .read(&body, |index, id| {
                in_order &= index as usize == tokens.len();
                tokens.push(id);
                token_us.push(elapsed_us(begin));
            })
            .await;
        let whole_us = elapsed_us(begin);
        let matched = if in_order { matches(&self.model, self.layers, ask, &tokens) } else { Match::Wrong };
        let request = outcome.as_ref().ok().and_then(|outcome| outcome.request.clone());
        let (kind, reason) = judge(matched, outcome);
        Received { kind, reason, request, token_us, whole_us }
    }
}

impl Routed {
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

fn judge(matched: Match, outcome: Result<OutcomeBody, CallerError>) -> (Kind, String) {
    match (matched, outcome) {
        (Match::Wrong, _) => (Kind::Wrong, "other_tokens".to_owned()),
        (_, Err(error)) => (Kind::Broken, error.to_string()),
        (matched, Ok(outcome)) => {
            (Kind::of(&outcome, matched == Match::Whole), outcome.reason.unwrap_or_default())
        }
    }
}

pub(super) fn elapsed_us(begin: Instant) -> u64 {
    u64::try_from(begin.elapsed().as_micros()).unwrap_or(u64::MAX)
}
