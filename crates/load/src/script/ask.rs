//! The `ask` command: one generation, printed token by token.

use std::io::Write;

use banyannotch::pipeline::Address;
use banyannotch_standins::caller::{Answer, Caller, CallerError, Event, GenerateBody};
use banyannotch_standins::model::{Model, reference_answer};

use super::{Ask, Summary};
use crate::{LoadError, Result, Verdict};

/// Runs a generation, prints each token once, and checks the complete answer. After a broken connection the
/// request is sent to the next entry.
///
/// # Errors
/// Returns [`LoadError`] when no entry returns an outcome or the output cannot be written.
pub async fn ask(ask: &Ask, output: &mut impl Write) -> Result<Verdict> {
    let body = GenerateBody {
        model: ask.model.clone(),
        prompt: ask.prompt.clone(),
        max_tokens: ask.max_tokens,
        deadline_ms: ask.deadline_ms,
    };
    let caller = Caller::new(&ask.token);
    let mut printed = 0;
    let mut last_error = CallerError::NoOutcome;
    for entry in &ask.entries {
        match stream(&caller, *entry, &body, &mut printed, output).await? {
            Ok(answer) => return finish(ask, &answer, output),
            Err(error) => {
                log::warn!("event=resend entry={entry} error=\"{error}\"");
                last_error = error;
            }
        }
    }
    Err(LoadError::NoAnswer { entries: ask.entries.len(), last: last_error })
}

/// Reads the answer of one entry and prints the tokens that earlier, broken answers did not contain.
async fn stream(
    caller: &Caller,
    entry: Address,
    body: &GenerateBody,
    printed: &mut usize,
    output: &mut impl Write,
) -> Result<std::result::Result<Answer, CallerError>> {
    let mut stream = match caller.generate(entry, body).await {
        Ok(stream) => stream,
        Err(error) => return Ok(Err(error)),
    };
    let mut answer = Answer { status: stream.status(), ..Answer::default() };
    loop {
        match stream.next().await {
            Ok(Some(Event::Token(token))) => {
                answer.tokens.push(token.id);
                answer.indexes.push(token.index);
                if answer.tokens.len() > *printed {
                    *printed = answer.tokens.len();
                    print(output, &token.text)?;
                }
            }
            Ok(Some(Event::Outcome(outcome))) => answer.outcome = outcome,
            Ok(None) => return Ok(Ok(answer)),
            Err(error) => return Ok(Err(error)),
        }
    }
}

fn finish(ask: &Ask, answer: &Answer, output: &mut impl Write) -> Result<Verdict> {
    let model = Model::new(&ask.model, ask.version);
    let expected = reference_answer(&model, ask.layers, &ask.prompt, ask.max_tokens);
    let in_order = answer.indexes.iter().copied().eq(0..answer.indexes.len() as u32);
    let right = in_order && answer.tokens.iter().copied().eq(expected.iter().map(|token| token.id));
    let summary = Summary { outcome: &answer.outcome, right, tokens: Some(answer.tokens.len()) };
    print(output, &format!("\n{summary}\n"))?;
    Ok(Verdict::of(summary.passed()))
}

pub(super) fn print(output: &mut impl Write, text: &str) -> Result<()> {
    output
        .write_all(text.as_bytes())
        .and_then(|()| output.flush())
        .map_err(|source| LoadError::Write { name: "standard output".to_owned(), source })
}
