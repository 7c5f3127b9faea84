//! Faults of steps and calls. The kind of a fault determines whether the step or call may have run, and with
//! it what may be repeated.

use std::fmt;

use thiserror::Error;

/// Why a step returned no output.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum StepFault {
    /// No connection was established; the step did not run.
    #[error("not_sent")]
    NotSent,
    /// The endpoint answered that it did not run the step.
    #[error("refused:{reason}")]
    Refused {
        /// The endpoint's reason.
        reason: String,
    },
    /// The connection broke; the step may have run.
    #[error("broken")]
    Broken,
    /// No answer arrived in time; the step may have run.
    #[error("timed_out")]
    TimedOut,
    /// The answer has an error status, cannot be decoded or does not match the step; the step may have run.
    #[error("bad_answer")]
    BadAnswer,
}

/// Why a call of a plain service returned no result.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum CallFault {
    /// No connection was established; the call did not run.
    #[error("not_sent")]
    NotSent,
    /// The service answered that it did not start the call.
    #[error("refused")]
    Refused,
    /// The connection broke or the answer could not be decoded; the call may have run.
    #[error("broken")]
    Broken,
    /// No answer arrived in time; the call may have run.
    #[error("timed_out")]
    TimedOut,
    /// The service answered with an error status.
    #[error("failed")]
    Failed,
}

/// Proof that a dispatched step or call did not run. Only a refusal by the endpoint or a failure to connect
/// yields it.
#[derive(Debug, Eq, PartialEq)]
pub struct NotStarted(());

impl StepFault {
    /// Returns the proof that the step did not run, if the fault yields one.
    pub fn not_started(&self) -> Option<NotStarted> {
        match self {
            Self::NotSent | Self::Refused { .. } => Some(NotStarted(())),
            Self::Broken | Self::TimedOut | Self::BadAnswer => None,
        }
    }
}

impl CallFault {
    /// Returns the proof that the call did not run, if the fault yields one.
    pub fn not_started(&self) -> Option<NotStarted> {
        match self {
            Self::NotSent | Self::Refused => Some(NotStarted(())),
            Self::Broken | Self::TimedOut | Self::Failed => None,
        }
    }
}

impl fmt::Display for NotStarted {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the endpoint did not start the step or call")
    }
}
