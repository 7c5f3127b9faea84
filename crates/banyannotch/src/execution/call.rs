//! One call of a plain service: claimed first if it must not be repeated, then made once or retried.

use super::error::CallFault;
use super::phase::Phase;
use super::state::{Context, Ending, Flow};
use super::{Action, CallOrder, CallReport, Decision, Method};
use crate::clock::US_PER_MS;
use crate::ids::{Attempt, EndpointId, RequestId};
use crate::ledger::{self, Nonce};
use crate::pipeline::Target;
use crate::request::{Call as Order, Repeat, Submission, UnknownReason};
use crate::routing::{Assignment, Found, Need, Reroute};

/// A call that execution makes.
#[derive(Debug)]
pub(super) struct Call {
    pub submission: Box<Submission>,
    pub phase: Phase,
    pub attempt: Attempt,
    pub awaiting: Awaiting,
    /// Right to dispatch a call that must not be repeated.
    pub nonce: Option<Nonce>,
    /// The caller went away while the ledger was asked.
    pub abandoned: bool,
    order: Order,
    target: Target,
    recoveries: u32,
    progress_us: u64,
}

/// What a call waits for.
#[derive(Debug)]
pub(super) enum Awaiting {
    /// The ledger's answer.
    Claim,
    /// The service's answer.
    Answer {
        /// When an idempotent call is made again elsewhere.
        due_us: u64,
    },
    /// Whether a broken connection was a crash.
    CrashCheck,
    /// A substitute from routing.
    Substitute {
        /// When to ask again; none while an answer is due.
        retry_us: Option<u64>,
    },
}

impl Call {
    /// Creates a call that has not been dispatched.
    pub fn new(submission: Box<Submission>, order: Order, target: Target, now_us: u64) -> Self {
        Self {
            submission,
            phase: Phase::new(),
            attempt: Attempt(1),
            awaiting: Awaiting::Claim,
            nonce: None,
            abandoned: false,
            order,
            target,
            recoveries: 0,
            progress_us: now_us,
        }
    }

    /// Returns the request.
    pub fn request(&self) -> RequestId {
        self.submission.request
    }

    /// Returns the endpoint that is called.
    pub fn target(&self) -> &Target {
        &self.target
    }

    /// Returns whether a crash is being checked at an endpoint.
    pub fn checks_crash_of(&self, endpoint: &EndpointId) -> bool {
        matches!(self.awaiting, Awaiting::CrashCheck) && self.target.endpoint == *endpoint
    }

    /// Begins: with the ledger if the call must not be repeated, otherwise with the service.
    pub fn begin(&mut self, context: &mut Context<'_>) {
        match &self.order.repeat {
            Repeat::Idempotent => self.send(context),
            Repeat::AtMostOnce(key) => {
                let claim = ledger::Claim {
                    request: self.request(),
                    key: key.clone(),
                    payload: self.submission.fingerprint(),
                    deadline_us: self.submission.deadline_us,
                };
                context.act(Action::Ledger(ledger::Event::Claim(claim)));
            }
        }
    }

    /// Takes the ledger's answer.
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
            ledger::Verdict::Refused(reason) => Flow::End(Ending::NotGranted(reason)),
            ledger::Verdict::Unknown(doubt) => Flow::End(Ending::Doubtful(doubt)),
        }
    }

    /// Takes the service's answer. A report of an earlier attempt is ignored.
    pub fn on_report(&mut self, report: CallReport, context: &mut Context<'_>) -> Flow {
        if report.attempt != self.attempt || !matches!(self.awaiting, Awaiting::Answer { .. }) {
            return Flow::Continue;
        }
        match report.result {
            Ok(result) => {
                self.phase.mark_ran();
                Flow::End(Ending::Called(result))
            }
            Err(fault) => self.on_fault(&fault, context),
        }
    }

    /// Takes the failure of the awaited answer.
    pub fn on_fault(&mut self, fault: &CallFault, context: &mut Context<'_>) -> Flow {
        self.phase.mark_failed(fault.not_started());
        context.act(Action::Decide(Decision::Fault {
            request: self.request(),
            endpoint: self.target.endpoint.clone(),
            fault: fault.to_string(),
        }));
        let repeatable = matches!(self.order.repeat, Repeat::Idempotent);
        match fault {
            CallFault::Failed => Flow::End(Ending::ServiceFailed),
            CallFault::NotSent | CallFault::Refused => self.ask_substitute(context),
            CallFault::Broken if repeatable => {
                self.awaiting = Awaiting::CrashCheck;
                Flow::Continue
            }
            CallFault::TimedOut if repeatable => self.ask_substitute(context),
            CallFault::Broken => Flow::End(Ending::Doubtful(UnknownReason::ConnectionLost)),
            CallFault::TimedOut => Flow::End(Ending::Doubtful(UnknownReason::NoAnswer)),
        }
    }

    /// Asks routing for another endpoint.
    pub fn ask_substitute(&mut self, context: &mut Context<'_>) -> Flow {
        self.recoveries += 1;
        if self.recoveries > context.settings.recoveries_limit || !context.budget.take() {
            return Flow::End(Ending::Exhausted);
        }
        self.reroute(context);
        Flow::Continue
    }

    /// Takes routing's answer.
    pub fn on_found(&mut self, found: Found, context: &mut Context<'_>) {
        if !matches!(self.awaiting, Awaiting::Substitute { .. }) {
            return;
        }
        let Found::Assignment(Assignment::Service(target)) = found else {
            let retry_us = context.now_us + context.settings.reroute_interval_ms * US_PER_MS;
            self.awaiting = Awaiting::Substitute { retry_us: Some(retry_us) };
            return;
        };
        let failed = std::mem::replace(&mut self.target, target);
        self.attempt = Attempt(self.attempt.0 + 1);
        context.act(Action::Decide(Decision::Recovered {
            request: self.request(),
            attempt: self.attempt,
            method: Method::Retry,
            failed: failed.endpoint,
            endpoint: self.target.endpoint.clone(),
            positions: 0,
            resent_bytes: 0,
            stalled_us: context.now_us.saturating_sub(self.progress_us),
        }));
        self.send(context);
    }

    /// Handles what is due: a late answer, or a pause that is over.
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

    /// Returns the key, if the call must not be repeated.
    pub fn key(&self) -> Option<&crate::request::IdempotencyKey> {
        match &self.order.repeat {
            Repeat::Idempotent => None,
            Repeat::AtMostOnce(key) => Some(key),
        }
    }

    fn send(&mut self, context: &mut Context<'_>) {
        self.phase.mark_dispatched();
        let remaining_us = self.submission.deadline_us.saturating_sub(context.now_us);
        let timeout_us = context.settings.call_timeout_ms * US_PER_MS;
        let limit_us = match self.order.repeat {
            Repeat::Idempotent => remaining_us.min(timeout_us),
            Repeat::AtMostOnce(_) => remaining_us,
        };
        self.awaiting = Awaiting::Answer { due_us: context.now_us + limit_us };
        context.act(Action::Decide(Decision::Dispatched {
            request: self.request(),
            attempt: self.attempt,
            endpoint: self.target.endpoint.clone(),
        }));
        context.act(Action::Call(Box::new(CallOrder {
            request: self.request(),
            attempt: self.attempt,
            target: self.target.clone(),
            operation: self.order.operation.clone(),
            payload: self.order.payload.clone(),
            key: self.key().map(|key| key.key.clone()),
            limit_ms: limit_us / US_PER_MS + 1,
        })));
    }

    fn reroute(&mut self, context: &mut Context<'_>) {
        let failed = self.target.endpoint.clone();
        context.act(Action::Reroute(Reroute { request: self.request(), need: Need::Service, failed }));
        self.awaiting = Awaiting::Substitute { retry_us: None };
    }
}
