//! What routing hears and says.

use std::fmt;
use std::sync::Arc;

use crate::admission::Capacity;
use crate::configuration::Configuration;
use crate::ids::{EndpointId, RequestId};
use crate::membership::Endpoint;
use crate::pipeline::{LayerRange, Route, Target};
use crate::request::{NotRun, Submission};

/// What routing hears.
#[derive(Clone, Debug)]
pub enum Event {
    /// An admitted request.
    Place(Box<Submission>),
    /// The caller of a placed request went away.
    Cancel(RequestId),
    /// Execution needs another endpoint or another route.
    Reroute(Reroute),
    /// A request has ended and no longer counts as load.
    Finished(RequestId),
    /// What execution measured.
    Observed(Vec<Observation>),
    /// The endpoints as membership sees them.
    Endpoints(Arc<[Endpoint]>),
    /// A new configuration.
    Configured(Arc<Configuration>),
}

/// Asks for a substitute after a failure.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reroute {
    /// Request that needs it.
    pub request: RequestId,
    /// What is needed.
    pub need: Need,
    /// Endpoint that failed and is not to be chosen while another one can do the work.
    pub failed: EndpointId,
}

/// What execution needs after a failure.
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

/// Time of steps that execution measured at an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Observation {
    /// Endpoint that ran the step.
    pub endpoint: EndpointId,
    /// Positions of the step.
    pub positions: u32,
    /// Time from sending to the answer.
    pub elapsed_us: u64,
}

/// What routing wants done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Give the request to execution.
    Start(Start),
    /// Answer a [`Reroute`].
    Substitute(Substitute),
    /// Pass on that the caller went away.
    Cancel(RequestId),
    /// Tell admission what can be carried.
    Report(Vec<Capacity>),
    /// Log a decision.
    Decide(Decision),
    /// Own work counted at the endpoints differs from the placed requests.
    Violated {
        /// Difference of the counts.
        counts: u64,
    },
}

/// A request with its assignment.
#[derive(Clone, Debug)]
pub struct Start {
    /// The request.
    pub submission: Box<Submission>,
    /// Where it runs, or why it cannot run.
    pub assignment: std::result::Result<Assignment, NotRun>,
}

/// Where a request runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Assignment {
    /// A pipeline with the expected times of its stages.
    Pipeline {
        /// Stages that cover the model.
        route: Route,
        /// Expected times, one for each stage.
        paces: Vec<Pace>,
    },
    /// An endpoint of a plain service.
    Service(Target),
}

/// Expected times of one stage.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Pace {
    /// A decode step, with the link.
    pub step_us: u64,
    /// One prompt position.
    pub position_us: u64,
}

/// Answer to a [`Reroute`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Substitute {
    /// Request that asked.
    pub request: RequestId,
    /// What was found.
    pub found: Found,
}

/// What routing found for a [`Reroute`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Found {
    /// An endpoint for one stage.
    Stage {
        /// Index of the stage.
        stage: usize,
        /// The endpoint.
        target: Target,
        /// Its expected times.
        pace: Pace,
    },
    /// A new assignment.
    Assignment(Assignment),
    /// Nothing that can do it at present.
    Nothing,
}

/// A decision of routing with the scores that it compared; lower scores are better.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Decision {
    /// Request that it is about.
    pub request: RequestId,
    /// Why a choice was made.
    pub cause: Cause,
    /// The choice for each stage; empty when nothing was found.
    pub choices: Vec<Choice>,
}

/// Why routing chose.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// A new request.
    Placed,
    /// A failed endpoint.
    Rerouted,
}

/// The choice for one stage.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Layers of the stage; none for a plain service.
    pub layers: Option<LayerRange>,
    /// Endpoint that was chosen.
    pub endpoint: EndpointId,
    /// Candidates that were compared, with their scores.
    pub candidates: Vec<Candidate>,
}

/// One candidate with its score.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Expected time in microseconds; lower is better.
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
