//! Events and actions of routing.

use std::fmt;
use std::sync::Arc;

use crate::admission::Capacity;
use crate::configuration::Configuration;
use crate::ids::{EndpointId, RequestId};
use crate::membership::Endpoint;
use crate::pipeline::{LayerRange, Route, Target};
use crate::request::{NotRun, Submission};

/// Input of routing.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request was admitted and needs an assignment.
    Place(Box<Submission>),
    /// The caller of a placed request disconnected.
    Cancel(RequestId),
    /// Execution needs another endpoint or route after a failure.
    Reroute(Reroute),
    /// A request has ended and no longer counts as load.
    Finished(RequestId),
    /// Execution measured step times.
    Observed(Vec<Observation>),
    /// Membership published a new endpoint table.
    Endpoints(Arc<[Endpoint]>),
    /// A configuration took effect.
    Configured(Arc<Configuration>),
}

/// Request of execution for a replacement after a failure.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reroute {
    /// Request that needs the replacement.
    pub request: RequestId,
    /// What is needed as a replacement.
    pub need: Need,
    /// Endpoint that failed. It is avoided while another one can do the work.
    pub failed: EndpointId,
}

/// What execution needs as a replacement after a failure.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Need {
    /// Another endpoint for one stage, with the same layers.
    Stage {
        /// Index of the stage.
        stage: usize,
    },
    /// A whole new route.
    Route,
    /// Another endpoint of a plain service.
    Service,
}

/// Step time that execution measured at an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Observation {
    /// Endpoint that ran the step.
    pub endpoint: EndpointId,
    /// Number of token positions of the step.
    pub positions: u32,
    /// Time from sending the step until its answer arrived.
    pub elapsed_us: u64,
}

/// Output of routing.
#[derive(Clone, Debug)]
pub enum Action {
    /// Pass the request with its assignment to execution.
    Start(Start),
    /// Send execution the result of a [`Reroute`].
    RerouteResult(RerouteResult),
    /// Notify execution that the caller disconnected.
    Cancel(RequestId),
    /// Report the estimated capacities to admission.
    Report(Vec<Capacity>),
    /// Send a decision to telemetry.
    Decide(Decision),
    /// The number of allocations counted at the endpoints differs from that of the placed requests.
    OwnWorkMismatch {
        /// Difference of the two numbers.
        difference: u64,
    },
}

/// A new request with its assignment.
#[derive(Clone, Debug)]
pub struct Start {
    /// The request.
    pub submission: Box<Submission>,
    /// Where it runs, or why it cannot run.
    pub assignment: std::result::Result<Assignment, NotRun>,
}

/// Endpoints on which a request runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Assignment {
    /// The stages of a generation.
    Pipeline {
        /// Stages that cover all layers of the model.
        route: Route,
        /// Expected times of the stages, in their order.
        paces: Vec<Pace>,
    },
    /// An endpoint of a plain service.
    Service(Target),
}

/// Expected times of one stage.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Pace {
    /// Expected time of a decode step, including the link.
    pub step_us: u64,
    /// Expected time of one prompt position.
    pub position_us: u64,
}

/// Result of a [`Reroute`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RerouteResult {
    /// Request that needed the replacement.
    pub request: RequestId,
    /// The replacement, or that none is available.
    pub found: Replacement,
}

/// Replacement for a failed endpoint or route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Replacement {
    /// Another endpoint for one stage.
    Stage {
        /// Index of the stage.
        stage: usize,
        /// The endpoint.
        target: Target,
        /// Expected times of the stage at the endpoint.
        pace: Pace,
    },
    /// A new assignment of the whole request.
    Assignment(Assignment),
    /// No endpoint or route is available at the moment.
    Unavailable,
}

/// Log record of a placement or a replacement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Decision {
    /// Request that it is about.
    pub request: RequestId,
    /// Why routing had to choose.
    pub cause: Cause,
    /// Choice for each stage; empty if there is no route.
    pub choices: Vec<Choice>,
}

/// Reason for a choice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// A new request was placed.
    Placed,
    /// An endpoint failed.
    Rerouted,
}

/// Choice for one stage or service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Layers of the stage; none for a plain service.
    pub layers: Option<LayerRange>,
    /// Chosen endpoint.
    pub endpoint: EndpointId,
    /// Compared candidates, including the chosen one.
    pub candidates: Vec<Candidate>,
}

/// Endpoint that was compared, with its score.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Expected time of a decode step with its share of the prefill; lower is better. The baselines set it to
    /// 0.
    pub score_us: u64,
}

impl Decision {
    /// Returns the request that the decision is about.
    pub fn request(&self) -> RequestId {
        self.request
    }
}

impl fmt::Display for Decision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let cause = match self.cause {
            Cause::Placed => "placed",
            Cause::Rerouted => "rerouted",
        };
        let kind = if self.choices.is_empty() { "no_route" } else { "routed" };
        write!(formatter, "decision={kind} request={} cause={cause}", self.request)?;
        for choice in &self.choices {
            write!(formatter, " {choice}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Choice {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.layers {
            Some(layers) => write!(formatter, "layers_{layers}={}", self.endpoint)?,
            None => write!(formatter, "service={}", self.endpoint)?,
        }
        formatter.write_str(" candidates=")?;
        for (index, candidate) in self.candidates.iter().enumerate() {
            let comma = if index == 0 { "" } else { "," };
            write!(formatter, "{comma}{}:{}", candidate.endpoint, candidate.score_us)?;
        }
        Ok(())
    }
}
