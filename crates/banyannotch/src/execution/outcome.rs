//! Derives the outcome of a request from how it ended, and reports it.

use super::phase::Phase;
use super::state::Ending;
use super::{Action, Decision};
use crate::admission::Finished;
use crate::ledger::RecordedOutcome;
use crate::request::{Completion, Failure, NotRun, Outcome, Reply, Submission, UnknownReason};

/// Returns the outcome of a call. A call that was dispatched and has no answer may have run, so its outcome
/// is unknown. A generation in the same state has failed, since it has no effect other than its tokens.
pub(super) fn call_outcome(ending: Ending, phase: Phase) -> Outcome {
    let doubt = Outcome::Unknown(UnknownReason::NoAnswer);
    match ending {
        Ending::Cancelled => phase.end(NotRun::Cancelled, doubt),
        Ending::Deadline => phase.end(NotRun::Deadline, doubt),
        Ending::NoSubstitute => phase.end(NotRun::NoRoute, doubt),
        Ending::Exhausted => phase.end(NotRun::Refused, doubt),
        Ending::Quarantined => phase.end(NotRun::Quarantined, doubt),
        other => outcome_of(other, phase, 0),
    }
}

/// Returns the outcome of a generation, or of a call whose ending does not depend on whether it ran.
pub(super) fn outcome_of(ending: Ending, phase: Phase, tokens: u32) -> Outcome {
    match ending {
        Ending::Completed => Outcome::Completed(Completion::Generated { tokens }),
        Ending::ServiceResult(result) => Outcome::Completed(Completion::Called { result }),
        Ending::Cancelled => phase.end(NotRun::Cancelled, Outcome::Failed(Failure::Cancelled)),
        Ending::Deadline => phase.end(NotRun::Deadline, Outcome::Failed(Failure::Deadline)),
        Ending::NoSubstitute => phase.end(NotRun::NoRoute, Outcome::Failed(Failure::NoReplacement)),
        Ending::Exhausted => phase.end(NotRun::Refused, Outcome::Failed(Failure::RetriesExhausted)),
        Ending::Quarantined => phase.end(NotRun::Quarantined, Outcome::Failed(Failure::Quarantined)),
        Ending::ServiceError => Outcome::Failed(Failure::Service),
        Ending::OutcomeUnknown(doubt) => Outcome::Unknown(doubt),
        Ending::ClaimRefused(reason) => phase.end(reason, Outcome::Failed(Failure::RetriesExhausted)),
        Ending::Recorded(recorded) => match recorded {
            RecordedOutcome::Completed { result } => Outcome::Completed(Completion::Called { result }),
            RecordedOutcome::Failed(failure) => Outcome::Failed(failure),
            RecordedOutcome::NotRun(reason) => Outcome::NotRun(reason),
            RecordedOutcome::Unknown(doubt) => Outcome::Unknown(doubt),
        },
    }
}

/// Converts an outcome to the form that the ledger records.
pub(super) fn to_recorded(outcome: &Outcome) -> RecordedOutcome {
    match outcome {
        Outcome::Completed(Completion::Called { result }) => {
            RecordedOutcome::Completed { result: result.clone() }
        }
        Outcome::Completed(Completion::Generated { .. }) => {
            RecordedOutcome::Completed { result: String::new() }
        }
        Outcome::NotRun(reason) => RecordedOutcome::NotRun(*reason),
        Outcome::Failed(failure) => RecordedOutcome::Failed(*failure),
        Outcome::Unknown(doubt) => RecordedOutcome::Unknown(*doubt),
    }
}

/// Reports the outcome of a request to the log, admission, routing and the caller.
pub(super) fn report_end(
    now_us: u64,
    submission: &Submission,
    outcome: Outcome,
    tokens: u32,
    actions: &mut Vec<Action>,
) {
    let request = submission.request;
    let elapsed_us = now_us.saturating_sub(submission.arrived_us);
    let completed = matches!(outcome, Outcome::Completed(_));
    actions.push(Action::Decide(Decision::Ended {
        request,
        outcome: outcome.kind(),
        reason: outcome.reason(),
        tokens,
        elapsed_us,
    }));
    actions.push(Action::Finished(Finished { request, tokens, elapsed_us, completed }));
    actions.push(Action::Reply(Reply::Ended { request, outcome }));
}
