//! One call of a plain service. A call that must not be repeated is claimed in the ledger and sent once; an
//! idempotent call may be retried.

use super::error::CallFault;
use super::phase::Phase;
use super::state::{Context, Ending, Flow};
use super::{Action, CallCommand, CallReport, Decision, RecoveryMethod};
use crate::clock::US_PER_MS;
use crate::ids::{Attempt, EndpointId, RequestId};
use crate::ledger::{self, Nonce};
use crate::pipeline::Target;
use crate::request::{Call as CallWork, Repeat, Submission, UnknownReason};
use crate::routing::{Assignment, Need, Replacement, Reroute};

/// State of a call in flight.
#[derive(Debug)]
pub(super) struct Call {
    pub submission: Box<Submission>,
    pub phase: Phase,
    pub attempt: Attempt,
    pub awaiting: Awaiting,
    /// Nonce of the granted claim, which allows a call that must not be repeated to be sent.
    pub nonce: Option<Nonce>,
    /// Whether the caller disconnected while the call waited for the ledger or the service.
    pub abandoned: bool,
    work: CallWork,
    target: Target,
    recoveries: u32,
    last_progress_us: u64,
}

/// What a call waits for.
#[derive(Debug)]
pub(super) enum Awaiting {
    /// The ledger's answer to the claim.
    Claim,
    /// The service's answer.
    Answer {
        /// Time at which the call has timed out. An idempotent call is then retried on another endpoint.
        due_us: u64,
    },
    /// The probe that shows whether a broken connection was a crash.
    CrashCheck,
    /// A substitute from routing.
    Substitute {
        /// Time of the next request to routing; none while routing's answer is outstanding.
        retry_us: Option<u64>,
    },
}

impl Call {
    /// Creates a call that has not been sent.
    pub fn new(submission: Box<Submission>, work: CallWork, target: Target, now_us: u64) -> Self {
        Self {
            submission,
            phase: Phase::new(),
            attempt: Attempt(1),
            awaiting: Awaiting::Claim,
            nonce: None,
            abandoned: false,
            work,
            target,
            recoveries: 0,
            last_progress_us: now_us,
        }
    }

    /// Returns the identifier of the request.
    pub fn request(&self) -> RequestId {
        self.submission.request
    }

    /// Returns the endpoint that is called.
    pub fn target(&self) -> &Target {
        &self.target
    }

    /// Returns whether the call waits for a probe of an endpoint after a broken connection.
    pub fn is_checking_crash_of(&self, endpoint: &EndpointId) -> bool {
        matches!(self.awaiting, Awaiting::CrashCheck) && self.target.endpoint == *endpoint
    }

    /// Sends an idempotent call to the service. For a call that must not be repeated, first requests a claim
    /// from the ledger.
    pub fn begin(&mut self, context: &mut Context<'_>) {
        match &self.work.repeat {
            Repeat::Idempotent => self.send(context),
            Repeat::AtMostOnce(key) => {
                let claim = ledger::Claim {
                    request: self.request(),
                    key: key.clone(),
                    payload: self.submission.fingerprint(),
                    deadline_us: self.submission.deadline_us,
                };
                context.emit(Action::Ledger(ledger::Event::Claim(claim)));
            }
        }
    }

    /// Handles the ledger's answer to the claim.
    pub fn on_claimed(&mut self, verdict: ledger::Verdict, context: &mut Context<'_>) -> Flow {
        if !matches!(self.awaiting, Awaiting::Claim) {
            return Flow::Continue;
        }
        match verdict {
            ledger::Verdict::Granted(nonce) => {
                self.nonce = Some(nonce);
                if self.abandoned {
                    return Flow::End(Ending::Cancelled);
                }
                if self.submission.deadline_us <= context.now_us {
                    return Flow::End(Ending::Deadline);
                }
                self.send(context);
                Flow::Continue
            }
            ledger::Verdict::Recorded(recorded) => Flow::End(Ending::Recorded(recorded)),
            ledger::Verdict::Refused(reason) => Flow::End(Ending::ClaimRefused(reason)),
            ledger::Verdict::Unknown(doubt) => Flow::End(Ending::OutcomeUnknown(doubt)),
        }
    }

    /// Handles the report of the call. A report of an earlier attempt is ignored.
    pub fn on_report(&mut self, report: CallReport, context: &mut Context<'_>) -> Flow {
        if report.attempt != self.attempt || !matches!(self.awaiting, Awaiting::Answer { .. }) {
            return Flow::Continue;
        }
        match report.result {
            Ok(result) => {
                self.phase.mark_ran();
                Flow::End(Ending::ServiceResult(result))
            }
            Err(fault) => self.on_fault(&fault, context),
        }
    }

    /// Handles the failure of the outstanding call.
    pub fn on_fault(&mut self, fault: &CallFault, context: &mut Context<'_>) -> Flow {
        self.phase.mark_failed(fault.not_started());
        context.emit(Action::Decide(Decision::Fault {
            request: self.request(),
            endpoint: self.target.endpoint.clone(),
            fault: fault.to_string(),
        }));
        let repeatable = matches!(self.work.repeat, Repeat::Idempotent);
        match fault {
            CallFault::Failed => Flow::End(Ending::ServiceError),
            CallFault::NotSent | CallFault::Refused => self.request_substitute(context),
            CallFault::Broken if repeatable => {
                self.awaiting = Awaiting::CrashCheck;
                Flow::Continue
            }
            CallFault::TimedOut if repeatable => self.request_substitute(context),
            CallFault::Broken => Flow::End(Ending::OutcomeUnknown(UnknownReason::ConnectionLost)),
            CallFault::TimedOut => Flow::End(Ending::OutcomeUnknown(UnknownReason::NoAnswer)),
        }
    }

    /// Requests another endpoint from routing, within the recovery limit and the retry budget.
    pub fn request_substitute(&mut self, context: &mut Context<'_>) -> Flow {
        self.recoveries += 1;
        if self.recoveries > context.settings.recoveries_limit || !context.budget.take() {
            return Flow::End(Ending::Exhausted);
        }
        self.reroute(context);
        Flow::Continue
    }

    /// Handles routing's answer.
    pub fn on_reroute_result(&mut self, found: Replacement, context: &mut Context<'_>) {
        if !matches!(self.awaiting, Awaiting::Substitute { .. }) {
            return;
        }
        let Replacement::Assignment(Assignment::Service(target)) = found else {
            let retry_us = context.now_us + context.settings.reroute_interval_ms * US_PER_MS;
            self.awaiting = Awaiting::Substitute { retry_us: Some(retry_us) };
            return;
        };
        let failed = std::mem::replace(&mut self.target, target);
        self.attempt = Attempt(self.attempt.0 + 1);
        context.emit(Action::Decide(Decision::Recovered {
            request: self.request(),
            attempt: self.attempt,
            method: RecoveryMethod::Retry,
            failed: failed.endpoint,
            endpoint: self.target.endpoint.clone(),
            positions: 0,
            resent_bytes: 0,
            stalled_us: context.now_us.saturating_sub(self.last_progress_us),
        }));
        self.send(context);
    }

    /// Handles an answer that is overdue, or a pause that has ended.
    pub fn on_timer(&mut self, context: &mut Context<'_>) -> Flow {
        match self.awaiting {
            Awaiting::Answer { due_us } if due_us <= context.now_us => {
                self.on_fault(&CallFault::TimedOut, context)
            }
            Awaiting::Substitute { retry_us: Some(retry_us) } if retry_us <= context.now_us => {
                self.reroute(context);
                Flow::Continue
            }
            Awaiting::Answer { .. }
            | Awaiting::Substitute { .. }
            | Awaiting::Claim
            | Awaiting::CrashCheck => Flow::Continue,
        }
    }

    /// Returns the idempotency key, if the call must not be repeated.
    pub fn key(&self) -> Option<&crate::request::IdempotencyKey> {
        match &self.work.repeat {
            Repeat::Idempotent => None,
            Repeat::AtMostOnce(key) => Some(key),
        }
    }

    fn send(&mut self, context: &mut Context<'_>) {
        self.phase.mark_dispatched();
        let remaining_us = self.submission.deadline_us.saturating_sub(context.now_us);
        let timeout_us = context.settings.call_timeout_ms * US_PER_MS;
        let timeout_us = match self.work.repeat {
            Repeat::Idempotent => remaining_us.min(timeout_us),
            Repeat::AtMostOnce(_) => remaining_us,
        };
        self.awaiting = Awaiting::Answer { due_us: context.now_us + timeout_us };
        context.emit(Action::Decide(Decision::Dispatched {
            request: self.request(),
            attempt: self.attempt,
            endpoint: self.target.endpoint.clone(),
        }));
        context.emit(Action::Call(Box::new(CallCommand {
            request: self.request(),
            attempt: self.attempt,
            target: self.target.clone(),
            operation: self.work.operation.clone(),
            payload: self.work.payload.clone(),
            key: self.key().map(|key| key.key.clone()),
            timeout_ms: timeout_us / US_PER_MS + 1,
        })));
    }

    fn reroute(&mut self, context: &mut Context<'_>) {
        let failed = self.target.endpoint.clone();
        context.emit(Action::Reroute(Reroute { request: self.request(), need: Need::Service, failed }));
        self.awaiting = Awaiting::Substitute { retry_us: None };
    }
}
