//! Execution phase of a request as types, so that only a [`Pending`] request can be reported as not run.

use super::error::NotStarted;
use crate::request::{NotRun, Outcome};

/// Nothing of the request has run.
#[derive(Debug, Eq, PartialEq)]
pub struct Pending(());

/// A step or call was dispatched and its result is not known yet.
#[derive(Debug, Eq, PartialEq)]
pub struct Attempted(());

/// A part of the request ran, or may have run.
#[derive(Debug, Eq, PartialEq)]
pub struct Ran(());

/// Phase of a request.
#[derive(Debug, Eq, PartialEq)]
pub enum Phase {
    /// Nothing of the request has run.
    Pending(Pending),
    /// A step or call was dispatched and its result is not known yet.
    Attempted(Attempted),
    /// A part of the request ran, or may have run.
    Ran(Ran),
}

impl Pending {
    /// Records that a step or call is about to be sent.
    pub fn dispatch(self) -> Attempted {
        Attempted(())
    }

    /// Ends the request as not run.
    pub fn not_run(self, reason: NotRun) -> Outcome {
        Outcome::NotRun(reason)
    }
}

impl Attempted {
    /// Returns to [`Pending`], which requires the proof that the dispatched step or call did not run.
    pub fn not_started(self, _proof: NotStarted) -> Pending {
        Pending(())
    }

    /// Records that the dispatched step or call ran or may have run.
    pub fn ran(self) -> Ran {
        Ran(())
    }
}

impl Phase {
    /// Creates the phase of a request of which nothing has been dispatched.
    pub fn new() -> Self {
        Self::Pending(Pending(()))
    }

    /// Records that a step or call is about to be sent.
    pub fn mark_dispatched(&mut self) {
        self.change(|phase| match phase {
            Self::Pending(pending) => Self::Attempted(pending.dispatch()),
            other => other,
        });
    }

    /// Records that the dispatched step or call failed, with the proof that it did not run if there is one.
    pub fn mark_failed(&mut self, proof: Option<NotStarted>) {
        self.change(|phase| match (phase, proof) {
            (Self::Attempted(attempted), Some(proof)) => Self::Pending(attempted.not_started(proof)),
            (Self::Attempted(attempted), None) => Self::Ran(attempted.ran()),
            (other, _) => other,
        });
    }

    /// Records that the dispatched step or call ran.
    pub fn mark_ran(&mut self) {
        self.mark_failed(None);
    }

    /// Returns the outcome of the request: not run for the given reason if nothing ran, and `fallback` if a
    /// part of it ran or may have run.
    pub fn end(self, reason: NotRun, fallback: Outcome) -> Outcome {
        match self {
            Self::Pending(pending) => pending.not_run(reason),
            Self::Attempted(_) | Self::Ran(_) => fallback,
        }
    }

    fn change(&mut self, next: impl FnOnce(Self) -> Self) {
        // If `next` panics, the request counts as run, so that it is never wrongly reported as not run.
        let current = std::mem::replace(self, Self::Ran(Ran(())));
        *self = next(current);
    }
}
