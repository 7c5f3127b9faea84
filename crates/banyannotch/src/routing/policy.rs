//! Routing policy: builds routes over the layer ranges that the engines hold, and replaces endpoints that
//! failed.

use std::collections::VecDeque;

use super::balance::{Balance, Picked, View};
use super::capacity::{CapacityReporter, REPORT_INTERVAL_US};
use super::chain::{Edge, cheapest_chain};
use super::index::Group;
use super::prefixes::Prefixes;
use super::settings::RoutingContext;
use super::state::{Allocation, Placed, State, Task};
use super::{
    Action, Assignment, Candidate, Cause, Choice, Decision, Event, Pace, Replacement, Reroute, RerouteResult,
    Start,
};
use crate::admission::Destination;
use crate::duty::Duty;
use crate::ids::{EndpointId, RequestId};
use crate::membership::Endpoint;
use crate::pipeline::{Route, Stage, Target};
use crate::random::Random;
use crate::request::{NotRun, Submission, Work};

/// Assumed bytes of prompt text per token position, used to estimate the length of a prompt.
const PROMPT_BYTES_PER_POSITION: usize = 4;

/// Assumed length of an answer when the request allows more tokens; most answers end before their limit.
const TYPICAL_ANSWER_TOKENS: u32 = 128;

/// State machine of routing, generic over how a replica is chosen.
#[derive(Debug)]
pub struct Routing<B> {
    state: State,
    balance: B,
    random: Random,
    context: RoutingContext,
    prefixes: Prefixes,
    capacity_reporter: CapacityReporter,
    last_report_us: u64,
    report_due_us: Option<u64>,
}

/// Replica that was chosen from a group.
struct Selected<'a> {
    group: &'a Group,
    picked: Picked,
}

impl<B: Balance> Routing<B> {
    /// Creates the policy. The same seed gives the same random choices.
    pub fn new(seed: u64, context: RoutingContext, balance: B) -> Self {
        Self {
            state: State::default(),
            balance,
            random: Random::seeded(seed),
            context,
            prefixes: Prefixes::default(),
            capacity_reporter: CapacityReporter::default(),
            last_report_us: 0,
            report_due_us: None,
        }
    }

    /// Returns the number of allocations that are counted at the endpoints, and the number of allocations of
    /// the placed requests. The two have to be equal.
    pub fn totals(&self) -> (u64, u64) {
        self.state.totals()
    }

    fn on_place(&mut self, now_us: u64, submission: Box<Submission>, actions: &mut Vec<Action>) {
        self.state.set_configuration(&submission.configuration);
        let request = submission.request;
        let task = Task::new(&submission);
        let assigned = task.as_ref().and_then(|task| self.assign(now_us, task, &VecDeque::new()));
        let Some((task, (assignment, allocations, choices))) = task.zip(assigned) else {
            actions.push(Action::Decide(Decision { request, cause: Cause::Placed, choices: Vec::new() }));
            actions.push(Action::Start(Start { submission, assignment: Err(NotRun::NoRoute) }));
            return;
        };
        self.record_prefix(now_us, &task, &allocations);
        self.state.add(now_us, &allocations);
        let previous =
            self.state.placed.insert(request, Placed { task, allocations, failed: VecDeque::new() });
        self.release(now_us, previous, actions);
        actions.push(Action::Decide(Decision { request, cause: Cause::Placed, choices }));
        actions.push(Action::Start(Start { submission, assignment: Ok(assignment) }));
    }

    fn on_reroute(&mut self, now_us: u64, reroute: &Reroute, actions: &mut Vec<Action>) {
        let request = reroute.request;
        let Some(mut placed) = self.state.placed.remove(&request) else { return };
        placed.record_failed_endpoint(&reroute.failed);
        self.state.record_zone_failure(now_us, &reroute.failed);
        let found = match reroute.need.stage() {
            Some(stage) => self.replace_stage(now_us, &mut placed, stage, actions),
            None => self.replace_all(now_us, &mut placed, actions),
        };
        self.state.placed.insert(request, placed);
        let (found, choices) = found.unwrap_or((Replacement::Unavailable, Vec::new()));
        actions.push(Action::Decide(Decision { request, cause: Cause::Rerouted, choices }));
        actions.push(Action::RerouteResult(RerouteResult { request, found }));
    }

    fn replace_stage(
        &mut self,
        now_us: u64,
        placed: &mut Placed,
        stage: usize,
        actions: &mut Vec<Action>,
    ) -> Option<(Replacement, Vec<Choice>)> {
        let Task::Generate { model, version, .. } = &placed.task else { return None };
        let allocation = placed.allocations.get_mut(stage)?;
        let group = self.state.index.range(model, *version, allocation.layers?)?;
        let members = self.state.substitutes(group, &placed.failed);
        let view = view(&self.state, &self.context, now_us, &placed.task, &[]);
        let picked = self.balance.choose(&group.pool_of(&members), &view, &mut self.random)?;
        let endpoint = self.state.endpoints.get(picked.member)?;
        let choice = choice(&self.state, group, &picked)?;
        let pace = pace(&view, group, picked.member);
        let replacement = Replacement::Stage { stage, target: target(endpoint), pace };
        let new = Allocation { endpoint: endpoint.id.clone(), ..allocation.clone() };
        let old = std::mem::replace(allocation, new.clone());
        self.subtract(now_us, &[old], actions);
        self.state.add(now_us, &[new]);
        Some((replacement, vec![choice]))
    }

    fn replace_all(
        &mut self,
        now_us: u64,
        placed: &mut Placed,
        actions: &mut Vec<Action>,
    ) -> Option<(Replacement, Vec<Choice>)> {
        let (assignment, allocations, choices) = self.assign(now_us, &placed.task, &placed.failed)?;
        self.subtract(now_us, &placed.allocations, actions);
        self.state.add(now_us, &allocations);
        placed.allocations = allocations;
        Some((Replacement::Assignment(assignment), choices))
    }

    fn assign(
        &mut self,
        now_us: u64,
        task: &Task,
        failed: &VecDeque<EndpointId>,
    ) -> Option<(Assignment, Vec<Allocation>, Vec<Choice>)> {
        let prefix_holders = self.prefix_holders(now_us, task);
        let view = view(&self.state, &self.context, now_us, task, &prefix_holders);
        let mut select =
            |group| select(&self.state, &mut self.balance, &mut self.random, &view, group, failed);
        match task {
            Task::Call { service } => {
                let selected = select(self.state.index.service(service)?)?;
                let endpoint = self.state.endpoints.get(selected.picked.member)?;
                let allocation = Allocation { endpoint: endpoint.id.clone(), layers: None, share: 1.0 };
                let choice = choice(&self.state, selected.group, &selected.picked)?;
                Some((Assignment::Service(target(endpoint)), vec![allocation], vec![choice]))
            }
            Task::Generate { model, version, layers, .. } => {
                let groups = self.state.index.model(model, *version);
                let selected: Vec<Selected<'_>> = groups.iter().filter_map(select).collect();
                let path = cheapest_chain(&edges(&selected), *layers)?;
                let chosen: Vec<&Selected<'_>> =
                    path.iter().filter_map(|index| selected.get(*index)).collect();
                assign_pipeline(&self.state, &view, task, &chosen)
            }
        }
    }

    fn prefix_holders(&self, now_us: u64, task: &Task) -> Vec<usize> {
        let Task::Generate { prefix, .. } = task else { return Vec::new() };
        self.prefixes.holders(now_us, *prefix).iter().filter_map(|id| self.state.endpoint_index(id)).collect()
    }

    fn record_prefix(&mut self, now_us: u64, task: &Task, allocations: &[Allocation]) {
        let Task::Generate { prefix, .. } = task else { return };
        let endpoints: Vec<EndpointId> =
            allocations.iter().map(|allocation| allocation.endpoint.clone()).collect();
        self.prefixes.record(now_us, *prefix, &endpoints);
    }

    fn on_finished(&mut self, now_us: u64, request: RequestId, actions: &mut Vec<Action>) {
        let placed = self.state.placed.remove(&request);
        self.release(now_us, placed, actions);
    }

    fn release(&mut self, now_us: u64, placed: Option<Placed>, actions: &mut Vec<Action>) {
        if let Some(placed) = placed {
            self.subtract(now_us, &placed.allocations, actions);
        }
    }

    fn subtract(&mut self, now_us: u64, allocations: &[Allocation], actions: &mut Vec<Action>) {
        let uncounted = self.state.subtract(now_us, allocations);
        if uncounted > 0 {
            actions.push(Action::OwnWorkMismatch { difference: uncounted });
        }
    }

    /// Schedules a capacity report, unless one is scheduled, at least [`REPORT_INTERVAL_US`] after the last
    /// one.
    fn schedule_report(&mut self, now_us: u64) {
        let allowed_us = self.last_report_us + REPORT_INTERVAL_US;
        self.report_due_us.get_or_insert(allowed_us.max(now_us));
    }

    fn report(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        self.last_report_us = now_us;
        let (counted, placed) = self.state.totals();
        if counted != placed {
            actions.push(Action::OwnWorkMismatch { difference: counted.abs_diff(placed) });
        }
        let view = View {
            now_us,
            endpoints: &self.state.endpoints,
            meters: &self.state.meters,
            context: &self.context,
            positions_per_token: 0.0,
            prefix_holders: &[],
        };
        let report = self.capacity_reporter.report(&self.state, &view, self.context.settings.entries);
        if let Some(capacities) = report {
            actions.push(Action::Report(capacities));
        }
    }
}

impl<B: Balance> Duty for Routing<B> {
    type Event = Event;
    type Action = Action;

    fn on_event(&mut self, now_us: u64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Place(submission) => self.on_place(now_us, submission, actions),
            // The request stays counted until execution reports its end, because its current step is still
            // load.
            Event::Cancel(request) => actions.push(Action::Cancel(request)),
            Event::Reroute(reroute) => self.on_reroute(now_us, &reroute, actions),
            Event::Finished(request) => self.on_finished(now_us, request, actions),
            Event::Endpoints(endpoints) => self.state.set_endpoints(endpoints),
            Event::Observed(observations) => self.state.observe(now_us, &observations),
            Event::Configured(configuration) => self.state.set_configuration(&configuration),
        }
        self.schedule_report(now_us);
    }

    fn next_timer_us(&self) -> Option<u64> {
        self.report_due_us
    }

    fn on_timer(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        if self.report_due_us.take_if(|due_us| *due_us <= now_us).is_some() {
            self.report(now_us, actions);
        }
    }
}

impl Task {
    /// Returns what a request needs, or `None` if its configuration does not contain the model.
    fn new(submission: &Submission) -> Option<Self> {
        match &submission.work {
            Work::Call(call) => Some(Self::Call { service: call.service.clone() }),
            Work::Generate(generation) => {
                let model = submission.configuration.document.model(&generation.model)?;
                let positions = generation.prompt.len() / PROMPT_BYTES_PER_POSITION;
                Some(Self::Generate {
                    model: generation.model.clone(),
                    version: model.version,
                    layers: model.layers,
                    prompt_positions: u32::try_from(positions).unwrap_or(u32::MAX),
                    max_tokens: generation.max_tokens,
                    prefix: Prefixes::digest(generation),
                })
            }
        }
    }

    /// Returns the model or service that the request is for.
    pub(super) fn destination(&self) -> Destination {
        match self {
            Self::Generate { model, .. } => Destination::Model(model.clone()),
            Self::Call { service } => Destination::Service(service.clone()),
        }
    }

    /// Returns the estimated prompt positions per generated token, which spreads the prefill time over the
    /// decode steps.
    fn positions_per_token(&self) -> f64 {
        match self {
            Self::Generate { prompt_positions, max_tokens, .. } => {
                f64::from(*prompt_positions) / f64::from((*max_tokens).clamp(1, TYPICAL_ANSWER_TOKENS))
            }
            Self::Call { .. } => 0.0,
        }
    }
}

fn view<'a>(
    state: &'a State,
    context: &'a RoutingContext,
    now_us: u64,
    task: &Task,
    prefix_holders: &'a [usize],
) -> View<'a> {
    View {
        now_us,
        endpoints: &state.endpoints,
        meters: &state.meters,
        context,
        positions_per_token: task.positions_per_token(),
        prefix_holders,
    }
}

fn select<'a, B: Balance>(
    state: &State,
    balance: &mut B,
    random: &mut Random,
    view: &View<'_>,
    group: &'a Group,
    failed: &VecDeque<EndpointId>,
) -> Option<Selected<'a>> {
    let picked = if failed.is_empty() {
        balance.choose(&group.pool(), view, random)?
    } else {
        balance.choose(&group.pool_of(&state.substitutes(group, failed)), view, random)?
    };
    Some(Selected { group, picked })
}

fn edges(selected: &[Selected<'_>]) -> Vec<Edge> {
    let edge = |selected: &Selected<'_>| {
        Some(Edge { layers: selected.group.layers?, cost_us: selected.picked.cost_us })
    };
    selected.iter().filter_map(edge).collect()
}

/// Returns the route over the chosen replicas with its allocations; a stage's share is proportional to its
/// step time.
fn assign_pipeline(
    state: &State,
    view: &View<'_>,
    task: &Task,
    chosen: &[&Selected<'_>],
) -> Option<(Assignment, Vec<Allocation>, Vec<Choice>)> {
    let Task::Generate { model, version, layers, .. } = task else { return None };
    let (mut stages, mut paces, mut allocations, mut choices) =
        (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    let total_us: f64 = chosen.iter().map(|selected| selected.step_us(view)).sum();
    for selected in chosen {
        let endpoint = state.endpoints.get(selected.picked.member)?;
        let range = selected.group.layers?;
        let share = selected.step_us(view) / total_us.max(1.0);
        stages.push(Stage { target: target(endpoint), layers: range });
        paces.push(pace(view, selected.group, selected.picked.member));
        allocations.push(Allocation { endpoint: endpoint.id.clone(), layers: Some(range), share });
        choices.push(choice(state, selected.group, &selected.picked)?);
    }
    let route = Route::new(model.clone(), *version, *layers, stages).ok()?;
    Some((Assignment::Pipeline { route, paces }, allocations, choices))
}

impl Selected<'_> {
    fn step_us(&self, view: &View<'_>) -> f64 {
        view.step_us(self.picked.member, self.group.mean_other_steps)
    }
}

fn choice(state: &State, group: &Group, picked: &Picked) -> Option<Choice> {
    let endpoint = state.endpoints.get(picked.member)?.id.clone();
    let candidate = |(member, score_us): (usize, f64)| {
        let endpoint = state.endpoints.get(member)?.id.clone();
        Some(Candidate { endpoint, score_us: score_us as u64 })
    };
    let candidates = picked.compared().filter_map(candidate).collect();
    Some(Choice { layers: group.layers, endpoint, candidates })
}

fn target(endpoint: &Endpoint) -> Target {
    Target { endpoint: endpoint.id.clone(), address: endpoint.address, zone: endpoint.zone.clone() }
}

fn pace(view: &View<'_>, group: &Group, member: usize) -> Pace {
    let position_us = view.meters.get(member).map_or(0.0, |meter| meter.position_us());
    Pace { step_us: view.step_us(member, group.mean_other_steps) as u64, position_us: position_us as u64 }
}
