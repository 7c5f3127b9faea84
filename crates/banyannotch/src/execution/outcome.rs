//! Which outcome the end of a request has, and who is told.

use super::phase::Phase;
use super::state::Ending;
use super::{Action, Decision};
use crate::admission::Finished;
use crate::ledger::Recorded;
use crate::request::{Completion, Failure, NotRun, Outcome, Reply, Submission, UnknownReason};

/// A call that was dispatched and has no answer may have run, unlike a generation, which has no effect but its tokens.
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

/// Returns the outcome of a generation, or of a call whose ending leaves no doubt.
pub(super) fn outcome_of(ending: Ending, phase: Phase, tokens: u32) -> Outcome {
    match ending {
        Ending::Completed => Outcome::Completed(Completion::Generated { tokens }),
        Ending::Called(result) => Outcome::Completed(Completion::Called { result }),
        Ending::Cancelled => phase.end(NotRun::Cancelled, Outcome::Failed(Failure::Cancelled)),
        Ending::Deadline => phase.end(NotRun::Deadline, Outcome::Failed(Failure::Deadline)),
        Ending::NoSubstitute => phase.end(NotRun::NoRoute, Outcome::Failed(Failure::NoReplacement)),
        Ending::Exhausted => phase.end(NotRun::Refused, Outcome::Failed(Failure::RetriesExhausted)),
        Ending::Quarantined => phase.end(NotRun::Quarantined, Outcome::Failed(Failure::Quarantined)),
        Ending::ServiceFailed => Outcome::Failed(Failure::Service),
        Ending::Doubtful(doubt) => Outcome::Unknown(doubt),
        Ending::NotGranted(reason) => phase.end(reason, Outcome::Failed(Failure::RetriesExhausted)),
        Ending::Recorded(recorded) => match recorded {
            Recorded::Completed { result } => Outcome::Completed(Completion::Called { result }),
            Recorded::Failed(failure) => Outcome::Failed(failure),
            Recorded::NotRun(reason) => Outcome::NotRun(reason),
            Recorded::Unknown(doubt) => Outcome::Unknown(doubt),
        },
    }
}

/// Returns an outcome as the ledger records it.
pub(super) fn recorded(outcome: &Outcome) -> Recorded {
    match outcome {
        Outcome::Completed(Completion::Called { result }) => Recorded::Completed { result: result.clone() },
        Outcome::Completed(Completion::Generated { .. }) => Recorded::Completed { result: String::new() },
        Outcome::NotRun(reason) => Recorded::NotRun(*reason),
        Outcome::Failed(failure) => Recorded::Failed(*failure),
        Outcome::Unknown(doubt) => Recorded::Unknown(*doubt),
    }
}

/// Tells the caller, admission, routing and the log how a request ended.
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
    actions.push(Action::Finished(Finished { request, tokens, service_us: elapsed_us, completed }));
    actions.push(Action::Reply(Reply::Ended { request, outcome }));
}
