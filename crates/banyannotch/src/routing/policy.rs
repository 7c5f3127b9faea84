//! Builds routes over the layer ranges that the engines hold.

use super::state::{Placed, State};
use super::{
    Action, Assignment, Candidate, Cause, Choice, Decision, Event, Found, Need, Pace, Reroute, Start,
    Substitute,
};
use crate::duty::Duty;
use crate::ids::{EndpointId, ModelId, RequestId};
use crate::membership::{Endpoint, Health, Role};
use crate::pipeline::{LayerRange, Route, Stage, Target};
use crate::random::Random;
use crate::request::{NotRun, Submission, Work};

/// The policy of routing.
#[derive(Debug)]
pub struct Routing {
    state: State,
    random: Random,
}

/// Added to the score of an endpoint that one observer found dead.
const SUSPECTED_PENALTY_US: u64 = 10_000_000;

impl Routing {
    /// Creates the policy; the seed determines its random choices.
    pub fn new(seed: u64) -> Self {
        Self { state: State::default(), random: Random::seeded(seed) }
    }

    fn on_place(&mut self, submission: Box<Submission>, actions: &mut Vec<Action>) {
        let request = submission.request;
        let (assignment, choices) = self.assign(&submission, None);
        actions.push(Action::Decide(Decision { request, cause: Cause::Placed, choices }));
        if let Some(assignment) = &assignment {
            self.count(&submission, assignment);
        }
        let assignment = assignment.ok_or(NotRun::NoRoute);
        actions.push(Action::Start(Start { submission, assignment }));
    }

    fn on_reroute(&mut self, reroute: &Reroute, actions: &mut Vec<Action>) {
        let request = reroute.request;
        let Some(mut placed) = self.state.placed.remove(&request) else { return };
        let (found, choices) = match reroute.need {
            Need::Stage { stage } => self.find_stage(&mut placed, stage, &reroute.failed),
            Need::Route | Need::Service => self.find_assignment(&mut placed, &reroute.failed),
        };
        self.state.placed.insert(request, placed);
        actions.push(Action::Decide(Decision { request, cause: Cause::Rerouted, choices }));
        actions.push(Action::Substitute(Substitute { request, found }));
    }

    fn find_stage(&mut self, placed: &mut Placed, stage: usize, failed: &EndpointId) -> (Found, Vec<Choice>) {
        let Work::Generate(order) = &placed.submission.work else { return (Found::Nothing, Vec::new()) };
        let Some(current) = placed.endpoints.get(stage).cloned() else { return (Found::Nothing, Vec::new()) };
        let layers = placed.layers.get(stage).copied();
        let Some(layers) = layers else { return (Found::Nothing, Vec::new()) };
        let Some((endpoint, choice)) = self.choose(&order.model, layers, &placed.submission, Some(failed))
        else {
            return (Found::Nothing, Vec::new());
        };
        self.state.subtract(&current);
        self.state.add(&endpoint.id);
        if let Some(slot) = placed.endpoints.get_mut(stage) {
            *slot = endpoint.id.clone();
        }
        let found = Found::Stage { stage, target: target(&endpoint), pace: pace(&endpoint) };
        (found, vec![choice])
    }

    fn find_assignment(&mut self, placed: &mut Placed, failed: &EndpointId) -> (Found, Vec<Choice>) {
        let (assignment, choices) = self.assign(&placed.submission, Some(failed));
        let Some(assignment) = assignment else { return (Found::Nothing, choices) };
        for endpoint in std::mem::take(&mut placed.endpoints) {
            self.state.subtract(&endpoint);
        }
        (placed.endpoints, placed.layers) = parts(&assignment);
        for endpoint in &placed.endpoints {
            self.state.add(endpoint);
        }
        (Found::Assignment(assignment), choices)
    }

    fn assign(
        &mut self,
        submission: &Submission,
        failed: Option<&EndpointId>,
    ) -> (Option<Assignment>, Vec<Choice>) {
        match &submission.work {
            Work::Generate(order) => self.assign_pipeline(submission, &order.model, failed),
            Work::Call(order) => {
                let candidates = self.state.usable().filter(|endpoint| {
                    matches!(&endpoint.role, Role::Service { service } if *service == order.service)
                });
                let scored = self.score(candidates, submission, failed);
                let Some((endpoint, choice)) = self.pick(scored, None) else { return (None, Vec::new()) };
                (Some(Assignment::Service(target(&endpoint))), vec![choice])
            }
        }
    }

    /// Chains layer ranges from the first layer to the last, the cheapest replica for each.
    fn assign_pipeline(
        &mut self,
        submission: &Submission,
        model: &ModelId,
        failed: Option<&EndpointId>,
    ) -> (Option<Assignment>, Vec<Choice>) {
        let Some(configured) = submission.configuration.document.model(model) else {
            return (None, Vec::new());
        };
        let (layers, version) = (configured.layers, configured.version);
        let Some(ranges) = self.chain(submission, model, layers) else { return (None, Vec::new()) };
        let (mut stages, mut paces, mut choices) = (Vec::new(), Vec::new(), Vec::new());
        for range in ranges {
            let Some((endpoint, choice)) = self.choose(model, range, submission, failed) else {
                return (None, choices);
            };
            paces.push(pace(&endpoint));
            stages.push(Stage { target: target(&endpoint), layers: range });
            choices.push(choice);
        }
        match Route::new(model.clone(), version, layers, stages) {
            Ok(route) => (Some(Assignment::Pipeline { route, paces }), choices),
            Err(_) => (None, choices),
        }
    }

    /// Finds the chain with the fewest ranges that covers all layers.
    fn chain(&self, submission: &Submission, model: &ModelId, layers: u16) -> Option<Vec<LayerRange>> {
        let version = submission.configuration.document.model(model)?.version;
        let mut ranges: Vec<LayerRange> = self
            .state
            .usable()
            .filter_map(|endpoint| match &endpoint.role {
                Role::Engine { model: held, version: at, layers } if held == model && *at == version => {
                    Some(*layers)
                }
                _ => None,
            })
            .collect();
        ranges.sort();
        ranges.dedup();
        let mut best: Vec<Option<Vec<LayerRange>>> = vec![None; usize::from(layers) + 1];
        *best.first_mut()? = Some(Vec::new());
        for begin in 0..layers {
            let Some(chain) = best.get(usize::from(begin)).cloned().flatten() else { continue };
            for range in ranges.iter().filter(|range| range.begin == begin && !range.is_empty()) {
                let Some(slot) = best.get_mut(usize::from(range.end)) else { continue };
                if slot.as_ref().is_none_or(|known| known.len() > chain.len() + 1) {
                    let mut longer = chain.clone();
                    longer.push(*range);
                    *slot = Some(longer);
                }
            }
        }
        best.pop().flatten()
    }

    fn choose(
        &mut self,
        model: &ModelId,
        layers: LayerRange,
        submission: &Submission,
        failed: Option<&EndpointId>,
    ) -> Option<(Endpoint, Choice)> {
        let version = submission.configuration.document.model(model)?.version;
        let candidates = self.state.usable().filter(|endpoint| match &endpoint.role {
            Role::Engine { model: held, version: at, layers: range } => {
                held == model && *at == version && *range == layers
            }
            Role::Service { .. } => false,
        });
        let scored = self.score(candidates, submission, failed);
        self.pick(scored, Some(layers))
    }

    fn score<'a>(
        &self,
        candidates: impl Iterator<Item = &'a Endpoint>,
        submission: &Submission,
        failed: Option<&EndpointId>,
    ) -> Vec<(u64, Endpoint)> {
        let drain = &submission.configuration.active().drain;
        let mut scored: Vec<(u64, Endpoint)> = candidates
            .filter(|endpoint| failed != Some(&endpoint.id) && !drain.contains(&endpoint.id.instance))
            .map(|endpoint| (self.score_us(endpoint), endpoint.clone()))
            .collect();
        scored.sort_by(|a, b| (a.0, &a.1.id).cmp(&(b.0, &b.1.id)));
        scored
    }

    fn score_us(&self, endpoint: &Endpoint) -> u64 {
        let own = u64::from(self.state.in_flight(&endpoint.id));
        let reported = u64::from(endpoint.load.running + endpoint.load.queued);
        let penalty_us = if endpoint.health == Health::Suspected { SUSPECTED_PENALTY_US } else { 0 };
        penalty_us + endpoint.load.step_us.max(1) * (1 + own.max(reported))
    }

    /// Takes the better of two random candidates, so that entries with the same lagging reports do not all choose one.
    fn pick(
        &mut self,
        mut scored: Vec<(u64, Endpoint)>,
        layers: Option<LayerRange>,
    ) -> Option<(Endpoint, Choice)> {
        let mut compared = Vec::new();
        for _ in 0..2 {
            if scored.is_empty() {
                break;
            }
            let index = self.random.below(scored.len());
            compared.push(scored.swap_remove(index));
        }
        compared.sort_by_key(|(score_us, _)| *score_us);
        let candidates = compared
            .iter()
            .map(|(score_us, endpoint)| Candidate { endpoint: endpoint.id.clone(), score_us: *score_us })
            .collect();
        let (_, endpoint) = compared.into_iter().next()?;
        let choice = Choice { layers, endpoint: endpoint.id.clone(), candidates };
        Some((endpoint, choice))
    }

    fn count(&mut self, submission: &Submission, assignment: &Assignment) {
        let (endpoints, layers) = parts(assignment);
        for endpoint in &endpoints {
            self.state.add(endpoint);
        }
        let placed = Placed { submission: Box::new(submission.clone()), endpoints, layers };
        self.state.placed.insert(submission.request, placed);
    }

    fn on_finished(&mut self, request: RequestId) {
        if let Some(placed) = self.state.placed.remove(&request) {
            for endpoint in &placed.endpoints {
                self.state.subtract(endpoint);
            }
        }
    }
}

impl Duty for Routing {
    type Event = Event;
    type Action = Action;

    fn on_event(&mut self, _now_us: u64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Place(submission) => self.on_place(submission, actions),
            Event::Cancel(request) => actions.push(Action::Cancel(request)),
            Event::Reroute(reroute) => self.on_reroute(&reroute, actions),
            Event::Finished(request) => self.on_finished(request),
            Event::Endpoints(endpoints) => {
                self.state.endpoints = endpoints;
                let known = std::sync::Arc::clone(&self.state.endpoints);
                self.state.in_flight.retain(|id, count| {
                    *count > 0 || known.binary_search_by(|endpoint| endpoint.id.cmp(id)).is_ok()
                });
            }
            Event::Observed(_) | Event::Configured(_) => {}
        }
    }

    fn next_timer_us(&self) -> Option<u64> {
        None
    }

    fn on_timer(&mut self, _now_us: u64, _actions: &mut Vec<Action>) {}
}

fn parts(assignment: &Assignment) -> (Vec<EndpointId>, Vec<LayerRange>) {
    match assignment {
        Assignment::Pipeline { route, .. } => {
            route.stages().iter().map(|stage| (stage.target.endpoint.clone(), stage.layers)).unzip()
        }
        Assignment::Service(target) => (vec![target.endpoint.clone()], Vec::new()),
    }
}

fn target(endpoint: &Endpoint) -> Target {
    Target { endpoint: endpoint.id.clone(), address: endpoint.address, zone: endpoint.zone.clone() }
}

fn pace(endpoint: &Endpoint) -> Pace {
    Pace { step_us: endpoint.load.step_us, position_us: endpoint.load.prefill_us_per_position }
}
