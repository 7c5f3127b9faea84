//! How far a request has come, as types: only a [`Pending`] request can be reported as not run.

use super::error::NotStarted;
use crate::request::{NotRun, Outcome};

/// Nothing of the request has run.
#[derive(Debug, Eq, PartialEq)]
pub struct Pending(());

/// Something was sent and its outcome is not known yet.
#[derive(Debug, Eq, PartialEq)]
pub struct Attempted(());

/// Something of the request ran, or may have run.
#[derive(Debug, Eq, PartialEq)]
pub struct Ran(());

/// Phase of a request.
#[derive(Debug, Eq, PartialEq)]
pub enum Phase {
    /// See [`Pending`].
    Pending(Pending),
    /// See [`Attempted`].
    Attempted(Attempted),
    /// See [`Ran`].
    Ran(Ran),
}

impl Pending {
    /// Something is about to be sent.
    pub fn dispatch(self) -> Attempted {
        Attempted(())
    }

    /// Ends the request as not run.
    pub fn not_run(self, reason: NotRun) -> Outcome {
        Outcome::NotRun(reason)
    }
}

impl Attempted {
    /// Takes the dispatch back, which needs the proof that it did not run.
    pub fn not_started(self, _proof: NotStarted) -> Pending {
        Pending(())
    }

    /// The dispatch ran or may have run.
    pub fn ran(self) -> Ran {
        Ran(())
    }
}

impl Phase {
    /// The phase of a request that has just been assigned.
    pub fn new() -> Self {
        Self::Pending(Pending(()))
    }

    /// Something is about to be sent.
    pub fn mark_dispatched(&mut self) {
        self.change(|phase| match phase {
            Self::Pending(pending) => Self::Attempted(pending.dispatch()),
            other => other,
        });
    }

    /// The last dispatch failed, with the proof that it did not run if there is one.
    pub fn mark_failed(&mut self, proof: Option<NotStarted>) {
        self.change(|phase| match (phase, proof) {
            (Self::Attempted(attempted), Some(proof)) => Self::Pending(attempted.not_started(proof)),
            (Self::Attempted(attempted), None) => Self::Ran(attempted.ran()),
            (other, _) => other,
        });
    }

    /// The last dispatch ran.
    pub fn mark_ran(&mut self) {
        self.mark_failed(None);
    }

    /// Ends the request: as not run if nothing ran, otherwise with the given outcome.
    pub fn end(self, reason: NotRun, otherwise: Outcome) -> Outcome {
        match self {
            Self::Pending(pending) => pending.not_run(reason),
            Self::Attempted(_) | Self::Ran(_) => otherwise,
        }
    }

    fn change(&mut self, next: impl FnOnce(Self) -> Self) {
        // Should `next` panic, the request counts as run, which never makes "not run" untrue.
        let current = std::mem::replace(self, Self::Ran(Ran(())));
        *self = next(current);
    }
}
