//! The `call` command: one call of a plain service.

use std::io::Write;

use banyannotch::clock::{Clock, SystemClock};
use banyannotch_standins::caller::{Answer, CallBody, Caller, CallerError};
use serde_json::Value;

use super::ask::print;
use super::{Call, KeyTime, Summary};
use crate::{LoadError, Result, Verdict};

/// Calls a service, prints the result and checks it. After a broken connection the same call, with the same
/// key, is sent to the next entry.
///
/// # Errors
/// Returns [`LoadError`] when no entry returns an outcome or the output cannot be written.
pub async fn call(call: &Call, output: &mut impl Write) -> Result<Verdict> {
    let key_time_ms = call.key_time_ms.map(|time| match time {
        KeyTime::Now => SystemClock::start().unix_ms(),
        KeyTime::UnixMs(time_ms) => time_ms,
    });
    let body = CallBody {
        service: call.service.clone(),
        operation: call.operation.clone(),
        payload: call.payload.clone(),
        deadline_ms: call.deadline_ms,
        idempotent: call.idempotent,
        key: call.key.clone(),
        key_time_ms,
    };
    let caller = Caller::new(&call.token);
    let mut last_error = CallerError::NoOutcome;
    for entry in &call.entries {
        match caller.call(*entry, &body).await {
            Ok(answer) => return finish(call, &answer, output),
            Err(error) => {
                log::warn!("event=resend entry={entry} error=\"{error}\"");
                last_error = error;
            }
        }
    }
    Err(LoadError::NoAnswer { entries: call.entries.len(), last: last_error })
}

fn finish(call: &Call, answer: &Answer, output: &mut impl Write) -> Result<Verdict> {
    let result = answer.outcome.result.as_ref();
    if let Some(result) = result {
        print(output, &format!("{result}\n"))?;
    }
    let summary = Summary {
        outcome: &answer.outcome,
        right: echoes(result, &call.operation, &call.payload),
        tokens: None,
    };
    print(output, &format!("{summary}\n"))?;
    Ok(Verdict::of(summary.passed()))
}

/// Returns whether a result is the one that the stand-in service returns for this operation and payload.
pub(crate) fn echoes(result: Option<&Value>, operation: &str, payload: &Value) -> bool {
    result.is_some_and(|result| {
        result.get("operation").and_then(Value::as_str) == Some(operation)
            && result.get("payload") == Some(payload)
    })
}
