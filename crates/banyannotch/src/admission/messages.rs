//! What admission hears and says.

use std::fmt;
use std::sync::Arc;

use crate::configuration::Configuration;
use crate::ids::{ModelId, RequestId, ServiceId, TeamId};
use crate::request::{NotRun, Submission};

/// What admission hears.
#[derive(Clone, Debug)]
pub enum Event {
    /// A well-formed request.
    Submit(Box<Submission>),
    /// The caller of a request went away.
    Cancel(RequestId),
    /// A request that was placed has ended.
    Finished(Finished),
    /// What routing can do at present.
    Capacity(Vec<Capacity>),
    /// A new configuration.
    Configured(Arc<Configuration>),
}

/// The end of a placed request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finished {
    /// Request that ended.
    pub request: RequestId,
    /// Tokens that it generated.
    pub tokens: u32,
    /// Time from arrival to the end.
    pub service_us: u64,
    /// Whether it was completed.
    pub completed: bool,
}

/// What a request is for. A model and a service may have the same name.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Destination {
    /// A model.
    Model(ModelId),
    /// A plain service.
    Service(ServiceId),
}

/// What a model or plain service can carry, as routing estimates it for this entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Capacity {
    /// The model or service.
    pub target: Destination,
    /// Time of one token step through all stages at the present load; 0 means unknown.
    pub token_us: u64,
    /// Time of one prompt position through all stages.
    pub position_us: u64,
    /// Requests that this entry should have in flight at most.
    pub slots: u32,
}

/// What admission wants done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Give the request to routing.
    Place(Box<Submission>),
    /// Answer the request as not run.
    Refuse {
        /// Request to refuse.
        request: RequestId,
        /// Why.
        reason: NotRun,
    },
    /// Pass on that the caller of a placed request went away.
    Cancel(RequestId),
    /// Log a decision.
    Decide(Decision),
}

/// A decision of admission.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Decision {
    /// Request that it is about.
    pub request: RequestId,
    /// Team that sent it.
    pub team: TeamId,
    /// What was decided.
    pub verdict: Verdict,
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests of the team that wait.
    pub queued: u32,
    /// Time that the request waited.
    pub waited_us: u64,
}

/// What admission decides about a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It goes to routing.
    Admitted,
    /// It waits.
    Queued,
    /// It is answered as not run.
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
