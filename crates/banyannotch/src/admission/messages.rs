//! Events and actions of admission.

use std::fmt;
use std::sync::Arc;

use crate::configuration::Configuration;
use crate::ids::{ModelId, RequestId, ServiceId, TeamId};
use crate::request::{NotRun, Submission};

/// Input of admission.
#[derive(Clone, Debug)]
pub enum Event {
    /// A well-formed request arrived.
    Submit(Box<Submission>),
    /// The caller of a request disconnected.
    Cancel(RequestId),
    /// An admitted request ended.
    Finished(Finished),
    /// Routing reported the capacities of the models and services.
    Capacity(Vec<Capacity>),
    /// A configuration took effect.
    Configured(Arc<Configuration>),
}

/// End of an admitted request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finished {
    /// Request that ended.
    pub request: RequestId,
    /// Number of tokens that it generated.
    pub tokens: u32,
    /// Time from the arrival of the request to its end, including the time in the queue.
    pub elapsed_us: u64,
    /// Whether it was completed.
    pub completed: bool,
}

/// Model or service that a request is for. A model and a service may have the same name.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Destination {
    /// A model.
    Model(ModelId),
    /// A plain service.
    Service(ServiceId),
}

/// Capacity of a model or plain service for this entry, as estimated by routing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Capacity {
    /// The model or service.
    pub destination: Destination,
    /// Time of one token through all stages at the current load; 0 means unknown.
    pub token_us: u64,
    /// Time of one prompt position through all stages.
    pub position_us: u64,
    /// Maximum number of requests that this entry should have in flight.
    pub slots: u32,
}

/// Output of admission.
#[derive(Clone, Debug)]
pub enum Action {
    /// Pass the request to routing.
    Place(Box<Submission>),
    /// Answer that the request did not run.
    Refuse {
        /// Request to refuse.
        request: RequestId,
        /// Reason that the caller gets.
        reason: NotRun,
    },
    /// Notify routing that the caller of an admitted request disconnected.
    Cancel(RequestId),
    /// Send a decision to telemetry.
    Decide(Decision),
}

/// Log record of a decision about a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Decision {
    /// Request that it is about.
    pub request: RequestId,
    /// Team that sent it.
    pub team: TeamId,
    /// Verdict of the decision.
    pub verdict: Verdict,
    /// Number of requests in flight after the decision.
    pub in_flight: u32,
    /// Number of requests of the team that wait for the same model or service.
    pub queued: u32,
    /// Time from the arrival of the request to the decision; 0 if the request is queued.
    pub waited_us: u64,
}

/// What admission decides about a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It is passed to routing.
    Admitted,
    /// It waits in the queue.
    Queued,
    /// It does not run, for the given reason.
    Refused(NotRun),
}

impl Decision {
    /// Returns the request that the decision is about.
    pub fn request(&self) -> RequestId {
        self.request
    }
}

impl fmt::Display for Decision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.verdict {
            Verdict::Admitted => formatter.write_str("decision=admitted")?,
            Verdict::Queued => formatter.write_str("decision=queued")?,
            Verdict::Refused(reason) => write!(formatter, "decision=refused reason={reason}")?,
        }
        write!(
            formatter,
            " request={} team={} in_flight={} queued={} waited_us={}",
            self.request, self.team, self.in_flight, self.queued, self.waited_us
        )
    }
}
